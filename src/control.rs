//! Every decision of wheatpier. The interface (settings, events, actions) is `src/interface.rs`.
//!
//! Ordinary path, per far processor: a PI-controlled share of fresh calls is refused before sending; admitted
//! calls pass a short PI-drained hold while that share is above nought; direct first, else one random tandem
//! with room beyond a reserve. See docs/design.md for the source and for the exceptions.

use crate::interface::{
    Action, AttemptEnd, CallId, DeduplicationScope, EndReason, Event, ExchangeNumber, Health, LoadReport,
    Micros, NewCall, Outcome, RepeatPolicy, Settings, SwitchEntry, SwitchId, SwitchListUpdate,
};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// The mechanism (paper's values where it names one).
/// Control period of both loops.
const PERIOD: Micros = 20 * MS;
/// CT, target pressure (paper: 0.8 or 0.9): a set-up may take 3.3 quiet ones before refusals begin.
const TARGET: f64 = 0.7;
/// Kpc = Kic of the reject ratio.
const K_RATIO: f64 = 5.0;
/// Most that the reject ratio may refuse.
const RATIO_CAP: f64 = 0.9;
/// Most that the ratio falls in a second: silence is no proof of room, opening at once floods again.
const RATIO_FALL: f64 = 0.4;
/// τc of the pressure filter, s.
const TAU_PRESSURE: f64 = 0.1;
/// Without fresh samples pressure decays to nought over this.
const DECAY: Micros = 2 * SECOND;
/// Samples in a median.
const SAMPLES: usize = 10;
/// d0 is the quietest median within this.
const QUIET_SPAN: Micros = 60 * SECOND;
/// Kpq, Kiq of the hold's drain.
const K_DRAIN: (f64, f64) = (20.0, 130.0);
/// T̄q, s.
const HOLD_TARGET: f64 = 0.05;
/// τ of the offered rate, s.
const TAU_OFFERED: f64 = 0.4;

// What the design leaves open.
/// An endless delay, as a sample.
const ENDLESS: Micros = Micros::MAX / 4;
/// Samples older than this no longer speak for the present.
const SAMPLE_AGE: (Micros, Micros) = (3 * SECOND, 12 * SECOND);
/// Fewest samples that say anything, where traffic is too thin for ten within that age.
const FEWEST: usize = 3;
/// Quantile of all delays from here that stands for the own processor: below it, no single far end shows.
const HOME_QUANTILE: f64 = 0.25;
/// A set-up out for this many times d0 is overdue.
const OVERDUE: Micros = 2;
/// Groups between others: for how long one last seen with room, or full, counts as such. What was full each
/// time counts for twice as long, to the longest: there may be no group at all.
const BEYOND: (Micros, Micros) = (8 * SECOND, 64 * SECOND);
/// Trunk reservation: circuits always kept, and the share of the group kept at full direct blocking.
const RESERVE: (f64, f64) = (1.0, 0.5);
/// Memory of direct blocking, of traffic rates and of the worth on offer, s.
const TAU_TRAFFIC: f64 = 8.0;
/// A tandem call passes three processors, a direct one two.
const TANDEM_STRETCH: f64 = 1.5;
/// Unanswered attempts in a row that make a processor doubted.
const DOUBT_AFTER: u32 = 2;
/// First and longest gap between single trials of a doubted processor, in shortest aims. Danger: where calls
/// are wanted within half a second, seconds between trials refuse all that a short silence leaves.
const TRIAL_GAP: (f64, f64) = (4.0 / 15.0, 4.0 / 3.0);
/// Share of the aim that an attempt over a tandem, or where answers are quick, may use; another can follow.
const HALF: f64 = 0.5;
/// Most by which a surge raises a part of a cold budget; what the processor bore of its own is the margin.
const COLD_SURGE: f64 = 1.8;
/// Back-off with a refusal, as a share of the aim, so that a redial can still meet the first try's aim.
const BACK_OFF: f64 = 0.25;
/// Without a turn for so long, though a tick was due, the agent itself stood still.
const STALL: Micros = 10 * PERIOD;
/// For how long after its first try a number refused is taken for a redial when it comes again.
const REDIAL: Micros = 10 * SECOND;
/// First and longest time for which a number whose lines are all busy is left alone.
const BUSY_NUMBER: (Micros, Micros) = (SECOND, 8 * SECOND);

const TIMER_TICK: u64 = 0;
const TIMER_RELIST: u64 = 1;
const TIMER_GIVE_UP: u64 = 2;
const TIMER_RETRY: u64 = 3;

/// The group between two exchanges, whichever end is named first.
fn pair(a: ExchangeNumber, b: ExchangeNumber) -> (ExchangeNumber, ExchangeNumber) {
    (a.min(b), a.max(b))
}

fn timer(kind: u64, call: CallId) -> u64 {
    call.0 << 2 | kind
}

/// Weight left after `dt` of an average with time constant `tau` seconds.
fn fade(dt: Micros, tau: f64) -> f64 {
    (-(dt.max(0) as f64) / 1e6 / tau).exp()
}

/// A rate of events per second, averaged exponentially.
#[derive(Default)]
struct Rate {
    value: f64,
    at: Micros,
}

impl Rate {
    fn read(&self, now: Micros, tau: f64) -> f64 {
        self.value * fade(now - self.at, tau)
    }
    fn add(&mut self, now: Micros, tau: f64, n: f64) {
        (self.value, self.at) = (self.read(now, tau) + n / tau, now);
    }
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Idle,
    Held,
    Out { exchange: SwitchId, sent: Micros, tandem: bool },
    Releasing,
    Standing,
}

