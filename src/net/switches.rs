//! The connections to the carrier switches, on which messages are exchanged as JSON lines. Each switch has
//! one connection, which is kept open and shared by all calls. A second one is opened while the switch does
//! not respond on the first, and may replace it.
//!
//! The messages, by their verbs:
//! - `START`: set-up; its field `key` carries the called number.
//! - `STARTED`: answer.
//! - `FINISH`: release, sent by either side.
//! - `FINISHED`: acknowledgement of a release.
//! - `ECHO`: probe.
//! - `ECHOED`: result of a probe.
//! - `LOAD`: load report.
//! - `PENDING`: progress of a set-up; ignored on receipt.

use super::buffer_limit::{BufferedConnection, connections_over_limit};
use super::lines::{self, Message};
use super::link::{Connection, READ_CHUNK_BYTES, ReadStatus};
use super::pending_reads::PendingRead;
use super::{Gatekeeper, log};
use crate::call::{Release, SwitchConnectionId, Tag, TimerEvent, cause};
use crate::interface::{ExchangeNumber, Health, MILLISECOND, Micros, SECOND, SwitchId};
use crate::timers::TimerId;
use calloop::LoopHandle;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

mod directory;
mod identity;
mod list;
mod releases;
mod replaced;
mod replacement;

pub use directory::ListedSwitch;

use directory::{DirectoryChanges, SwitchDirectory};
use identity::{LostConnection, ProcessIdentity};
use releases::UnacknowledgedReleases;
use replaced::ReplacedConnection;
use replacement::{CandidateConnection, RESPONSE_TIMEOUT};

#[cfg(test)]
mod tests;

/// Delay before the next attempt to connect after a first failure. It doubles with each further failure. Also
/// the delay after malformed input.
const MIN_RECONNECT_DELAY: Micros = 100 * MILLISECOND;
/// Longest delay before the next attempt to connect.
const MAX_RECONNECT_DELAY: Micros = SECOND;
/// A switch to which no connection can be established for this long is taken to be down or cut off, and its
/// calls are released. A single refusal does not suffice: the switch may accept no more connections for now.
const UNREACHABLE_TIMEOUT: Micros = 2500 * MILLISECOND;
/// A switch that has calls and has sent nothing for this long is checked with a second connection. The old
/// connections of a machine that is down or cut off stay open and silent, but no new one can be established.
/// Also how long the gatekeeper, before it is ready, waits for the first message on an open connection.
const SILENCE_TIMEOUT: Micros = 1500 * MILLISECOND;
/// Interval between checks of an open connection.
const CHECK_INTERVAL: Micros = 50 * MILLISECOND;
/// No set-up is sent on an idle connection that its switch is expected to close within this time, or within a
/// quarter of the idle time-out if that is shorter.
const MAX_IDLE_CLOSE_MARGIN: Micros = SECOND;
/// The `result_code` of every probe (`ECHO`).
const PROBE_RESULT_CODE: u8 = 0;
/// The `result_code` of a probe's result (`ECHOED`) if the probe passed.
const PROBE_PASSED_RESULT_CODE: u8 = 1;

/// A connection to a switch, with the id by which call control knows it.
struct SwitchConnection {
    id: SwitchConnectionId,
    socket: Connection,
}

enum ConnectionState {
    /// There is no connection; the next attempt to connect is due at `reconnect_at`.
    Closed { reconnect_at: Micros },
    /// A connection is being established; the attempt to connect times out at `deadline`.
    Connecting { connection: SwitchConnection, deadline: Micros },
    /// A connection is established.
    Open(OpenConnection),
}

struct OpenConnection {
    connection: SwitchConnection,
    opened_at: Micros,
    /// When the connection was opened, a set-up was last sent, or a message other than a load report was last
    /// received. Messages received on a candidate or replaced connection count as well.
    last_used_at: Micros,
    /// When the first set-up was sent since a message was last received on this connection.
    awaiting_response_since: Option<Micros>,
    /// A message other than a load report has been received on this connection.
    has_responded: bool,
}

impl OpenConnection {
    fn new(connection: SwitchConnection, now: Micros) -> Self {
        OpenConnection {
            connection,
            opened_at: now,
            last_used_at: now,
            awaiting_response_since: None,
            has_responded: false,
        }
    }

