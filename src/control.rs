//! The decision module: all decisions of wheatpier. Settings, events and actions are defined in
//! `src/interface.rs`.
//!
//! A call leaves by the processor of the own exchange (the own processor) and is set up at a carrier switch,
//! whose processor is the far processor. The pressure on a processor is 1 - d0/d: d is its present set-up
//! delay and d0 its base delay, the delay without load. A set-up delay runs from the set-up to its answer.
//!
//! The usual path of a call: for the own processor and for each far processor, a PI loop on the pressure sets
//! the share of new calls that are rejected before a set-up is sent (the reject ratio). While that share is
//! above 0, admitted calls wait in a short queue (the hold), which a second PI loop drains. A call takes the
//! direct group of circuits if that group has room, else one tandem, chosen at random among those whose group
//! has room beyond the trunk reservation. See docs/design.md for the source of the method and for the
//! exceptions.

use crate::interface::{
    Action, AttemptEnd, CallId, CallSource, DeduplicationScope, EndReason, Event, ExchangeNumber, Health,
    LoadReport, MILLISECOND, Micros, NewCall, Outcome, RepeatPolicy, SECOND, Settings, SwitchEntry, SwitchId,
    SwitchListUpdate,
};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

mod called_numbers;
mod remote_groups;

use called_numbers::CalledNumbers;
use remote_groups::{GroupKey, RemoteGroups};

#[cfg(test)]
mod tests;

// Parameters of the overload control. Symbols and values in parentheses are those of the paper that
// docs/design.md names.

/// Control period of both PI loops.
const CONTROL_PERIOD: Micros = 20 * MILLISECOND;
/// Target of the pressure. 0.7: a set-up may take 3.3 times the base delay before calls are rejected. The
/// paper (CT) names 0.8 or 0.9.
const TARGET_PRESSURE: f64 = 0.7;
/// Gain of the reject ratio (Kpc = Kic), used both as the proportional gain, which has no unit, and as the
/// integral gain, which is per second.
const REJECT_RATIO_GAIN: f64 = 5.0;
/// Upper limit of the reject ratio.
const MAX_REJECT_RATIO: f64 = 0.9;
/// Most that the reject ratio falls in a second. A lack of samples does not prove that the processor has
/// room, and admitting all calls at once would overload it again.
const MAX_REJECT_RATIO_FALL_PER_S: f64 = 0.4;
/// Time constant of the pressure filter (τc).
const PRESSURE_TIME_CONSTANT_S: f64 = 0.1;
/// Shortest time over which the unfiltered pressure decays to 0 when no new samples come; it is longer where
/// samples are used for longer than `MIN_SAMPLE_LIFETIME`.
const MIN_PRESSURE_DECAY_TIME: Micros = 2 * SECOND;
/// Number of the latest set-ups of a processor that are used: a quantile of their delays is the processor's
/// present delay.
const MAX_SAMPLES: usize = 10;
/// The base delay (d0) is the lowest present delay within this time.
const BASE_DELAY_WINDOW: Micros = 60 * SECOND;
/// Proportional gain of the hold's drain rate (Kpq): calls per second for each held call above the target.
const DRAIN_PROPORTIONAL_GAIN: f64 = 20.0;
/// Integral gain of the hold's drain rate (Kiq): calls per second, per second, for each held call above the
/// target.
const DRAIN_INTEGRAL_GAIN: f64 = 130.0;
/// Target of the waiting time in the hold (T̄q).
const HOLD_TARGET_WAIT_S: f64 = 0.05;
/// Time constant of the rate of admitted calls (τ).
const ADMITTED_RATE_TIME_CONSTANT_S: f64 = 0.4;

// Parameters that the paper leaves open.

/// Delay sample of a set-up that timed out, could not be delivered or met a congested processor. Where there
/// are no classes, it stands for "no set-up target". Its product with `QUICK_ANSWER_FACTOR` does not
/// overflow.
const INFINITE_DELAY: Micros = Micros::MAX / 4;
/// Shortest time for which a delay sample is used; with little traffic the time is longer.
const MIN_SAMPLE_LIFETIME: Micros = 3 * SECOND;
/// Longest time for which a delay sample is used.
const MAX_SAMPLE_LIFETIME: Micros = 12 * SECOND;
/// Number of samples required for a delay; with little traffic the number of calls expected within the sample
/// lifetime, at least 1.
const MAX_REQUIRED_SAMPLES: usize = 3;
/// Quantile of the set-up delays to a far processor that is taken for its delay.
const FAR_PROCESSOR_QUANTILE: f64 = 0.5;
/// Quantile of the set-up delays to all far processors that is taken for the delay of the own processor. It
/// is low enough that a single slow far processor does not raise it.
const OWN_PROCESSOR_QUANTILE: f64 = 0.25;
/// A set-up without an answer is overdue after this multiple of the base delay.
const OVERDUE_FACTOR: Micros = 2;
/// Most overdue set-ups to one far processor that count as overdue at the own processor, so that no single
/// far processor determines the pressure of the own processor.
const MAX_OVERDUE_PER_SWITCH: usize = 2;
/// Trunk reservation: circuits of a group that are always kept free for direct calls.
const MIN_RESERVED_CIRCUITS: f64 = 1.0;
/// Trunk reservation: additional share of the group that is kept free when all direct calls are blocked.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Time constant of the rates of calls offered (by exchange, tenant and value), of direct calls blocked and
/// of calls over tandems.
const TRAFFIC_TIME_CONSTANT_S: f64 = 8.0;
/// Time constant of the traffic offered to a processor while it is warm.
const WARM_TRAFFIC_TIME_CONSTANT_S: f64 = 4.0 * TRAFFIC_TIME_CONSTANT_S;
/// Set-up delay over a tandem, as a multiple of the direct one: three processors handle the call instead of
/// two.
const TANDEM_SET_UP_FACTOR: f64 = 1.5;
/// Attempts in a row without a response after which a processor is suspected to be down.
const MISSED_RESPONSES_UNTIL_SUSPECTED: u32 = 2;
/// First interval between trial calls to a suspected processor, as a share of the shortest set-up target. The
/// interval shortens with the target: where the target is half a second, intervals of seconds would reject
/// nearly all calls after a short silence.
const FIRST_TRIAL_INTERVAL_SHARE: f64 = 4.0 / 15.0;
/// Longest interval between trial calls, as a share of the shortest set-up target.
const MAX_TRIAL_INTERVAL_SHARE: f64 = 4.0 / 3.0;
/// Longest time-out of an attempt over a tandem, or to a processor that answers quickly, as a share of the
/// set-up target, so that another attempt can follow within the target.
const SHORT_TIMEOUT_TARGET_SHARE: f64 = 0.5;
/// A processor answers quickly if this multiple of its delay is less than the time available.
const QUICK_ANSWER_FACTOR: Micros = 4;
/// Most by which a surge of traffic raises the calls allowed to a cold processor, as a multiple of its warm
/// traffic. The processor's capacity also covers calls that it originates itself, which this traffic does not
/// include, so it bears more than its warm traffic.
const MAX_COLD_SURGE: f64 = 1.8;
/// Back-off sent with a rejection, as a share of the set-up target, so that a redial can still meet the
/// target, which runs from the first try. A busy number gets the longest back-off instead.
const BACK_OFF_TARGET_SHARE: f64 = 0.25;
/// If no event was handled for this long although a tick was due, this process itself was stalled.
const STALL_TIME: Micros = 10 * CONTROL_PERIOD;
/// An unanswered call is ended this many batch intervals before its caller gives up, so that the rejection
/// comes in time.
const DEADLINE_MARGIN_BATCHES: Micros = 2;
/// Mean time from a failure of the switch list to the next subscription.
const RESUBSCRIBE_DELAY: Micros = SECOND;
/// How long the state of a switch is kept after it has begun to drain or is gone.
const LEAVING_SWITCH_RETENTION: Micros = BASE_DELAY_WINDOW;
/// How long the state of an exchange is kept for its next switch.
const EXCHANGE_RETENTION: Micros = 600 * SECOND;

// Timer tokens: the kind in the lowest two bits, the call's id above them.
const TIMER_KIND_BITS: u32 = 2;
const TIMER_KIND_MASK: u64 = 3;
const TIMER_TICK: u64 = 0;
const TIMER_RESUBSCRIBE: u64 = 1;
const TIMER_DEADLINE: u64 = 2;
const TIMER_RETRY: u64 = 3;

