//! Interface of the decision module: its settings, the events it takes and the actions it returns. Data only;
//! all decisions are made in [`crate::control`].

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// A call, numbered by the gatekeeper that runs the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A carrier switch: one processor that serves an exchange. A machine that replaces another has a new id and
/// the same [`ExchangeNumber`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SwitchId(pub u64);

/// Number of an exchange or pool in the numbering plan; -1 means none.
pub type ExchangeNumber = i64;

/// Whether calls of a class may be attempted more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Attempts may be repeated, and the call rejected, at any time.
    Idempotent,
    /// Switches discard repeated attempts within a [`DeduplicationScope`] and a time window.
    Deduplicated,
    /// May be repeated only when it is known that no switch has acted on the set-up of an earlier attempt.
    AtMostOnce,
}

/// Which switches recognise and discard repeats of a [`RepeatPolicy::Deduplicated`] call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All switches.
    AllExchanges,
    /// The switches in the zone of the first attempt. A zone is a named group of switches: the switch list
    /// gives the zone of each switch, and the setting `failureDomains` lists the names of the zones. All
    /// zones that it does not list count as one.
    Zone,
    /// The switches of the exchange of the first attempt.
    Exchange,
}

/// A class of call.
#[derive(Clone, Debug)]
pub struct CallClass {
    /// Calls set up within this time earn their full value.
    pub set_up_target: Micros,
    /// Value of a call that is set up and lasts to its end.
    pub value: f64,
    /// Factor on the value of a call that is set up later than the target.
    pub late_value_factor: f64,
    /// Whether attempts may be repeated.
    pub repeat_policy: RepeatPolicy,
    /// For [`RepeatPolicy::Deduplicated`]: which switches discard repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For [`RepeatPolicy::Deduplicated`]: for how long after the first attempt they do.
    pub deduplication_window: Micros,
    /// In a pool topology: the pools that can take the call; empty means any.
    pub eligible_pools: Vec<ExchangeNumber>,
}

/// A tenant and its agreed traffic.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Agreed rate in calls per second, over all gatekeepers.
    pub quota_per_s: f64,
}

/// Settings of the deployment, passed to the controller at its start. The controller does not use
/// `gatekeeper_count`, `list_known_after`, `may_probe`, `probe_cost`, `drain_grace` and
/// `load_reports_enabled`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The gatekeeper's own exchange; -1 where there is none (pool topology).
    pub own_exchange: ExchangeNumber,
    /// Number of gatekeepers in the deployment.
    pub gatekeeper_count: u32,
    /// The exchanges are pools of agents that all gatekeepers share; there are no transit calls.
    pub pool_topology: bool,
    /// Updates of the switch list come only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// With `must_subscribe`: the age at which a switch list counts as known.
    pub list_known_after: Micros,
    /// Classes of call; events refer to them by index.
    pub classes: Vec<CallClass>,
    /// Tenants; events refer to them by index.
    pub tenants: Vec<Tenant>,
    /// Factor on the value of a call beyond its tenant's quota.
    pub over_quota_value_factor: f64,
    /// Shortest time between the end of an attempt that may still be in progress at its switch and the next
    /// attempt.
    pub release_wait: Micros,
    /// A sender repeats a set-up that is still waiting after this time; 0 means never. This program does not
    /// repeat set-ups.
    pub retransmit_after: Micros,
    /// Shortest time between two batches of events.
    pub min_batch_interval: Micros,
    /// Most attempts per call.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Switches may be probed.
    pub may_probe: bool,
    /// Cost of a probe per first attempt.
    pub probe_cost: f64,
    /// Rejections may tell callers how long to back off.
    pub may_send_back_off: bool,
    /// Longest back-off that callers comply with.
    pub max_back_off: Micros,
    /// How long a switch may still be sent new calls after it has begun to drain.
    pub drain_grace: Micros,
    /// Share of its capacity that a cold processor starts with.
    pub cold_capacity_share: f64,
    /// Time after its start within which a processor is cold.
    pub warm_up_time: Micros,
    /// A cold processor fails when it is offered more than this multiple of its present capacity for
    /// `cold_overload_duration`.
    pub cold_overload_factor: f64,
    /// How long a cold processor bears `cold_overload_factor` before it fails.
    pub cold_overload_duration: Micros,
    /// Far processors report their load.
    pub load_reports_enabled: bool,
    /// Limits on what the controller keeps of calls that have ended.
    pub history_limits: HistoryLimits,
}

