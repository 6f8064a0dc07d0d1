//! Second connections to a carrier switch: when one is opened, when it takes the place of the open one, and
//! how long the one that was replaced is kept.

use super::{
    CHECK_INTERVAL, ConnectionState, Input, OpenConnection, SILENCE_TIMEOUT, SwitchConnection,
    UNREACHABLE_TIMEOUT, read_messages, replaced::ReplacedConnection,
};
use crate::call::{AfterWithdrawal, SwitchConnectionId, Tag, WithdrawnAttempt};
use crate::interface::{MILLISECOND, Micros, SwitchId};
use crate::net::lines;
use crate::net::link::ReadStatus;
use crate::net::pending_reads::PendingRead;
use crate::net::{Gatekeeper, log};

/// If nothing has been received on a connection for this long after a set-up was sent, the connection itself
/// may have failed. A second one is opened, and replaces the first if the switch sends a message on it.
pub(super) const RESPONSE_TIMEOUT: Micros = 150 * MILLISECOND;

/// A second connection to a switch that does not respond on the open one. It shows whether the switch can
/// still be reached, and may replace the open connection.
pub(super) struct CandidateConnection {
    connection: SwitchConnection,
    started_at: Micros,
    /// When the attempt to connect times out.
    deadline: Micros,
    is_established: bool,
    /// Time from `started_at` until the switch sent its first message on this connection.
    first_message_delay: Option<Micros>,
    /// The process has released a call on this connection that was set up on an earlier one.
    is_same_process: bool,
}

impl CandidateConnection {
    /// A call that was set up on one connection was released on another one.
    pub(super) fn compare_process(&mut self, released_on: SwitchConnectionId, set_up_on: SwitchConnectionId) {
        self.is_same_process |= released_on == self.connection.id && set_up_on < released_on;
    }
}

impl Gatekeeper {
    /// Checks whether the switch responds on its open connection, and tries or uses a candidate connection if
    /// it does not.
    pub(super) fn check_open_connection(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let has_calls = self.call_control.has_calls_at(id);
        self.set_switch_timer(id, now + CHECK_INTERVAL);
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        switch.releases.remove_expired(now);
        self.send_queued_set_ups(id);
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let ConnectionState::Open(open) = &switch.state else { return };
        // A switch that accepts connections and sends nothing must not keep the gatekeeper from being ready.
        switch.initial_state_known |= now >= open.opened_at + SILENCE_TIMEOUT;
        // Only one replaced connection is kept at a time.
        let needs_replacement = open.response_is_overdue(now) && switch.replaced.is_none();
        if !has_calls {
            switch.silent_since = now;
        }
        let replaced_is_obsolete = switch.replaced.as_ref().is_some_and(|replaced| {
            let is_needed = self.call_control.has_attempts_on(replaced.connection.id)
                || switch.releases.may_arrive_late_on(replaced.connection.id);
            replaced.must_be_closed(now) || !is_needed
        });
        if replaced_is_obsolete {
            self.abandon_replaced_connection(id);
        }
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let silent_for = now - switch.silent_since;
        let is_silent = silent_for >= SILENCE_TIMEOUT;
        match &switch.candidate {
            Some(candidate) if !candidate.is_established && now < candidate.deadline => return,
            Some(candidate) if candidate.first_message_delay.is_some() && needs_replacement => {
                return self.replace_open_connection(id);
            }
            Some(candidate) if candidate.is_established && !is_silent => return,
            None if !needs_replacement && !is_silent => return,
            // A new candidate connection is opened below. The last one, if any, was not established in time,
            // or the switch has been silent since then.
            _ => self.close_candidate_connection(id),
        }
        // Establishing a candidate connection resets `silent_since`, so none was established in this time.
        if silent_for >= SILENCE_TIMEOUT + UNREACHABLE_TIMEOUT {
            return self.handle_silent_switch(id);
        }
        self.open_candidate_connection(id);
    }

    fn open_candidate_connection(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let deadline = now + self.switches.connect_timeout;
        let Some(address) = self.switches.by_id.get(&id).and_then(|switch| switch.listed.address) else {
            return;
        };
        let result = self.switches.start_connecting(id, address);
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        match result {
            Ok(connection) => {
                switch.candidate = Some(CandidateConnection {
                    connection,
                    started_at: now,
                    deadline,
                    is_established: false,
                    first_message_delay: None,
                    is_same_process: false,
                });
            }
            Err(error) => {
                log(&format!("switch {}: a second connection cannot be opened: {error}", switch.listed.name));
            }
        }
    }

