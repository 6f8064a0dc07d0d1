//! Shared by the tests: the settings of a small mesh of three exchanges, with the numbers 0 (the own
//! exchange), 1 and 2, and a harness that drives a controller. Each test program that includes this module
//! uses a part of it: `allow(dead_code)` marks what some of them leave unused.

/// The settings of a `CREATE` line of the adapter, one pair per line.
#[allow(dead_code)]
pub const CREATE_SETTINGS: &str = "familyInfo.here=0
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

/// The adapter's lines that give the full list of the switches to an instance; `@` stands for the instance's
/// id. Fields of a row: switch, zone, host class (not used), exchange, health, capacity (not used), time of
/// the last start in seconds.
#[allow(dead_code)]
pub const SWITCH_LIST_LINES: &str = "LEDGER\t0\t3
ROW\t100\teast\tstd\t0\tin_service\t1\t-
ROW\t101\twest\tstd\t1\tin_service\t1\t-
ROW\t102\twest\tstd\t2\tin_service\t1\t-
TOPOLOGY\t@\tC\t1\t0
";

use std::collections::BTreeMap;
use std::ops::Range;
use wheatpier::control::Controller;
use wheatpier::interface::*;

/// How far one step of a test advances its clock.
#[allow(dead_code)]
pub const CLOCK_STEP: Micros = millis(5);

/// A duration in milliseconds.
#[allow(dead_code)]
pub const fn millis(count: i64) -> Micros {
    count * 1000
}

/// A duration in seconds.
#[allow(dead_code)]
pub const fn secs(count: i64) -> Micros {
    count * 1_000_000
}

/// A timer that has not expired.
pub struct RunningTimer {
    pub expires_at: Micros,
    pub token: u64,
}

/// A set-up that the controller has sent.
#[allow(dead_code)]
pub struct SentSetUp {
    pub call: u64,
    pub switch: u64,
    pub sent_at: Micros,
}

/// An attempt that has been neither answered nor ended.
#[derive(Clone, Copy)]
#[allow(dead_code)]
pub struct PendingAttempt {
    pub call: u64,
    pub attempt_number: u32,
    pub switch: u64,
    pub times_out_at: Micros,
}

/// The rejection or failure by which the controller ends a call.
#[allow(dead_code)]
pub struct FinalResponse {
    pub call: u64,
    pub sent_at: Micros,
}

/// Drives a controller as the gatekeeper does, with a simulated clock, and records its actions.
#[allow(dead_code)]
pub struct Harness {
    pub controller: Controller,
    pub now: Micros,
    pub timers: Vec<RunningTimer>,
    pub set_ups: Vec<SentSetUp>,
    pub final_responses: Vec<FinalResponse>,
    /// Deadline of each call.
    pub deadlines: BTreeMap<u64, Micros>,
    pub pending: Vec<PendingAttempt>,
    /// Number of attempts of each call.
    pub attempt_counts: BTreeMap<u64, u32>,
    pub rejected_count: usize,
    pub failed_count: usize,
    /// Back-off of each rejection.
    pub back_offs: Vec<Micros>,
    pub log_lines: Vec<String>,
    /// All actions in their order.
    pub actions: Vec<Action>,
}

/// Settings of the small mesh.
pub fn settings() -> Settings {
    Settings {
        own_exchange: 0,
        gatekeeper_count: 3,
        pool_topology: false,
        must_subscribe: false,
        list_known_after: secs(10),
        classes: vec![CallClass {
            set_up_target: millis(1500),
            value: 1.0,
            late_value_factor: 0.25,
            repeat_policy: RepeatPolicy::Idempotent,
            deduplication_scope: DeduplicationScope::AllExchanges,
            deduplication_window: secs(5),
            eligible_pools: vec![],
        }],
        tenants: vec![],
        over_quota_value_factor: 0.1,
        release_wait: millis(200),
        retransmit_after: millis(400),
        min_batch_interval: millis(5),
        max_attempts: 4,
        may_cancel: true,
        may_probe: false,
        probe_cost: 0.004,
        may_send_back_off: true,
        max_back_off: secs(2),
        drain_grace: secs(1),
        cold_capacity_share: 0.3,
        warm_up_time: secs(12),
        cold_overload_factor: 2.0,
        cold_overload_duration: secs(2),
        load_reports_enabled: false,
        history_limits: HistoryLimits::default(),
    }
}

/// An entry of the switch list.
pub fn list_entry(
    switch: u64, exchange_number: i64, health: Health, up_since: Option<Micros>,
) -> SwitchEntry {
    SwitchEntry { switch: SwitchId(switch), zone_index: 0, exchange_number, health, up_since }
}

