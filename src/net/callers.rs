//! The callers' side of the network: the listening socket and the connections of callers, which speak the
//! binary protocol.

use super::binary::{Message, message_type, parameter_code};
use super::buffer_limit::{BufferedConnection, connections_over_limit};
use super::link::Connection;
use super::pending_reads::{PendingRead, PendingReads};
use super::{Gatekeeper, log};
use crate::call::{CallControl, Caller, ConnectionId, SetUpError, Tag, TimerEvent, cause};
use crate::interface::{MILLISECOND, Micros, SECOND};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

mod connection;
mod reading;
mod set_up;

use connection::{CallerConnection, CallerState, TrustLevel};
use set_up::parse_set_up;

#[cfg(test)]
mod tests;

/// Most connections that are accepted in one iteration of the event loop. In a flood of connections, those
/// already accepted are read, and the unused ones recognised, before more are accepted.
const MAX_ACCEPTS_PER_ITERATION: usize = 16;
/// Time between two checks of the callers' connections.
const MAINTENANCE_INTERVAL: Micros = 250 * MILLISECOND;
/// A connection at [`TrustLevel::Unknown`] is closed after this time without activity, and any connection if
/// the rest of a message is still missing this long after its first part.
const RECEIVE_TIMEOUT: Micros = 2 * SECOND;
/// A connection at a higher trust level is closed after this time without activity, unless it has an
/// unanswered call. Callers close their idle connections after 4 s.
const IDLE_TIMEOUT: Micros = 5 * SECOND;
/// A release that has waited this long for a connection at [`TrustLevel::ValidMessage`] or higher is sent on
/// any connection.
const RELEASE_FALLBACK_DELAY: Micros = 500 * MILLISECOND;
/// A connection is closed when it has sent this many set-ups that are invalid or have a tag that is in use.
const SET_UP_ERROR_LIMIT: u32 = 16;
/// Most unanswered calls on a connection on which no call has been answered yet; further set-ups are
/// rejected. Only a caller that sends without reading the replies exceeds the limit.
const MAX_UNANSWERED_BEFORE_FIRST_ANSWER: usize = 128;
/// Most health checks of a connection that wait until the gatekeeper is ready.
const MAX_PENDING_HEALTH_CHECKS_PER_CONNECTION: usize = 8;
/// The connections that are at an end after output was sent.
#[derive(Default)]
struct EndedConnections {
    /// Those to be closed, with the reason if it is to be logged: they do not read, or all that was to be sent on a
    /// half-closed one has been sent.
    to_close: Vec<(ConnectionId, Option<String>)>,
    /// Those that have failed, with the reason.
    left: Vec<(ConnectionId, String)>,
}

/// A health check that has not been answered.
struct HealthCheck {
    connection_id: ConnectionId,
    tag: Tag,
}

/// A release that waits for a connection to send it on.
#[derive(Clone, Copy)]
struct PendingRelease {
    tag: Tag,
    cause: u8,
    waiting_since: Micros,
}

/// Limits on the bytes that the connections of callers hold.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// Unsent bytes of each connection.
    pub unsent_per_connection: usize,
    /// Unsent bytes and incomplete messages of all connections together.
    pub total: usize,
}

/// All connections from callers.
pub struct Callers {
    loop_handle: LoopHandle<'static, Gatekeeper>,
    max_connections: usize,
    limits: BufferLimits,
    connections: BTreeMap<ConnectionId, CallerConnection>,
    last_connection_id: u64,
    /// Health checks that have not been answered; they wait until the gatekeeper is ready.
    pending_health_checks: Vec<HealthCheck>,
    max_pending_releases: usize,
    /// Releases for which there was no suitable connection, oldest first.
    pending_releases: VecDeque<PendingRelease>,
    /// Number of connections closed with a reason since the last log line about them.
    unlogged_closes: usize,
    /// The reason for the last of these.
    last_close_reason: String,
}

