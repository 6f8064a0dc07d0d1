//! Random valid events under varied settings, with fixed seeds. A checker that is independent of the module
//! watches every action: exactly one final response (rejection or failure) in time for a call that is not
//! answered, one attempt at a time, the drain grace, the wait for the release, the attempt limit, the routes
//! of transit calls, no set-ups to the own exchange, and no repeat of at-most-once calls that may have been
//! processed.

mod common;
use common::{CLOCK_STEP, RunningTimer, list_entry, millis, secs, settings};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use wheatpier::control::Controller;
use wheatpier::interface::*;

/// A final response may come this long after the call's deadline.
const FINAL_RESPONSE_TOLERANCE: Micros = millis(20);

#[derive(Clone, Copy)]
struct PendingAttempt {
    attempt_number: u32,
    switch: u64,
    times_out_at: Micros,
}

/// What the checker knows of a call.
struct CallRecord {
    destination: ExchangeNumber,
    transit: bool,
    deadline: Micros,
    pending: Option<PendingAttempt>,
    attempts: u32,
    /// When an attempt was last reset, cancelled or timed out: its switch may still have to release it.
    release_awaited_since: Option<Micros>,
    /// A switch may have acted on the set-up of an attempt.
    maybe_processed: bool,
    answered: bool,
    /// The call has its final response or has ended.
    closed: bool,
}

/// What the checker knows of a switch.
struct SwitchRecord {
    exchange_number: ExchangeNumber,
    /// When the module was told that the switch drains or is gone.
    leaving_since: Option<Micros>,
}

/// A controller that is fed random events, and the checker of its actions.
struct Simulation {
    rng: ChaCha8Rng,
    now: Micros,
    controller: Controller,
    settings: Settings,
    timers: Vec<RunningTimer>,
    calls: BTreeMap<u64, CallRecord>,
    switches: BTreeMap<u64, SwitchRecord>,
    set_up_count: usize,
    final_response_count: usize,
}