    fn as_lost(&self) -> LostConnection {
        LostConnection { id: self.connection.id, opened_at: self.opened_at }
    }

    fn response_is_overdue(&self, now: Micros) -> bool {
        self.awaiting_response_since.is_some_and(|since| now >= since + RESPONSE_TIMEOUT)
    }
}

/// A set-up to be sent.
pub(super) struct SetUp {
    pub(super) tag: Tag,
    pub(super) message: Message,
    /// When the call's attempt at the switch times out.
    pub(super) deadline: Micros,
    /// The call may go to no other exchange.
    pub(super) bound_to_exchange: bool,
}

struct Switch {
    listed: ListedSwitch,
    state: ConnectionState,
    /// Set-ups that wait for a connection, or for the release of an earlier attempt to arrive.
    queued_set_ups: Vec<SetUp>,
    releases: UnacknowledgedReleases,
    /// Delay after the next failed attempt to connect.
    reconnect_delay: Micros,
    /// When a message was last received from the switch, or a connection to it established. While the
    /// switch has no calls, this is set to the time of each check, since no message is expected.
    silent_since: Micros,
    /// The timer of the next attempt to connect, its time-out or the next check of the open connection,
    /// whichever the state of the connection asks for.
    timer: Option<TimerId>,
    unreachable_since: Option<Micros>,
    identity: ProcessIdentity,
    /// Messages received on this connection are handled like those on the open one.
    candidate: Option<CandidateConnection>,
    /// The predecessor of the open connection.
    replaced: Option<ReplacedConnection>,
    /// The switch has sent a message (the first one is expected to be the load report for its group of
    /// circuits), could not be reached, or was silent for [`SILENCE_TIMEOUT`] on an open connection. Before
    /// that, a switch in service keeps the gatekeeper from being ready.
    initial_state_known: bool,
}

impl Switch {
    /// A switch that the list names since `now`, without a connection.
    fn new(listed: ListedSwitch, now: Micros) -> Self {
        Switch {
            listed,
            state: ConnectionState::Closed { reconnect_at: now },
            queued_set_ups: vec![],
            releases: UnacknowledgedReleases::default(),
            reconnect_delay: MIN_RECONNECT_DELAY,
            silent_since: now,
            timer: None,
            unreachable_since: None,
            identity: ProcessIdentity::default(),
            candidate: None,
            replaced: None,
            initial_state_known: false,
        }
    }

    fn has_address(&self) -> bool {
        self.listed.address.is_some()
    }
}

/// Limits on what the connections to switches hold.
#[derive(Clone, Copy, Debug)]
pub struct SwitchLimits {
    /// Bytes that wait to be sent to one switch.
    pub unsent_per_switch: usize,
    /// Bytes that wait to be sent to all switches together.
    pub total_unsent: usize,
    /// Releases that no switch has acknowledged yet.
    pub unacknowledged_releases: usize,
}

/// All carrier switches.
pub struct Switches {
    loop_handle: LoopHandle<'static, Gatekeeper>,
    connect_timeout: Micros,
    /// How long a connection may be idle before its switch closes it.
    idle_timeout: Micros,
    /// The gatekeeper's own exchange; there are no connections to its switches.
    own_exchange: ExchangeNumber,
    limits: SwitchLimits,
    /// The listed switches of other exchanges, without those that are [`Health::Gone`].
    by_id: BTreeMap<SwitchId, Switch>,
    directory: SwitchDirectory,
    last_connection_id: u64,
    /// Number of set-ups that were too long to be sent since the last log line about them.
    unlogged_oversized_set_ups: usize,
}

impl Switches {
    /// Creates the collection, which does not hold any switches yet.
    pub fn new(
        loop_handle: LoopHandle<'static, Gatekeeper>, connect_timeout: Micros, idle_timeout: Micros,
        own_exchange: ExchangeNumber, limits: SwitchLimits,
    ) -> Self {
        Switches {
            loop_handle,
            connect_timeout,
            idle_timeout,
            own_exchange,
            limits,
            by_id: BTreeMap::new(),
            directory: SwitchDirectory::default(),
            last_connection_id: 0,
            unlogged_oversized_set_ups: 0,
        }
    }