impl Callers {
    /// Listens on an address. At most `max_connections` are open at the same time, and at most
    /// `max_pending_releases` releases wait for one; further ones are dropped.
    pub fn listen(
        loop_handle: LoopHandle<'static, Gatekeeper>, address: SocketAddr, max_connections: usize,
        limits: BufferLimits, max_pending_releases: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        log(&format!("listening on {}", listener.local_addr()?));
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let _: RegistrationToken = loop_handle
            .insert_source(source, |_, listener, gatekeeper| {
                gatekeeper.accept_callers(listener);
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Callers {
            loop_handle,
            max_connections,
            limits,
            connections: BTreeMap::new(),
            last_connection_id: 0,
            pending_health_checks: vec![],
            max_pending_releases,
            pending_releases: VecDeque::new(),
            unlogged_closes: 0,
            last_close_reason: String::new(),
        })
    }

    fn add_connection(&mut self, now: Micros, stream: TcpStream) {
        self.last_connection_id += 1;
        let id = ConnectionId(self.last_connection_id);
        let callback = move |gatekeeper: &mut Gatekeeper| gatekeeper.handle_caller_readiness(id);
        match Connection::new(&self.loop_handle, stream, self.limits.unsent_per_connection, callback) {
            Ok(connection) => {
                let caller = CallerConnection::new(connection, now);
                self.connections.insert(id, caller);
            }
            Err(error) => {
                log(&format!(
                    "a caller's connection is closed: its socket cannot be prepared for use: {error}"
                ));
            }
        }
    }

    /// The connection to close in favour of a new one: of those without an unanswered call and with the
    /// lowest trust level, the one that has been inactive for longest.
    fn eviction_candidate(&self, call_control: &CallControl) -> Option<ConnectionId> {
        let has_no_unanswered_call = |id: ConnectionId| call_control.unanswered_count_of(id) == 0;
        let evictable = self.connections.iter().filter(|(id, _)| has_no_unanswered_call(**id));
        evictable.min_by_key(|(_, caller)| (caller.trust, caller.last_active_at)).map(|(id, _)| *id)
    }

    /// The connections to close because a time-out has expired, and the reasons. A connection whose input
    /// waits to be read is not late.
    fn timed_out_connections(
        &self, now: Micros, call_control: &CallControl, pending_reads: &PendingReads,
    ) -> Vec<(ConnectionId, &'static str)> {
        let timed_out = |(id, caller): (&ConnectionId, &CallerConnection)| {
            let inactivity_timeout =
                if caller.trust == TrustLevel::Unknown { RECEIVE_TIMEOUT } else { IDLE_TIMEOUT };
            if caller.incomplete_since.is_some_and(|since| now >= since + RECEIVE_TIMEOUT) {
                Some((*id, "the rest of a message did not arrive in time"))
            } else if call_control.unanswered_count_of(*id) == 0
                && now >= caller.last_active_at + inactivity_timeout
            {
                Some((*id, "no valid message arrived in time"))
            } else {
                None
            }
        };
        let is_read = |id: ConnectionId| !pending_reads.contains(PendingRead::Caller(id));
        self.connections.iter().filter(|(id, _)| is_read(**id)).filter_map(timed_out).collect()
    }

    /// Records activity on a connection and raises its trust level to `trust`, if that is higher.
    fn record_activity(&mut self, now: Micros, id: ConnectionId, trust: TrustLevel) {
        if let Some(caller) = self.connections.get_mut(&id) {
            caller.last_active_at = now;
            caller.trust = caller.trust.max(trust);
        }
    }

    /// Appends a message to the output buffer of a connection, if it is still open.
    fn write_message(&mut self, id: ConnectionId, message: &Message) {
        if let Some(caller) = self.connections.get_mut(&id)
            && !message.encode(caller.connection.output_buffer())
        {
            log(&format!(
                "message of type {} with tag {:016x} is not sent to its caller: it exceeds the size limit",
                message.message_type, message.tag
            ));
        }
    }

    /// Tells a caller that its call is answered.
    pub fn answer(&mut self, now: Micros, id: ConnectionId, tag: Tag, session_description: Option<String>) {
        let answer = Message::new(message_type::ANSWER, tag);
        let answer = match session_description {
            Some(session_description) => {
                answer.with_parameter(parameter_code::SESSION_DESCRIPTION, session_description)
            }
            None => answer,
        };
        self.write_message(id, &answer);
        self.record_activity(now, id, TrustLevel::AnsweredCall);
    }

    /// Rejects a caller's set-up, and tells it for how long to back off unless `back_off` is 0.
    pub fn reject(&mut self, id: ConnectionId, tag: Tag, cause: u8, back_off: Micros) {
        let mut reject =
            Message::new(message_type::RELEASE, tag).with_parameter(parameter_code::CAUSE, [cause]);
        if back_off > 0 {
            let back_off_ms = (back_off / MILLISECOND).max(1);
            reject = reject.with_parameter(parameter_code::BACK_OFF, back_off_ms.to_string());
        }
        self.write_message(id, &reject);
    }

    /// Releases an answered call towards its caller: on the connection of its set-up if that is open and not
    /// half-closed, otherwise on another one at `TrustLevel::ValidMessage` or higher, otherwise as soon as
    /// there is a suitable connection.
    pub fn release(&mut self, now: Micros, id: Option<ConnectionId>, tag: Tag, cause: u8) {
        let is_fully_open =
            |id: &ConnectionId| self.connections.get(id).is_some_and(CallerConnection::is_connected);
        match id.filter(is_fully_open).or_else(|| self.best_connection(TrustLevel::ValidMessage)) {
            Some(id) => self.send_release(id, tag, cause),
            None if self.pending_releases.len() < self.max_pending_releases => {
                self.pending_releases.push_back(PendingRelease { tag, cause, waiting_since: now });
            }
            None => log(&format!(
                "release of call {tag:016x} dropped: {} wait for a caller to connect",
                self.max_pending_releases
            )),
        }
    }

    fn send_release(&mut self, id: ConnectionId, tag: Tag, cause: u8) {
        self.write_message(
            id,
            &Message::new(message_type::RELEASE, tag).with_parameter(parameter_code::CAUSE, [cause]),
        );
    }

    /// The connection that is most likely to have a working caller at its other end: of those that are not
    /// half-closed, the one with the highest trust level, at least `min_trust`. If several have this level,
    /// the one of them that was active last.
    fn best_connection(&self, min_trust: TrustLevel) -> Option<ConnectionId> {
        let suitable =
            self.connections.iter().filter(|(_, caller)| caller.is_connected() && caller.trust >= min_trust);
        suitable.max_by_key(|(_, caller)| (caller.trust, caller.last_active_at)).map(|(id, _)| *id)
    }

    /// Sends the pending releases, oldest first, until there is no suitable connection for one.
    fn send_pending_releases(&mut self, now: Micros) {
        while let Some(release) = self.pending_releases.front().copied() {
            let min_trust = if now >= release.waiting_since + RELEASE_FALLBACK_DELAY {
                TrustLevel::Unknown
            } else {
                TrustLevel::ValidMessage
            };
            let Some(id) = self.best_connection(min_trust) else { break };
            self.send_release(id, release.tag, release.cause);
            self.pending_releases.pop_front();
        }
    }

    /// Adds a health check, which waits until the gatekeeper is ready. A connection that has sent too many
    /// gets no answer to further ones, so that those of the others are answered.
    fn add_health_check(&mut self, id: ConnectionId, tag: Tag) {
        let from_same = self.pending_health_checks.iter().filter(|check| check.connection_id == id);
        if from_same.count() < MAX_PENDING_HEALTH_CHECKS_PER_CONNECTION {
            self.pending_health_checks.push(HealthCheck { connection_id: id, tag });
        }
    }

    /// Answers all pending health checks with the same result.
    pub fn answer_health_checks(&mut self, passed: bool) {
        for check in std::mem::take(&mut self.pending_health_checks) {
            self.write_message(
                check.connection_id,
                &Message::new(message_type::HEALTH_CHECK_RESULT, check.tag)
                    .with_parameter(parameter_code::CAUSE, [u8::from(passed)]),
            );
        }
    }

    /// Returns true if a health check has not been answered.
    pub fn has_pending_health_checks(&self) -> bool {
        !self.pending_health_checks.is_empty()
    }

    fn record_unlogged_close(&mut self, reason: &str) {
        self.last_close_reason = reason.to_string();
        self.unlogged_closes += 1;
    }

    /// Returns true if no output is waiting to be sent on any connection.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(|caller| caller.connection.is_flushed())
    }