    /// A switch has been silent for too long, and no candidate connection could be established.
    fn handle_silent_switch(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        log(&format!(
            "switch {} is silent and no new connection to it can be established",
            switch.listed.name
        ));
        // The switch counts as unreachable since the silence began, so that attempts to connect need not fail
        // for another `UNREACHABLE_TIMEOUT` before its calls are released.
        switch.unreachable_since = Some(switch.silent_since);
        self.lose_open_connection(id, false);
        self.call_control.handle_switch_down(now, id, now);
    }

    /// Puts the candidate connection in the place of an open connection on which nothing is received any more
    /// although the switch is running. Set-ups sent on a failed connection that stays open would never be
    /// answered.
    fn replace_open_connection(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let Some(candidate) = switch.candidate.take() else { return };
        log(&format!("switch {}: set-ups are not answered; a new connection takes over", switch.listed.name));
        let open = ConnectionState::Open(OpenConnection::new(candidate.connection, now));
        if let ConnectionState::Open(mut old) = std::mem::replace(&mut switch.state, open) {
            if !candidate.is_same_process {
                switch.identity.interrupt(now, Some(old.as_lost()));
                switch.identity.connect(now);
            }
            let unsent = old.connection.socket.take_unsent_messages(lines::TERMINATOR);
            let predecessor = old.connection.id;
            let mut replaced = ReplacedConnection::new(old.connection, now);
            if self.call_control.has_transit_attempts_on(predecessor) {
                replaced.check_arrival(now, self.call_control.connection_probe_tag());
            }
            switch.replaced = Some(replaced);
            // The old connection was at fault only if the switch had responded on it before. If it never did,
            // the switch itself may be at fault.
            let response_time = candidate.first_message_delay.filter(|_| old.has_responded);
            if let Some(response_time) = response_time {
                self.call_control.handle_switch_responsive(id, response_time);
            }
            self.send_messages_of_predecessor(id, predecessor, &unsent);
        }
    }