impl Simulation {
    /// A random number in `0..limit`.
    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        self.check_actions(actions);
    }

    fn check_actions(&mut self, actions: Vec<Action>) {
        let now = self.now;
        let at_most_once = self.settings.classes[0].repeat_policy == RepeatPolicy::AtMostOnce;
        for action in actions {
            match action {
                Action::SendSetUp { call, switch, timeout } => {
                    self.set_up_count += 1;
                    let SwitchRecord { exchange_number, leaving_since } = self.switches[&switch.0];
                    let call = self.calls.get_mut(&call.0).expect("set-up for an unknown call");
                    assert!(!call.closed && !call.answered, "set-up after the call was closed or answered");
                    assert!(call.pending.is_none(), "two attempts of a call in progress");
                    assert!(now < call.deadline, "set-up after the call's deadline");
                    if let Some(since) = leaving_since {
                        assert!(now <= since + self.settings.drain_grace, "set-up after the drain grace");
                    }
                    if let Some(since) = call.release_awaited_since {
                        assert!(now >= since + self.settings.release_wait, "set-up before the release");
                    }
                    assert!(call.attempts < self.settings.max_attempts, "more attempts than allowed");
                    assert!(
                        !call.transit || exchange_number == call.destination,
                        "transit call sent elsewhere than to its destination"
                    );
                    assert!(exchange_number != self.settings.own_exchange, "set-up to the own exchange");
                    assert!(
                        !(at_most_once && call.maybe_processed),
                        "at-most-once call repeated after it may have been processed"
                    );
                    let times_out_at = now + timeout;
                    call.pending = Some(PendingAttempt {
                        attempt_number: call.attempts,
                        switch: switch.0,
                        times_out_at,
                    });
                    call.attempts += 1;
                }
                Action::Reject { call, .. } | Action::Fail(call) => {
                    self.final_response_count += 1;
                    let call = self.calls.get_mut(&call.0).expect("final response to an unknown call");
                    assert!(!call.closed, "final response to a closed call");
                    assert!(
                        now <= call.deadline + FINAL_RESPONSE_TOLERANCE,
                        "final response after the deadline"
                    );
                    if matches!(action, Action::Reject { .. }) {
                        assert!(
                            !(at_most_once && (call.maybe_processed || call.pending.is_some())),
                            "at-most-once call rejected although it may have been processed"
                        );
                    }
                    call.closed = true;
                }
                Action::SetTimer { after, token } => {
                    self.timers.push(RunningTimer { expires_at: now + after, token });
                }
                Action::Cancel { call, attempt_number } => {
                    assert!(self.settings.may_cancel && attempt_number < self.calls[&call.0].attempts);
                }
                Action::Probe(_) => assert!(self.settings.may_probe),
                Action::Subscribe => assert!(self.settings.must_subscribe),
                // As in the simulator, whose timers cannot be cancelled, they all expire.
                Action::CancelTimer { .. } | Action::Log(_) => {}
            }
        }
    }

    /// Ends the attempt of a call that is in progress; does nothing if there is none.
    fn end_attempt(&mut self, id: u64, outcome: Outcome, reason: EndReason) {
        let now = self.now;
        let call = self.calls.get_mut(&id).unwrap();
        let Some(PendingAttempt { attempt_number, switch, .. }) = call.pending.take() else { return };
        if !matches!(outcome, Outcome::Congested | Outcome::NotSent | Outcome::Unreachable) {
            call.maybe_processed = true;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            call.release_awaited_since = Some(now);
        }
        call.closed |= call.answered || outcome == Outcome::Completed;
        let call_closed = call.closed;
        self.handle(Event::AttemptEnded(AttemptEnd {
            call: CallId(id),
            attempt_number,
            switch: SwitchId(switch),
            outcome,
            reason,
            call_closed,
            report: LoadReport::default(),
        }));
    }

    /// Advances the clock by one step, fires expired timers, times attempts out and adds random events. A new
    /// call gets the id `new_id`.
    fn step(&mut self, new_id: u64) {
        self.now += CLOCK_STEP;
        let now = self.now;
        let expired_timers = self.timers.iter().filter(|timer| timer.expires_at <= now);
        let tokens: Vec<u64> = expired_timers.map(|timer| timer.token).collect();
        self.timers.retain(|timer| timer.expires_at > now);
        tokens.into_iter().for_each(|token| self.handle(Event::Timer(token)));
        let has_timed_out = |call: &CallRecord| call.pending.is_some_and(|p| p.times_out_at <= now);
        let timed_out: Vec<u64> =
            self.calls.iter().filter(|(_, call)| has_timed_out(call)).map(|(id, _)| *id).collect();
        for id in timed_out {
            self.end_attempt(id, Outcome::TimedOut, EndReason::Unknown);
        }
        for call in self.calls.values().filter(|call| !call.closed && !call.answered) {
            assert!(now <= call.deadline + FINAL_RESPONSE_TOLERANCE, "no final response by the deadline");
        }
        if self.random_below(3) == 0 {
            let destination = 1 + self.random_below(4) as i64;
            let transit = self.random_below(6) == 0;
            let deadline = now + millis(50 + self.random_below(3000) as i64);
            let record = CallRecord {
                destination,
                transit,
                deadline,
                pending: None,
                attempts: 0,
                release_awaited_since: None,
                maybe_processed: false,
                answered: false,
                closed: false,
            };
            self.calls.insert(new_id, record);
            let request = NewCall {
                id: CallId(new_id),
                class_index: 0,
                tenant_index: None,
                source: CallSource::SINGLE,
                called_number: format!("n{}", self.rng.next_u32() % 9),
                caller_deadline: deadline,
                destination,
                circuits: 1.0,
                via_exchange: -1,
                redial: self.rng.next_u32().is_multiple_of(4),
                transit,
            };
            self.handle(Event::NewCall(request));
        }
        let in_progress: Vec<u64> =
            self.calls.iter().filter(|(_, call)| call.pending.is_some()).map(|(id, _)| *id).collect();
        if !in_progress.is_empty() {
            let id = in_progress[self.random_below(in_progress.len() as u64) as usize];
            match self.random_below(14) {
                0..4 => {
                    let call = self.calls.get_mut(&id).unwrap();
                    if !call.closed && !call.answered {
                        call.answered = true;
                        let pending = call.pending.as_mut().unwrap();
                        // An answered call ends as timed out 20 s later if nothing else ends it.
                        pending.times_out_at += secs(20);
                        let attempt_number = pending.attempt_number;
                        let set_up_delay = millis(40 + self.random_below(900) as i64);
                        self.handle(Event::CallAnswered { call: CallId(id), attempt_number, set_up_delay });
                    }
                }
                4 => self.end_attempt(id, Outcome::Congested, EndReason::RejectedByTandem),
                5 => self.end_attempt(id, Outcome::Congested, EndReason::ProcessorCongested(millis(300))),
                6 => self.end_attempt(id, Outcome::Reset, EndReason::Unknown),
                7 => self.end_attempt(id, Outcome::Unreachable, EndReason::Unknown),
                8 => self.end_attempt(id, Outcome::NotSent, EndReason::NoCircuit),
                9 => self.end_attempt(id, Outcome::Failed, EndReason::SubscriberBusy),
                10 => self.end_attempt(id, Outcome::Completed, EndReason::Unknown),
                11 => {
                    let call = self.calls.get_mut(&id).unwrap();
                    if !call.answered && !call.closed {
                        call.closed = true;
                        self.handle(Event::CallerGone(CallId(id)));
                    }
                }
                _ => {}
            }
        }
        if self.random_below(40) == 0 {
            // Two switches can serve an exchange, with the ids 100 and 200 plus its number.
            let exchange_number = self.random_below(5) as i64;
            let switch = 100 + exchange_number as u64 + 100 * self.random_below(2);
            let health = [Health::InService, Health::InService, Health::Draining, Health::Gone]
                [self.random_below(4) as usize];
            let up_since = (self.random_below(2) == 0).then_some(now - millis(300));
            let already_leaving_since = self.switches.get(&switch).and_then(|record| record.leaving_since);
            let leaving_since = (health != Health::InService).then_some(already_leaving_since.unwrap_or(now));
            self.switches.insert(switch, SwitchRecord { exchange_number, leaving_since });
            let entry = list_entry(switch, exchange_number, health, up_since);
            self.handle(Event::SwitchList(SwitchListUpdate::Changes(vec![entry])));
        }
        if self.random_below(10) == 0 {
            let free_circuits = self.random_below(6) as f64;
            let report = LoadReport {
                free_circuits: Some(free_circuits),
                group_size: Some(20.0),
                ..LoadReport::default()
            };
            let switch = SwitchId(100 + self.random_below(5));
            self.handle(Event::SwitchStatus { switch, answered: true, round_trip: 0, report });
        }
    }
}

