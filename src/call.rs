//! Call control: the call table, the attempts at switches and their time-outs. It knows no protocol and does
//! no I/O. Protocol code reports what it has received by calling the methods of [`CallControl`] and carries
//! out the resulting [`Command`]s, so that other protocols can be used without a change here. The decisions
//! are those of the [`Controller`].

use crate::control::Controller;
use crate::interface::{
    Action, AttemptEnd, CallClass, CallId, CallSource, EndReason, Event, ExchangeNumber, LoadReport,
    MILLISECOND, Micros, NewCall, Outcome, SECOND, Settings, SwitchId, SwitchListUpdate,
};
use crate::settings::IndexedNames;
use crate::timers::{TimerId, TimerQueue};
use std::collections::{BTreeMap, HashMap};

pub mod ended_tags;
pub mod messages;
pub mod unanswered;
pub mod unknown_releases;

pub use messages::{
    AfterWithdrawal, CallLimits, Caller, Command, ConnectionId, Release, SetUp, SetUpError,
    SwitchConnectionId, Tag, TimerEvent, WithdrawnAttempt, cause,
};

use ended_tags::EndedTags;
use unanswered::{FreeRoom, UnansweredCalls};
use unknown_releases::UnknownReleases;

#[cfg(test)]
mod tests;

/// Back-off of set-ups that are rejected without asking the controller, because a limit on calls is reached.
const CONGESTION_BACK_OFF: Micros = SECOND;
/// A probe that has not been answered after this time has failed.
const PROBE_TIMEOUT: Micros = 250 * MILLISECOND;
/// Shortest round trip that is reported for a probe: 0 stands for an unsolicited load report.
const MIN_ROUND_TRIP: Micros = 1;
/// Highest exchange number that a set-up may name.
const MAX_EXCHANGE_NUMBER: ExchangeNumber = 1_000_000;
/// Most circuits that a set-up may take where the settings do not give the number for its class.
const MAX_CIRCUITS: f64 = 1e3;
/// Numbers of circuits that differ by less than this are equal.
const CIRCUITS_TOLERANCE: f64 = 1e-9;

/// An attempt that is in progress at a switch.
struct Attempt {
    number: u32,
    switch: SwitchId,
    sent_at: Micros,
    /// The connection that its set-up was written to; `None` while it waits for one.
    connection: Option<SwitchConnectionId>,
    /// The timer of its time-out.
    timer: TimerId,
}

impl Attempt {
    /// Whether its set-up was written to a later connection than this one, or not at all yet. What is received
    /// on this one then concerns an earlier attempt.
    fn is_later_than(&self, connection: SwitchConnectionId) -> bool {
        self.connection.is_none_or(|own| own > connection)
    }

    fn withdrawn(&self) -> WithdrawnAttempt {
        WithdrawnAttempt { switch: self.switch, connection: self.connection }
    }
}

enum CallState {
    /// The call is not answered yet. An attempt is in progress at a switch, or none while the controller
    /// decides on the call, holds it or waits before the next attempt.
    Unanswered(Option<Attempt>),
    /// The switch has answered the attempt whose set-up was sent at `sent_at`.
    Answered {
        switch: SwitchId,
        sent_at: Micros,
        attempt_number: u32,
        /// The connection that the set-up was written to.
        connection: Option<SwitchConnectionId>,
    },
}

struct Call {
    tag: Tag,
    connection: ConnectionId,
    class_index: usize,
    called_number: String,
    /// The caller's session description, kept until the call is answered.
    session_description: Option<String>,
    /// When the caller gives up.
    caller_deadline: Micros,
    transit: bool,
    /// The number of the next attempt; they are counted from 0.
    next_attempt: u32,
    /// The attempts that were withdrawn since the last set-up was sent.
    withdrawn: Vec<WithdrawnAttempt>,
    state: CallState,
}

impl Call {
    /// Ends the attempt in progress, if there is one, and cancels its timer. All attempts end here.
    fn take_attempt(&mut self, timers: &mut TimerQueue<TimerEvent>) -> Option<Attempt> {
        let CallState::Unanswered(attempt) = &mut self.state else { return None };
        let attempt = attempt.take()?;
        timers.cancel(attempt.timer);
        Some(attempt)
    }

    /// The attempt in progress, if it is at `switch`.
    fn attempt_at(&self, switch: SwitchId) -> Option<&Attempt> {
        match &self.state {
            CallState::Unanswered(Some(attempt)) if attempt.switch == switch => Some(attempt),
            _ => None,
        }
    }