    /// Sends as much output as the sockets accept. Returns the connections that are at an end.
    fn flush(&mut self, has_unanswered_call: impl Fn(ConnectionId) -> bool) -> EndedConnections {
        let mut ended = EndedConnections::default();
        for (id, caller) in &mut self.connections {
            if caller.state == CallerState::Left {
                caller.connection.discard_output();
                continue;
            }
            let is_half_closed = caller.state == CallerState::HalfClosed;
            match caller.connection.flush() {
                Err(error) if caller.connection.has_failed() => ended.left.push((*id, error.to_string())),
                Err(error) => ended.to_close.push((*id, Some(error.to_string()))),
                Ok(()) if is_half_closed && caller.connection.is_flushed() && !has_unanswered_call(*id) => {
                    ended.to_close.push((*id, None));
                }
                Ok(()) => {}
            }
        }
        ended
    }

    /// The connections to close because all together hold more bytes than the limit: those that hold the
    /// most, of those with the lowest trust level.
    pub fn connections_over_buffer_limit(&self) -> Vec<ConnectionId> {
        let connections = self.connections.iter().map(|(id, caller)| BufferedConnection {
            id: *id,
            rank: caller.trust,
            bytes: caller.connection.buffered_bytes(),
        });
        connections_over_limit(connections, self.limits.total)
    }

