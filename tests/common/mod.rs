//! Settings of a small mesh, made up for the tests: three exchanges with numbers 0 (here), 1 and 2.

/// A `CREATE` line's settings, a pair a line.
#[allow(dead_code)]
pub const CREATE: &str = "familyInfo.here=0
familyInfo.topology=mesh
familyInfo.releaseS=0.2
familyInfo.resendS=0.4
failureDomains=east,west
groupSize=3
kindOfService=trunks
limits.cancel=true
limits.maxRetryAfterS=2.0
limits.mostTries=4
limits.probes=false
limits.retryAfter=true
membershipMode=automatic
overShareWorth=0.1
prices.probe=0.004
reporting.via=none
rules.askWithinS=10.0
rules.coldFrom=0.3
rules.drainGraceS=1.0
rules.fallS=2.0
rules.tipMultiple=2.0
rules.warmWithinS=12.0
services.count=1
services.0.aimS=1.5
services.0.group=all
services.0.lateWorth=0.25
services.0.name=read
services.0.repeat=pure
services.0.repeatWindowS=5.0
services.0.worth=1.0
stepS=0.005
tenants=
";

/// The list of exchanges, for instance `@`.
#[allow(dead_code)]
pub const TOPOLOGY: &str = "LEDGER\t0\t3
ROW\t100\teast\tstd\t0\tin_service\t1\t-
ROW\t101\twest\tstd\t1\tin_service\t1\t-
ROW\t102\twest\tstd\t2\tin_service\t1\t-
TOPOLOGY\t@\tC\t1\t0
";

use wheatpier::control::Controller;
use wheatpier::interface::*;

/// Milliseconds.
#[allow(dead_code)]
pub const fn ms(n: i64) -> Micros {
    n * 1000
}

/// Seconds.
#[allow(dead_code)]
pub const fn sec(n: i64) -> Micros {
    n * 1_000_000
}

/// A send that the module ordered.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub struct Sent {
    pub call: u64,
    pub exchange: u64,
    pub at: Micros,
}

/// A module under test with its timers; it keeps what the module did.
#[allow(dead_code)]
pub struct Rig {
    pub module: Controller,
    pub now: Micros,
    pub timers: Vec<(Micros, u64)>,
    pub sends: Vec<Sent>,
    pub answers: Vec<(u64, Micros)>,
    pub give_up: Vec<(u64, Micros)>,
    pub out: Vec<(u64, u32, u64, Micros)>,
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub refused: usize,
    pub failed: usize,
    pub back_offs: Vec<Micros>,
    pub logs: Vec<String>,
    pub trace: Vec<Action>,
}

/// Settings of the small mesh.
pub fn settings() -> Settings {
    Settings {
        own_exchange: 0,
        gatekeeper_count: 3,
        pool_topology: false,
        must_subscribe: false,
        list_known_after: sec(10),
        classes: vec![CallClass {
            set_up_target: ms(1500),
            value: 1.0,
            late_value_factor: 0.25,
            repeat_policy: RepeatPolicy::Idempotent,
            deduplication_scope: DeduplicationScope::AllExchanges,
            deduplication_window: sec(5),
            eligible_pools: vec![],
        }],
        tenants: vec![],
        over_quota_value_factor: 0.1,
        release_wait: ms(200),
        retransmit_after: ms(400),
        min_batch_interval: ms(5),
        max_attempts: 4,
        may_cancel: true,
        may_probe: false,
        probe_cost: 0.004,
        may_send_back_off: true,
        max_back_off: sec(2),
        drain_grace: sec(1),
        cold_capacity_share: 0.3,
        warm_up_time: sec(12),
        cold_overload_factor: 2.0,
        cold_overload_duration: sec(2),
        load_reports_enabled: false,
    }
}

/// A line of the list.
pub fn listed(exchange: u64, number: i64, health: Health, up_since: Option<Micros>) -> SwitchEntry {
    SwitchEntry { switch: SwitchId(exchange), zone_index: 0, exchange_number: number, health, up_since }
}

#[allow(dead_code)]
impl Rig {
    pub fn new(change: impl Fn(&mut Settings)) -> Self {
        Self::seeded(7, change)
    }