struct Call {
    new: NewCall,
    /// When the caller's first try came, as far as is known.
    arrived: Micros,
    state: State,
    attempts: u32,
    tried: Vec<ExchangeNumber>,
    /// Not to be sent again before this (release wait).
    not_before: Micros,
    /// First attempt that may have run: when and where.
    may_have_run: Option<(Micros, SwitchId)>,
}

/// What is known of a number of the plan, whichever processor serves it.
#[derive(Default)]
struct Place {
    /// The processor in service there; the newest where there are several.
    server: Option<SwitchId>,
    blocked: Rate,
    offered: Rate,
    /// Offered traffic over a longer time, while its processor was warm, and the weight of that time.
    usual: (Rate, Rate),
    /// What was left of our part of a cold processor's budget, and when.
    budget: (f64, Micros),
}

/// Pressure on one processor and the two PI loops that answer it.
#[derive(Default)]
struct Loops {
    /// Set-up delays: when answered, how long.
    samples: VecDeque<(Micros, Micros)>,
    /// The last set-up failed there.
    failed: bool,
    /// When a probe last found it alive: set-ups of before that it left unanswered were lost on their way.
    renewed: Micros,
    /// Candidates for d0, rising.
    medians: VecDeque<(Micros, Micros)>,
    /// For how long a sample speaks, and how many are enough: by the traffic there is.
    window: Micros,
    enough: usize,
    /// Pressure from the last load report, and when it came.
    report: (f64, Micros),
    /// Delay at the quantile in use, where enough is known.
    delay: Option<Micros>,
    fresh: Micros,
    pressure: f64,
    integral: f64,
    ratio: f64,
    held: VecDeque<CallId>,
    hold_integral: f64,
    credit: f64,
    offered: Rate,
}

impl Loops {
    /// d0: the quietest median of the last minute.
    fn quiet(&self) -> Option<Micros> {
        self.medians.front().map(|m| m.1)
    }

    /// Beyond the quietest delay: what waiting at this processor adds.
    fn excess(&self) -> Micros {
        self.delay.zip(self.quiet()).map_or(0, |(d, d0)| (d - d0).max(0))
    }

    fn sample(&mut self, now: Micros, delay: Micros) {
        self.samples.push_back((now, delay));
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
        self.fresh = now;
    }

    /// Raw pressure 1 - d0/d: d from the last ten set-ups, those still out for too long (`overdue`)
    /// among them. `most` bounds d0 where the quietest delay was never seen.
    fn measure(&mut self, now: Micros, overdue: &[Micros], quantile: f64, most: Micros) -> f64 {
        while self.samples.front().is_some_and(|s| s.0 + self.window < now) {
            self.samples.pop_front();
        }
        let answered = SAMPLES.saturating_sub(overdue.len()).min(self.samples.len());
        let mut recent: Vec<Micros> = self.samples.iter().rev().take(answered).map(|s| s.1).collect();
        recent.extend(overdue.iter().take(SAMPLES));
        recent.sort_unstable();
        self.delay = (recent.len() >= self.enough).then(|| recent[(recent.len() as f64 * quantile) as usize]);
        self.fresh = if overdue.is_empty() { self.fresh } else { now };
        let Some(delay) = self.delay else { return 0.0 };
        if overdue.is_empty() && recent.len() > SAMPLES / 2 {
            while self.medians.back().is_some_and(|m| m.1 >= delay) {
                self.medians.pop_back();
            }
            self.medians.push_back((now, delay));
        }
        while self.medians.front().is_some_and(|m| m.0 + QUIET_SPAN < now) {
            self.medians.pop_front();
        }
        // Danger: an agent that starts while its processor is silent never sees a quiet delay.
        let d0 = self.quiet().unwrap_or(most).min(most);
        (1.0 - d0 as f64 / delay.max(1) as f64).max(0.0)
    }

    /// Fits the window to traffic of so many calls a second.
    fn fit(&mut self, rate: f64) {
        self.window = ((FEWEST as f64 / rate.max(1e-3) * 1e6) as Micros).clamp(SAMPLE_AGE.0, SAMPLE_AGE.1);
        self.enough = ((rate * self.window as f64 / 1e6).round() as usize).clamp(1, FEWEST);
    }

    /// One period of both PI loops.
    fn step(&mut self, now: Micros, raw: f64) {
        let dt = PERIOD as f64 / 1e6;
        let decay = DECAY.max(self.window * 2 / 3);
        let left = |at: Micros| (1.0 - (now - at) as f64 / decay as f64).clamp(0.0, 1.0);
        let told = self.report.1 + decay / 2 > now && self.report.1 > 0;
        let raw = if told { self.report.0 * left(self.report.1) } else { raw * left(self.fresh) };
        self.pressure += (raw - self.pressure) * (1.0 - fade(PERIOD, TAU_PRESSURE));
        let error = self.pressure - TARGET;
        // Anti-windup at both ends: the integral alone never leaves the range that the ratio can use.
        self.integral = (self.integral + K_RATIO * error * dt).clamp(0.0, RATIO_CAP);
        let ratio = (K_RATIO * error + self.integral).clamp(0.0, RATIO_CAP);
        self.ratio = ratio.max(self.ratio - RATIO_FALL * dt);
        let queued = self.held.len() as f64;
        let error = queued - HOLD_TARGET * self.offered.read(now, TAU_OFFERED);
        self.hold_integral = (self.hold_integral + K_DRAIN.1 * error * dt).clamp(0.0, 1.0 / dt);
        let drain = (K_DRAIN.0 * error + self.hold_integral).clamp(0.0, 1.0 / dt);
        self.credit = if queued > 0.0 { self.credit + drain * dt } else { 0.0 };
    }