    /// The attempt in progress, if its set-up was written to this connection.
    fn attempt_on(&self, connection: SwitchConnectionId) -> Option<&Attempt> {
        match &self.state {
            CallState::Unanswered(Some(attempt)) if attempt.connection == Some(connection) => Some(attempt),
            _ => None,
        }
    }

    /// Whether the attempt in progress has this number.
    fn is_attempting(&self, number: u32) -> bool {
        matches!(&self.state, CallState::Unanswered(Some(attempt)) if attempt.number == number)
    }
}

/// A probe that is in progress at a switch.
struct Probe {
    switch: SwitchId,
    sent_at: Micros,
    /// The timer of its time-out.
    timer: TimerId,
}

/// The call table and the controller that decides on its calls.
pub struct CallControl {
    controller: Controller,
    names: IndexedNames,
    /// Shortest time between two batches of events.
    min_batch_interval: Micros,
    limits: CallLimits,
    calls: BTreeMap<CallId, Call>,
    /// Those of the calls that are not answered.
    unanswered: UnansweredCalls,
    /// Ids of the calls in the call table.
    call_ids: HashMap<Tag, CallId>,
    last_call_id: u64,
    ended_tags: EndedTags,
    /// The releases of calls in neither table that callers may still send.
    unknown_releases: UnknownReleases,
    /// Probes without an answer.
    probes: HashMap<Tag, Probe>,
    may_probe: bool,
    /// For each class, whether its calls may go to some pools only.
    has_eligible_pools: Vec<bool>,
    last_probe_tag: Tag,
    /// Events since the last batch, in order of arrival.
    pending_events: Vec<Event>,
    /// Earliest time of the next batch.
    next_batch_at: Micros,
    /// Actions that the controller has asked for.
    actions: Vec<Action>,
    /// The controller's timers that have not expired, by their tokens.
    controller_timers: HashMap<u64, TimerId>,
    /// All timers of the program, those of the network code included: the event loop has a single system
    /// timer.
    pub timers: TimerQueue<TimerEvent>,
    /// Commands to be carried out.
    pub commands: Vec<Command>,
}

impl CallControl {
    /// Call control with an empty call table.
    pub fn new(settings: Settings, names: IndexedNames, limits: CallLimits, seed: u64, now: Micros) -> Self {
        let min_batch_interval = settings.min_batch_interval;
        let may_probe = settings.may_probe;
        let is_limited = |class: &CallClass| settings.pool_topology && !class.eligible_pools.is_empty();
        let has_eligible_pools = settings.classes.iter().map(is_limited).collect();
        let mut actions = Vec::new();
        let controller = Controller::new(settings, seed, now, &mut actions);
        let ended_tags = EndedTags::new(limits.max_calls);
        let unknown_releases = UnknownReleases::new(now, limits.max_calls);
        let mut call_control = CallControl {
            controller,
            names,
            min_batch_interval,
            limits,
            unanswered: UnansweredCalls::default(),
            calls: BTreeMap::new(),
            call_ids: HashMap::new(),
            last_call_id: 0,
            ended_tags,
            unknown_releases,
            probes: HashMap::new(),
            may_probe,
            has_eligible_pools,
            last_probe_tag: seed,
            pending_events: vec![],
            next_batch_at: now,
            actions,
            controller_timers: HashMap::new(),
            timers: TimerQueue::default(),
            commands: vec![],
        };
        call_control.execute_actions(now);
        call_control
    }

    /// The index of a zone. All zones that the settings do not name share the index after the last.
    pub fn zone_index(&self, name: &str) -> u32 {
        self.names.zones.iter().position(|zone| zone == name).unwrap_or(self.names.zones.len()) as u32
    }