fn timer_token(kind: u64, call: CallId) -> u64 {
    call.0 << TIMER_KIND_BITS | kind
}

/// Weight that remains of an exponential average after `elapsed`.
fn decay_factor(elapsed: Micros, time_constant_s: f64) -> f64 {
    (-(elapsed.max(0) as f64) / 1e6 / time_constant_s).exp()
}

/// A rate per second, averaged exponentially. Each rate is always read and updated with the same time
/// constant. `value_per_s` is the value at `updated_at`, without the decay since.
#[derive(Default)]
struct AverageRate {
    value_per_s: f64,
    updated_at: Micros,
}

impl AverageRate {
    fn read(&self, now: Micros, time_constant_s: f64) -> f64 {
        self.value_per_s * decay_factor(now - self.updated_at, time_constant_s)
    }

    fn add(&mut self, now: Micros, time_constant_s: f64, amount: f64) {
        self.value_per_s = self.read(now, time_constant_s) + amount / time_constant_s;
        self.updated_at = now;
    }
}

#[derive(Clone, Copy, PartialEq)]
enum CallState {
    /// No attempt is in progress; the call is about to be routed or ended.
    Unrouted,
    /// Admitted, and waiting in the hold of a processor.
    Held,
    /// An attempt is in progress.
    Attempting { switch: SwitchId, sent_at: Micros, tandem: bool },
    /// Waits for `Call::next_attempt_not_before` before the next attempt.
    AwaitingRelease,
    /// The call is answered.
    Answered,
}

/// When and where an attempt was sent.
struct SentAttempt {
    sent_at: Micros,
    switch: SwitchId,
}

struct Call {
    request: NewCall,
    /// When the caller first tried, as far as is known.
    first_tried_at: Micros,
    state: CallState,
    /// Number of attempts sent.
    attempt_count: u32,
    /// Exchanges that attempts were sent to, directly or as tandem.
    tried_exchanges: Vec<ExchangeNumber>,
    /// No new attempt is sent before this time: the switch may still have to release the last one.
    next_attempt_not_before: Micros,
    /// The first attempt whose set-up the far processor may have acted on.
    maybe_processed: Option<SentAttempt>,
}

/// State of an exchange, whichever processor serves it.
#[derive(Default)]
struct Exchange {
    /// The switch in service there; the newest where there are several.
    switch_in_service: Option<SwitchId>,
    /// Direct calls that found no free circuit.
    blocked_calls: AverageRate,
    /// Calls to this exchange for which no earlier try is known.
    offered_calls: AverageRate,
    /// Those of them that came while the processor was warm, averaged over a longer time.
    warm_calls: AverageRate,
    /// Average share of time in which the processor was warm, over the same longer time:
    /// `warm_calls / warm_share` is the rate of calls while warm.
    warm_share: AverageRate,
    /// Calls that this gatekeeper may send to a cold processor, as of `cold_budget_at`.
    cold_budget_calls: f64,
    cold_budget_at: Micros,
    /// When the controller last knew of a switch there.
    last_served_at: Micros,
}

/// A set-up delay, or a quantile of several.
struct DelaySample {
    measured_at: Micros,
    delay: Micros,
}

/// Overload control of one processor: its pressure and the two PI loops that respond to it.
#[derive(Default)]
struct OverloadControl {
    /// The latest set-up delays.
    samples: VecDeque<DelaySample>,
    /// A set-up to this processor has failed since the last one that was answered.
    failed_since_last_answer: bool,
    /// When a probe was last answered. Set-ups sent before then that stay unanswered were lost on the way.
    probe_answered_at: Micros,
    /// Present delays of the last `BASE_DELAY_WINDOW` that are lower than all later ones, in rising order.
    /// The first is the base delay.
    base_delay_candidates: VecDeque<DelaySample>,
    /// For how long a sample is used; depends on the traffic.
    sample_lifetime: Micros,
    /// How many samples are needed to know the delay; depends on the traffic.
    required_samples: usize,
    /// Pressure from the last load report.
    reported_pressure: f64,
    /// When the last load report with a pressure came; 0 if none has.
    reported_at: Micros,
    /// Present delay at the quantile in use, where there are enough samples.
    delay: Option<Micros>,
    /// When the last sample came or a set-up was last overdue.
    last_evidence_at: Micros,
    /// The filtered pressure.
    pressure: f64,
    ratio_integral: f64,
    reject_ratio: f64,
    /// Admitted calls that wait to be sent, in order of arrival.
    hold: VecDeque<CallId>,
    drain_integral: f64,
    /// Number of calls that may leave the hold now, with a fraction.
    drain_credit: f64,
    /// Calls that were not rejected.
    admitted_calls: AverageRate,
}

impl OverloadControl {
    /// The base delay d0: the lowest present delay of the last `BASE_DELAY_WINDOW`.
    fn base_delay(&self) -> Option<Micros> {
        self.base_delay_candidates.front().map(|candidate| candidate.delay)
    }

    /// The base delay, at most `max_base_delay`, which also stands in for a base delay that is not known.
    fn bounded_base_delay(&self, max_base_delay: Micros) -> Micros {
        self.base_delay().unwrap_or(max_base_delay).min(max_base_delay)
    }

    /// The delay beyond the base delay, which is the wait that this processor adds.
    fn queueing_delay(&self) -> Micros {
        self.delay.zip(self.base_delay()).map_or(0, |(delay, base_delay)| (delay - base_delay).max(0))
    }

    fn add_sample(&mut self, now: Micros, delay: Micros) {
        self.samples.push_back(DelaySample { measured_at: now, delay });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.last_evidence_at = now;
    }

    /// Updates the present delay d and the base delay d0 and returns the unfiltered pressure 1 - d0/d; 0
    /// while d is not known. `overdue` has the delay so far of each overdue set-up; these delays take the
    /// place of the oldest samples.
    fn measure_pressure(
        &mut self, now: Micros, overdue: &[Micros], quantile: f64, max_base_delay: Micros,
    ) -> f64 {
        while self.samples.front().is_some_and(|sample| sample.measured_at + self.sample_lifetime < now) {
            self.samples.pop_front();
        }
        let samples_used = MAX_SAMPLES.saturating_sub(overdue.len()).min(self.samples.len());
        let latest = self.samples.iter().rev().take(samples_used);
        let mut delays: Vec<Micros> = latest.map(|sample| sample.delay).collect();
        delays.extend(overdue.iter().take(MAX_SAMPLES));
        delays.sort_unstable();
        let enough = delays.len() >= self.required_samples;
        self.delay = enough.then(|| delays[(delays.len() as f64 * quantile) as usize]);
        if !overdue.is_empty() {
            self.last_evidence_at = now;
        }
        let Some(delay) = self.delay else { return 0.0 };
        let enough_for_base_delay = overdue.is_empty() && delays.len() > MAX_SAMPLES / 2;
        if enough_for_base_delay {
            while self.base_delay_candidates.back().is_some_and(|candidate| candidate.delay >= delay) {
                self.base_delay_candidates.pop_back();
            }
            self.base_delay_candidates.push_back(DelaySample { measured_at: now, delay });
        }
        while self
            .base_delay_candidates
            .front()
            .is_some_and(|candidate| candidate.measured_at + BASE_DELAY_WINDOW < now)
        {
            self.base_delay_candidates.pop_front();
        }
        // The bound matters after a start during an outage: the processor has never answered quickly, and
        // without the bound the pressure would stay 0.
        let base_delay = self.bounded_base_delay(max_base_delay);
        (1.0 - base_delay as f64 / delay.max(1) as f64).max(0.0)
    }

    /// Adapts the lifetime of samples and the number required to the traffic.
    fn adapt_to_traffic(&mut self, calls_per_s: f64) {
        // The lower limit of the rate avoids a division by zero.
        let lifetime = (MAX_REQUIRED_SAMPLES as f64 / calls_per_s.max(1e-3) * 1e6) as Micros;
        self.sample_lifetime = lifetime.clamp(MIN_SAMPLE_LIFETIME, MAX_SAMPLE_LIFETIME);
        let expected_samples = (calls_per_s * self.sample_lifetime as f64 / 1e6).round() as usize;
        self.required_samples = expected_samples.clamp(1, MAX_REQUIRED_SAMPLES);
    }

