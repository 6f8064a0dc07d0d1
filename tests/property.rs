//! Random legal events under varied settings, with a fixed seed; an independent checker watches every action
//! for rules 1, 2, 3 and 5, the attempt limit, transit and the own exchange.

mod common;
use common::{listed, ms, sec, settings};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use wheatpier::control::Controller;
use wheatpier::interface::*;

struct Watched {
    to: i64,
    transit: bool,
    give_up_at: Micros,
    /// Attempt out: its number and exchange.
    out: Option<(u32, u64, Micros)>,
    attempts: u32,
    doubtful_at: Option<Micros>,
    may_have_run: bool,
    standing: bool,
    done: bool,
}

struct World {
    rng: ChaCha8Rng,
    now: Micros,
    module: Controller,
    set: Settings,
    timers: Vec<(Micros, u64)>,
    calls: BTreeMap<u64, Watched>,
    /// Number and, when not in service, since when the module knows.
    exchanges: BTreeMap<u64, (i64, Option<Micros>)>,
    sends: usize,
    answers: usize,
}

impl World {
    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendSetUp { call, switch, timeout } => {
                    self.sends += 1;
                    let (number, ending) = self.exchanges[&switch.0];
                    let c = self.calls.get_mut(&call.0).expect("a call that was given");
                    assert!(!c.done && !c.standing, "rule 1: sent after its end");
                    assert!(c.out.is_none(), "rule 2: two attempts out");
                    assert!(self.now < c.give_up_at, "sent after the caller gave up");
                    if let Some(since) = ending {
                        assert!(self.now <= since + self.set.drain_grace, "rule 3");
                    }
                    if let Some(at) = c.doubtful_at {
                        assert!(self.now >= at + self.set.release_wait, "rule 5");
                    }
                    assert!(c.attempts < self.set.max_attempts, "attempt limit");
                    assert!(!c.transit || number == c.to, "transit only to its destination");
                    assert!(number != self.set.own_exchange, "never to the own exchange");
                    let side = self.set.classes[0].repeat_policy == RepeatPolicy::AtMostOnce;
                    assert!(!(side && c.may_have_run), "a side effect twice");
                    c.out = Some((c.attempts, switch.0, self.now + timeout));
                    c.attempts += 1;
                }
                Action::Reject { call, .. } | Action::Fail(call) => {
                    self.answers += 1;
                    let side = self.set.classes[0].repeat_policy == RepeatPolicy::AtMostOnce;
                    let c = self.calls.get_mut(&call.0).expect("a call that was given");
                    assert!(!c.done, "rule 1: two final answers");
                    assert!(self.now <= c.give_up_at + ms(20), "rule 1: too late");
                    if matches!(action, Action::Reject { .. }) {
                        assert!(
                            !(side && (c.may_have_run || c.out.is_some())),
                            "refused after it may have run"
                        );
                    }
                    c.done = true;
                }
                Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
                Action::Cancel { call, attempt } => {
                    assert!(self.set.may_cancel && attempt < self.calls[&call.0].attempts);
                }
                Action::Probe(_) => assert!(self.set.may_probe),
                Action::Subscribe => assert!(self.set.must_subscribe),
                Action::Log(_) => {}
            }
        }
    }

    fn end(&mut self, id: u64, outcome: Outcome, cause: EndReason) {
        let c = self.calls.get_mut(&id).unwrap();
        let Some((attempt, exchange, _)) = c.out.take() else { return };
        if !matches!(outcome, Outcome::Congested | Outcome::NotSent | Outcome::Unreachable) {
            c.may_have_run = true;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            c.doubtful_at = Some(self.now);
        }
        let closed = c.done || c.standing || outcome == Outcome::Completed;
        c.done |= closed;
        let (call, switch, report) = (CallId(id), SwitchId(exchange), LoadReport::default());
        self.event(Event::AttemptEnded(AttemptEnd {
            call,
            attempt,
            switch,
            outcome,
            reason: cause,
            call_closed: closed,
            report,
        }));
    }

    fn step(&mut self, round: u64) {
        self.now += ms(5);
        let now = self.now;
        let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
        self.timers.retain(|t| t.0 > now);
        due.into_iter().for_each(|t| self.event(Event::Timer(t)));
        let expired: Vec<u64> =
            self.calls.iter().filter(|c| c.1.out.is_some_and(|o| o.2 <= now)).map(|c| *c.0).collect();
        expired.into_iter().for_each(|id| self.end(id, Outcome::TimedOut, EndReason::Unknown));
        for c in self.calls.values().filter(|c| !c.done && !c.standing) {
            assert!(now <= c.give_up_at + ms(20), "rule 1: unanswered");
        }
        if self.below(3) == 0 {
            let (to, transit) = (1 + self.below(4) as i64, self.below(6) == 0);
            let give_up_at = now + ms(50 + self.below(3000) as i64);
            let watched = Watched {
                to,
                transit,
                give_up_at,
                out: None,
                attempts: 0,
                doubtful_at: None,
                may_have_run: false,
                standing: false,
                done: false,
            };
            self.calls.insert(round, watched);
            let new = NewCall {
                id: CallId(round),
                class_index: 0,
                tenant_index: None,
                called_number: format!("n{}", self.rng.next_u32() % 9),
                caller_deadline: give_up_at,
                destination: to,
                circuits: 1.0,
                via_exchange: -1,
                redial: self.rng.next_u32().is_multiple_of(4),
                transit,
            };
            self.event(Event::NewCall(new));
        }
        let out: Vec<u64> = self.calls.iter().filter(|c| c.1.out.is_some()).map(|c| *c.0).collect();
        if !out.is_empty() {
            let id = out[self.below(out.len() as u64) as usize];
            match self.below(14) {
                0..4 => {
                    let c = self.calls.get_mut(&id).unwrap();
                    if !c.done && !c.standing {
                        c.standing = true;
                        let (attempt, _, until) = c.out.unwrap();
                        c.out = Some((attempt, c.out.unwrap().1, until + sec(20)));
                        let took = ms(40 + self.below(900) as i64);
                        self.event(Event::Established { call: CallId(id), attempt, set_up_delay: took });
                    }
                }
                4 => self.end(id, Outcome::Congested, EndReason::RejectedByTandem),
                5 => self.end(id, Outcome::Congested, EndReason::ProcessorCongested(ms(300))),
                6 => self.end(id, Outcome::Reset, EndReason::Unknown),
                7 => self.end(id, Outcome::Unreachable, EndReason::Unknown),
                8 => self.end(id, Outcome::NotSent, EndReason::NoCircuit),
                9 => self.end(id, Outcome::Failed, EndReason::SubscriberBusy),
                10 => self.end(id, Outcome::Completed, EndReason::Unknown),
                11 => {
                    let c = self.calls.get_mut(&id).unwrap();
                    if !c.standing && !c.done {
                        c.done = true;
                        self.event(Event::CallerGone(CallId(id)));
                    }
                }
                _ => {}
            }
        }
        if self.below(40) == 0 {
            let number = self.below(5) as i64;
            let id = 100 + number as u64 + 100 * self.below(2);
            let health = [Health::InService, Health::InService, Health::Draining, Health::Gone]
                [self.below(4) as usize];
            let up = (self.below(2) == 0).then_some(now - ms(300));
            let since = (health != Health::InService).then_some(now);
            let known = self.exchanges.get(&id).and_then(|e| e.1);
            self.exchanges.insert(id, (number, since.map(|s| known.unwrap_or(s))));
            self.event(Event::SwitchList(SwitchListUpdate::Changes(vec![listed(id, number, health, up)])));
        }
        if self.below(10) == 0 {
            let free = self.below(6) as f64;
            let report =
                LoadReport { free_circuits: Some(free), group_size: Some(20.0), ..LoadReport::default() };
            let switch = SwitchId(100 + self.below(5));
            self.event(Event::SwitchStatus { switch, answered: true, round_trip: 0, report });
        }
    }
}