    /// Returns true if every switch in service that has an address has sent a message, could not be reached
    /// or was silent for `SILENCE_TIMEOUT` after a connection to it was established.
    pub fn all_initial_states_known(&self) -> bool {
        self.by_id.values().all(|switch| {
            switch.initial_state_known || !switch.has_address() || switch.listed.health != Health::InService
        })
    }

    /// Returns true if no output is waiting to be sent on an open connection.
    pub fn is_flushed(&self) -> bool {
        self.by_id.values().all(|switch| match &switch.state {
            ConnectionState::Open(open) => open.connection.socket.is_flushed(),
            _ => true,
        })
    }

    /// Writes one log line for all set-ups that were too long to be sent since the last one: a caller can send any
    /// number of them.
    pub fn log_oversized_set_ups(&mut self) {
        let count = std::mem::take(&mut self.unlogged_oversized_set_ups);
        if count > 0 {
            let limit = lines::MAX_MESSAGE_BYTES;
            log(&format!("{count} set-up(s) not sent to a switch: longer than the limit of {limit} bytes"));
        }
    }

    /// Starts to connect to a switch.
    fn start_connecting(&mut self, id: SwitchId, address: SocketAddr) -> io::Result<SwitchConnection> {
        let max_unsent_bytes = self.limits.unsent_per_switch;
        let socket = Connection::connect(&self.loop_handle, address, max_unsent_bytes, move |gatekeeper| {
            gatekeeper.handle_switch_readiness(id);
        })?;
        self.last_connection_id += 1;
        Ok(SwitchConnection { id: SwitchConnectionId(self.last_connection_id), socket })
    }

    /// Appends a message to the output of the open connection. Returns false if there is none or the message
    /// is too long.
    fn write_message(&mut self, id: SwitchId, message: &Message) -> bool {
        match self.by_id.get_mut(&id).map(|switch| &mut switch.state) {
            Some(ConnectionState::Open(open)) => message.encode(open.connection.socket.output_buffer()),
            _ => false,
        }
    }

    /// Sends a probe to a switch. It is not sent if there is no open connection.
    pub fn probe(&mut self, id: SwitchId, tag: Tag) {
        self.write_message(id, &probe_message(tag));
    }

    /// Sends the buffered output of the open connections. Returns the switches whose connections have failed.
    pub fn flush(&mut self) -> Vec<SwitchId> {
        let mut failed = Vec::new();
        for (id, switch) in &mut self.by_id {
            // A failure is noticed when the replaced connection is read.
            let _ = switch.replaced.as_mut().map(ReplacedConnection::flush);
            if let ConnectionState::Open(open) = &mut switch.state
                && let Err(error) = open.connection.socket.flush()
            {
                log(&format!("switch {}: the connection failed: {error}", switch.listed.name));
                failed.push(*id);
            }
        }
        for id in self.connections_over_buffer_limit() {
            if let Some(switch) = self.by_id.get(&id) {
                log(&format!(
                    "switch {}: it does not read, and most of the bytes that wait to be sent to switches are for it",
                    switch.listed.name
                ));
                failed.push(id);
            }
        }
        failed
    }

    /// The switches whose open connections are to be closed because all together hold more unsent bytes than
    /// the limit.
    fn connections_over_buffer_limit(&self) -> Vec<SwitchId> {
        let unsent_bytes = |switch: &Switch| match &switch.state {
            ConnectionState::Open(open) => open.connection.socket.buffered_bytes(),
            _ => 0,
        };
        let connections = self.by_id.iter().map(|(id, switch)| BufferedConnection {
            id: *id,
            rank: (),
            bytes: unsent_bytes(switch),
        });
        connections_over_limit(connections, self.limits.total_unsent)
    }
}