    /// The held calls whose turn it is.
    fn drained(&mut self, due: &mut Vec<CallId>) {
        while !self.held.is_empty() && (self.ratio <= 0.0 || self.credit >= 1.0) {
            self.credit = (self.credit - 1.0).max(0.0);
            due.extend(self.held.pop_front());
        }
    }
}

/// What is known of one processor.
struct Far {
    listed: SwitchEntry,
    /// When we were told that it drains or is gone.
    ending: Option<Micros>,
    free: Option<f64>,
    size: f64,
    loops: Loops,
    /// Attempts out, oldest first.
    out: Vec<(Micros, CallId)>,
    unanswered: u32,
    silent_at: Micros,
    doubted: bool,
    trial_gap: f64,
    next_trial: Micros,
}

impl Far {
    fn new(listed: SwitchEntry, free: Option<f64>, size: f64) -> Self {
        let (loops, trial_gap) = (Loops::default(), TRIAL_GAP.0);
        let (ending, out, unanswered, silent_at, doubted, next_trial) = (None, vec![], 0, 0, false, 0);
        Far { listed, ending, free, size, loops, out, unanswered, silent_at, doubted, trial_gap, next_trial }
    }

    fn in_service(&self) -> bool {
        self.listed.health == Health::InService
    }

    fn is_cold(&self, now: Micros, set: &Settings) -> bool {
        self.listed.up_since.is_some_and(|up| now < up + set.warm_up_time)
    }
}

/// The decisions of one call agent.
pub struct Controller {
    set: Settings,
    rng: ChaCha8Rng,
    calls: BTreeMap<CallId, Call>,
    fars: BTreeMap<SwitchId, Far>,
    /// The own processor, judged by what all set-ups from here have in common.
    home: Loops,
    last_answer: Micros,
    started: Micros,
    /// Groups between others: whether there was room, until when that counts, and for how long it did.
    beyond: BTreeMap<(ExchangeNumber, ExchangeNumber), (bool, Micros, Micros)>,
    places: BTreeMap<ExchangeNumber, Place>,
    /// Numbers found busy: until when they are left alone, and for how long the next time.
    busy: BTreeMap<String, (Micros, Micros)>,
    /// Numbers of calls that did not stand: when their callers first tried.
    refused: BTreeMap<String, Micros>,
    /// Worth on offer, lowest first: value in thousandths of the class worth unit, weight.
    worths: BTreeMap<i64, Rate>,
    tenants: Vec<Rate>,
    /// Calls over a tandem: answered from beyond, and standing.
    tries: (Rate, Rate),
    /// When the agent last woke from a stall, and its last turn.
    turn: (Micros, Micros),
}

