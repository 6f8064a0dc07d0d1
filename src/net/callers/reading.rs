//! Reads the connections of callers, and finds out which callers have left.

use super::Gatekeeper;
use super::connection::{CallerConnection, CallerState, Presence};
use crate::call::{ConnectionId, Tag, TimerEvent};
use crate::interface::{MILLISECOND, Micros};
use crate::net::link::{READ_CHUNK_BYTES, ReadStatus};
use crate::net::pending_reads::PendingRead;

/// Most bytes that are read at once of a connection on which no call has been answered yet, so that many of
/// them are read in an iteration.
const UNTRUSTED_READ_CHUNK_BYTES: usize = 4 * 1024;
/// How long the input of a caller waits that has finished sending, if more of it is unread than a chunk. It covers
/// the way of a progress message to the caller and that of the reset back.
const PRESENCE_CHECK_TIME: Micros = 50 * MILLISECOND;

impl Gatekeeper {
    /// A caller's connection has become readable or writable, or has failed.
    pub(in crate::net) fn handle_caller_readiness(&mut self, id: ConnectionId) {
        let read = PendingRead::Caller(id);
        let is_trusted = self.callers.connections.get(&id).is_some_and(CallerConnection::is_trusted);
        // Those that wait are read first.
        let is_next = is_trusted || self.pending_reads.is_empty();
        if is_next && self.may_read_caller(id) && !self.pending_reads.contains(read) {
            self.read_caller(id);
        } else {
            self.pending_reads.push(read);
        }
    }

    /// Whether more may be read of a caller in this iteration of the event loop.
    pub(in crate::net) fn may_read_caller(&self, id: ConnectionId) -> bool {
        let caller = self.callers.connections.get(&id);
        caller.is_none_or(|caller| self.pending_reads.may_read_callers(caller.is_trusted()))
    }

    /// A caller has closed the whole connection, or it has failed: its unanswered calls are released. What it sent
    /// before is read first, as it may have released answered calls.
    pub(in crate::net) fn handle_caller_left(&mut self, id: ConnectionId, reason: &str) {
        let now = self.clock.now();
        let Some(caller) = self.callers.connections.get_mut(&id) else { return };
        if caller.state == CallerState::HalfClosed {
            return self.close_caller_connection_with_reason(id, reason);
        }
        caller.state = CallerState::Left;
        self.callers.pending_health_checks.retain(|check| check.connection_id != id);
        self.callers.record_unlogged_close(reason);
        self.call_control.handle_caller_disconnect(now, id);
        self.pending_reads.push(PendingRead::Caller(id));
    }

    /// Reads a chunk of a caller's input and handles the messages in it.
    pub(in crate::net) fn read_caller(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        let Some(caller) = self.callers.connections.get_mut(&id) else { return };
        if caller.connection.has_failed() && caller.state != CallerState::Left {
            return self.handle_caller_left(id, "it was closed by the caller");
        }
        let is_awaited = matches!(caller.presence, Presence::Awaited { until } if now < until);
        if caller.state == CallerState::HalfClosed || (is_awaited && caller.is_connected()) {
            // There is no more input, or it waits. `Callers::flush` sends the output.
            return;
        }
        if matches!(caller.presence, Presence::Awaited { .. }) {
            caller.presence = Presence::Checked;
            return self.handle_caller_input(id, ReadStatus::MorePossible);
        }
        let is_trusted = caller.is_trusted();
        let max_bytes = if is_trusted { READ_CHUNK_BYTES } else { UNTRUSTED_READ_CHUNK_BYTES };
        let input = caller.read(max_bytes);
        self.pending_reads.record_caller_bytes(is_trusted, input.bytes);
        if !self.must_await_presence(id, &input.status) {
            self.handle_caller_input(id, input.status);
        }
    }

    /// Checks whether a caller has left that has finished sending, so that its set-ups are not sent on for nobody.
    /// Returns true if its input must wait for the result.
    pub(in crate::net) fn must_await_presence(&mut self, id: ConnectionId, status: &ReadStatus) -> bool {
        let now = self.clock.now();
        let Some(caller) = self.callers.connections.get_mut(&id) else { return false };
        let Some(tag) = caller.first_tag_before_end(status) else { return false };
        if caller.check_presence(tag) {
            self.handle_caller_left(id, "it was closed by the caller");
            return false;
        }
        if *status != ReadStatus::MorePossible {
            return false;
        }
        let until = now + PRESENCE_CHECK_TIME;
        caller.presence = Presence::Awaited { until };
        self.call_control.timers.push(until, TimerEvent::CallerInput(id));
        true
    }

    /// Handles the messages in a caller's input buffer and goes on reading.
    pub(in crate::net) fn handle_caller_input(&mut self, id: ConnectionId, status: ReadStatus) {
        let now = self.clock.now();
        let Some(caller) = self.callers.connections.get_mut(&id) else { return };
        let (messages, decode_result) = caller.decode_input(now);
        for message in messages {
            if !self.handle_caller_message(id, message) {
                return;
            }
        }
        if let Err(error) = decode_result {
            return self.close_caller_connection_with_reason(id, &format!("it sent {error}"));
        }
        let Some(caller) = self.callers.connections.get(&id) else { return };
        let has_left = caller.state == CallerState::Left;
        match status {
            // The next chunk is read in the next iteration of the event loop.
            ReadStatus::MorePossible => self.pending_reads.push(PendingRead::Caller(id)),
            ReadStatus::WouldBlock if !has_left => {}
            ReadStatus::EndOfStream if !has_left => match self.call_control.unanswered_call(id) {
                // The caller may have shut down only its sending side and still wait for the answer.
                Some(tag) => self.half_close(id, tag),
                // A health check that is still pending on the connection is not answered.
                None => self.close_caller_connection(id),
            },
            _ => self.close_caller_connection(id),
        }
    }

    /// A caller with an unanswered call has finished sending.
    pub(in crate::net) fn half_close(&mut self, id: ConnectionId, tag: Tag) {
        let Some(caller) = self.callers.connections.get_mut(&id) else { return };
        caller.state = CallerState::HalfClosed;
        let is_checked = !matches!(caller.presence, Presence::NotChecked);
        if !is_checked && caller.check_presence(tag) {
            self.close_caller_connection(id);
        }
    }
}