    /// One control period of both PI loops.
    fn run_control_period(&mut self, now: Micros, measured_pressure: f64) {
        let period_s = CONTROL_PERIOD as f64 / 1e6;
        // With a sample lifetime of `MIN_SAMPLE_LIFETIME` this is `MIN_PRESSURE_DECAY_TIME`; a longer
        // lifetime raises it in proportion.
        let decay_time = MIN_PRESSURE_DECAY_TIME.max(self.sample_lifetime * 2 / 3);
        let weight_of = |time: Micros| (1.0 - (now - time) as f64 / decay_time as f64).clamp(0.0, 1.0);
        // A recent load report takes the place of the measured pressure.
        let report_is_recent = self.reported_at + decay_time / 2 > now && self.reported_at > 0;
        let unfiltered = if report_is_recent {
            self.reported_pressure * weight_of(self.reported_at)
        } else {
            measured_pressure * weight_of(self.last_evidence_at)
        };
        self.pressure +=
            (unfiltered - self.pressure) * (1.0 - decay_factor(CONTROL_PERIOD, PRESSURE_TIME_CONSTANT_S));

        let pressure_error = self.pressure - TARGET_PRESSURE;
        // Anti-windup at both ends: the integral by itself stays within the range of the reject ratio.
        self.ratio_integral = (self.ratio_integral + REJECT_RATIO_GAIN * pressure_error * period_s)
            .clamp(0.0, MAX_REJECT_RATIO);
        let ratio = (REJECT_RATIO_GAIN * pressure_error + self.ratio_integral).clamp(0.0, MAX_REJECT_RATIO);
        self.reject_ratio = ratio.max(self.reject_ratio - MAX_REJECT_RATIO_FALL_PER_S * period_s);

        let held_calls = self.hold.len() as f64;
        let admitted_per_s = self.admitted_calls.read(now, ADMITTED_RATE_TIME_CONSTANT_S);
        let target_held_calls = HOLD_TARGET_WAIT_S * admitted_per_s;
        let excess_calls = held_calls - target_held_calls;
        // While calls are rejected, at most one call leaves the hold in a control period.
        let max_drain_per_s = 1.0 / period_s;
        self.drain_integral =
            (self.drain_integral + DRAIN_INTEGRAL_GAIN * excess_calls * period_s).clamp(0.0, max_drain_per_s);
        let drain_per_s =
            (DRAIN_PROPORTIONAL_GAIN * excess_calls + self.drain_integral).clamp(0.0, max_drain_per_s);
        self.drain_credit = if held_calls > 0.0 { self.drain_credit + drain_per_s * period_s } else { 0.0 };
    }

    /// Moves the calls that may leave the hold to `drained`; all of them while no calls are rejected.
    fn drain_hold(&mut self, drained: &mut Vec<CallId>) {
        while !self.hold.is_empty() && (self.reject_ratio <= 0.0 || self.drain_credit >= 1.0) {
            self.drain_credit = (self.drain_credit - 1.0).max(0.0);
            drained.extend(self.hold.pop_front());
        }
    }
}

/// An attempt in progress.
struct PendingAttempt {
    sent_at: Micros,
    call: CallId,
}

/// State of a switch and of the group of circuits towards it.
struct Switch {
    entry: SwitchEntry,
    /// When the controller learned that the switch drains or is gone.
    leaving_since: Option<Micros>,
    /// Free circuits of the group, where they were reported.
    free_circuits: Option<f64>,
    /// Circuits of the group; 0 until they are reported.
    group_size: f64,
    overload: OverloadControl,
    /// Attempts in progress, the oldest first.
    pending: Vec<PendingAttempt>,
    /// Attempts without a response since the last response.
    missed_responses: u32,
    /// When an attempt last ended without a response.
    last_missed_response_at: Micros,
    /// The processor is suspected to be down: only single trial calls are sent to it.
    suspected: bool,
    /// Interval between trial calls, as a share of the shortest set-up target.
    trial_interval_share: f64,
    next_trial_at: Micros,
}

impl Switch {
    fn new(entry: SwitchEntry, free_circuits: Option<f64>, group_size: f64) -> Self {
        Switch {
            entry,
            leaving_since: None,
            free_circuits,
            group_size,
            overload: OverloadControl::default(),
            pending: vec![],
            missed_responses: 0,
            last_missed_response_at: 0,
            suspected: false,
            trial_interval_share: FIRST_TRIAL_INTERVAL_SHARE,
            next_trial_at: 0,
        }
    }

    fn in_service(&self) -> bool {
        self.entry.health == Health::InService
    }

    fn is_cold(&self, now: Micros, settings: &Settings) -> bool {
        self.entry.up_since.is_some_and(|up_since| now < up_since + settings.warm_up_time)
    }

    /// Counts the circuits of a set-up as free again that was never sent.
    fn return_circuits(&mut self, circuits: f64) {
        self.free_circuits = self.free_circuits.map(|free| (free + circuits).min(self.group_size.max(free)));
    }

    /// Whether a suspected processor may be sent a trial call; there is one at a time.
    fn is_trial_due(&self, now: Micros) -> bool {
        now >= self.next_trial_at && self.pending.is_empty()
    }
}

/// A route chosen for a call.
struct Route {
    switch: SwitchId,
    /// The switch is used as a tandem.
    tandem: bool,
    timeout: Micros,
}

/// The decisions of one gatekeeper.
pub struct Controller {
    settings: Settings,
    rng: ChaCha8Rng,
    calls: BTreeMap<CallId, Call>,
    switches: BTreeMap<SwitchId, Switch>,
    /// The own processor. Its delay is not measured directly; it is the `OWN_PROCESSOR_QUANTILE` of the
    /// set-up delays to all switches, each taken relative to the switch's base delay (see
    /// `record_set_up_delay`).
    own_processor: OverloadControl,
    /// When a call was last answered.
    last_answered_at: Micros,
    started_at: Micros,
    remote_groups: RemoteGroups,
    exchanges: BTreeMap<ExchangeNumber, Exchange>,
    called_numbers: CalledNumbers,
    /// Calls offered, by value in thousandths, the lowest first.
    offered_by_value: BTreeMap<i64, AverageRate>,
    /// Calls of each tenant for which no earlier try is known.
    tenant_calls: Vec<AverageRate>,
    /// Calls over a tandem that showed whether the second leg, from the tandem to the destination, had room.
    second_leg_attempts: AverageRate,
    /// Those of them whose second leg had room.
    second_leg_successes: AverageRate,
    /// When this process last resumed after a stall.
    resumed_at: Micros,
    last_event_at: Micros,
}

impl Controller {
    /// A controller without any state; its first actions are appended to `actions`.
    pub fn new(settings: Settings, seed: u64, now: Micros, actions: &mut Vec<Action>) -> Self {
        if settings.must_subscribe {
            actions.push(Action::Subscribe);
        }
        actions.push(Action::SetTimer { after: CONTROL_PERIOD, token: TIMER_TICK });
        let mut own_processor = OverloadControl::default();
        // Every set-up passes the own processor. Its traffic is always taken to be high, for the shortest
        // sample lifetime and the highest number of required samples.
        own_processor.adapt_to_traffic(1e3);
        let tenant_calls = settings.tenants.iter().map(|_| AverageRate::default()).collect();
        let history_limits = settings.history_limits;
        Controller {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls: BTreeMap::new(),
            switches: BTreeMap::new(),
            own_processor,
            last_answered_at: now,
            started_at: now,
            remote_groups: RemoteGroups::new(history_limits.remote_groups),
            exchanges: BTreeMap::new(),
            called_numbers: CalledNumbers::new(history_limits.called_numbers, seed),
            offered_by_value: BTreeMap::new(),
            tenant_calls,
            second_leg_attempts: AverageRate::default(),
            second_leg_successes: AverageRate::default(),
            resumed_at: now,
            last_event_at: now,
        }
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // After a stall of this process all that came in meanwhile looks late, which proves nothing about the
        // far processors.
        if now > self.last_event_at + STALL_TIME {
            self.resumed_at = now;
        }
        self.last_event_at = now;
        match event {
            Event::SwitchList(update) => self.on_switch_list(now, update, actions),
            Event::NewCall(request) => {
                let id = request.id;
                self.on_new_call(now, request, actions);
                self.start_deadline_timer(now, id, actions);
            }
            Event::CallAnswered { call, attempt_number, set_up_delay } => {
                self.on_call_answered(now, call, attempt_number, set_up_delay, actions);
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, actions),
            Event::CallerGone(call) => self.on_caller_gone(now, call, actions),
            Event::Timer(TIMER_TICK) => self.on_tick(now, actions),
            Event::Timer(TIMER_RESUBSCRIBE) => actions.push(Action::Subscribe),
            Event::Timer(token) => {
                let call = CallId(token >> TIMER_KIND_BITS);
                self.on_call_timer(now, token & TIMER_KIND_MASK, call, actions);
            }
            Event::SwitchStatus { switch, answered, round_trip, report } => {
                self.on_load_report(now, switch, &report);
                if answered && round_trip > 0 {
                    self.switches.entry(switch).and_modify(|s| s.overload.probe_answered_at = now);
                    self.on_response(switch, actions);
                }
            }
            Event::PeerMessage { .. } => {}
        }
    }