impl Controller {
    /// A controller that knows nothing yet; its first actions go to `out`.
    pub fn new(settings: Settings, seed: u64, now: Micros, out: &mut Vec<Action>) -> Self {
        if settings.must_subscribe {
            out.push(Action::Subscribe);
        }
        out.push(Action::SetTimer { after: PERIOD, token: TIMER_TICK });
        let mut home = Loops::default();
        home.fit(1e3);
        let tenants = settings.tenants.iter().map(|_| Rate::default()).collect();
        Controller {
            set: settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            calls: BTreeMap::new(),
            fars: BTreeMap::new(),
            home,
            last_answer: now,
            started: now,
            beyond: BTreeMap::new(),
            places: BTreeMap::new(),
            busy: BTreeMap::new(),
            refused: BTreeMap::new(),
            worths: BTreeMap::new(),
            tenants,
            turn: (now, now),
            tries: Default::default(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        // Danger: after a turn missed all that came meanwhile looks late and proves nothing of far ends.
        self.turn = (if now > self.turn.1 + STALL { now } else { self.turn.0 }, now);
        match event {
            Event::SwitchList(list) => self.on_list(now, list, out),
            Event::NewCall(new) => self.on_call(now, new, out),
            Event::Established { call, attempt, set_up_time } => {
                self.on_standing(now, call, attempt, set_up_time, out)
            }
            Event::AttemptEnded(end) => self.on_ended(now, end, out),
            Event::CallerGone(id) => self.forget(id),
            Event::Timer(TIMER_TICK) => self.on_tick(now, out),
            Event::Timer(TIMER_RELIST) => out.push(Action::Subscribe),
            Event::Timer(token) => self.on_timer(now, token & 3, CallId(token >> 2), out),
            Event::SwitchStatus { switch, answered, round_trip, report } => {
                self.on_report(now, switch, &report);
                if answered && round_trip > 0 {
                    self.fars.entry(switch).and_modify(|f| f.loops.renewed = now);
                    self.answered(switch, out);
                }
            }
            Event::PeerMessage { .. } => {}
        }
    }

    /// A number in [0, 1).
    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A share of the shortest aim.
    fn of_aim(&self, share: f64) -> Micros {
        self.set.classes.iter().map(|c| (c.set_up_target as f64 * share) as Micros).min().unwrap_or(ENDLESS)
    }

    fn jitter(&mut self, span: Micros) -> Micros {
        (span as f64 * (0.75 + 0.5 * self.draw())) as Micros
    }

    fn on_list(&mut self, now: Micros, list: SwitchListUpdate, out: &mut Vec<Action>) {
        let entries = match list {
            SwitchListUpdate::Failed => {
                return out.push(Action::SetTimer { after: self.jitter(SECOND), token: TIMER_RELIST });
            }
            SwitchListUpdate::Changes(entries) => entries,
            SwitchListUpdate::Full(entries) => {
                for far in self.fars.values_mut() {
                    if !entries.iter().any(|e| e.switch == far.listed.switch) {
                        far.listed.health = Health::Gone;
                        far.ending.get_or_insert(now);
                    }
                }
                entries
            }
        };
        for e in entries {
            let id = e.switch;
            let (lot, place) = (self.draw(), self.places.entry(e.exchange_number).or_default());
            let known = self.fars.get(&id);
            let fresh =
                known.is_none_or(|f| e.up_since != f.listed.up_since && e.health == Health::InService);
            if fresh {
                // Danger: a first call of each of many agents at once. Each starts with less than one.
                place.budget = (lot, now);
                // A machine that replaces another serves the same group of circuits.
                let twin = known
                    .or_else(|| self.fars.values().find(|f| f.listed.exchange_number == e.exchange_number));
                let (free, size) = twin.map_or((None, 0.0), |f| (f.free, f.size));
                self.fars.insert(id, Far::new(e.clone(), free, size));
            }
            let far = self.fars.get_mut(&id).expect("known or just put in");
            far.listed = e;
            far.ending = if far.in_service() { None } else { far.ending.or(Some(now)) };
        }
        self.places.values_mut().for_each(|p| p.server = None);
        let mut running: Vec<&Far> = self.fars.values().filter(|f| f.in_service()).collect();
        running.sort_by_key(|f| f.listed.up_since.unwrap_or(0));
        for far in running {
            self.places.entry(far.listed.exchange_number).or_default().server = Some(far.listed.switch);
        }
    }

    fn on_report(&mut self, now: Micros, id: SwitchId, report: &LoadReport) {
        let most = self.bearable();
        let Some(far) = self.fars.get_mut(&id) else { return };
        let sound = |v: &f64| v.is_finite() && *v >= 0.0;
        far.free = report.free_circuits.filter(sound).or(far.free);
        far.size = report.group_size.filter(sound).unwrap_or(far.size);
        // One pressure scale: a wait w reads as d = d0 + w.
        let quiet = far.loops.quiet().unwrap_or(most).min(most) as f64;
        let told = report
            .wait_us
            .filter(sound)
            .map(|w| w / (quiet + w))
            .or(report.requested_reduction.filter(sound));
        far.loops.report = told.map_or(far.loops.report, |p| (p, now));
    }

    /// Credits a set-up delay, less what the own processor adds to all; and to that what it took beyond the
    /// quiet one. Danger: when traffic turned to farther ends, their longer way counted as pressure at home.
    fn sample(&mut self, now: Micros, id: SwitchId, delay: Micros) {
        let (excess, most) = (self.home.excess(), self.bearable());
        if let Some(far) = self.fars.get_mut(&id) {
            if delay < ENDLESS {
                let quiet = far.loops.quiet().unwrap_or(most).min(most);
                self.home.sample(now, most + (delay - quiet).max(0));
            }
            let quiet = far.loops.quiet().unwrap_or(0).min(delay);
            far.loops.failed &= delay == ENDLESS;
            far.loops.sample(now, (delay - excess).max(quiet));
        }
    }

    fn answered(&mut self, id: SwitchId, out: &mut Vec<Action>) {
        let Some(far) = self.fars.get_mut(&id) else { return };
        far.unanswered = 0;
        if far.doubted {
            (far.doubted, far.trial_gap) = (false, TRIAL_GAP.0);
            out.push(Action::Log(format!("trusted {}", id.0)));
        }
    }

    fn unanswered(&mut self, now: Micros, id: SwitchId, timed_out: bool, out: &mut Vec<Action>) {
        let gap = self.fars.get(&id).map_or(0, |f| self.of_aim(f.trial_gap));
        let gap = self.jitter(gap);
        // Danger: a broken link ends all that is out on it at once. That is one silence, however many calls.
        let Some(far) = self.fars.get_mut(&id).filter(|f| timed_out || f.silent_at != now) else { return };
        (far.unanswered, far.silent_at) = (far.unanswered + 1, now);
        if far.doubted {
            (far.trial_gap, far.next_trial) = ((far.trial_gap * 2.0).min(TRIAL_GAP.1), now + gap);
        } else if far.unanswered >= DOUBT_AFTER {
            (far.doubted, far.next_trial) = (true, now + gap);
            out.push(Action::Log(format!("doubted {}", id.0)));
        }
    }

    /// What a call over a tandem told of the second leg.
    fn tried(&mut self, now: Micros, tandem: SwitchId, to: ExchangeNumber, room: bool) {
        let Some(far) = self.fars.get(&tandem) else { return };
        self.learn(now, far.listed.exchange_number, to, room);
        self.tries.0.add(now, TAU_TRAFFIC, 1.0);
        self.tries.1.add(now, TAU_TRAFFIC, f64::from(room));
    }

    /// What came to be known of a group between two others.
    fn learn(&mut self, now: Micros, a: ExchangeNumber, b: ExchangeNumber, room: bool) {
        let seen = self.beyond.entry(pair(a, b)).or_insert((true, now, 0));
        let span = if room || seen.0 { BEYOND.0 } else { (seen.2 * 2).min(BEYOND.1) };
        *seen = (room, now + span, span);
    }

    /// Bounds d0 so that CT stands for a delay that calls can bear: below the first resend, which turns
    /// waiting into more work, and a third of the shortest aim. Guards against a d0 learned in overload.
    fn bearable(&self) -> Micros {
        let aim = self.set.classes.iter().map(|c| c.set_up_target / 3).min().unwrap_or(ENDLESS);
        let resend = if self.set.retransmit_after > 0 { self.set.retransmit_after } else { aim };
        ((1.0 - TARGET) * aim.min(resend) as f64) as Micros
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: PERIOD, token: TIMER_TICK });
        let (mut due, mut overdue) = (Vec::new(), Vec::new());
        let (most, excess, woke) = (self.bearable(), self.home.excess(), self.turn.0);
        for far in self.fars.values_mut() {
            let quiet = far.loops.quiet().unwrap_or(most).min(most);
            let aged = far.out.iter().map(|o| now - o.0.max(woke));
            let beyond = aged.clone().filter(|a| *a > OVERDUE * quiet).map(|a| most + a - quiet);
            overdue.extend(beyond.take(2 * usize::from(!far.doubted)));
            let late: Vec<Micros> = aged.map(|a| a - excess).filter(|a| *a > OVERDUE * quiet).collect();
            far.loops.fit(self.places[&far.listed.exchange_number].offered.read(now, TAU_TRAFFIC));
            let raw = far.loops.measure(now, &late, 0.5, most);
            far.loops.step(now, raw);
            far.loops.drained(&mut due);
        }
        let (raw, pressed) = (self.home.measure(now, &overdue, HOME_QUANTILE, most), self.home.ratio > 0.0);
        self.home.step(now, raw);
        self.home.drained(&mut due);
        if (self.home.ratio > 0.0) != pressed {
            out.push(Action::Log(format!("own processor {}", if pressed { "eased" } else { "pressed" })));
        }
        for id in due {
            if let Some(call) = self.calls.get_mut(&id) {
                call.state = State::Idle;
                self.route(now, id, out);
            }
        }
        if now % SECOND < PERIOD {
            self.busy.retain(|_, b| b.0 + BUSY_NUMBER.1 > now);
            self.refused.retain(|_, first| *first + REDIAL > now);
            self.beyond.retain(|_, b| b.1 + BEYOND.1 > now);
            let lost = |f: &Far| f.ending.is_some_and(|t| t + QUIET_SPAN < now) && f.out.is_empty();
            self.fars.retain(|_, f| !lost(f));
        }
    }