/// Limits on what the controller keeps of calls that have ended.
#[derive(Clone, Copy, Debug)]
pub struct HistoryLimits {
    /// Most called numbers whose last call was not answered, and most that were found busy.
    pub called_numbers: usize,
    /// Most groups of circuits between other exchanges.
    pub remote_groups: usize,
}

impl Default for HistoryLimits {
    /// The limits where no memory limit is configured.
    fn default() -> Self {
        HistoryLimits { called_numbers: 1 << 16, remote_groups: 1 << 16 }
    }
}

/// State of a switch in the switch list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Runs and takes calls.
    InService,
    /// Finishes its calls and takes no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the switch list.
#[derive(Clone, Debug)]
pub struct SwitchEntry {
    /// The switch.
    pub switch: SwitchId,
    /// Index of its zone.
    pub zone_index: u32,
    /// Number of the exchange that it serves.
    pub exchange_number: ExchangeNumber,
    /// Its state.
    pub health: Health,
    /// When it last started, if known.
    pub up_since: Option<Micros>,
}

/// An update of the switch list.
#[derive(Clone, Debug)]
pub enum SwitchListUpdate {
    /// The whole list, which replaces the one before.
    Full(Vec<SwitchEntry>),
    /// The changed entries only.
    Changes(Vec<SwitchEntry>),
    /// A query for the switch list failed, or the subscription to its updates broke.
    Failed,
}

/// Load of a processor and of the group of circuits towards it; values that were not reported are `None`. The
/// controller uses `free_circuits`, `group_size`, `wait_us` and `requested_reduction`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free circuits of the group towards the processor, or free agents of the pool.
    pub free_circuits: Option<f64>,
    /// Size of that group or pool.
    pub group_size: Option<f64>,
    /// Messages that the processor is working on.
    pub active_messages: Option<f64>,
    /// Messages queued at the processor.
    pub waiting_messages: Option<f64>,
    /// Utilization of the processor, as a share.
    pub utilization: Option<f64>,
    /// Waiting time at the processor, in microseconds.
    pub wait_us: Option<f64>,
    /// Set-ups per second that the processor can take from all senders together.
    pub max_set_ups_per_s: Option<f64>,
    /// Share of its set-ups by which each sender is asked to reduce its traffic.
    pub requested_reduction: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call was answered and has ended.
    Completed,
    /// Released with any other cause, for example user busy.
    Failed,
    /// A tandem, a processor or a pool had no capacity for the call.
    Congested,
    /// No answer in time.
    TimedOut,
    /// The switch could not be reached.
    Unreachable,
    /// The set-up or the answered call was cut off.
    Reset,
    /// Cancelled, or released by the caller.
    Cancelled,
    /// The set-up was not processed: the switch released it with cause 102 (timer expiry), or the call
    /// already had an attempt in progress or an answer. A set-up without a connection is
    /// [`Outcome::Unreachable`].
    NotSent,
}

/// Why an attempt ended, beyond its [`Outcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Nothing further is known.
    Unknown,
    /// No circuit or agent was free.
    NoCircuit,
    /// The tandem rejected the call.
    RejectedByTandem,
    /// The destination's processor, beyond the tandem, was congested.
    CongestedBeyondTandem,
    /// The far processor was congested; carries the waiting time that it reported, or 0. With
    /// [`Outcome::NotSent`]: the own processor is down.
    ProcessorCongested(Micros),
    /// No line of the called number is free.
    SubscriberBusy,
    /// With [`Outcome::Failed`]: the set-up was not sent, as it is too long for any switch.
    SetUpTooLong,
    /// With [`Outcome::NotSent`]: the process at the address of the switch may be one of another exchange, to
    /// which the call may not go.
    ProcessUnconfirmed,
}