impl Gatekeeper {
    /// Sends a set-up, or queues it until the connection is established. The set-up fails at once if the
    /// switch is not listed or has no address, or if its call may go to no other exchange and the process at the
    /// address may be one of another.
    pub(super) fn send_set_up(&mut self, id: SwitchId, mut set_up: SetUp) {
        let now = self.clock.now();
        let tag = set_up.tag;
        let Some(switch) = self.switches.by_id.get_mut(&id).filter(|switch| switch.has_address()) else {
            return self.call_control.fail_unsent_set_ups(id, &[tag]);
        };
        if set_up.bound_to_exchange && !switch.identity.is_confirmed(now) {
            return self.call_control.refuse_unconfirmed_switch(id, tag);
        }
        if let ConnectionState::Open(open) = &switch.state
            && is_idle_close_imminent(now - open.last_used_at, self.switches.idle_timeout)
        {
            // The set-up would be lost if the switch closed the idle connection while the set-up is on its
            // way, so it is sent on a new connection.
            self.close_switch_connections_until(id, now);
        }
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        if let ConnectionState::Open(open) = &mut switch.state
            && !switch.releases.may_arrive_late(tag)
        {
            open.last_used_at = now;
            open.awaiting_response_since.get_or_insert(now);
            let output_buffer = open.connection.socket.output_buffer();
            if set_time_left(&mut set_up.message, set_up.deadline - now).encode(output_buffer) {
                self.call_control.handle_set_up_written(id, tag, open.connection.id);
                switch.releases.forget(tag);
            } else {
                self.switches.unlogged_oversized_set_ups += 1;
                self.call_control.fail_oversized_set_up(id, tag);
            }
            return;
        }
        switch.queued_set_ups.push(set_up);
        self.connect_switch(id);
    }

    /// Starts to connect to a switch, unless a connection is open or being established or the switch has no
    /// address.
    fn connect_switch(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let deadline = now + self.switches.connect_timeout;
        let Some(switch) = self.switches.by_id.get(&id) else { return };
        let ConnectionState::Closed { .. } = switch.state else { return };
        let Some(address) = switch.listed.address else { return };
        match self.switches.start_connecting(id, address) {
            Ok(connection) => {
                if let Some(switch) = self.switches.by_id.get_mut(&id) {
                    switch.state = ConnectionState::Connecting { connection, deadline };
                }
                self.set_switch_timer(id, deadline);
            }
            Err(error) => self.handle_connect_failure(id, &error.to_string()),
        }
    }

