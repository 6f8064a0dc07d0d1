//! What goes into the module and what comes out of it: settings, events and actions. Nothing here decides.

/// Time or a span of time, in microseconds.
pub type Micros = i64;

/// A call, as its call agent numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// An exchange's processor. A machine that replaces another has a new id at the same [`Number`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// Number of an exchange or pool in the numbering plan; -1 is 'none'.
pub type Number = i64;

/// How far apart repeats of a call of this class must be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be repeated and refused freely.
    Pure,
    /// Repeats are thrown away within a group of exchanges.
    Token,
    /// May be repeated only when every earlier attempt is known not to have run.
    SideEffect,
}

/// Which exchanges throw away repeats of a [`Repeat::Token`] call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those in one zone.
    Zone,
    /// Those with one number.
    Cell,
}

/// A class of call.
#[derive(Clone, Debug)]
pub struct Class {
    /// Set up within this time it earns its full worth.
    pub aim: Micros,
    /// Worth of a call that stands to its end.
    pub worth: f64,
    /// Share of the worth when it is set up later than the aim.
    pub late_worth: f64,
    /// How it may be repeated.
    pub repeat: Repeat,
    /// For `Token`: who throws repeats away.
    pub group: Group,
    /// For `Token`: for how long.
    pub repeat_window: Micros,
    /// For pools: the pools it may go to; empty means any.
    pub skilled: Vec<Number>,
}

/// A tenant and its agreed traffic.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Calls a second within its share, over all call agents.
    pub quota_per_s: f64,
}

/// What the deployment tells the module at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of the own exchange; -1 where there is none (pools).
    pub here: Number,
    /// How many call agents there are.
    pub agents: u32,
    /// Exchanges are pools of agents shared by all; no call is in transit.
    pub pools: bool,
    /// Changes to the list must be asked for.
    pub must_subscribe: bool,
    /// With `must_subscribe`: a list older than this counts as known.
    pub ask_within: Micros,
    /// Classes of call, in the order that events name them.
    pub classes: Vec<Class>,
    /// Tenants, in the order that events name them.
    pub tenants: Vec<Tenant>,
    /// Worth of a call beyond its tenant's share, as a share of the class's.
    pub over_share_worth: f64,
    /// A doubtful attempt must have been over for this long before the next.
    pub release: Micros,
    /// A waiting set-up is repeated after this; 0 is never.
    pub resend: Micros,
    /// Shortest gap between two batches of events.
    pub step: Micros,
    /// Most attempts for a call.
    pub most_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Exchanges may be probed.
    pub may_probe: bool,
    /// Price of a probe for each first try.
    pub probe_price: f64,
    /// Callers are told how long to stay away.
    pub may_back_off: bool,
    /// Longest back-off that callers follow.
    pub longest_back_off: Micros,
    /// Nothing new to a draining exchange after this.
    pub drain_grace: Micros,
    /// A cold exchange starts at this share of its capacity.
    pub cold_from: f64,
    /// And is warm after this long.
    pub warm_within: Micros,
    /// Work beyond this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... for this long pushes a cold exchange over.
    pub fall: Micros,
    /// Far processors report their load.
    pub far_reports: bool,
}

/// State of an exchange in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Runs and takes calls.
    InService,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of a list of exchanges.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Which processor.
    pub exchange: ExchangeId,
    /// Its zone, as an index.
    pub zone: u32,
    /// Its number.
    pub number: Number,
    /// Its state.
    pub health: Health,
    /// When it last started, if that is known.
    pub up_since: Option<Micros>,
}

/// What a list event holds.
#[derive(Clone, Debug)]
pub enum List {
    /// The whole list; it replaces what was known.
    Full(Vec<Listed>),
    /// Changed lines only.
    Change(Vec<Listed>),
    /// A question to discovery failed or the subscription broke.
    Failed,
}