    fn on_timer(&mut self, now: Micros, kind: u64, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if kind == TIMER_RETRY && call.state == State::Releasing && now >= call.not_before {
            call.state = State::Idle;
            self.route(now, id, out);
        } else if kind == TIMER_GIVE_UP && call.state != State::Standing {
            if matches!(call.state, State::Out { .. }) && self.set.may_cancel {
                out.push(Action::Cancel { call: id, attempt: call.attempts - 1 });
            }
            self.finish(id, false, out);
        }
    }

    fn on_call(&mut self, now: Micros, new: NewCall, out: &mut Vec<Action>) {
        let id = new.id;
        if self.calls.contains_key(&id) || new.class >= self.set.classes.len() {
            return;
        }
        let (to, via, transit) = (new.destination, new.via_exchange, new.transit);
        let after = (new.deadline - 2 * self.set.min_batch_interval - now).max(0);
        out.push(Action::SetTimer { after, token: timer(TIMER_GIVE_UP, id) });
        let busy = self.busy.get(&new.called_number).is_some_and(|b| b.0 > now);
        // A number called again soon after it was refused is its caller's redial, marked or not.
        let seen = self.refused.remove(&new.called_number).filter(|first| !transit && now < first + REDIAL);
        let arrived = seen.unwrap_or(now);
        let (state, attempts, tried, not_before, may_have_run) = (State::Idle, 0, vec![], 0, None);
        let call = Call { new, arrived, state, attempts, tried, not_before, may_have_run };
        let worth = self.worth(now, &call);
        let tenant =
            call.new.tenant.and_then(|t| self.tenants.get_mut(t)).filter(|_| !transit && arrived == now);
        tenant.into_iter().for_each(|t| t.add(now, TAU_TRAFFIC, 1.0));
        self.calls.insert(id, call);
        if transit {
            // It comes by way of here because the group between its ends is full, or there is none.
            self.learn(now, via, to, false);
            return self.route(now, id, out);
        }
        if via >= 0 && self.beyond.get(&pair(via, to)).is_none_or(|b| b.0 || b.1 < now) {
            // The centre's advice is seconds old: it counts as a group seen with room, if none found it full.
            self.learn(now, via, to, true);
        }
        let Some(dest) = self.serving(to).filter(|_| !busy) else { return self.finish(id, busy, out) };
        self.worths.entry(worth).or_default().add(now, TAU_TRAFFIC, 1.0);
        let (first, cold) = (f64::from(arrived == now), self.fars[&dest].is_cold(now, &self.set));
        let place = self.places.entry(to).or_default();
        place.offered.add(now, TAU_TRAFFIC, first);
        let (calls, time) = if cold { (0.0, 0) } else { (first, now - place.usual.1.at.max(self.started)) };
        place.usual.0.add(now, 4.0 * TAU_TRAFFIC, calls);
        place.usual.1.add(now, 4.0 * TAU_TRAFFIC, time as f64 / 1e6);
        let far = &self.fars[&dest];
        // A doubted processor is tried by single calls; its ratio, without samples, says no more.
        let trial = far.doubted && now >= far.next_trial && far.out.is_empty();
        let ratios = (self.home.ratio, if trial { 0.0 } else { far.loops.ratio });
        if self.refuses(now, ratios.0, worth) || self.refuses(now, ratios.1, worth) {
            return self.finish(id, false, out);
        }
        let far = self.fars.get_mut(&dest).expect("serving() names a known processor");
        far.loops.offered.add(now, TAU_OFFERED, 1.0);
        self.home.offered.add(now, TAU_OFFERED, 1.0);
        if ratios.0.max(ratios.1) > 0.0 && !far.doubted {
            let hold = if ratios.1 > 0.0 { &mut far.loops } else { &mut self.home };
            hold.held.push_back(id);
            self.calls.get_mut(&id).expect("just put in").state = State::Held;
        } else {
            self.route(now, id, out);
        }
    }