    /// Sends the pending output of a connection and removes it. All connections are removed here, so that
    /// their registration and their pending health checks are always removed with them.
    fn close(&mut self, id: ConnectionId) {
        if let Some(mut caller) = self.connections.remove(&id) {
            // Output that the socket does not accept now is lost, as the connection is closed in any case.
            let _ = caller.connection.flush();
            caller.connection.close(&self.loop_handle);
            self.pending_health_checks.retain(|check| check.connection_id != id);
        }
    }
}

impl Gatekeeper {
    fn accept_callers(&mut self, listener: &TcpListener) {
        let now = self.clock.now();
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            match listener.accept() {
                Ok((stream, _)) => {
                    if self.callers.connections.len() >= self.callers.max_connections {
                        // Bounds the file descriptors in use. If the listener stopped accepting instead,
                        // connections that are open but unused would keep callers out.
                        match self.callers.eviction_candidate(&self.call_control) {
                            Some(id) => {
                                let reason = format!(
                                    "a new one came at the limit of {}, which follows from limits.sockets",
                                    self.callers.max_connections
                                );
                                self.close_caller_connection_with_reason(id, &reason);
                            }
                            // The new connection is closed, since all others have unanswered calls.
                            None => continue,
                        }
                    }
                    self.callers.add_connection(now, stream);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => return log(&format!("cannot accept a caller's connection: {error}")),
            }
        }
    }

    /// Closes the connections that have timed out, sends the pending releases that it can, and schedules the
    /// next run.
    pub(super) fn run_caller_maintenance(&mut self) {
        let now = self.clock.now();
        let timed_out = self.callers.timed_out_connections(now, &self.call_control, &self.pending_reads);
        for (id, reason) in timed_out {
            self.close_caller_connection_with_reason(id, reason);
        }
        self.callers.send_pending_releases(now);
        let count = std::mem::take(&mut self.callers.unlogged_closes);
        let reason = std::mem::take(&mut self.callers.last_close_reason);
        if count > 0 {
            log(&format!("closed {count} caller connection(s), the last because {reason}"));
        }
        self.switches.log_oversized_set_ups();
        self.call_control.timers.push(now + MAINTENANCE_INTERVAL, TimerEvent::CallerMaintenance);
    }

    /// Closes a connection for a reason to be logged. Many may be closed in a short time, so the maintenance
    /// writes one log line for all that were closed since its last run.
    fn close_caller_connection_with_reason(&mut self, id: ConnectionId, reason: &str) {
        self.callers.record_unlogged_close(reason);
        self.close_caller_connection(id);
    }

    /// Counts a set-up that is invalid or has a tag that is in use, and closes the connection if it has sent
    /// too many. Returns true if the connection stays open.
    fn record_set_up_error(&mut self, id: ConnectionId, reason: &str) -> bool {
        let Some(caller) = self.callers.connections.get_mut(&id) else { return false };
        caller.set_up_errors += 1;
        let stays_open = caller.set_up_errors < SET_UP_ERROR_LIMIT;
        if !stays_open {
            self.close_caller_connection_with_reason(id, reason);
        }
        stays_open
    }

    /// Sends the output to callers, and closes the connections that are at an end.
    pub(super) fn flush_callers(&mut self) {
        let call_control = &self.call_control;
        let ended = self.callers.flush(|connection| call_control.unanswered_call(connection).is_some());
        for (id, reason) in ended.to_close {
            match reason {
                Some(reason) => self.close_caller_connection_with_reason(id, &reason),
                None => self.close_caller_connection(id),
            }
        }
        for (id, reason) in ended.left {
            self.handle_caller_left(id, &reason);
        }
    }