    /// Sends the messages on the open connection that could not be sent on the one that it has replaced, and
    /// repeats the releases that may be lost there. A set-up that may go to no other exchange is not sent if the
    /// process may be another one than before.
    fn send_messages_of_predecessor(
        &mut self, id: SwitchId, predecessor: SwitchConnectionId, mut encoded: &[u8],
    ) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let ConnectionState::Open(open) = &mut switch.state else { return };
        let is_confirmed = switch.identity.is_confirmed(now);
        while let Ok(Some((message, size))) = lines::decode(encoded) {
            let (line, rest) = encoded.split_at_checked(size).unwrap_or((encoded, &[]));
            encoded = rest;
            let set_up = message.parse_tag().filter(|_| message.verb == "START");
            let may_be_sent = |tag: Tag| is_confirmed || !self.call_control.is_bound_to_exchange(tag);
            if let Some(tag) = set_up.filter(|tag| !may_be_sent(*tag)) {
                self.call_control.refuse_unconfirmed_switch(id, tag);
                continue;
            }
            open.connection.socket.output_buffer().extend_from_slice(line);
            match (message.verb.as_str(), message.parse_tag()) {
                ("START", Some(tag)) => {
                    open.awaiting_response_since.get_or_insert(now);
                    self.call_control.handle_set_up_written(id, tag, open.connection.id);
                }
                ("FINISH", Some(tag)) => switch.releases.move_to(tag, open.connection.id),
                _ => {}
            }
        }
        for tag in switch.releases.replace(predecessor, now) {
            self.switches.repeat_release(now, id, tag);
        }
    }

    /// Releases an attempt. If it was sent on the replaced connection, its set-up may arrive after the release;
    /// see [`Gatekeeper::end_withdrawn_attempt`].
    pub(in crate::net) fn withdraw_attempt(
        &mut self, tag: Tag, attempt: WithdrawnAttempt, next: AfterWithdrawal,
    ) {
        let now = self.clock.now();
        let id = attempt.switch;
        if next == AfterWithdrawal::MayBeSentAgain {
            self.switches.release_waiting_call(now, id, tag);
        } else {
            self.switches.release(now, id, tag);
        }
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let Some(replaced) = &mut switch.replaced else { return };
        if attempt.connection != Some(replaced.connection.id) || replaced.set_ups_have_arrived {
            return;
        }
        if !replaced.is_checked() {
            replaced.check_arrival(now, self.call_control.connection_probe_tag());
        }
        replaced.withdraw(tag, next == AfterWithdrawal::TransitEnded);
        if replaced.must_be_closed(now) {
            self.abandon_replaced_connection(id);
        }
    }

    /// Makes sure that a withdrawn attempt is over before its call is sent again.
    ///
    /// A release on another connection than that of the set-up ends the attempt only if the set-up arrives first.
    /// Where that is not certain, the connection of the set-up is closed: the switch gives up set-ups with their
    /// connection, also those that arrive after that. No release is sent on that connection, as it could arrive
    /// late and end another attempt of the same call. The release on the open connection is repeated for a
    /// set-up that has arrived since the first one and was answered.
    pub(in crate::net) fn end_withdrawn_attempt(&mut self, tag: Tag, attempt: WithdrawnAttempt) {
        let now = self.clock.now();
        let id = attempt.switch;
        let Some(connection) = attempt.connection else { return };
        let Some(switch) = self.switches.by_id.get(&id) else { return };
        // The release is behind the set-up on the same connection.
        if matches!(&switch.state, ConnectionState::Open(open) if open.connection.id == connection) {
            return;
        }
        if let Some(replaced) = &switch.replaced
            && replaced.connection.id == connection
        {
            if replaced.set_ups_have_arrived {
                return;
            }
            self.abandon_replaced_connection(id);
        }
        self.switches.repeat_release(now, id, tag);
    }

    /// All set-ups on the replaced connection have arrived, some perhaps after the releases of their attempts:
    /// these are repeated.
    fn confirm_arrival_of_set_ups(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        let Some(replaced) = &mut switch.replaced else { return };
        replaced.set_ups_have_arrived = true;
        switch.releases.acknowledge_all(replaced.connection.id);
        for tag in replaced.take_withdrawn() {
            self.switches.repeat_release(now, id, tag);
        }
    }

    /// Gives up the replaced connection, with the attempts whose set-ups were sent on it.
    fn abandon_replaced_connection(&mut self, id: SwitchId) {
        if let Some(connection) = self.close_replaced_connection(id) {
            self.call_control.handle_connection_abandoned(id, connection);
        }
    }

    /// The switch has ended the replaced connection, or all connections to it are closed.
    pub(super) fn lose_replaced_connection(&mut self, id: SwitchId) {
        if let Some(connection) = self.close_replaced_connection(id) {
            if let Some(switch) = self.switches.by_id.get_mut(&id) {
                switch.releases.acknowledge_all(connection);
            }
            self.call_control.handle_connection_lost(id, connection);
        }
    }

    /// Closes the replaced connection and returns its id. Replaced connections are closed nowhere else.
    fn close_replaced_connection(&mut self, id: SwitchId) -> Option<SwitchConnectionId> {
        let replaced = self.switches.by_id.get_mut(&id)?.replaced.take()?;
        if replaced.set_ups_have_arrived {
            replaced.connection.socket.close(&self.switches.loop_handle);
        } else {
            replaced.connection.socket.abort(&self.switches.loop_handle);
        }
        Some(replaced.connection.id)
    }

    /// Closes the candidate connection. Candidate connections are closed nowhere else.
    pub(super) fn close_candidate_connection(&mut self, id: SwitchId) {
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        if let Some(candidate) = switch.candidate.take() {
            candidate.connection.socket.close(&self.switches.loop_handle);
        }
    }

    /// Reads the candidate connection and the replaced connection.
    pub(super) fn read_additional_connections(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        if let Some(candidate) = &mut switch.candidate {
            match candidate.connection.socket.check_connected() {
                Ok(false) => {}
                Ok(true) => {
                    if !candidate.is_established {
                        candidate.is_established = true;
                        switch.silent_since = now;
                    }
                    let input = read_messages(&mut candidate.connection.socket);
                    if !input.messages.is_empty() {
                        candidate.first_message_delay.get_or_insert(now - candidate.started_at);
                    }
                    let connection = candidate.connection.id;
                    if !self.handle_additional_input(now, id, connection, input) {
                        self.close_candidate_connection(id);
                    }
                }
                Err(_) => self.close_candidate_connection(id),
            }
        }
        let Some(switch) = self.switches.by_id.get_mut(&id) else { return };
        if let Some(replaced) = &mut switch.replaced {
            let input = read_messages(&mut replaced.connection.socket);
            let set_ups_have_arrived = input.messages.iter().any(|message| replaced.is_probe_result(message));
            let connection = replaced.connection.id;
            if !self.handle_additional_input(now, id, connection, input) {
                self.lose_replaced_connection(id);
            } else if set_ups_have_arrived {
                self.confirm_arrival_of_set_ups(id);
            }
        }
    }

    /// Handles what was read from the candidate or the replaced connection. Returns false if that connection
    /// must be closed.
    fn handle_additional_input(
        &mut self, now: Micros, id: SwitchId, connection: SwitchConnectionId, input: Input,
    ) -> bool {
        let mut messages = input.messages.into_iter();
        let result =
            messages.try_for_each(|message| self.handle_switch_message(now, id, connection, message));
        let result = result.and(input.decode_result);
        if input.status == ReadStatus::MorePossible {
            self.pending_reads.push(PendingRead::Switch(id));
        }
        result.is_ok() && !matches!(input.status, ReadStatus::EndOfStream | ReadStatus::Failed)
    }
}