    /// An attempt to connect to a switch has failed.
    fn handle_connect_failure(&mut self, id: SwitchId, reason: &str) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        if switch.unreachable_since.is_none() {
            log(&format!("switch {} cannot be reached: {reason}", switch.listed.name));
        }
        switch.initial_state_known = true;
        switch.identity.interrupt(now, None);
        let unreachable_since = *switch.unreachable_since.get_or_insert(now);
        let reconnect_at = now + switch.reconnect_delay;
        switch.reconnect_delay = (switch.reconnect_delay * 2).min(MAX_RECONNECT_DELAY);
        self.close_switch_connections_until(id, reconnect_at);
        if now - unreachable_since >= UNREACHABLE_TIMEOUT {
            self.call_control.handle_switch_down(now, id, now);
        }
    }

    /// Closes all connections to a switch and ends all attempts there. The next attempt to connect is due at
    /// once.
    pub(super) fn close_switch_connections(&mut self, id: SwitchId) {
        let now = self.clock.now();
        self.close_switch_connections_until(id, now);
    }

    /// Closes all connections to a switch and ends the attempts whose set-ups were written to them or are
    /// queued. The next attempt to connect is due at `reconnect_at`. A connection that is open or being
    /// established is closed nowhere else.
    fn close_switch_connections_until(&mut self, id: SwitchId, reconnect_at: Micros) {
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        match std::mem::replace(&mut switch.state, ConnectionState::Closed { reconnect_at }) {
            ConnectionState::Open(OpenConnection { connection, .. })
            | ConnectionState::Connecting { connection, .. } => {
                switch.releases.make_pending(connection.id);
                if self.call_control.has_attempts_on(connection.id) {
                    connection.socket.abort(&self.switches.loop_handle);
                } else {
                    connection.socket.close(&self.switches.loop_handle);
                }
                self.call_control.handle_connection_lost(id, connection.id);
            }
            ConnectionState::Closed { .. } => {}
        }
        self.close_candidate_connection(id);
        self.lose_replaced_connection(id);
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let queued: Vec<Tag> = switch.queued_set_ups.drain(..).map(|set_up| set_up.tag).collect();
        self.call_control.fail_unsent_set_ups(id, &queued);
        self.set_switch_timer(id, reconnect_at);
    }

    /// Sets the timer of a switch's connection, in the place of the one that was set before.
    fn set_switch_timer(&mut self, id: SwitchId, deadline: Micros) {
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let timer = self.call_control.timers.push(deadline, TimerEvent::SwitchConnection(id));
        if let Some(earlier) = switch.timer.replace(timer) {
            self.call_control.timers.cancel(earlier);
        }
    }

    /// Handles an expired [`TimerEvent::SwitchConnection`].
    pub(super) fn handle_switch_connection_timer(&mut self, id: SwitchId) {
        let now = self.clock.now();
        match self.switches.by_id.get(&id).map(|switch| &switch.state) {
            Some(ConnectionState::Connecting { deadline, .. }) if *deadline <= now => {
                self.handle_connect_failure(id, "the attempt to connect timed out");
            }
            Some(ConnectionState::Closed { reconnect_at }) if *reconnect_at <= now => self.connect_switch(id),
            Some(ConnectionState::Open(_)) => self.check_open_connection(id),
            _ => {}
        }
    }

    /// A connection to a switch has become readable or writable, or has failed.
    pub(super) fn handle_switch_readiness(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        if let ConnectionState::Connecting { connection, .. } = &switch.state {
            match connection.socket.check_connected() {
                Ok(false) => return,
                Ok(true) => self.handle_connection_established(id),
                Err(error) => return self.handle_connect_failure(id, &error.to_string()),
            }
        }
        self.read_additional_connections(id);
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let ConnectionState::Open(open) = &mut switch.state else { return };
        let input = read_messages(&mut open.connection.socket);
        if !input.messages.is_empty() {
            open.awaiting_response_since = None;
        }
        open.has_responded |= input.messages.iter().any(|message| message.verb != "LOAD");
        let connection = open.connection.id;
        let name = switch.listed.name.clone();
        let mut messages = input.messages.into_iter();
        let result =
            messages.try_for_each(|message| self.handle_switch_message(now, id, connection, message));
        if let Err(error) = result.and(input.decode_result) {
            log(&format!("switch {name} sent {error}: its connection is closed"));
            return self.close_switch_connections_until(id, now + MIN_RECONNECT_DELAY);
        }
        match input.status {
            ReadStatus::WouldBlock => {}
            ReadStatus::MorePossible => self.pending_reads.push(PendingRead::Switch(id)),
            ReadStatus::EndOfStream | ReadStatus::Failed => {
                let closed_by_switch = input.status == ReadStatus::EndOfStream;
                let outcome = if closed_by_switch { "was closed by the switch" } else { "failed" };
                log(&format!("switch {name}: the connection {outcome}"));
                self.lose_open_connection(id, closed_by_switch);
            }
        }
    }

    /// The open connection has ended or failed: closes all connections to the switch. The process has died unless
    /// it has only closed a connection that was idle for long.
    pub(super) fn lose_open_connection(&mut self, id: SwitchId, closed_by_switch: bool) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        if let ConnectionState::Open(open) = &switch.state {
            let was_idle = is_idle_close_imminent(now - open.last_used_at, self.switches.idle_timeout);
            if !(closed_by_switch && was_idle) {
                switch.identity.interrupt(now, Some(open.as_lost()));
            }
        }
        self.close_switch_connections_until(id, now);
    }

    /// A connection to a switch has been established: sends the pending releases and the queued set-ups.
    fn handle_connection_established(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        switch.reconnect_delay = MIN_RECONNECT_DELAY;
        switch.unreachable_since = None;
        switch.silent_since = now;
        let state = std::mem::replace(&mut switch.state, ConnectionState::Closed { reconnect_at: now });
        if let ConnectionState::Connecting { connection, .. } = state {
            switch.state = ConnectionState::Open(OpenConnection::new(connection, now));
            switch.identity.connect(now);
        }
        let pending_releases = switch.releases.take_pending();
        self.set_switch_timer(id, now + CHECK_INTERVAL);
        for tag in pending_releases {
            self.switches.repeat_release(now, id, tag);
        }
        self.send_queued_set_ups(id);
    }

    /// Sends the queued set-ups, but for those that still have to wait.
    fn send_queued_set_ups(&mut self, id: SwitchId) {
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        for set_up in std::mem::take(&mut switch.queued_set_ups) {
            self.send_set_up(id, set_up);
        }
    }

    /// A switch has released a call. If the call was set up on an earlier connection, the process is the same as
    /// then.
    fn compare_processes(&mut self, id: SwitchId, received_on: SwitchConnectionId, tag: Tag) {
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let answered_on = self.call_control.answered_call_connection(id, tag);
        if let Some(set_up_on) = answered_on {
            switch.identity.record_release(tag, set_up_on);
        }
        let Some(set_up_on) = answered_on.or(switch.identity.connection_of_released(tag)) else { return };
        switch.identity.confirm_by(set_up_on);
        if let Some(candidate) = &mut switch.candidate {
            candidate.compare_process(received_on, set_up_on);
        }
    }

    /// Handles a message from a switch, received on any of its connections.
    ///
    /// # Errors
    /// Describes what is malformed.
    fn handle_switch_message(
        &mut self, now: Micros, id: SwitchId, connection: SwitchConnectionId, message: Message,
    ) -> Result<(), &'static str> {
        if let Some(switch) = self.switches.by_id.get_mut(&id) {
            switch.initial_state_known = true;
            switch.silent_since = now;
            switch.identity.confirm_by(connection);
        }
        if message.verb == "LOAD" {
            self.call_control.handle_load_report(id, message.load_report());
            return Ok(());
        }
        let tag = message.parse_tag().ok_or("a message without a valid tag")?;
        if let Some(ConnectionState::Open(open)) = self.switches.by_id.get_mut(&id).map(|s| &mut s.state) {
            open.last_used_at = now;
        }
        if matches!(message.verb.as_str(), "FINISH" | "FINISHED")
            && let Some(switch) = self.switches.by_id.get_mut(&id)
        {
            switch.releases.forget(tag);
            if message.verb == "FINISHED" {
                switch.releases.acknowledge(tag, connection);
            }
        }
        match message.verb.as_str() {
            "STARTED" => {
                self.call_control.handle_answer(now, id, connection, tag, message.session_description);
            }
            "FINISH" => {
                self.compare_processes(id, connection, tag);
                let reason = message.release_reason();
                let report = message.load_report();
                let cause = message.result_code.ok_or("a release without a cause")?;
                let release = Release { cause, reason, report };
                self.call_control.handle_switch_release(now, id, connection, tag, release);
                self.switches.write_message(id, &Message::new("FINISHED", tag));
            }
            "ECHOED" => {
                let passed = message.result_code == Some(PROBE_PASSED_RESULT_CODE);
                self.call_control.handle_probe_result(now, tag, passed, message.load_report());
            }
            // `PENDING`, `FINISHED` and unknown verbs need no action.
            _ => {}
        }
        Ok(())
    }
}