/// Runs 3000 steps under settings that depend on the seed; returns the simulation for its counts.
fn run_simulation(seed: u64) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut settings = settings();
    settings.classes[0].repeat_policy =
        [RepeatPolicy::Idempotent, RepeatPolicy::AtMostOnce, RepeatPolicy::Deduplicated]
            [(rng.next_u32() % 3) as usize];
    settings.max_attempts = 1 + rng.next_u32() % 4;
    settings.may_cancel = rng.next_u32().is_multiple_of(2);
    settings.may_send_back_off = rng.next_u32().is_multiple_of(2);
    settings.release_wait = millis(100 + i64::from(rng.next_u32() % 400));
    let now = secs(50);
    let mut actions = Vec::new();
    let controller = Controller::new(settings.clone(), seed, now, &mut actions);
    let record = |exchange_number| SwitchRecord { exchange_number, leaving_since: None };
    let mut simulation = Simulation {
        rng,
        now,
        controller,
        settings,
        timers: vec![],
        calls: BTreeMap::new(),
        switches: (0..5).map(|number| (100 + number as u64, record(number))).collect(),
        set_up_count: 0,
        final_response_count: 0,
    };
    simulation.check_actions(actions);
    let list = (0..5).map(|n| list_entry(100 + n, n as i64, Health::InService, None)).collect();
    simulation.handle(Event::SwitchList(SwitchListUpdate::Full(list)));
    for step in 0..3000 {
        simulation.step(step);
    }
    simulation
}

#[test]
fn random_events_lead_to_valid_actions_only() {
    let mut set_ups = 0;
    let mut final_responses = 0;
    for seed in 0..22 {
        let simulation = run_simulation(seed);
        set_ups += simulation.set_up_count;
        final_responses += simulation.final_response_count;
    }
    // The runs must exercise the module.
    assert!(
        set_ups > 1_500 && final_responses > 3_000,
        "{set_ups} set-ups and {final_responses} final responses"
    );
}