    /// What a call is worth, in thousandths: class, and less for what comes late or over its tenant's share.
    fn worth(&self, now: Micros, call: &Call) -> i64 {
        let class = &self.set.classes[call.new.class];
        let mut worth = class.value;
        if now >= call.arrived + class.set_up_target
            || (call.new.redial && call.attempts == 0 && call.arrived == now)
        {
            worth *= class.late_value_factor;
        }
        if let Some(t) = call.new.tenant.filter(|t| *t < self.tenants.len()) {
            let all: f64 = self.tenants.iter().map(|r| r.read(now, TAU_TRAFFIC)).sum();
            let quotas: f64 = self.set.tenants.iter().map(|t| t.quota_per_s).sum();
            let quota = all * self.set.tenants[t].quota_per_s / quotas;
            let within = (quota / self.tenants[t].read(now, TAU_TRAFFIC)).min(1.0);
            worth *= within + (1.0 - within) * self.set.over_quota_value_factor;
        }
        (worth * 20.0).round() as i64 * 50
    }

    /// Whether a reject ratio falls on a call of this worth: the least worth go first.
    fn refuses(&mut self, now: Micros, ratio: f64, worth: i64) -> bool {
        if ratio <= 0.0 {
            return false;
        }
        let sum = |part: &dyn Fn(i64) -> bool| -> f64 {
            self.worths.iter().filter(|w| part(*w.0)).map(|w| w.1.read(now, TAU_TRAFFIC)).sum()
        };
        let share = (ratio * sum(&|_| true) - sum(&|w| w < worth)) / sum(&|w| w == worth).max(1e-9);
        self.draw() < share
    }

    /// The processor in service at a number; the newest where there are several.
    fn serving(&self, number: ExchangeNumber) -> Option<SwitchId> {
        self.places.get(&number)?.server
    }

    /// Sends a call by the route that the design gives it, or refuses it.
    fn route(&mut self, now: Micros, id: CallId, out: &mut Vec<Action>) {
        let sent =
            self.pick(now, id).is_some_and(|(to, tandem, wait)| self.send(now, id, to, tandem, wait, out));
        if !sent {
            self.finish(id, false, out);
        }
    }

    /// Direct first, else one random tandem with room beyond the reserve: to where, whether as a tandem, and
    /// for how long to wait.
    fn pick(&mut self, now: Micros, id: CallId) -> Option<(SwitchId, bool, Micros)> {
        let lot = self.draw();
        let call = self.calls.get(&id)?;
        let (to, width, transit) = (call.new.destination, call.new.circuits, call.new.transit);
        let class = &self.set.classes[call.new.class];
        let left =
            Some(call.arrived + class.set_up_target - now).filter(|l| *l > 0).unwrap_or(class.set_up_target);
        let dest = self.serving(to)?;
        let keep = if transit { self.reserve(now, dest) } else { 0.0 };
        let half = left.min((class.set_up_target as f64 * HALF) as Micros);
        if transit || self.room(dest) >= width {
            let wait = if !transit && self.quick(dest, half) { half } else { left };
            return (self.room(dest) >= width + keep).then_some((dest, false, wait));
        }
        self.places.entry(to).or_default().blocked.add(now, TAU_TRAFFIC, 1.0);
        if self.fars[&dest].doubted {
            return None;
        }
        let mut open: Vec<(bool, SwitchId)> = Vec::new();
        for (n, place) in self.places.iter().filter(|(n, _)| **n != to && !call.tried.contains(n)) {
            let skilled = !self.set.pool_topology
                || class.eligible_pools.is_empty()
                || class.eligible_pools.contains(n);
            let Some(x) = place.server.filter(|_| skilled) else { continue };
            // Full beyond, when last seen: another agent's group, of which nothing else is known.
            let seen = self.beyond.get(&pair(*n, to)).filter(|b| b.1 > now).map(|b| b.0);
            let fits = seen != Some(false) && self.room(x) >= width + self.reserve(now, x);
            if fits && self.gate(now, id, x, true) {
                open.push((seen == Some(true), x));
            }
        }
        // Danger: blind tries load three processors. None while the own one is pressed; a further one by the
        // chance that second legs had room of late.
        let tries = self.tries.0.read(now, TAU_TRAFFIC) + 1.0 / TAU_TRAFFIC;
        let again = lot * tries < self.tries.1.read(now, TAU_TRAFFIC) + 1.0 / TAU_TRAFFIC;
        if !(again || call.attempts == 0) || self.home.ratio > 0.0 || open.iter().any(|o| o.0) {
            open.retain(|o| o.0);
        }
        let worth = open.first().map(|_| self.worth(now, call))?;
        let pick = open[(self.draw() * open.len() as f64) as usize].1;
        (!self.refuses(now, self.fars[&pick].loops.ratio, worth)).then_some((pick, true, half))
    }