/// What was read from a connection at one time.
struct Input {
    messages: Vec<Message>,
    /// The decoder's error if malformed input follows the messages.
    decode_result: Result<(), &'static str>,
    status: ReadStatus,
}

fn read_messages(connection: &mut Connection) -> Input {
    let status = connection.read(READ_CHUNK_BYTES);
    let (messages, decode_result) = connection.decode_messages(lines::decode);
    Input { messages, decode_result, status }
}

/// Returns true if a connection that has been idle for `idle_time` may be closed by its switch before a
/// set-up sent now arrives there.
fn is_idle_close_imminent(idle_time: Micros, idle_timeout: Micros) -> bool {
    let margin = (idle_timeout / 4).min(MAX_IDLE_CLOSE_MARGIN);
    idle_time >= idle_timeout - margin
}

fn probe_message(tag: Tag) -> Message {
    Message { result_code: Some(PROBE_RESULT_CODE), ..Message::new("ECHO", tag) }
}

/// Creates the release of an attempt or of an answered call.
fn release_message(tag: Tag) -> Message {
    Message { result_code: Some(cause::NORMAL_CLEARING), ..Message::new("FINISH", tag) }
}

/// Sets the time left until the attempt times out, in whole milliseconds and at least 1.
fn set_time_left(message: &mut Message, time_left: Micros) -> &Message {
    message.fields.insert("left".into(), (time_left / MILLISECOND).max(1).to_string().into());
    message
}

/// Creates a set-up, without the time left, which is added when it is sent.
pub fn set_up_message(
    tag: Tag, class: String, called_number: String, session_description: Option<String>,
) -> Message {
    let mut message = Message { session_description, ..Message::new("START", tag) };
    message.fields.insert("class".into(), class.into());
    message.fields.insert("key".into(), called_number.into());
    message
}