#[allow(dead_code)]
impl Harness {
    /// A controller with the settings of the small mesh as `adjust` changes them. Switches 100, 101 and 102
    /// serve the exchanges 0, 1 and 2, and the groups to 101 and 102 have more than enough free circuits.
    pub fn new(adjust: impl Fn(&mut Settings)) -> Self {
        Self::with_seed(7, adjust)
    }

    pub fn with_seed(seed: u64, adjust: impl Fn(&mut Settings)) -> Self {
        let mut settings = settings();
        adjust(&mut settings);
        let now = secs(100);
        let mut actions = Vec::new();
        let controller = Controller::new(settings, seed, now, &mut actions);
        let mut harness = Harness {
            controller,
            now,
            timers: vec![],
            set_ups: vec![],
            final_responses: vec![],
            deadlines: BTreeMap::new(),
            pending: vec![],
            attempt_counts: BTreeMap::new(),
            rejected_count: 0,
            failed_count: 0,
            back_offs: vec![],
            log_lines: vec![],
            actions: vec![],
        };
        harness.record_actions(actions);
        let list = (0..3).map(|n| list_entry(100 + n, n as i64, Health::InService, None)).collect();
        harness.handle(Event::SwitchList(SwitchListUpdate::Full(list)));
        for switch in [101, 102] {
            harness.report_free_circuits(switch, 10_000.0);
        }
        harness
    }