    /// A random number in [0, 1) with 53 random bits, the precision of an `f64`.
    fn random_unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// `span` times a random factor in [0.75, 1.25).
    fn with_jitter(&mut self, span: Micros) -> Micros {
        (span as f64 * (0.75 + 0.5 * self.random_unit())) as Micros
    }

    /// A share of the shortest set-up target of all classes.
    fn share_of_shortest_target(&self, share: f64) -> Micros {
        let targets = self.settings.classes.iter().map(|class| class.set_up_target);
        targets.map(|target| (target as f64 * share) as Micros).min().unwrap_or(INFINITE_DELAY)
    }

    fn on_switch_list(&mut self, now: Micros, update: SwitchListUpdate, actions: &mut Vec<Action>) {
        let entries = match update {
            SwitchListUpdate::Failed => {
                let after = self.with_jitter(RESUBSCRIBE_DELAY);
                return actions.push(Action::SetTimer { after, token: TIMER_RESUBSCRIBE });
            }
            SwitchListUpdate::Changes(entries) => entries,
            SwitchListUpdate::Full(entries) => {
                for switch in self.switches.values_mut() {
                    if !entries.iter().any(|entry| entry.switch == switch.entry.switch) {
                        switch.entry.health = Health::Gone;
                        switch.leaving_since.get_or_insert(now);
                    }
                }
                entries
            }
        };
        for entry in entries {
            let id = entry.switch;
            let exchange_number = entry.exchange_number;
            let first_budget = self.random_unit();
            let exchange = self.exchanges.entry(exchange_number).or_default();
            let known = self.switches.get(&id);
            let has_started = known.is_none_or(|switch| {
                entry.up_since != switch.entry.up_since && entry.health == Health::InService
            });
            if has_started {
                // The budget starts with a random part of one call. Otherwise each of many gatekeepers could
                // send a first call at once, which together would overload the cold processor.
                exchange.cold_budget_calls = first_budget;
                exchange.cold_budget_at = now;
                // A machine that replaces another serves the same group of circuits.
                let predecessor = known
                    .or_else(|| self.switches.values().find(|s| s.entry.exchange_number == exchange_number));
                let (free_circuits, group_size) =
                    predecessor.map_or((None, 0.0), |switch| (switch.free_circuits, switch.group_size));
                self.switches.insert(id, Switch::new(entry.clone(), free_circuits, group_size));
            }
            let switch = self.switches.get_mut(&id).expect("known before or just inserted");
            switch.entry = entry;
            switch.leaving_since =
                if switch.in_service() { None } else { switch.leaving_since.or(Some(now)) };
        }
        self.exchanges.values_mut().for_each(|exchange| exchange.switch_in_service = None);
        let mut in_service: Vec<&Switch> = self.switches.values().filter(|s| s.in_service()).collect();
        in_service.sort_by_key(|switch| switch.entry.up_since.unwrap_or(0));
        for switch in in_service {
            let exchange = self.exchanges.entry(switch.entry.exchange_number).or_default();
            exchange.switch_in_service = Some(switch.entry.switch);
        }
    }

    fn on_load_report(&mut self, now: Micros, id: SwitchId, report: &LoadReport) {
        let max_base_delay = self.max_base_delay();
        let Some(switch) = self.switches.get_mut(&id) else { return };
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        switch.free_circuits = report.free_circuits.filter(is_valid).or(switch.free_circuits);
        switch.group_size = report.group_size.filter(is_valid).unwrap_or(switch.group_size);
        // A reported wait is put on the scale of the measured pressure: the delay is the base delay plus the
        // wait.
        let base_delay = switch.overload.bounded_base_delay(max_base_delay) as f64;
        let pressure_from_wait = report.wait_us.filter(is_valid).map(|wait| wait / (base_delay + wait));
        if let Some(pressure) = pressure_from_wait.or(report.requested_reduction.filter(is_valid)) {
            switch.overload.reported_pressure = pressure;
            switch.overload.reported_at = now;
        }
    }

    /// Records a set-up delay as a sample of the far processor and, unless it is infinite, of the own
    /// processor. For the far processor, the queueing delay of the own processor, which all set-ups have, is
    /// subtracted, but not so far that the sample falls below the far processor's base delay. For the own
    /// processor, the sample is the delay in excess of the far processor's base delay, added to the same
    /// `max_base_delay()` for all far processors: otherwise traffic that moves to more distant exchanges
    /// would look like pressure on the own processor.
    fn record_set_up_delay(&mut self, now: Micros, id: SwitchId, delay: Micros) {
        let own_queueing_delay = self.own_processor.queueing_delay();
        let max_base_delay = self.max_base_delay();
        if let Some(switch) = self.switches.get_mut(&id) {
            if delay < INFINITE_DELAY {
                let base_delay = switch.overload.bounded_base_delay(max_base_delay);
                self.own_processor.add_sample(now, max_base_delay + (delay - base_delay).max(0));
            }
            let least_delay = switch.overload.base_delay().unwrap_or(0).min(delay);
            if delay != INFINITE_DELAY {
                switch.overload.failed_since_last_answer = false;
            }
            switch.overload.add_sample(now, (delay - own_queueing_delay).max(least_delay));
        }
    }

    /// A processor has responded: with an answer, a release or the answer to a probe.
    fn on_response(&mut self, id: SwitchId, actions: &mut Vec<Action>) {
        let Some(switch) = self.switches.get_mut(&id) else { return };
        switch.missed_responses = 0;
        if switch.suspected {
            switch.suspected = false;
            switch.trial_interval_share = FIRST_TRIAL_INTERVAL_SHARE;
            actions.push(Action::Log(format!("switch {} answers again", id.0)));
        }
    }

    /// An attempt has ended without a response.
    fn on_missed_response(&mut self, now: Micros, id: SwitchId, timed_out: bool, actions: &mut Vec<Action>) {
        let interval_share = self.switches.get(&id).map(|switch| switch.trial_interval_share);
        let interval = interval_share.map_or(0, |share| self.share_of_shortest_target(share));
        let interval = self.with_jitter(interval);
        let Some(switch) = self.switches.get_mut(&id) else { return };
        // A connection that breaks ends all attempts on it at the same time: they count once, however many.
        if !timed_out && switch.last_missed_response_at == now {
            return;
        }
        switch.missed_responses += 1;
        switch.last_missed_response_at = now;
        if switch.suspected {
            switch.trial_interval_share = (switch.trial_interval_share * 2.0).min(MAX_TRIAL_INTERVAL_SHARE);
            switch.next_trial_at = now + interval;
        } else if switch.missed_responses >= MISSED_RESPONSES_UNTIL_SUSPECTED {
            switch.suspected = true;
            switch.next_trial_at = now + interval;
            actions.push(Action::Log(format!("switch {} does not answer: trial calls only", id.0)));
        }
    }

    /// Records what a call over a tandem showed of the second leg, from the tandem to the destination.
    fn record_second_leg(
        &mut self, now: Micros, tandem: SwitchId, destination: ExchangeNumber, had_room: bool,
        source: CallSource,
    ) {
        let Some(switch) = self.switches.get(&tandem) else { return };
        let group = GroupKey::new(switch.entry.exchange_number, destination);
        self.remote_groups.record(now, group, had_room, source);
        self.second_leg_attempts.add(now, TRAFFIC_TIME_CONSTANT_S, 1.0);
        self.second_leg_successes.add(now, TRAFFIC_TIME_CONSTANT_S, f64::from(had_room));
    }