    /// Danger: lost answers. Whether set-ups take well below this span, as far as is known, so that one more
    /// can follow one unanswered without feeding an overload.
    fn quick(&self, id: SwitchId, span: Micros) -> bool {
        let eased = self.fars.get(&id).filter(|f| !f.doubted && f.loops.ratio.max(self.home.ratio) <= 0.0);
        eased.and_then(|f| f.loops.delay.or(self.home.delay)).is_some_and(|d| 4 * d < span)
    }

    /// Free circuits toward a processor, as far as is known.
    fn room(&self, id: SwitchId) -> f64 {
        self.fars.get(&id).map_or(0.0, |f| f.free.unwrap_or(f64::INFINITY))
    }

    /// Circuits kept free for direct traffic: more as more of it was blocked of late.
    fn reserve(&self, now: Micros, id: SwitchId) -> f64 {
        let Some(far) = self.fars.get(&id) else { return 0.0 };
        let Some(place) = self.places.get(&far.listed.exchange_number) else { return 0.0 };
        let offered = place.offered.read(now, TAU_TRAFFIC);
        let blocked = if offered > 0.0 { place.blocked.read(now, TAU_TRAFFIC) / offered } else { 0.0 };
        RESERVE.0 + (RESERVE.1 * blocked.min(1.0) * far.size).round()
    }

    /// Whether the rules allow a send of this call to this processor now.
    fn gate(&self, now: Micros, id: CallId, to: SwitchId, tandem: bool) -> bool {
        let (Some(call), Some(far)) = (self.calls.get(&id), self.fars.get(&to)) else { return false };
        let number = far.listed.exchange_number;
        let direct = number == call.new.destination;
        let class = &self.set.classes[call.new.class];
        let in_time = now + 2 * self.set.min_batch_interval < call.new.deadline && now >= call.not_before;
        let single = call.state == State::Idle && call.attempts < self.set.max_attempts;
        let transit = direct || (!call.new.transit && tandem);
        let own = number == self.set.own_exchange && !self.set.pool_topology;
        let repeatable = match (class.repeat_policy, call.may_have_run) {
            (RepeatPolicy::Idempotent, _) | (_, None) => true,
            (RepeatPolicy::AtMostOnce, Some(_)) => false,
            (RepeatPolicy::Deduplicated, Some((at, first))) => {
                let same = self.fars.get(&first).is_some_and(|f| match class.deduplication_scope {
                    DeduplicationScope::Zone => f.listed.zone == far.listed.zone,
                    _ => f.listed.exchange_number == number,
                });
                (same || class.deduplication_scope == DeduplicationScope::AllExchanges)
                    && now < at + class.deduplication_window
            }
        };
        let cold = !far.is_cold(now, &self.set) || (direct && self.cold_budget(now, far) >= 1.0);
        // Silence: a doubted processor gets one trial at a time.
        let trusted = !far.doubted || (direct && now >= far.next_trial && far.out.is_empty());
        in_time && single && far.in_service() && transit && !own && repeatable && cold && trusted
    }

    /// Rule 4, by each agent alone: its part of what a cold processor can bear, from its warm traffic.
    fn cold_budget(&self, now: Micros, far: &Far) -> f64 {
        let place = &self.places[&far.listed.exchange_number];
        let age = (now - far.listed.up_since.unwrap_or(now)).max(0) as f64;
        let warmth = (age / self.set.warm_up_time.max(1) as f64).min(1.0);
        let share = self.set.cold_capacity_share + (1.0 - self.set.cold_capacity_share) * warmth * warmth;
        let offered = place.offered.read(now, TAU_TRAFFIC);
        // Danger: processors that are replaced time and again are hardly ever warm.
        let usual = place.usual.0.value / place.usual.1.value.max(1.0 / TAU_TRAFFIC);
        // Danger: a surge with the news of a start raises the part of every agent.
        let known = if usual > 0.0 { offered.max(usual).min(COLD_SURGE * usual) } else { offered };
        let rate = self.set.cold_overload_factor * share * known;
        let dt = (now - place.budget.1).max(0) as f64 / 1e6;
        let most = (rate * self.set.cold_overload_duration as f64 / 1e6 / 3.0).max(1.0);
        (place.budget.0 + rate * dt).min(most)
    }

    fn send(
        &mut self, now: Micros, id: CallId, to: SwitchId, tandem: bool, timeout: Micros,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.gate(now, id, to, tandem) {
            return false;
        }
        let far = &self.fars[&to];
        let (number, cold, budget) =
            (far.listed.exchange_number, far.is_cold(now, &self.set), self.cold_budget(now, far));
        let gap = self.of_aim(far.trial_gap);
        let gap = self.jitter(gap);
        let place = self.places.entry(number).or_default();
        if cold {
            place.budget = (budget - 1.0, now);
        }
        let far = self.fars.get_mut(&to).expect("the gate saw it");
        let call = self.calls.get_mut(&id).expect("the gate saw it");
        if far.doubted {
            far.next_trial = now + gap;
        }
        far.free = far.free.map(|f| f - call.new.circuits);
        far.out.push((now, id));
        call.state = State::Out { exchange: to, sent: now, tandem };
        call.attempts += 1;
        call.tried.push(number);
        out.push(Action::SendSetUp {
            call: id,
            switch: to,
            timeout: timeout.max(self.set.min_batch_interval),
        });
        true
    }