    /// The number of unanswered calls.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered.call_count()
    }

    /// The number of unanswered calls that were set up on a connection.
    pub fn unanswered_count_of(&self, connection: ConnectionId) -> usize {
        self.unanswered.call_count_of(connection)
    }

    /// Whether a call has an attempt in progress at a switch or was answered by it.
    pub fn has_calls_at(&self, switch: SwitchId) -> bool {
        self.calls.values().any(|call| match &call.state {
            CallState::Unanswered(Some(attempt)) => attempt.switch == switch,
            CallState::Unanswered(None) => false,
            CallState::Answered { switch: answering, .. } => *answering == switch,
        })
    }

    /// Whether a set-up that was written to this connection is still unanswered.
    pub fn has_attempts_on(&self, connection: SwitchConnectionId) -> bool {
        self.calls.values().any(|call| call.attempt_on(connection).is_some())
    }

    /// Whether one of them is of a transit call.
    pub fn has_transit_attempts_on(&self, connection: SwitchConnectionId) -> bool {
        self.calls.values().any(|call| call.transit && call.attempt_on(connection).is_some())
    }

    // Messages and connections of callers.

    /// Takes a set-up from a caller. If the call table is full, the session descriptions would take too many
    /// bytes, the caller has its share of both, or a call with this tag was sent to a switch before, the set-up is
    /// rejected without asking the controller.
    ///
    /// # Errors
    /// The set-up was not accepted, and the caller has not been told.
    pub fn handle_set_up(&mut self, now: Micros, caller: Caller, set_up: SetUp) -> Result<(), SetUpError> {
        let connection = caller.connection;
        // Only the first set-up with a tag is answered: the caller could not tell two answers apart.
        if self.call_ids.contains_key(&set_up.tag) {
            return Err(SetUpError::TagInUse);
        }
        let class_index = self.names.classes.iter().position(|class| *class == set_up.class);
        let class_index = class_index.ok_or(SetUpError::Invalid)?;
        let circuits_valid = match self.limits.circuits_by_class.get(class_index) {
            Some(circuits) => (set_up.circuits - circuits).abs() < CIRCUITS_TOLERANCE,
            None => set_up.circuits > 0.0 && set_up.circuits <= MAX_CIRCUITS,
        };
        // Values out of range would distort the controller's calculations, and a switch that cannot read a
        // message closes its connection, which ends all attempts on it.
        let valid = set_up.tag != 0
            && circuits_valid
            && (0..=MAX_EXCHANGE_NUMBER).contains(&set_up.destination)
            && (-1..=MAX_EXCHANGE_NUMBER).contains(&set_up.via_exchange)
            && (0..=self.limits.max_caller_timeout).contains(&set_up.caller_timeout);
        if !valid {
            return Err(SetUpError::Invalid);
        }
        if self.ended_tags.was_sent(set_up.tag) {
            // The call would run twice, and perhaps before its first attempt is over at the switch.
            self.reject_for_congestion(connection, set_up.tag);
            return Ok(());
        }
        let description_bytes = set_up.session_description.as_ref().map_or(0, String::len);
        if !self.unanswered.may_add(caller, description_bytes, &self.free_room()) {
            // Bounds the memory that calls take, by the limits in the settings and the configuration.
            self.reject_for_congestion(connection, set_up.tag);
            return Ok(());
        }
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        self.unanswered.add(connection, id, description_bytes);
        let caller_deadline = now.saturating_add(set_up.caller_timeout);
        self.call_ids.insert(set_up.tag, id);
        self.pending_events.push(Event::NewCall(NewCall {
            id,
            class_index,
            tenant_index: None,
            source: CallSource { connection: connection.0, is_trusted: caller.is_trusted },
            called_number: set_up.called_number.clone(),
            caller_deadline,
            destination: set_up.destination,
            circuits: set_up.circuits,
            via_exchange: set_up.via_exchange,
            redial: set_up.redial,
            transit: set_up.transit,
        }));
        let call = Call {
            tag: set_up.tag,
            connection,
            class_index,
            called_number: set_up.called_number,
            session_description: set_up.session_description,
            caller_deadline,
            transit: set_up.transit,
            next_attempt: 0,
            withdrawn: vec![],
            state: CallState::Unanswered(None),
        };
        self.calls.insert(id, call);
        Ok(())
    }

    /// What is still free of the limits on calls.
    fn free_room(&self) -> FreeRoom {
        let held_bytes = self.unanswered.description_bytes();
        FreeRoom {
            calls: self.limits.max_calls.saturating_sub(self.calls.len()),
            description_bytes: self.limits.max_description_bytes.saturating_sub(held_bytes),
        }
    }

    /// Rejects a set-up that would exceed a limit on calls, without asking the controller.
    pub fn reject_for_congestion(&mut self, connection: ConnectionId, tag: Tag) {
        self.commands.push(Command::Reject {
            connection,
            tag,
            cause: cause::CONGESTION,
            back_off: CONGESTION_BACK_OFF,
        });
    }

    /// Takes a release from a caller, of an unanswered or an answered call.
    pub fn handle_caller_release(&mut self, now: Micros, caller: Caller, tag: Tag) {
        if let Some(id) = self.call_ids.get(&tag).copied() {
            return self.release_for_caller(now, id);
        }
        // A tag that has not been seen may belong to a call that was set up before the last restart and is
        // still up at any of the switches.
        if !self.ended_tags.contains(tag) && self.unknown_releases.take(now, caller) {
            self.commands.push(Command::ReleaseAtAllSwitches(tag));
            self.ended_tags.record_unsent(now, tag);
        }
    }

    /// A caller's connection has closed: its unanswered calls are released. Answered calls stay up, as they
    /// do not depend on the connection of their set-up.
    pub fn handle_caller_disconnect(&mut self, now: Micros, connection: ConnectionId) {
        let ids: Vec<CallId> = self.unanswered.ids_of(connection).collect();
        ids.into_iter().for_each(|id| self.release_for_caller(now, id));
    }

    /// The tag of an unanswered call that was set up on a connection, if there is one.
    pub fn unanswered_call(&self, connection: ConnectionId) -> Option<Tag> {
        let id = self.unanswered.ids_of(connection).next()?;
        self.calls.get(&id).map(|call| call.tag)
    }

    /// Removes a call whose caller has released it or has disconnected, and releases it at its switch.
    fn release_for_caller(&mut self, now: Micros, id: CallId) {
        let Some(mut call) = self.remove_call(now, id) else { return };
        match call.state {
            CallState::Unanswered(_) => {
                self.pending_events.push(Event::CallerGone(id));
                if let Some(attempt) = call.take_attempt(&mut self.timers) {
                    self.withdraw_attempt(&call, &attempt);
                    self.push_attempt_end(id, attempt.number, attempt.switch, Outcome::Cancelled, true);
                }
            }
            CallState::Answered { switch, attempt_number, .. } => {
                self.release_at_switch(call.tag, switch);
                self.push_attempt_end(id, attempt_number, switch, Outcome::Cancelled, true);
            }
        }
    }

    // Messages and connections of switches.

    /// Takes an answer from a switch, which was received on `connection`.
    pub fn handle_answer(
        &mut self, now: Micros, switch: SwitchId, connection: SwitchConnectionId, tag: Tag,
        session_description: Option<String>,
    ) {
        let id = self.call_ids.get(&tag).copied();
        let call = id.and_then(|id| self.calls.get_mut(&id).map(|call| (id, call)));
        if let Some((id, call)) = call {
            if call.attempt_at(switch).is_some_and(|attempt| attempt.is_later_than(connection)) {
                // The answer to an earlier attempt, which is over.
                return;
            }
            if call.attempt_at(switch).is_some()
                && let Some(attempt) = call.take_attempt(&mut self.timers)
            {
                let Attempt { number: attempt_number, sent_at, connection, .. } = attempt;
                call.state = CallState::Answered { switch, sent_at, attempt_number, connection };
                let set_up_delay = now - sent_at;
                // The caller's session description is no longer needed, and an answered call may last long.
                let description_bytes = call.session_description.take().map_or(0, |text| text.len());
                self.unanswered.remove(call.connection, id, description_bytes);
                self.pending_events.push(Event::CallAnswered { call: id, attempt_number, set_up_delay });
                let connection = call.connection;
                return self.commands.push(Command::Answer { connection, tag, session_description });
            }
            if matches!(&call.state, CallState::Answered { switch: answering, .. } if *answering == switch) {
                // A repeated answer.
                return;
            }
        }
        // An answer that crossed the release of its attempt: without another release the call would stay up
        // at the switch. An answer with a tag that was never sent is ignored.
        if id.is_some() || self.ended_tags.contains(tag) {
            self.release_at_switch(tag, switch);
        }
    }

    /// Takes a release from a switch, of an attempt or of an answered call, which was received on `connection`.
    pub fn handle_switch_release(
        &mut self, now: Micros, switch: SwitchId, connection: SwitchConnectionId, tag: Tag, release: Release,
    ) {
        let Some(id) = self.call_ids.get(&tag).copied() else {
            self.handle_load_report(switch, release.report);
            let may_have_been_answered =
                matches!(release.cause, cause::NORMAL_CLEARING | cause::TEMPORARY_FAILURE);
            if may_have_been_answered && !self.ended_tags.contains(tag) {
                // A call that was set up before the last restart. Its caller may still take it for answered.
                self.ended_tags.record_sent(now, tag);
                self.commands.push(Command::ReleaseToCaller { connection: None, tag, cause: release.cause });
            }
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.attempt_at(switch).is_some_and(|attempt| attempt.is_later_than(connection)) {
            return self.handle_load_report(switch, release.report);
        }
        if call.attempt_at(switch).is_some()
            && let Some(attempt) = call.take_attempt(&mut self.timers)
        {
            let outcome = match release.cause {
                cause::NO_CIRCUIT => Outcome::Congested,
                cause::TIMER_EXPIRY => Outcome::NotSent,
                cause::TEMPORARY_FAILURE => Outcome::Reset,
                _ => Outcome::Failed,
            };
            return self.pending_events.push(Event::AttemptEnded(AttemptEnd {
                call: id,
                attempt_number: attempt.number,
                switch,
                outcome,
                reason: release.reason,
                call_closed: false,
                report: release.report,
            }));
        }
        match &call.state {
            CallState::Answered { switch: answering, .. } if *answering == switch => {
                let outcome =
                    if release.cause == cause::NORMAL_CLEARING { Outcome::Completed } else { Outcome::Reset };
                self.end_answered_call(now, id, release.cause, outcome, release.report);
            }
            // The release of an attempt that the gatekeeper has already released.
            _ => self.handle_load_report(switch, release.report),
        }
    }

    /// Takes a load report that is not part of the answer to a probe. An empty one is ignored.
    pub fn handle_load_report(&mut self, switch: SwitchId, report: LoadReport) {
        if report != LoadReport::default() {
            self.pending_events.push(Event::SwitchStatus { switch, answered: true, round_trip: 0, report });
        }
    }

    /// A switch that did not answer on its open connection has sent a message on a new one, `response_time`
    /// after the gatekeeper began to connect. To the controller, that message is the same as an answered
    /// probe.
    pub fn handle_switch_responsive(&mut self, switch: SwitchId, response_time: Micros) {
        self.pending_events.push(Event::SwitchStatus {
            switch,
            answered: true,
            round_trip: response_time.max(MIN_ROUND_TRIP),
            report: LoadReport::default(),
        });
    }

    /// Takes the answer to a probe, or its time-out.
    pub fn handle_probe_result(&mut self, now: Micros, tag: Tag, passed: bool, report: LoadReport) {
        if let Some(probe) = self.probes.remove(&tag) {
            self.timers.cancel(probe.timer);
            self.pending_events.push(Event::SwitchStatus {
                switch: probe.switch,
                answered: passed,
                round_trip: (now - probe.sent_at).max(MIN_ROUND_TRIP),
                report,
            });
        }
    }

    /// Ends the attempts whose set-ups were never sent, because there is no connection to their switch.
    pub fn fail_unsent_set_ups(&mut self, switch: SwitchId, tags: &[Tag]) {
        for tag in tags {
            self.end_attempts(switch, Outcome::Unreachable, |call| call.tag == *tag);
        }
    }

    /// Ends the attempt whose set-up is too long to be sent.
    pub fn fail_oversized_set_up(&mut self, switch: SwitchId, tag: Tag) {
        self.end_unsent_attempt(switch, tag, Outcome::Failed, EndReason::SetUpTooLong);
    }

    /// Ends an attempt whose set-up is not sent because the process at the address of the switch may be one of
    /// another exchange.
    pub fn refuse_unconfirmed_switch(&mut self, switch: SwitchId, tag: Tag) {
        self.end_unsent_attempt(switch, tag, Outcome::NotSent, EndReason::ProcessUnconfirmed);
    }

    /// Ends an attempt whose set-up is not sent to its switch.
    fn end_unsent_attempt(&mut self, switch: SwitchId, tag: Tag, outcome: Outcome, reason: EndReason) {
        let Some(id) = self.call_ids.get(&tag).copied() else { return };
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.attempt_at(switch).is_some()) else {
            return;
        };
        let Some(attempt) = call.take_attempt(&mut self.timers) else { return };
        self.pending_events.push(Event::AttemptEnded(AttemptEnd {
            call: id,
            attempt_number: attempt.number,
            switch,
            outcome,
            reason,
            call_closed: false,
            report: LoadReport::default(),
        }));
    }

    /// Whether a call may go to no other exchange than the one that it is sent to.
    pub fn is_bound_to_exchange(&self, tag: Tag) -> bool {
        let call = self.call_ids.get(&tag).and_then(|id| self.calls.get(id));
        call.is_some_and(|call| is_bound_to_exchange(call, &self.has_eligible_pools))
    }

    /// The connection to a switch on which a call was set up that the switch has answered.
    pub fn answered_call_connection(&self, switch: SwitchId, tag: Tag) -> Option<SwitchConnectionId> {
        match self.calls.get(self.call_ids.get(&tag)?)?.state {
            CallState::Answered { switch: answering, connection, .. } if answering == switch => connection,
            _ => None,
        }
    }

    /// The set-up of a call's attempt at a switch has been written to a connection.
    pub fn handle_set_up_written(&mut self, switch: SwitchId, tag: Tag, connection: SwitchConnectionId) {
        let call = self.call_ids.get(&tag).and_then(|id| self.calls.get_mut(id));
        if let Some(Call { state: CallState::Unanswered(Some(attempt)), .. }) = call
            && attempt.switch == switch
        {
            attempt.connection = Some(connection);
        }
    }

    /// A connection to a switch has ended, and with it the attempts whose set-ups were written to it.
    pub fn handle_connection_lost(&mut self, switch: SwitchId, connection: SwitchConnectionId) {
        self.end_attempts_on(switch, connection, Outcome::Reset);
    }

    /// The gatekeeper has closed a connection on which the switch did not respond, and answers to the set-ups
    /// that were written to it can no longer arrive. The attempts count as timed out: another connection has
    /// shown that the switch is up.
    pub fn handle_connection_abandoned(&mut self, switch: SwitchId, connection: SwitchConnectionId) {
        self.end_attempts_on(switch, connection, Outcome::TimedOut);
    }

    /// Ends the attempts whose set-ups were written to a connection that is closed. They are released as well:
    /// the switch may have answered one, the answer was lost, and an answered call stays up without the
    /// connection.
    fn end_attempts_on(&mut self, switch: SwitchId, connection: SwitchConnectionId, outcome: Outcome) {
        let is_on_connection = |call: &Call| call.attempt_on(connection).is_some();
        for tag in self.end_attempts(switch, outcome, is_on_connection) {
            self.release_at_switch(tag, switch);
        }
    }

    /// Ends the attempts at a switch of those calls that `selected` accepts. Returns the tags of these calls.
    fn end_attempts(
        &mut self, switch: SwitchId, outcome: Outcome, selected: impl Fn(&Call) -> bool,
    ) -> Vec<Tag> {
        let mut ended = Vec::new();
        for (id, call) in self.calls.iter_mut().filter(|(_, call)| selected(call)) {
            if call.attempt_at(switch).is_some()
                && let Some(attempt) = call.take_attempt(&mut self.timers)
            {
                ended.push((*id, call.tag, attempt.number));
            }
        }
        for (id, _, attempt) in &ended {
            self.push_attempt_end(*id, *attempt, switch, outcome, false);
        }
        ended.into_iter().map(|(_, tag, _)| tag).collect()
    }

    /// A switch has failed, has restarted, is gone or cannot be reached: releases the calls that it answered
    /// and whose set-ups were sent before `sent_before`.
    pub fn handle_switch_down(&mut self, now: Micros, switch: SwitchId, sent_before: Micros) {
        let affected = |call: &Call| match call.state {
            CallState::Answered { switch: answering, sent_at, .. } => {
                answering == switch && sent_at < sent_before
            }
            CallState::Unanswered(_) => false,
        };
        let ids: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| affected(call)).map(|(id, _)| *id).collect();
        for id in ids {
            // The switch may only be cut off. When it is back, it must not keep the call up.
            if let Some(tag) = self.calls.get(&id).map(|call| call.tag) {
                self.release_at_switch(tag, switch);
            }
            self.end_answered_call(now, id, cause::TEMPORARY_FAILURE, Outcome::Reset, LoadReport::default());
        }
    }

    /// Takes an update of the switch list.
    pub fn handle_switch_list(&mut self, update: SwitchListUpdate) {
        self.pending_events.push(Event::SwitchList(update));
    }

    /// Removes an answered call and releases it towards its caller.
    fn end_answered_call(
        &mut self, now: Micros, id: CallId, cause: u8, outcome: Outcome, report: LoadReport,
    ) {
        let Some(call) = self.remove_call(now, id) else { return };
        let CallState::Answered { switch, attempt_number, .. } = call.state else { return };
        self.commands.push(Command::ReleaseToCaller {
            connection: Some(call.connection),
            tag: call.tag,
            cause,
        });
        self.pending_events.push(Event::AttemptEnded(AttemptEnd {
            call: id,
            attempt_number,
            switch,
            outcome,
            reason: EndReason::Unknown,
            call_closed: true,
            report,
        }));
    }

    // Timers and the controller.

    /// When the next batch or timer is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        let batch = (!self.pending_events.is_empty()).then_some(self.next_batch_at);
        [batch, self.timers.next_deadline()].into_iter().flatten().min()
    }

    /// Handles an expired timer of call control; those of the network code are ignored.
    pub fn handle_timer(&mut self, now: Micros, event: TimerEvent) {
        match event {
            TimerEvent::ControllerTimer { token } => {
                self.controller_timers.remove(&token);
                self.pending_events.push(Event::Timer(token));
            }
            TimerEvent::AttemptTimeout { call, attempt } => {
                self.abandon_attempt(call, attempt, Outcome::TimedOut);
            }
            TimerEvent::ProbeTimeout(tag) => self.handle_probe_result(now, tag, false, LoadReport::default()),
            TimerEvent::SwitchConnection(_)
            | TimerEvent::ControlFeed
            | TimerEvent::CallerMaintenance
            | TimerEvent::CallerInput(_)
            | TimerEvent::Shutdown => {}
        }
    }

    /// Passes the events since the last batch to the controller, if a batch is due, and executes its actions.
    ///
    /// Properties of a batch:
    /// - All events of a batch have the time of the batch and come in order of arrival.
    /// - A batch starts at least the batch interval after the one before.
    /// - Actions are executed in order, after the last event of the batch.
    /// - Events that the actions cause at once are part of the next batch.
    ///
    /// The batches of the simulator's protocol ([`crate::wire`]) have the same properties.
    pub fn run_batch(&mut self, now: Micros) {
        if self.pending_events.is_empty() || now < self.next_batch_at {
            return;
        }
        self.next_batch_at = now + self.min_batch_interval;
        for event in std::mem::take(&mut self.pending_events) {
            self.controller.handle(now, event, &mut self.actions);
        }
        self.execute_actions(now);
        self.ended_tags.remove_expired(now);
    }

    fn execute_actions(&mut self, now: Micros) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::SendSetUp { call, switch, timeout } => self.send_attempt(now, call, switch, timeout),
                Action::Reject { call, back_off } => {
                    self.reject_call(now, call, cause::CONGESTION, back_off);
                }
                Action::Fail(call) => self.reject_call(now, call, cause::TEMPORARY_FAILURE, 0),
                Action::Cancel { call, attempt_number } => {
                    self.abandon_attempt(call, attempt_number, Outcome::Cancelled);
                }
                Action::Probe(switch) => {
                    let tag = self.next_probe_tag();
                    let timer = self.timers.push(now + PROBE_TIMEOUT, TimerEvent::ProbeTimeout(tag));
                    self.probes.insert(tag, Probe { switch, sent_at: now, timer });
                    self.commands.push(Command::Probe { switch, tag });
                }
                // The control feed sends changes to the switch list without being asked.
                Action::Subscribe => {}
                Action::SetTimer { after, token } => {
                    self.cancel_controller_timer(token);
                    let deadline = now.saturating_add(after.max(0));
                    let timer = self.timers.push(deadline, TimerEvent::ControllerTimer { token });
                    self.controller_timers.insert(token, timer);
                }
                Action::CancelTimer { token } => self.cancel_controller_timer(token),
                Action::Log(line) => self.commands.push(Command::Log(line)),
            }
        }
    }

    fn cancel_controller_timer(&mut self, token: u64) {
        if let Some(timer) = self.controller_timers.remove(&token) {
            self.timers.cancel(timer);
        }
    }

    /// Ends an attempt that is still in progress, releases it at its switch and tells the controller.
    fn abandon_attempt(&mut self, id: CallId, number: u32, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.is_attempting(number)) else { return };
        let Some(attempt) = call.take_attempt(&mut self.timers) else { return };
        let withdrawn = attempt.withdrawn();
        call.withdrawn.push(withdrawn);
        let next = if call.transit { AfterWithdrawal::TransitEnded } else { AfterWithdrawal::MayBeSentAgain };
        let tag = call.tag;
        self.commands.push(Command::WithdrawAttempt { tag, attempt: withdrawn, next });
        self.push_attempt_end(id, number, attempt.switch, outcome, false);
    }

    fn send_attempt(&mut self, now: Micros, id: CallId, switch: SwitchId, timeout: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let number = call.next_attempt;
        call.next_attempt += 1;
        if !matches!(call.state, CallState::Unanswered(None)) {
            // A call never has two attempts in progress, and none after its answer, even if the controller
            // decided before it knew of the attempt or the answer.
            return self.push_attempt_end(id, number, switch, Outcome::NotSent, true);
        }
        let deadline = now.saturating_add(timeout).min(call.caller_deadline);
        let bound_to_exchange = is_bound_to_exchange(call, &self.has_eligible_pools);
        let timer = self.timers.push(deadline, TimerEvent::AttemptTimeout { call: id, attempt: number });
        call.state =
            CallState::Unanswered(Some(Attempt { number, switch, sent_at: now, connection: None, timer }));
        self.commands.push(Command::SetUp {
            switch,
            tag: call.tag,
            class: self.names.classes.get(call.class_index).cloned().unwrap_or_default(),
            called_number: call.called_number.clone(),
            deadline,
            session_description: call.session_description.clone(),
            withdrawn: std::mem::take(&mut call.withdrawn),
            bound_to_exchange,
        });
    }

    /// Rejects an unanswered call. A call that has been answered in the meantime is left alone.
    fn reject_call(&mut self, now: Micros, id: CallId, cause: u8, back_off: Micros) {
        if !self.calls.get(&id).is_some_and(|call| matches!(call.state, CallState::Unanswered(_))) {
            return;
        }
        let Some(mut call) = self.remove_call(now, id) else { return };
        if let Some(attempt) = call.take_attempt(&mut self.timers) {
            self.withdraw_attempt(&call, &attempt);
        }
        self.commands.push(Command::Reject { connection: call.connection, tag: call.tag, cause, back_off });
    }

    /// Removes a call from the call table. All calls are removed here, so that their tags and their share of
    /// the bytes of session descriptions are always freed.
    fn remove_call(&mut self, now: Micros, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.call_ids.remove(&call.tag);
        let description_bytes = call.session_description.as_ref().map_or(0, String::len);
        self.unanswered.remove(call.connection, id, description_bytes);
        if call.next_attempt > 0 {
            self.ended_tags.record_sent(now, call.tag);
        } else {
            self.ended_tags.record_unsent(now, call.tag);
        }
        Some(call)
    }

    /// The tag for a probe of a connection, which the controller is not told of; `None` if the settings allow no
    /// probes.
    pub fn connection_probe_tag(&mut self) -> Option<Tag> {
        self.may_probe.then(|| self.next_probe_tag())
    }

    fn next_probe_tag(&mut self) -> Tag {
        self.last_probe_tag = self.last_probe_tag.wrapping_add(1);
        self.last_probe_tag
    }

    /// Releases the attempt of a call that has been removed.
    fn withdraw_attempt(&mut self, call: &Call, attempt: &Attempt) {
        let next = if call.transit { AfterWithdrawal::TransitEnded } else { AfterWithdrawal::Ended };
        let attempt = attempt.withdrawn();
        self.commands.push(Command::WithdrawAttempt { tag: call.tag, attempt, next });
    }

    fn release_at_switch(&mut self, tag: Tag, switch: SwitchId) {
        self.commands.push(Command::ReleaseAtSwitch { switch, tag });
    }

    /// Reports the end of an attempt to the controller. `call_closed` tells it that there is nothing more
    /// to do for the call.
    fn push_attempt_end(
        &mut self, call: CallId, attempt_number: u32, switch: SwitchId, outcome: Outcome, call_closed: bool,
    ) {
        self.pending_events.push(Event::AttemptEnded(AttemptEnd {
            call,
            attempt_number,
            switch,
            outcome,
            reason: EndReason::Unknown,
            call_closed,
            report: LoadReport::default(),
        }));
    }

    /// Rejects all unanswered calls, because the program stops before they would time out.
    pub fn reject_unanswered_calls(&mut self, now: Micros) {
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        ids.into_iter().for_each(|id| self.reject_call(now, id, cause::TEMPORARY_FAILURE, 0));
    }
}

/// Whether a call may go to no other exchange than the one that it is sent to: it is in transit, or only some pools
/// can take it.
fn is_bound_to_exchange(call: &Call, has_eligible_pools: &[bool]) -> bool {
    call.transit || has_eligible_pools.get(call.class_index).copied().unwrap_or(false)
}