/// Where a call comes from. Limits on what is kept of calls are shared out between the sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallSource {
    /// A number that the calls of a caller's connection have in common.
    pub connection: u64,
    /// A call of this source has been answered.
    pub is_trusted: bool,
}

impl CallSource {
    /// The source of all calls where they are not told apart.
    pub const SINGLE: CallSource = CallSource { connection: 0, is_trusted: true };
}

/// A call handed to the controller for a decision.
#[derive(Clone, Debug)]
pub struct NewCall {
    /// Its id.
    pub id: CallId,
    /// Index of its class.
    pub class_index: usize,
    /// Index of its tenant.
    pub tenant_index: Option<usize>,
    /// Where it comes from.
    pub source: CallSource,
    /// The subscriber's number that was called.
    pub called_number: String,
    /// When the caller gives up.
    pub caller_deadline: Micros,
    /// The exchange that it is for.
    pub destination: ExchangeNumber,
    /// Number of circuits that it takes.
    pub circuits: f64,
    /// A tandem that is advised for the call; for a transit call the exchange that passed it on; -1 if there
    /// is none.
    pub via_exchange: ExchangeNumber,
    /// The caller is known to be redialling.
    pub redial: bool,
    /// The call is passed on by another gatekeeper, for which this exchange is the tandem.
    pub transit: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The call.
    pub call: CallId,
    /// Number of the attempt, from 0.
    pub attempt_number: u32,
    /// The switch that the set-up was sent to.
    pub switch: SwitchId,
    /// How it ended.
    pub outcome: Outcome,
    /// Why it ended.
    pub reason: EndReason,
    /// The call is over: the controller takes no further action for it.
    pub call_closed: bool,
    /// The load that the switch reports.
    pub report: LoadReport,
}

/// An event that the controller takes.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the switch list.
    SwitchList(SwitchListUpdate),
    /// A call to decide on.
    NewCall(NewCall),
    /// A call was answered.
    CallAnswered {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt_number: u32,
        /// The set-up delay: the time from the set-up to its answer.
        set_up_delay: Micros,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The caller has gone: the controller takes no further action for the call.
    CallerGone(CallId),
    /// A timer of the controller has expired; carries the token of [`Action::SetTimer`].
    Timer(u64),
    /// The result of a probe, or an unsolicited load report.
    SwitchStatus {
        /// The switch.
        switch: SwitchId,
        /// The probe was answered and passed; always true for an unsolicited report.
        answered: bool,
        /// How long the probe took; 0 for an unsolicited report.
        round_trip: Micros,
        /// The load that the switch reports.
        report: LoadReport,
    },
    /// A message from another gatekeeper.
    PeerMessage {
        /// Index of the gatekeeper.
        from: u32,
        /// Contents of the message.
        data: Vec<u8>,
    },
}

/// An action that the controller asks for. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up.
    SendSetUp {
        /// The call.
        call: CallId,
        /// A switch of the call's destination, or one that serves the call as tandem.
        switch: SwitchId,
        /// Time-out of the attempt.
        timeout: Micros,
    },
    /// End the call by a rejection; the caller may try again.
    Reject {
        /// The call.
        call: CallId,
        /// How long the caller should wait before it redials; 0 gives no advice.
        back_off: Micros,
    },
    /// End the call as failed.
    Fail(CallId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt_number: u32,
    },
    /// Probe a switch.
    Probe(SwitchId),
    /// Subscribe to updates of the switch list.
    Subscribe,
    /// Start a timer. It takes the place of a timer with the same token that has not expired.
    SetTimer {
        /// Time until it expires.
        after: Micros,
        /// Token that the [`Event::Timer`] carries.
        token: u64,
    },
    /// Cancel a timer that is no longer needed. Its [`Event::Timer`] may still come, and is ignored.
    CancelTimer {
        /// The token that the timer was started with.
        token: u64,
    },
    /// Write a line to the operators' log.
    Log(String),
}