    fn on_standing(&mut self, now: Micros, id: CallId, attempt: u32, took: Micros, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| attempt + 1 == c.attempts) else { return };
        let State::Out { exchange, sent, tandem } = call.state else { return };
        call.state = State::Standing;
        let to = call.new.destination;
        if tandem {
            self.tried(now, exchange, to, true);
        }
        let took = if tandem { (took as f64 / TANDEM_STRETCH) as Micros } else { took };
        self.no_longer_out(id, exchange);
        self.answered(exchange, out);
        self.last_answer = now;
        if sent >= self.turn.0 || now > self.turn.0 {
            self.sample(now, exchange, took.max(1));
        }
    }

    fn no_longer_out(&mut self, id: CallId, exchange: SwitchId) {
        self.fars.entry(exchange).and_modify(|far| far.out.retain(|o| o.1 != id));
    }

    fn on_ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        self.on_report(now, end.switch, &end.report);
        let (id, outcome, closed) = (end.call, end.outcome, end.call_closed);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let State::Out { exchange, sent, tandem } = call.state else {
            if closed {
                self.forget(id);
            }
            return;
        };
        if end.attempt + 1 != call.attempts {
            return;
        }
        call.state = State::Idle;
        if !matches!(outcome, Outcome::Congested | Outcome::Unreachable | Outcome::NotSent) {
            call.may_have_run.get_or_insert((sent, exchange));
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            call.not_before = now + self.set.release_wait + self.set.min_batch_interval;
        }
        let left = call.arrived + self.set.classes[call.new.class].set_up_target - now;
        let (called, to, transit) = (call.new.called_number.clone(), call.new.destination, call.new.transit);
        self.no_longer_out(id, exchange);
        let woke = self.fars.get(&exchange).map_or(0, |f| f.loops.renewed).max(self.turn.0);
        let (mut away, mut again) = (false, false);
        if matches!(outcome, Outcome::Completed | Outcome::Failed | Outcome::Congested | Outcome::Cancelled) {
            self.answered(exchange, out);
        }
        match (outcome, end.reason) {
            (Outcome::TimedOut, _) if sent < woke => again = tandem || sent >= self.turn.0,
            // Nothing came back from anywhere since: it is the own processor that is silent.
            (Outcome::TimedOut, _) if self.last_answer < sent => {
                self.home.sample(now, ENDLESS);
                again = tandem || self.quick(exchange, left);
            }
            // A cut link or a dead processor resets each set-up anew: silence by another name.
            (Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset, _) => {
                if outcome != Outcome::Reset {
                    self.sample(now, exchange, ENDLESS);
                }
                self.unanswered(now, exchange, outcome == Outcome::TimedOut, out);
                again = tandem || outcome == Outcome::Reset || self.quick(exchange, left);
            }
            (Outcome::NotSent, cause) if !matches!(cause, EndReason::ProcessorCongested(_)) => {
                self.fars.entry(exchange).and_modify(|far| far.free = Some(0.0));
                again = true;
            }
            (Outcome::Congested, EndReason::ProcessorCongested(_) | EndReason::CongestedBeyondTandem) => {
                let full = if end.reason == EndReason::CongestedBeyondTandem {
                    self.serving(to)
                } else {
                    Some(exchange)
                };
                full.into_iter().for_each(|x| self.sample(now, x, ENDLESS));
            }
            (Outcome::Congested, _) => {
                if tandem {
                    self.tried(now, exchange, to, false);
                }
                again = self.calls[&id].attempts < 2;
            }
            (Outcome::Failed, EndReason::SubscriberBusy) => {
                let last = self.busy.get(&called).map_or(BUSY_NUMBER.0, |b| (b.1 * 2).min(BUSY_NUMBER.1));
                self.busy.insert(called, (now + last, last));
                away = true;
            }
            // Danger: a processor that fails most set-ups. While answers are quick, one more try is cheap.
            (Outcome::Failed, _) => {
                again = self.quick(exchange, left) && self.fars[&exchange].loops.failed;
                self.fars.entry(exchange).and_modify(|f| f.loops.failed = true);
            }
            _ => {}
        }
        if closed {
            return self.forget(id);
        }
        if !again || transit {
            return self.finish(id, away, out);
        }
        let call = self.calls.get_mut(&id).expect("still here");
        if call.not_before > now {
            call.state = State::Releasing;
            let after = call.not_before - now;
            out.push(Action::SetTimer { after, token: timer(TIMER_RETRY, id) });
        } else {
            self.route(now, id, out);
        }
    }

    /// The one final answer of a call that does not stand.
    fn finish(&mut self, id: CallId, away: bool, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let class = &self.set.classes[call.new.class];
        let anywhere = class.repeat_policy == RepeatPolicy::Deduplicated
            && class.deduplication_scope == DeduplicationScope::AllExchanges;
        let may_refuse =
            class.repeat_policy == RepeatPolicy::Idempotent || call.may_have_run.is_none() || anywhere;
        // An attempt that is still out may yet run.
        if may_refuse && !matches!(call.state, State::Out { .. }) {
            let most = if self.set.may_send_back_off { self.set.max_back_off } else { 0 };
            let back_off =
                if away { most } else { most.min((class.set_up_target as f64 * BACK_OFF) as Micros) };
            out.push(Action::Reject { call: id, back_off });
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(id);
    }

    fn forget(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else { return };
        if call.state != State::Standing && !call.new.transit {
            self.refused.insert(call.new.called_number, call.arrived);
        }
        match call.state {
            State::Out { exchange, .. } => self.no_longer_out(id, exchange),
            State::Held => {
                self.fars.values_mut().for_each(|f| f.loops.held.retain(|h| *h != id));
                self.home.held.retain(|h| *h != id);
            }
            _ => {}
        }
    }
}