    /// Records what a caller's set-up says of a group of circuits between two other exchanges. It proves
    /// nothing as long as no call of that caller was answered: whoever names groups at will must not keep
    /// others from their routes.
    fn record_claimed_group(&mut self, now: Micros, group: GroupKey, had_room: bool, source: CallSource) {
        let are_listed = group.ends().iter().all(|exchange| self.exchanges.contains_key(exchange));
        if source.is_trusted && are_listed {
            self.remote_groups.record(now, group, had_room, source);
        }
    }

    /// Upper bound of the base delay, so that a base delay learned during an overload does not hide the
    /// overload. With this bound, the delay at the target pressure is at most a third of the shortest
    /// set-up target, and at most the time after which a sender repeats a waiting set-up: repeated set-ups
    /// add to the load.
    fn max_base_delay(&self) -> Micros {
        let targets = self.settings.classes.iter().map(|class| class.set_up_target / 3);
        let third_of_target = targets.min().unwrap_or(INFINITE_DELAY);
        let retransmit_after =
            if self.settings.retransmit_after > 0 { self.settings.retransmit_after } else { third_of_target };
        ((1.0 - TARGET_PRESSURE) * third_of_target.min(retransmit_after) as f64) as Micros
    }

    fn on_tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after: CONTROL_PERIOD, token: TIMER_TICK });
        let mut drained = Vec::new();
        let mut overdue_at_own_processor = Vec::new();
        let max_base_delay = self.max_base_delay();
        let own_queueing_delay = self.own_processor.queueing_delay();
        let resumed_at = self.resumed_at;
        for switch in self.switches.values_mut() {
            let base_delay = switch.overload.bounded_base_delay(max_base_delay);
            let overdue_after = OVERDUE_FACTOR * base_delay;
            let ages = switch.pending.iter().map(|attempt| now - attempt.sent_at.max(resumed_at));
            let most_counted = if switch.suspected { 0 } else { MAX_OVERDUE_PER_SWITCH };
            let overdue_ages = ages.clone().filter(|age| *age > overdue_after).take(most_counted);
            overdue_at_own_processor.extend(overdue_ages.map(|age| max_base_delay + age - base_delay));
            let far_delays = ages.map(|age| age - own_queueing_delay);
            let overdue_at_switch: Vec<Micros> = far_delays.filter(|delay| *delay > overdue_after).collect();
            let exchange = &self.exchanges[&switch.entry.exchange_number];
            switch.overload.adapt_to_traffic(exchange.offered_calls.read(now, TRAFFIC_TIME_CONSTANT_S));
            let pressure = switch.overload.measure_pressure(
                now,
                &overdue_at_switch,
                FAR_PROCESSOR_QUANTILE,
                max_base_delay,
            );
            switch.overload.run_control_period(now, pressure);
            switch.overload.drain_hold(&mut drained);
        }
        let own = &mut self.own_processor;
        let pressure =
            own.measure_pressure(now, &overdue_at_own_processor, OWN_PROCESSOR_QUANTILE, max_base_delay);
        let was_overloaded = own.reject_ratio > 0.0;
        own.run_control_period(now, pressure);
        own.drain_hold(&mut drained);
        if (own.reject_ratio > 0.0) != was_overloaded {
            let state = if was_overloaded { "no longer overloaded" } else { "overloaded" };
            actions.push(Action::Log(format!("own processor {state}")));
        }
        for id in drained {
            if let Some(call) = self.calls.get_mut(&id) {
                call.state = CallState::Unrouted;
                self.route(now, id, actions);
            }
        }
        if now % SECOND < CONTROL_PERIOD {
            // Once a second, remove the state that has expired.
            self.called_numbers.remove_expired(now);
            self.remote_groups.remove_expired(now);
            self.switches.retain(|_, switch| {
                let left_long_ago =
                    switch.leaving_since.is_some_and(|since| since + LEAVING_SWITCH_RETENTION < now);
                !left_long_ago || !switch.pending.is_empty()
            });
            for switch in self.switches.values() {
                let exchange = self.exchanges.entry(switch.entry.exchange_number);
                exchange.and_modify(|exchange| exchange.last_served_at = now);
            }
            self.exchanges.retain(|_, exchange| exchange.last_served_at + EXCHANGE_RETENTION > now);
        }
    }

    fn on_call_timer(&mut self, now: Micros, kind: u64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if kind == TIMER_RETRY
            && call.state == CallState::AwaitingRelease
            && now >= call.next_attempt_not_before
        {
            call.state = CallState::Unrouted;
            self.route(now, id, actions);
        } else if kind == TIMER_DEADLINE && call.state != CallState::Answered {
            if matches!(call.state, CallState::Attempting { .. }) && self.settings.may_cancel {
                actions.push(Action::Cancel { call: id, attempt_number: call.attempt_count - 1 });
            }
            self.reject_or_fail(id, false, actions);
        }
    }

    fn on_new_call(&mut self, now: Micros, request: NewCall, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.calls.contains_key(&id) || request.class_index >= self.settings.classes.len() {
            return;
        }
        let destination = request.destination;
        let via_exchange = request.via_exchange;
        let transit = request.transit;
        let source = request.source;
        let number_is_busy = self.called_numbers.is_busy(now, &request.called_number);
        let earlier_try_at = self.called_numbers.take_first_try(now, &request.called_number);
        let first_tried_at = earlier_try_at.filter(|_| !transit).unwrap_or(now);
        let no_earlier_try_known = first_tried_at == now;
        let call = Call {
            request,
            first_tried_at,
            state: CallState::Unrouted,
            attempt_count: 0,
            tried_exchanges: vec![],
            next_attempt_not_before: 0,
            maybe_processed: None,
        };
        let value = self.call_value(now, &call);
        if !transit && no_earlier_try_known {
            let tenant_calls = call.request.tenant_index.and_then(|tenant| self.tenant_calls.get_mut(tenant));
            tenant_calls.into_iter().for_each(|rate| rate.add(now, TRAFFIC_TIME_CONSTANT_S, 1.0));
        }
        self.calls.insert(id, call);
        if transit {
            // The call comes over this exchange because the group from its origin to its destination is full
            // or does not exist.
            self.record_claimed_group(now, GroupKey::new(via_exchange, destination), false, source);
            return self.route(now, id, actions);
        }
        if via_exchange >= 0 {
            // The advice is seconds old. It counts as a group seen with room, unless that group was found
            // full since.
            let group = GroupKey::new(via_exchange, destination);
            if !self.remote_groups.was_full(now, group) {
                self.record_claimed_group(now, group, true, source);
            }
        }
        let Some(switch_id) = self.switch_serving(destination).filter(|_| !number_is_busy) else {
            return self.reject_or_fail(id, number_is_busy, actions);
        };
        self.offered_by_value.entry(value).or_default().add(now, TRAFFIC_TIME_CONSTANT_S, 1.0);
        let switch = &self.switches[&switch_id];
        let is_cold = switch.is_cold(now, &self.settings);
        let calls_without_earlier_try = f64::from(no_earlier_try_known);
        let exchange = self.exchanges.entry(destination).or_default();
        exchange.offered_calls.add(now, TRAFFIC_TIME_CONSTANT_S, calls_without_earlier_try);
        let warm_calls = if is_cold { 0.0 } else { calls_without_earlier_try };
        let warm_time = if is_cold { 0 } else { now - exchange.warm_share.updated_at.max(self.started_at) };
        exchange.warm_calls.add(now, WARM_TRAFFIC_TIME_CONSTANT_S, warm_calls);
        exchange.warm_share.add(now, WARM_TRAFFIC_TIME_CONSTANT_S, warm_time as f64 / 1e6);
        // The reject ratio of a suspected processor does not apply to trial calls: the processor has had no
        // samples.
        let is_trial = switch.suspected && switch.is_trial_due(now);
        let own_ratio = self.own_processor.reject_ratio;
        let far_ratio = if is_trial { 0.0 } else { switch.overload.reject_ratio };
        if self.should_reject(now, own_ratio, value) || self.should_reject(now, far_ratio, value) {
            return self.reject_or_fail(id, false, actions);
        }
        let switch = self.switches.get_mut(&switch_id).expect("a switch in service is known");
        switch.overload.admitted_calls.add(now, ADMITTED_RATE_TIME_CONSTANT_S, 1.0);
        self.own_processor.admitted_calls.add(now, ADMITTED_RATE_TIME_CONSTANT_S, 1.0);
        if own_ratio.max(far_ratio) > 0.0 && !switch.suspected {
            let overload = if far_ratio > 0.0 { &mut switch.overload } else { &mut self.own_processor };
            overload.hold.push_back(id);
            self.calls.get_mut(&id).expect("inserted above").state = CallState::Held;
        } else {
            self.route(now, id, actions);
        }
    }

    /// Starts the timer that ends a call before its caller gives up. A call that was rejected at once has
    /// none.
    fn start_deadline_timer(&self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let margin = DEADLINE_MARGIN_BATCHES * self.settings.min_batch_interval;
        let after = (call.request.caller_deadline - margin - now).max(0);
        actions.push(Action::SetTimer { after, token: timer_token(TIMER_DEADLINE, id) });
    }

    /// The value of a call in thousandths, in steps of 50: that of its class, less for a call that is late or
    /// beyond its tenant's quota.
    fn call_value(&self, now: Micros, call: &Call) -> i64 {
        let class = &self.settings.classes[call.request.class_index];
        let mut value = class.value;
        // A redial for which no earlier try is known counts as late at the time at which it arrives.
        let arrives_without_earlier_try = call.attempt_count == 0 && call.first_tried_at == now;
        if now >= call.first_tried_at + class.set_up_target
            || (call.request.redial && arrives_without_earlier_try)
        {
            value *= class.late_value_factor;
        }
        if let Some(tenant) = call.request.tenant_index.filter(|tenant| *tenant < self.tenant_calls.len()) {
            let calls_per_s: f64 =
                self.tenant_calls.iter().map(|rate| rate.read(now, TRAFFIC_TIME_CONSTANT_S)).sum();
            let quotas_per_s: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
            // The tenant's quota at this gatekeeper: the part of the traffic here that corresponds to the
            // tenant's share of the sum of all quotas.
            let quota_per_s = calls_per_s * self.settings.tenants[tenant].quota_per_s / quotas_per_s;
            let tenant_per_s = self.tenant_calls[tenant].read(now, TRAFFIC_TIME_CONSTANT_S);
            let share_within_quota = (quota_per_s / tenant_per_s).min(1.0);
            value *= share_within_quota + (1.0 - share_within_quota) * self.settings.over_quota_value_factor;
        }
        (value * 20.0).round() as i64 * 50
    }

    /// Decides whether a call of this value is among those that a reject ratio rejects. Calls of the lowest
    /// value are rejected first.
    fn should_reject(&mut self, now: Micros, reject_ratio: f64, value: i64) -> bool {
        if reject_ratio <= 0.0 {
            return false;
        }
        let offered_per_s = |counts: &dyn Fn(i64) -> bool| -> f64 {
            let rates = self.offered_by_value.iter().filter(|(offered_value, _)| counts(**offered_value));
            rates.map(|(_, rate)| rate.read(now, TRAFFIC_TIME_CONSTANT_S)).sum()
        };
        let to_reject_per_s = reject_ratio * offered_per_s(&|_| true);
        let lower_per_s = offered_per_s(&|offered_value| offered_value < value);
        let equal_per_s = offered_per_s(&|offered_value| offered_value == value);
        // What remains to be rejected after all calls of lower value is spread over the calls of this value.
        // The lower limit of their rate avoids a division by zero.
        let probability = (to_reject_per_s - lower_per_s) / equal_per_s.max(1e-9);
        self.random_unit() < probability
    }

    /// The switch in service at an exchange; the newest where there are several.
    fn switch_serving(&self, exchange: ExchangeNumber) -> Option<SwitchId> {
        self.exchanges.get(&exchange)?.switch_in_service
    }

    /// Sends a call by the route chosen for it; rejects it if there is none.
    fn route(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let sent = match self.choose_route(now, id) {
            Some(route) => self.send_set_up(now, id, &route, actions),
            None => false,
        };
        if !sent {
            self.reject_or_fail(id, false, actions);
        }
    }

    /// The route for a call, direct or over a tandem; `None` if there is none.
    fn choose_route(&mut self, now: Micros, id: CallId) -> Option<Route> {
        let random_for_unknown_second_leg = self.random_unit();
        let call = self.calls.get(&id)?;
        let destination = call.request.destination;
        let circuits = call.request.circuits;
        let transit = call.request.transit;
        let class = &self.settings.classes[call.request.class_index];
        let time_to_target = call.first_tried_at + class.set_up_target - now;
        let time_left = if time_to_target > 0 { time_to_target } else { class.set_up_target };
        let short_timeout =
            time_left.min((class.set_up_target as f64 * SHORT_TIMEOUT_TARGET_SHARE) as Micros);
        let direct = self.switch_serving(destination)?;
        // For a transit call this exchange is the tandem: the call leaves the reserved circuits of the group
        // to direct calls.
        let reserved = if transit { self.reserved_circuits(now, direct) } else { 0.0 };
        if transit || self.free_circuits(direct) >= circuits {
            let leave_time_to_repeat = !transit && self.answers_quickly(direct, short_timeout);
            let timeout = if leave_time_to_repeat { short_timeout } else { time_left };
            let has_room = self.free_circuits(direct) >= circuits + reserved;
            return has_room.then_some(Route { switch: direct, tandem: false, timeout });
        }
        let exchange = self.exchanges.entry(destination).or_default();
        exchange.blocked_calls.add(now, TRAFFIC_TIME_CONSTANT_S, 1.0);
        if self.switches[&direct].suspected {
            // A tandem would lead to the same processor.
            return None;
        }
        // Usable tandems, and whether the second leg, from there to the destination, was last seen with room.
        let mut tandems: Vec<(SwitchId, bool)> = Vec::new();
        for (exchange_number, exchange) in &self.exchanges {
            if *exchange_number == destination || call.tried_exchanges.contains(exchange_number) {
                continue;
            }
            let is_eligible = !self.settings.pool_topology
                || class.eligible_pools.is_empty()
                || class.eligible_pools.contains(exchange_number);
            let Some(tandem) = exchange.switch_in_service.filter(|_| is_eligible) else { continue };
            let second_leg = GroupKey::new(*exchange_number, destination);
            let second_leg_had_room = self.remote_groups.had_room(now, second_leg);
            let has_room = second_leg_had_room != Some(false)
                && self.free_circuits(tandem) >= circuits + self.reserved_circuits(now, tandem);
            if has_room && self.may_send(now, id, tandem, true) {
                tandems.push((tandem, second_leg_had_room == Some(true)));
            }
        }
        // A call over a tandem loads three processors, in vain if the second leg is full. Tandems whose
        // second leg is not known to have room are used only if there are no others, and not while the own
        // processor is overloaded. For a call's further attempts they are used with a probability that is the
        // share of second legs that had room lately; one attempt with room is counted in advance.
        let attempts_per_s =
            self.second_leg_attempts.read(now, TRAFFIC_TIME_CONSTANT_S) + 1.0 / TRAFFIC_TIME_CONSTANT_S;
        let successes_per_s =
            self.second_leg_successes.read(now, TRAFFIC_TIME_CONSTANT_S) + 1.0 / TRAFFIC_TIME_CONSTANT_S;
        let may_try_unknown =
            call.attempt_count == 0 || random_for_unknown_second_leg * attempts_per_s < successes_per_s;
        let any_known = tandems.iter().any(|(_, known_room)| *known_room);
        if !may_try_unknown || self.own_processor.reject_ratio > 0.0 || any_known {
            tandems.retain(|(_, known_room)| *known_room);
        }
        if tandems.is_empty() {
            return None;
        }
        let value = self.call_value(now, call);
        let (tandem, _) = tandems[(self.random_unit() * tandems.len() as f64) as usize];
        let tandem_ratio = self.switches[&tandem].overload.reject_ratio;
        let is_rejected = self.should_reject(now, tandem_ratio, value);
        (!is_rejected).then_some(Route { switch: tandem, tandem: true, timeout: short_timeout })
    }

    /// Whether set-ups at a processor are known to take well below `time_available`, with no calls rejected
    /// there or at the own processor. An unanswered set-up can then be repeated without adding to an
    /// overload: its answer was probably lost.
    fn answers_quickly(&self, id: SwitchId, time_available: Micros) -> bool {
        let Some(switch) = self.switches.get(&id) else { return false };
        if switch.suspected || switch.overload.reject_ratio.max(self.own_processor.reject_ratio) > 0.0 {
            return false;
        }
        let delay = switch.overload.delay.or(self.own_processor.delay);
        delay.is_some_and(|delay| QUICK_ANSWER_FACTOR * delay < time_available)
    }

    /// Free circuits towards a switch; infinite until they have been reported.
    fn free_circuits(&self, id: SwitchId) -> f64 {
        self.switches.get(&id).map_or(0.0, |switch| switch.free_circuits.unwrap_or(f64::INFINITY))
    }

    /// Trunk reservation: circuits towards a switch that are kept free for direct calls. The more of those
    /// were blocked lately, the more are kept.
    fn reserved_circuits(&self, now: Micros, id: SwitchId) -> f64 {
        let Some(switch) = self.switches.get(&id) else { return 0.0 };
        let Some(exchange) = self.exchanges.get(&switch.entry.exchange_number) else { return 0.0 };
        let offered_per_s = exchange.offered_calls.read(now, TRAFFIC_TIME_CONSTANT_S);
        let blocked_share = if offered_per_s > 0.0 {
            exchange.blocked_calls.read(now, TRAFFIC_TIME_CONSTANT_S) / offered_per_s
        } else {
            0.0
        };
        MIN_RESERVED_CIRCUITS + (MAX_RESERVED_SHARE * blocked_share.min(1.0) * switch.group_size).round()
    }

    /// Whether a call may be sent to a switch now.
    fn may_send(&self, now: Micros, id: CallId, switch_id: SwitchId, tandem: bool) -> bool {
        let (Some(call), Some(switch)) = (self.calls.get(&id), self.switches.get(&switch_id)) else {
            return false;
        };
        let exchange_number = switch.entry.exchange_number;
        let is_direct = exchange_number == call.request.destination;
        let class = &self.settings.classes[call.request.class_index];
        let can_be_answered =
            now + DEADLINE_MARGIN_BATCHES * self.settings.min_batch_interval < call.request.caller_deadline;
        let is_released = now >= call.next_attempt_not_before;
        let is_unrouted = call.state == CallState::Unrouted;
        let has_attempts_left = call.attempt_count < self.settings.max_attempts;
        // A transit call goes on to its destination only.
        let is_allowed_route = is_direct || (!call.request.transit && tandem);
        let is_own_exchange = exchange_number == self.settings.own_exchange && !self.settings.pool_topology;
        let may_be_repeated = match (class.repeat_policy, &call.maybe_processed) {
            (RepeatPolicy::Idempotent, _) | (_, None) => true,
            (RepeatPolicy::AtMostOnce, Some(_)) => false,
            (RepeatPolicy::Deduplicated, Some(first)) => {
                let first_entry = self.switches.get(&first.switch).map(|switch| &switch.entry);
                let in_scope = match class.deduplication_scope {
                    DeduplicationScope::AllExchanges => true,
                    DeduplicationScope::Zone => {
                        first_entry.is_some_and(|e| e.zone_index == switch.entry.zone_index)
                    }
                    DeduplicationScope::Exchange => {
                        first_entry.is_some_and(|e| e.exchange_number == exchange_number)
                    }
                };
                in_scope && now < first.sent_at + class.deduplication_window
            }
        };
        // A cold processor gets direct calls only, within its budget. A suspected processor gets direct calls
        // only, as trial calls.
        let within_cold_budget =
            !switch.is_cold(now, &self.settings) || (is_direct && self.cold_budget(now, switch) >= 1.0);
        let within_trial_limit = !switch.suspected || (is_direct && switch.is_trial_due(now));
        can_be_answered
            && is_released
            && is_unrouted
            && has_attempts_left
            && switch.in_service()
            && is_allowed_route
            && !is_own_exchange
            && may_be_repeated
            && within_cold_budget
            && within_trial_limit
    }

    /// Calls that this gatekeeper may now send to a cold processor. The gatekeepers do not coordinate: each
    /// allows itself a part that corresponds to its own traffic when the processor was warm, so that the sum
    /// over all gatekeepers does not overload the processor.
    fn cold_budget(&self, now: Micros, switch: &Switch) -> f64 {
        let exchange = &self.exchanges[&switch.entry.exchange_number];
        let age = (now - switch.entry.up_since.unwrap_or(now)).max(0) as f64;
        let warm_up_progress = (age / self.settings.warm_up_time.max(1) as f64).min(1.0);
        let cold_share = self.settings.cold_capacity_share;
        let capacity_share = cold_share + (1.0 - cold_share) * warm_up_progress * warm_up_progress;
        let offered_per_s = exchange.offered_calls.read(now, TRAFFIC_TIME_CONSTANT_S);
        // The traffic is averaged over warm time alone, so that it does not fade where processors are
        // replaced one after the other and are hardly ever warm.
        let warm_share = exchange.warm_share.value_per_s.max(1.0 / TRAFFIC_TIME_CONSTANT_S);
        let warm_calls_per_s = exchange.warm_calls.value_per_s / warm_share;
        // A surge of traffic at the time of the start would raise the part of every gatekeeper: it is
        // limited.
        let calls_per_s = if warm_calls_per_s > 0.0 {
            offered_per_s.max(warm_calls_per_s).min(MAX_COLD_SURGE * warm_calls_per_s)
        } else {
            offered_per_s
        };
        let budget_per_s = self.settings.cold_overload_factor * capacity_share * calls_per_s;
        let elapsed_s = (now - exchange.cold_budget_at).max(0) as f64 / 1e6;
        // At most a third of the calls that would overload the processor may be saved up.
        let overload_calls = budget_per_s * self.settings.cold_overload_duration as f64 / 1e6;
        let max_budget = (overload_calls / 3.0).max(1.0);
        (exchange.cold_budget_calls + budget_per_s * elapsed_s).min(max_budget)
    }

    /// Sends a call by a route; false if the call may not be sent there now.
    fn send_set_up(&mut self, now: Micros, id: CallId, route: &Route, actions: &mut Vec<Action>) -> bool {
        if !self.may_send(now, id, route.switch, route.tandem) {
            return false;
        }
        let switch = &self.switches[&route.switch];
        let exchange_number = switch.entry.exchange_number;
        let is_cold = switch.is_cold(now, &self.settings);
        let cold_budget = self.cold_budget(now, switch);
        let trial_interval = self.share_of_shortest_target(switch.trial_interval_share);
        let trial_interval = self.with_jitter(trial_interval);
        let exchange = self.exchanges.entry(exchange_number).or_default();
        if is_cold {
            exchange.cold_budget_calls = cold_budget - 1.0;
            exchange.cold_budget_at = now;
        }
        let switch = self.switches.get_mut(&route.switch).expect("may_send() found the switch");
        let call = self.calls.get_mut(&id).expect("may_send() found the call");
        if switch.suspected {
            switch.next_trial_at = now + trial_interval;
        }
        switch.free_circuits = switch.free_circuits.map(|free| free - call.request.circuits);
        switch.pending.push(PendingAttempt { sent_at: now, call: id });
        call.state = CallState::Attempting { switch: route.switch, sent_at: now, tandem: route.tandem };
        call.attempt_count += 1;
        call.tried_exchanges.push(exchange_number);
        let timeout = route.timeout.max(self.settings.min_batch_interval);
        actions.push(Action::SendSetUp { call: id, switch: route.switch, timeout });
        true
    }

    fn on_call_answered(
        &mut self, now: Micros, id: CallId, attempt_number: u32, set_up_delay: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| attempt_number + 1 == call.attempt_count)
        else {
            return;
        };
        let CallState::Attempting { switch, sent_at, tandem } = call.state else { return };
        call.state = CallState::Answered;
        actions.push(Action::CancelTimer { token: timer_token(TIMER_DEADLINE, id) });
        let destination = call.request.destination;
        let source = call.request.source;
        if tandem {
            self.record_second_leg(now, switch, destination, true, source);
        }
        let direct_set_up_delay =
            if tandem { (set_up_delay as f64 / TANDEM_SET_UP_FACTOR) as Micros } else { set_up_delay };
        self.remove_pending(id, switch);
        self.on_response(switch, actions);
        self.last_answered_at = now;
        // Where the set-up was sent before a stall and the answer is handled right after it, the answer may
        // have waited for this process: the measured delay proves nothing.
        if sent_at >= self.resumed_at || now > self.resumed_at {
            self.record_set_up_delay(now, switch, direct_set_up_delay.max(1));
        }
    }

    /// Removes the attempt of a call from those in progress at a switch.
    fn remove_pending(&mut self, id: CallId, switch: SwitchId) {
        let remove = |switch: &mut Switch| switch.pending.retain(|attempt| attempt.call != id);
        self.switches.entry(switch).and_modify(remove);
    }

    fn on_attempt_ended(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        self.on_load_report(now, end.switch, &end.report);
        let id = end.call;
        let outcome = end.outcome;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let CallState::Attempting { switch, sent_at, tandem } = call.state else {
            if end.call_closed {
                self.remove_call(id, actions);
            }
            return;
        };
        if end.attempt_number + 1 != call.attempt_count {
            return;
        }
        call.state = CallState::Unrouted;
        if !matches!(outcome, Outcome::Congested | Outcome::Unreachable | Outcome::NotSent) {
            call.maybe_processed.get_or_insert(SentAttempt { sent_at, switch });
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            call.next_attempt_not_before =
                now + self.settings.release_wait + self.settings.min_batch_interval;
        }
        let set_up_target = self.settings.classes[call.request.class_index].set_up_target;
        let time_to_target = call.first_tried_at + set_up_target - now;
        let source = call.request.source;
        let called_number = call.request.called_number.clone();
        let destination = call.request.destination;
        let transit = call.request.transit;
        let circuits = call.request.circuits;
        self.remove_pending(id, switch);
        if matches!(outcome, Outcome::Completed | Outcome::Failed | Outcome::Congested | Outcome::Cancelled) {
            self.on_response(switch, actions);
        }
        // A time-out of a set-up sent before this time proves nothing: the set-up was lost on the way, or its
        // answer came during a stall.
        let probe_answered_at = self.switches.get(&switch).map_or(0, |s| s.overload.probe_answered_at);
        let valid_from = probe_answered_at.max(self.resumed_at);
        let mut number_is_busy = false;
        let mut attempt_again = false;
        match (outcome, end.reason) {
            (Outcome::TimedOut, _) if sent_at < valid_from => {
                attempt_again = tandem || sent_at >= self.resumed_at;
            }
            // No call was answered anywhere since: it is the own processor that does not respond.
            (Outcome::TimedOut, _) if self.last_answered_at < sent_at => {
                self.own_processor.add_sample(now, INFINITE_DELAY);
                attempt_again = tandem || self.answers_quickly(switch, time_to_target);
            }
            // A broken connection or a dead processor resets each new set-up: a reset counts as a missed
            // response too.
            (Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset, _) => {
                if outcome != Outcome::Reset {
                    self.record_set_up_delay(now, switch, INFINITE_DELAY);
                }
                self.on_missed_response(now, switch, outcome == Outcome::TimedOut, actions);
                attempt_again =
                    tandem || outcome == Outcome::Reset || self.answers_quickly(switch, time_to_target);
            }
            // This outcome is taken to mean that the group had no free circuit, until free circuits are
            // reported again.
            (Outcome::NotSent, EndReason::ProcessorCongested(_)) => {}
            (Outcome::NotSent, EndReason::ProcessUnconfirmed) => {
                self.switches.entry(switch).and_modify(|s| s.return_circuits(circuits));
            }
            (Outcome::NotSent, _) => {
                self.switches.entry(switch).and_modify(|s| s.free_circuits = Some(0.0));
                attempt_again = true;
            }
            (Outcome::Congested, EndReason::CongestedBeyondTandem) => {
                if let Some(congested) = self.switch_serving(destination) {
                    self.record_set_up_delay(now, congested, INFINITE_DELAY);
                }
            }
            (Outcome::Congested, EndReason::ProcessorCongested(_)) => {
                self.record_set_up_delay(now, switch, INFINITE_DELAY);
            }
            (Outcome::Congested, _) => {
                if tandem {
                    self.record_second_leg(now, switch, destination, false, source);
                }
                // At most one attempt follows, even if the settings allow more.
                attempt_again = self.calls[&id].attempt_count < 2;
            }
            (Outcome::Failed, EndReason::SetUpTooLong) => {
                self.switches.entry(switch).and_modify(|s| s.return_circuits(circuits));
            }
            (Outcome::Failed, EndReason::SubscriberBusy) => {
                self.called_numbers.record_busy(now, &called_number, source);
                number_is_busy = true;
            }
            // A processor may fail most set-ups immediately. Where answers are quick, another attempt costs
            // little. After a single failure no attempt follows: that failure may be due to the call itself.
            (Outcome::Failed, _) => {
                attempt_again = self.answers_quickly(switch, time_to_target)
                    && self.switches[&switch].overload.failed_since_last_answer;
                self.switches.entry(switch).and_modify(|s| s.overload.failed_since_last_answer = true);
            }
            // The call ended or was cancelled, or the own processor is down.
            _ => {}
        }
        if end.call_closed {
            return self.remove_call(id, actions);
        }
        if !attempt_again || transit {
            return self.reject_or_fail(id, number_is_busy, actions);
        }
        let call = self.calls.get_mut(&id).expect("found above");
        if call.next_attempt_not_before > now {
            call.state = CallState::AwaitingRelease;
            let after = call.next_attempt_not_before - now;
            actions.push(Action::SetTimer { after, token: timer_token(TIMER_RETRY, id) });
        } else {
            self.route(now, id, actions);
        }
    }

    /// Ends a call that is not answered, either by a rejection, which tells the caller that it may try again,
    /// or as failed, and removes it.
    fn reject_or_fail(&mut self, id: CallId, number_is_busy: bool, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let class = &self.settings.classes[call.request.class_index];
        let is_deduplicated_everywhere = class.repeat_policy == RepeatPolicy::Deduplicated
            && class.deduplication_scope == DeduplicationScope::AllExchanges;
        let may_be_repeated = class.repeat_policy == RepeatPolicy::Idempotent
            || call.maybe_processed.is_none()
            || is_deduplicated_everywhere;
        // The far processor may still act on the set-up of an attempt in progress.
        let in_progress = matches!(call.state, CallState::Attempting { .. });
        if may_be_repeated && !in_progress {
            let max_back_off = if self.settings.may_send_back_off { self.settings.max_back_off } else { 0 };
            let back_off = if number_is_busy {
                max_back_off
            } else {
                max_back_off.min((class.set_up_target as f64 * BACK_OFF_TARGET_SHARE) as Micros)
            };
            actions.push(Action::Reject { call: id, back_off });
        } else {
            actions.push(Action::Fail(id));
        }
        self.remove_call(id, actions);
    }

    /// Removes a call whose caller has given it up. Actions are executed after the last event of a batch, so an
    /// attempt of the same batch is never sent.
    fn on_caller_gone(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        if let Some(call) = self.calls.get(&id)
            && let CallState::Attempting { switch, sent_at, .. } = call.state
            && sent_at == now
        {
            let circuits = call.request.circuits;
            self.switches.entry(switch).and_modify(|s| s.return_circuits(circuits));
        }
        self.remove_call(id, actions);
    }

    /// Removes a call and cancels its timers. All calls are removed here.
    fn remove_call(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        if call.state == CallState::AwaitingRelease {
            actions.push(Action::CancelTimer { token: timer_token(TIMER_RETRY, id) });
        }
        if call.state != CallState::Answered {
            actions.push(Action::CancelTimer { token: timer_token(TIMER_DEADLINE, id) });
        }
        if call.state != CallState::Answered && !call.request.transit {
            let NewCall { called_number, source, .. } = &call.request;
            self.called_numbers.record_unanswered(called_number, call.first_tried_at, *source);
        }
        match call.state {
            CallState::Attempting { switch, .. } => self.remove_pending(id, switch),
            CallState::Held => {
                for switch in self.switches.values_mut() {
                    switch.overload.hold.retain(|held| *held != id);
                }
                self.own_processor.hold.retain(|held| *held != id);
            }
            _ => {}
        }
    }
}