    pub fn seeded(seed: u64, change: impl Fn(&mut Settings)) -> Self {
        let mut settings = settings();
        change(&mut settings);
        let now = sec(100);
        let mut actions = Vec::new();
        let module = Controller::new(settings, seed, now, &mut actions);
        let mut rig = Rig {
            module,
            now,
            timers: vec![],
            sends: vec![],
            answers: vec![],
            give_up: vec![],
            out: vec![],
            attempts: Default::default(),
            refused: 0,
            failed: 0,
            back_offs: vec![],
            logs: vec![],
            trace: vec![],
        };
        rig.take(actions);
        let list = (0..3).map(|n| listed(100 + n, n as i64, Health::InService, None)).collect();
        rig.event(Event::SwitchList(SwitchListUpdate::Full(list)));
        for n in [101, 102] {
            rig.free(n, 10_000.0);
        }
        rig
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match &action {
                Action::SendSetUp { call, switch, timeout } => {
                    let n = self.attempts.entry(call.0).or_insert(0);
                    self.out.push((call.0, *n, switch.0, self.now + timeout));
                    *n += 1;
                    self.sends.push(Sent { call: call.0, exchange: switch.0, at: self.now });
                }
                Action::Reject { call, back_off } => {
                    self.refused += 1;
                    self.back_offs.push(*back_off);
                    self.answers.push((call.0, self.now));
                }
                Action::Fail(call) => {
                    self.failed += 1;
                    self.answers.push((call.0, self.now));
                }
                Action::SetTimer { after, token } => self.timers.push((self.now + after, *token)),
                Action::Log(line) => self.logs.push(line.clone()),
                _ => {}
            }
            self.trace.push(action);
        }
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        self.take(actions);
    }

    /// Lets time pass in steps of 5 ms, with the timers that come due.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(5);
            let now = self.now;
            let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter().for_each(|t| self.event(Event::Timer(t)));
        }
    }

    fn order(&mut self, id: u64, to: i64, called: &str, transit: bool) -> Vec<u64> {
        let give_up_at = self.now + sec(3);
        self.give_up.push((id, give_up_at));
        self.event(Event::NewCall(NewCall {
            id: CallId(id),
            class_index: 0,
            tenant_index: None,
            called_number: called.into(),
            caller_deadline: give_up_at,
            destination: to,
            circuits: 1.0,
            via_exchange: if transit { 2 } else { -1 },
            redial: false,
            transit,
        }));
        self.sent_of(id)
    }

    pub fn call(&mut self, id: u64, to: i64) -> Vec<u64> {
        self.order(id, to, &format!("n{id}"), false)
    }

    pub fn call_number(&mut self, id: u64, to: i64, called: &str) -> Vec<u64> {
        self.order(id, to, called, false)
    }

    pub fn transit(&mut self, id: u64, to: i64) {
        self.order(id, to, &format!("n{id}"), true);
    }

    pub fn free(&mut self, exchange: u64, free: f64) {
        let report =
            LoadReport { free_circuits: Some(free), group_size: Some(30.0), ..LoadReport::default() };
        self.event(Event::SwitchStatus { switch: SwitchId(exchange), answered: true, round_trip: 0, report });
    }

    pub fn change(&mut self, exchange: u64, number: i64, health: Health, up_since: Option<Micros>) {
        self.event(Event::SwitchList(SwitchListUpdate::Changes(vec![listed(
            exchange, number, health, up_since,
        )])));
    }

    pub fn is_out(&self, id: u64) -> bool {
        self.out.iter().any(|o| o.0 == id)
    }

    pub fn stands(&mut self, id: u64, attempt: u32, took: Micros) {
        self.out.retain(|o| o.0 != id);
        self.event(Event::Established { call: CallId(id), attempt, set_up_delay: took });
    }

    pub fn stands_if_out(&mut self, id: u64, took: Micros) {
        if let Some(o) = self.out.iter().find(|o| o.0 == id).cloned() {
            self.stands(id, o.1, took);
        }
    }

    pub fn ended(
        &mut self, id: u64, attempt: u32, exchange: u64, outcome: Outcome, cause: EndReason, closed: bool,
    ) {
        self.out.retain(|o| o.0 != id);
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

    /// Ends as timed out what has been out to this exchange past its time-out.
    pub fn time_out(&mut self, exchange: u64) {
        let now = self.now;
        let due: Vec<_> = self.out.iter().filter(|o| o.2 == exchange && o.3 <= now).cloned().collect();
        for (id, attempt, exchange, _) in due {
            self.ended(id, attempt, exchange, Outcome::TimedOut, EndReason::Unknown, false);
        }
    }

    /// Offers calls until one is sent, and returns it.
    pub fn trial(&mut self, exchange: u64, to: i64, from: u64) -> u64 {
        for id in from..from + 200 {
            if !self.call(id, to).is_empty() {
                return id;
            }
            self.run(ms(50));
            self.time_out(exchange);
        }
        panic!("no trial");
    }

    /// Calls to 1 and 2 in turn, each standing after `took`.
    pub fn steady(&mut self, ids: std::ops::Range<u64>, took: Micros, gap: Micros) {
        for id in ids {
            self.call(id, 1 + (id % 2) as i64);
            self.stands_if_out(id, took);
            self.run(gap);
        }
    }

    pub fn sent_of(&self, id: u64) -> Vec<u64> {
        self.sends.iter().filter(|s| s.call == id).map(|s| s.exchange).collect()
    }

    pub fn answers_of(&self, id: u64) -> usize {
        self.answers.iter().filter(|a| a.0 == id).count()
    }

    pub fn answered(&self, id: u64) -> bool {
        self.answers_of(id) > 0
    }

    pub fn answered_at(&self, id: u64) -> Micros {
        self.answers.iter().find(|a| a.0 == id).map(|a| a.1).unwrap()
    }

    pub fn give_up_of(&self, id: u64) -> Micros {
        self.give_up.iter().find(|g| g.0 == id).map(|g| g.1).unwrap()
    }
}
