//! What protocol code passes to call control, and what call control asks of it.

use crate::interface::{CallId, EndReason, ExchangeNumber, LoadReport, Micros, SwitchId};

/// Release causes of ITU-T Q.850, used by both the callers' and the switches' protocol.
pub mod cause {
    /// Normal call clearing.
    pub const NORMAL_CLEARING: u8 = 16;
    /// User busy.
    pub const USER_BUSY: u8 = 17;
    /// No circuit available.
    pub const NO_CIRCUIT: u8 = 34;
    /// Temporary failure of a switch or of a connection to it.
    pub const TEMPORARY_FAILURE: u8 = 41;
    /// Switching equipment congestion.
    pub const CONGESTION: u8 = 42;
    /// Resource unavailable, unspecified.
    pub const RESOURCE_UNAVAILABLE: u8 = 47;
    /// Invalid information element contents.
    pub const INVALID_CONTENTS: u8 = 100;
    /// Recovery on timer expiry.
    pub const TIMER_EXPIRY: u8 = 102;
}

/// Identifies a caller's connection, whichever protocol it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies a connection to a switch. Ids are not used again; a later connection has a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SwitchConnectionId(pub u64);

/// A caller, as call control knows it.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Its connection.
    pub connection: ConnectionId,
    /// A call that was set up on this connection has been answered.
    pub is_trusted: bool,
}

/// The id of a call, a probe or a health check on the wire; a call has the same one towards its caller and
/// its switch. The controller has call ids of its own, and only [`CallControl`] translates between the two.
pub type Tag = u64;

/// Limits on the values in set-ups and on the memory that calls may take.
#[derive(Clone, Debug)]
pub struct CallLimits {
    /// Most calls in the call table.
    pub max_calls: usize,
    /// Most bytes of session descriptions that unanswered calls may hold in total.
    pub max_description_bytes: usize,
    /// Longest `caller_timeout` that a set-up may state.
    pub max_caller_timeout: Micros,
    /// The circuits that a call takes, by class index. A call of a class without an entry may take any number
    /// above 0, up to `MAX_CIRCUITS`.
    pub circuits_by_class: Vec<f64>,
}

/// Why a set-up was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpError {
    /// Its class is unknown or one of its values is out of range.
    Invalid,
    /// Its tag is that of another call in the call table.
    TagInUse,
}

/// A set-up as a caller sent it.
#[derive(Clone, Debug, Default)]
pub struct SetUp {
    /// The tag of the call.
    pub tag: Tag,
    /// The name of the class of call.
    pub class: String,
    /// The called number.
    pub called_number: String,
    /// How long the caller waits for an answer.
    pub caller_timeout: Micros,
    /// The caller has tried before.
    pub redial: bool,
    /// The number of the destination exchange.
    pub destination: ExchangeNumber,
    /// How many circuits the call takes.
    pub circuits: f64,
    /// A tandem that is advised for the call; for a transit call the exchange that passed it on; -1 if there
    /// is none.
    pub via_exchange: ExchangeNumber,
    /// The call is passed on by another gatekeeper.
    pub transit: bool,
    /// The session description, which is passed on unchanged.
    pub session_description: Option<String>,
}

/// A release that a switch sent, of an attempt or of an answered call.
#[derive(Clone, Debug)]
pub struct Release {
    /// The Q.850 cause (see [`cause`]).
    pub cause: u8,
    /// The reason that the switch gives beyond the cause.
    pub reason: EndReason,
    /// The load report that came with it.
    pub report: LoadReport,
}

/// An attempt that was released before the switch had answered or ended it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WithdrawnAttempt {
    /// The switch.
    pub switch: SwitchId,
    /// The connection that the set-up was written to; `None` if it was still waiting for one.
    pub connection: Option<SwitchConnectionId>,
}

/// What becomes of a call after an attempt was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterWithdrawal {
    /// It may be sent again after the release wait.
    MayBeSentAgain,
    /// It has ended.
    Ended,
    /// It is a transit call and has ended here. The gatekeeper that has passed it on may send it elsewhere at
    /// once.
    TransitEnded,
}

/// A message to send or a line to log. Commands are carried out in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a set-up to a switch.
    SetUp {
        /// The switch.
        switch: SwitchId,
        /// The call.
        tag: Tag,
        /// The name of its class.
        class: String,
        /// The called number.
        called_number: String,
        /// When the attempt times out.
        deadline: Micros,
        /// The caller's session description.
        session_description: Option<String>,
        /// Earlier attempts of the call. They must be over before the set-up is sent.
        withdrawn: Vec<WithdrawnAttempt>,
        /// The call may go to no other exchange.
        bound_to_exchange: bool,
    },
    /// Release an answered call at a switch, or a call that may have been answered there.
    ReleaseAtSwitch {
        /// The switch.
        switch: SwitchId,
        /// The call.
        tag: Tag,
    },
    /// Release an attempt that was in progress at a switch.
    WithdrawAttempt {
        /// The call.
        tag: Tag,
        /// Its attempt.
        attempt: WithdrawnAttempt,
        /// What becomes of the call.
        next: AfterWithdrawal,
    },
    /// Release a call at all switches. It was set up before this program started, at an unknown switch.
    ReleaseAtAllSwitches(Tag),
    /// Send a probe to a switch.
    Probe {
        /// The switch.
        switch: SwitchId,
        /// The tag of the probe.
        tag: Tag,
    },
    /// Tell a caller that its call is answered.
    Answer {
        /// The caller's connection.
        connection: ConnectionId,
        /// The call.
        tag: Tag,
        /// The switch's session description.
        session_description: Option<String>,
    },
    /// Reject a caller's set-up.
    Reject {
        /// The caller's connection.
        connection: ConnectionId,
        /// The call.
        tag: Tag,
        /// [`cause::CONGESTION`] if a redial does no harm, otherwise [`cause::TEMPORARY_FAILURE`].
        cause: u8,
        /// How long the caller should wait before a redial; 0 if it is not told.
        back_off: Micros,
    },
    /// Release an answered call towards its caller.
    ReleaseToCaller {
        /// The connection of its set-up; `None` if it was set up before this program started.
        connection: Option<ConnectionId>,
        /// The call.
        tag: Tag,
        /// The Q.850 cause.
        cause: u8,
    },
    /// Write a line to the log.
    Log(String),
}

/// What is due when a timer in [`CallControl::timers`] expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer that the controller asked for.
    ControllerTimer {
        /// The token that the controller gave.
        token: u64,
    },
    /// The time-out of an attempt.
    AttemptTimeout {
        /// The call.
        call: CallId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The time-out of a probe.
    ProbeTimeout(Tag),
    /// A time-out, reconnection or check of the connection to a switch.
    SwitchConnection(SwitchId),
    /// A time-out or reconnection of the control feed.
    ControlFeed,
    /// The periodic check of the callers' connections.
    CallerMaintenance,
    /// The end of the wait before more is read of a caller that has finished sending.
    CallerInput(ConnectionId),
    /// A stage of the shutdown.
    Shutdown,
}