/// A report on the group toward an exchange and on its processor; values that did not come are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free circuits of the own group (or free agents of the pool).
    pub free: Option<f64>,
    /// Size of that group.
    pub size: Option<f64>,
    /// Messages in work at the processor.
    pub active: Option<f64>,
    /// Messages waiting there.
    pub waiting: Option<f64>,
    /// Share of it that is busy.
    pub busy: Option<f64>,
    /// The wait at it, in microseconds.
    pub wait: Option<f64>,
    /// Set-ups a second it can take from all senders together.
    pub can_take: Option<f64>,
    /// Share of set-ups that it asks each sender to hold back.
    pub hold_back: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call stood and has ended.
    Ended,
    /// All lines of the number are busy, or a fault in signalling.
    Error,
    /// Turned back, or a processor or pool was full.
    Full,
    /// No answer in time.
    TimedOut,
    /// Could not be reached.
    Unreachable,
    /// The set-up or the standing call was cut.
    Reset,
    /// Cancelled or released by the caller.
    Cancelled,
    /// Never left.
    NotSent,
}

/// Why it ended so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Nothing is known.
    None,
    /// No circuit or agent was free.
    NoCircuit,
    /// The tandem turned it back.
    TurnedBack,
    /// The processor beyond the tandem was full.
    FullBeyond,
    /// The far processor was full (with `NotSent`: the own one is down); the wait it names, or 0.
    ProcessorFull(Micros),
    /// No line of the number is free.
    NumberBusy,
}

/// A call handed to the module.
#[derive(Clone, Debug)]
pub struct NewCall {
    /// Its id.
    pub id: CallId,
    /// Its class, as an index.
    pub class: usize,
    /// Its tenant, as an index.
    pub tenant: Option<usize>,
    /// The subscriber's number that was called.
    pub called: String,
    /// When the caller gives up.
    pub give_up_at: Micros,
    /// The exchange it is for.
    pub destination: Number,
    /// Its width in circuits.
    pub width: f64,
    /// The tandem that the centre advises; in transit, where it came from; -1 if none.
    pub via: Number,
    /// The caller is known to be trying again.
    pub redial: bool,
    /// Another call agent passes it on.
    pub transit: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct End {
    /// The call.
    pub call: CallId,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// Where it went.
    pub exchange: ExchangeId,
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub cause: Cause,
    /// Nothing more is owed for the call.
    pub closed: bool,
    /// What the exchange reports.
    pub report: Report,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list.
    List(List),
    /// A call to decide on.
    Call(NewCall),
    /// A call stands.
    Standing {
        /// The call.
        call: CallId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// How long the set-up took.
        took: Micros,
    },
    /// An attempt ended.
    Ended(End),
    /// The caller has gone; nothing is owed.
    CallerGone(CallId),
    /// A timer of the module's is due.
    Timer(u64),
    /// A probe has ended, or (not asked for) a group has changed.
    Probed {
        /// The exchange.
        exchange: ExchangeId,
        /// It answered.
        answered: bool,
        /// How long it took; 0 when it was not asked for.
        took: Micros,
        /// What it reports.
        report: Report,
    },
    /// A message from another call agent.
    Peer {
        /// Its number among the agents.
        from: u32,
        /// What it sent.
        data: Vec<u8>,
    },
}

/// What is to be done, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up.
    Send {
        /// The call.
        call: CallId,
        /// To the exchange of its destination, or through this one as tandem.
        exchange: ExchangeId,
        /// The attempt's time-out.
        timeout: Micros,
    },
    /// Final answer: turned away.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should stay away; 0 says nothing.
        back_off: Micros,
    },
    /// Final answer: failed.
    Fail(CallId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
    },
    /// Probe an exchange.
    Probe(ExchangeId),
    /// Ask for changes to the list from now on.
    Subscribe,
    /// Wake the module.
    Timer {
        /// After this long.
        after: Micros,
        /// With this token.
        token: u64,
    },
    /// A line for the operators' log.
    Log(String),
}