    /// Handles a message from a caller. Returns false if the connection has been closed because of it.
    fn handle_caller_message(&mut self, id: ConnectionId, message: Message) -> bool {
        let now = self.clock.now();
        let tag = message.tag;
        let caller = self.callers.connections.get(&id);
        let has_left = caller.is_none_or(|caller| caller.state == CallerState::Left);
        let trust = caller.map_or(TrustLevel::Unknown, |caller| caller.trust);
        match message.message_type {
            // Nobody waits for the answers any more.
            message_type::SET_UP | message_type::HEALTH_CHECK if has_left => {}
            message_type::SET_UP => return self.handle_set_up_message(now, id, &message, trust),
            message_type::RELEASE if tag != 0 => {
                let caller = Caller { connection: id, is_trusted: trust == TrustLevel::AnsweredCall };
                self.call_control.handle_caller_release(now, caller, tag);
                self.callers.write_message(id, &Message::new(message_type::RELEASE_COMPLETE, tag));
                self.callers.record_activity(now, id, trust);
            }
            message_type::HEALTH_CHECK => {
                self.callers.add_health_check(id, tag);
                self.callers.record_activity(now, id, TrustLevel::ValidMessage);
            }
            message_type::RELEASE_COMPLETE | message_type::PROGRESS => {}
            // A working caller may use message types of a later version of the protocol.
            _ if trust == TrustLevel::AnsweredCall => {}
            _ => {
                let reason = format!(
                    "it sent a message of type {} with tag {tag:016x}, which no caller sends",
                    message.message_type
                );
                self.close_caller_connection_with_reason(id, &reason);
                return false;
            }
        }
        true
    }

    /// Handles a set-up message. Returns false if the connection has been closed because of it.
    fn handle_set_up_message(
        &mut self, now: Micros, id: ConnectionId, message: &Message, trust: TrustLevel,
    ) -> bool {
        let tag = message.tag;
        let no_answered_call = trust != TrustLevel::AnsweredCall;
        let parsed = parse_set_up(message);
        let limit_reached = no_answered_call
            && self.call_control.unanswered_count_of(id) >= MAX_UNANSWERED_BEFORE_FIRST_ANSWER;
        let result = match parsed {
            Some(_) if limit_reached => {
                // Bounds the room in the call table that a caller can take by sending without pause, so that
                // others find room as well.
                self.call_control.reject_for_congestion(id, tag);
                return true;
            }
            Some(set_up) => {
                let caller = Caller { connection: id, is_trusted: !no_answered_call };
                self.call_control.handle_set_up(now, caller, set_up)
            }
            None => Err(SetUpError::Invalid),
        };
        match result {
            Ok(()) => self.callers.record_activity(now, id, TrustLevel::ValidMessage),
            Err(SetUpError::Invalid) => {
                self.callers.reject(id, tag, cause::INVALID_CONTENTS, 0);
                return self.record_set_up_error(id, "it sent too many invalid set-ups");
            }
            // A reply with this tag could be taken for the reply to the first set-up, so the connection is
            // closed instead.
            Err(SetUpError::TagInUse) if no_answered_call => {
                let reason = format!("it sent a set-up with tag {tag:016x}, which is in use");
                self.close_caller_connection_with_reason(id, &reason);
                return false;
            }
            Err(SetUpError::TagInUse) => {
                log(&format!("set-up {tag:016x} ignored: its tag is in use"));
                return self.record_set_up_error(id, "it sent too many set-ups with tags that are in use");
            }
        }
        true
    }

    /// Closes connections until all together hold no more bytes than the limit.
    pub(super) fn enforce_caller_buffer_limit(&mut self) {
        for id in self.callers.connections_over_buffer_limit() {
            self.close_caller_connection_with_reason(
                id,
                "it held most of the bytes that wait to be sent to callers or belong to incomplete messages",
            );
        }
    }

    /// Closes a caller's connection, which releases the unanswered calls on it.
    pub(super) fn close_caller_connection(&mut self, id: ConnectionId) {
        self.callers.close(id);
        let now = self.clock.now();
        self.call_control.handle_caller_disconnect(now, id);
    }
}