fn play(seed: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut set = settings();
    set.classes[0].repeat_policy =
        [RepeatPolicy::Idempotent, RepeatPolicy::AtMostOnce, RepeatPolicy::Deduplicated]
            [(rng.next_u32() % 3) as usize];
    set.max_attempts = 1 + rng.next_u32() % 4;
    set.may_cancel = rng.next_u32().is_multiple_of(2);
    set.may_send_back_off = rng.next_u32().is_multiple_of(2);
    set.release_wait = ms(100 + i64::from(rng.next_u32() % 400));
    let now = sec(50);
    let mut actions = Vec::new();
    let module = Controller::new(set.clone(), seed, now, &mut actions);
    let exchanges: BTreeMap<_, _> = (0..5).map(|n| (100 + n as u64, (n as i64, None))).collect();
    let calls = BTreeMap::new();
    let mut w = World { rng, now, module, set, timers: vec![], calls, exchanges, sends: 0, answers: 0 };
    w.check(actions);
    let list = (0..5).map(|n| listed(100 + n, n as i64, Health::InService, None)).collect();
    w.event(Event::SwitchList(SwitchListUpdate::Full(list)));
    for round in 0..3000 {
        w.step(round);
    }
    (w.sends, w.answers)
}

#[test]
fn random_days_keep_the_rules() {
    let mut total = (0, 0);
    for seed in 0..22 {
        let (sends, answers) = play(seed);
        total = (total.0 + sends, total.1 + answers);
    }
    // The days must really exercise the module.
    assert!(total.0 > 1_500 && total.1 > 3_000, "{total:?}");
}