    fn record_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match &action {
                Action::SendSetUp { call, switch, timeout } => {
                    let attempt_count = self.attempt_counts.entry(call.0).or_insert(0);
                    self.pending.push(PendingAttempt {
                        call: call.0,
                        attempt_number: *attempt_count,
                        switch: switch.0,
                        times_out_at: self.now + timeout,
                    });
                    *attempt_count += 1;
                    self.set_ups.push(SentSetUp { call: call.0, switch: switch.0, sent_at: self.now });
                }
                Action::Reject { call, back_off } => {
                    self.rejected_count += 1;
                    self.back_offs.push(*back_off);
                    self.final_responses.push(FinalResponse { call: call.0, sent_at: self.now });
                }
                Action::Fail(call) => {
                    self.failed_count += 1;
                    self.final_responses.push(FinalResponse { call: call.0, sent_at: self.now });
                }
                Action::SetTimer { after, token } => {
                    self.timers.push(RunningTimer { expires_at: self.now + after, token: *token });
                }
                Action::Log(line) => self.log_lines.push(line.clone()),
                _ => {}
            }
            self.actions.push(action);
        }
    }

    /// Passes an event to the controller and records the actions that follow.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        self.record_actions(actions);
    }

    /// Advances the clock in steps of [`CLOCK_STEP`] and fires the timers that expire.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += CLOCK_STEP;
            let now = self.now;
            let expired = self.timers.iter().filter(|timer| timer.expires_at <= now);
            let tokens: Vec<u64> = expired.map(|timer| timer.token).collect();
            self.timers.retain(|timer| timer.expires_at > now);
            tokens.into_iter().for_each(|token| self.handle(Event::Timer(token)));
        }
    }

    /// A call whose caller gives up after 3 s.
    pub fn call(&self, id: u64, destination: ExchangeNumber, called_number: &str) -> NewCall {
        NewCall {
            id: CallId(id),
            class_index: 0,
            tenant_index: None,
            source: CallSource::SINGLE,
            called_number: called_number.into(),
            caller_deadline: self.now + secs(3),
            destination,
            circuits: 1.0,
            via_exchange: -1,
            redial: false,
            transit: false,
        }
    }

    /// Offers a call. Returns the switches that it was sent to at once.
    pub fn offer_call(&mut self, call: NewCall) -> Vec<u64> {
        let id = call.id.0;
        self.deadlines.entry(id).or_insert(call.caller_deadline);
        self.handle(Event::NewCall(call));
        self.switches_tried(id)
    }

    /// Offers a call to a number that no other call of the test has.
    pub fn new_call(&mut self, id: u64, destination: ExchangeNumber) -> Vec<u64> {
        self.new_call_to(id, destination, &format!("n{id}"))
    }

    /// Offers a call to the given number.
    pub fn new_call_to(&mut self, id: u64, destination: ExchangeNumber, called_number: &str) -> Vec<u64> {
        self.offer_call(self.call(id, destination, called_number))
    }

    /// Offers a transit call that comes from exchange 2.
    pub fn new_transit_call(&mut self, id: u64, destination: ExchangeNumber) {
        let call = self.call(id, destination, &format!("n{id}"));
        self.offer_call(NewCall { via_exchange: 2, transit: true, ..call });
    }

    /// Reports how many circuits of the group to a switch are free. The group has 30 circuits.
    pub fn report_free_circuits(&mut self, switch: u64, free_circuits: f64) {
        let report = LoadReport {
            free_circuits: Some(free_circuits),
            group_size: Some(30.0),
            ..LoadReport::default()
        };
        self.handle(Event::SwitchStatus { switch: SwitchId(switch), answered: true, round_trip: 0, report });
    }

    /// Changes one entry of the switch list.
    pub fn update_switch(
        &mut self, switch: u64, exchange_number: ExchangeNumber, health: Health, up_since: Option<Micros>,
    ) {
        let entry = list_entry(switch, exchange_number, health, up_since);
        self.handle(Event::SwitchList(SwitchListUpdate::Changes(vec![entry])));
    }

    pub fn has_pending_attempt(&self, id: u64) -> bool {
        self.pending.iter().any(|pending| pending.call == id)
    }

    pub fn answer(&mut self, id: u64, attempt_number: u32, set_up_delay: Micros) {
        self.pending.retain(|pending| pending.call != id);
        self.handle(Event::CallAnswered { call: CallId(id), attempt_number, set_up_delay });
    }

    /// Answers a call if an attempt of it is in progress.
    pub fn answer_if_pending(&mut self, id: u64, set_up_delay: Micros) {
        if let Some(pending) = self.pending.iter().find(|pending| pending.call == id).copied() {
            self.answer(id, pending.attempt_number, set_up_delay);
        }
    }

    pub fn end_attempt(
        &mut self, id: u64, attempt_number: u32, switch: u64, outcome: Outcome, reason: EndReason,
        call_closed: bool,
    ) {
        self.pending.retain(|pending| pending.call != id);
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

    /// Ends those attempts at a switch that are due to time out.
    pub fn time_out_attempts(&mut self, switch: u64) {
        let now = self.now;
        let is_due = |pending: &&PendingAttempt| pending.switch == switch && pending.times_out_at <= now;
        let due: Vec<PendingAttempt> = self.pending.iter().filter(is_due).copied().collect();
        for PendingAttempt { call, attempt_number, switch, .. } in due {
            self.end_attempt(call, attempt_number, switch, Outcome::TimedOut, EndReason::Unknown, false);
        }
    }

    /// Offers calls to an exchange, with ids from `first_id` on, until one is sent, and returns its id.
    /// Attempts at `switch` that are due in between time out.
    pub fn offer_until_sent(&mut self, switch: u64, destination: ExchangeNumber, first_id: u64) -> u64 {
        const MAX_CALLS: u64 = 200;
        for id in first_id..first_id + MAX_CALLS {
            if !self.new_call(id, destination).is_empty() {
                return id;
            }
            self.advance(millis(50));
            self.time_out_attempts(switch);
        }
        panic!("none of {MAX_CALLS} calls to exchange {destination} was sent");
    }

    /// Offers calls to the exchanges 1 and 2 in turn, one per `interval`. Each that is sent is answered at
    /// once, and `set_up_delay` is reported as its set-up delay.
    pub fn run_steady_traffic(&mut self, ids: Range<u64>, set_up_delay: Micros, interval: Micros) {
        for id in ids {
            self.new_call(id, 1 + (id % 2) as i64);
            self.answer_if_pending(id, set_up_delay);
            self.advance(interval);
        }
    }

    /// The switches that set-ups of a call were sent to, in order.
    pub fn switches_tried(&self, id: u64) -> Vec<u64> {
        self.set_ups_of(id).map(|set_up| set_up.switch).collect()
    }

    pub fn set_ups_of(&self, id: u64) -> impl Iterator<Item = &SentSetUp> {
        self.set_ups.iter().filter(move |set_up| set_up.call == id)
    }

    pub fn set_ups_at(&self, switch: u64) -> impl Iterator<Item = &SentSetUp> {
        self.set_ups.iter().filter(move |set_up| set_up.switch == switch)
    }

    pub fn has_logged(&self, line: &str) -> bool {
        self.log_lines.iter().any(|logged| logged == line)
    }

    pub fn final_response_count(&self, id: u64) -> usize {
        self.final_responses.iter().filter(|response| response.call == id).count()
    }

    pub fn has_final_response(&self, id: u64) -> bool {
        self.final_response_count(id) > 0
    }

    pub fn final_response_time(&self, id: u64) -> Micros {
        self.final_responses.iter().find(|response| response.call == id).unwrap().sent_at
    }

    pub fn deadline(&self, id: u64) -> Micros {
        self.deadlines[&id]
    }
}
