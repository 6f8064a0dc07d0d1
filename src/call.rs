//! Call control round the decisions: the call table, attempts and their deadlines. It knows no protocol and does
//! no I/O: what a protocol has read comes in by the methods of [`Driver`], what is to be written goes out as
//! [`Command`]s, and another protocol can be put before it as it is.

use crate::control::Controller;
use crate::interface::{
    Action, AttemptEnd, CallId, EndReason, Event, ExchangeNumber, LoadReport, Micros, NewCall, Outcome,
    Settings, SwitchId, SwitchListUpdate,
};
use crate::settings::Names;
use crate::timers::Timers;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Causes of a release (ITU-T Q.850), which the protocols of telephony share.
pub mod cause {
    /// Normal clearing.
    pub const NORMAL: u8 = 16;
    /// User busy.
    pub const BUSY: u8 = 17;
    /// No circuit available.
    pub const NO_CIRCUIT: u8 = 34;
    /// Temporary failure: something broke on the way.
    pub const BROKEN: u8 = 41;
    /// Switching equipment congestion.
    pub const CONGESTION: u8 = 42;
    /// Resource unavailable.
    pub const UNAVAILABLE: u8 = 47;
    /// Invalid information element contents.
    pub const INVALID: u8 = 100;
    /// Recovery on timer expiry.
    pub const EXPIRED: u8 = 102;
}

/// A caller's connection, whatever the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin(pub u64);

/// A call's id on the wire, the same on both sides. The module has ids of its own: they are mapped here alone.
pub type Tag = u64;

/// For how long the tag of a call that is over is remembered: what still comes for it is its echo. A release
/// is repeated on the next connection that a switch opens, which may take a while.
const REMEMBERED: Micros = 600_000_000;
/// Most tags remembered, for each call that the table may hold.
const MOST_REMEMBERED: usize = 8;
/// For how long a caller should stay away when there is no place for its call.
const OVERFULL_BACK_OFF: Micros = 1_000_000;
/// A probe without an answer has failed after this.
const PROBE_WAIT: Micros = 250_000;

/// What set-ups may name, and how much of them may be held.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most calls in the table.
    pub calls: usize,
    /// Most bytes of the descriptions that open calls hold.
    pub descriptions: usize,
    /// Longest that a caller may say it waits.
    pub longest: Micros,
    /// Circuits that a call of each class takes, where the settings say so.
    pub widths: Vec<f64>,
}

/// Why a set-up is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its class or its figures make no sense.
    Senseless,
    /// Its id is that of a call that is open or stands.
    InUse,
}

/// A set-up as a caller sent it.
#[derive(Clone, Debug, Default)]
pub struct SetUp {
    /// Its id on the wire.
    pub tag: Tag,
    /// The class, by name.
    pub class: String,
    /// The number called.
    pub called: String,
    /// How long the caller waits.
    pub left: Micros,
    /// The caller tries again.
    pub redial: bool,
    /// The exchange it is for.
    pub destination: ExchangeNumber,
    /// Circuits it takes.
    pub width: f64,
    /// The advised tandem or, in transit, where it comes from.
    pub via: ExchangeNumber,
    /// Another gatekeeper passes it on.
    pub transit: bool,
    /// The session description, passed on unchanged.
    pub description: Option<String>,
}

/// A switch's release of an attempt or of a standing call.
#[derive(Clone, Debug)]
pub struct Release {
    /// Its cause (see [`cause`]).
    pub cause: u8,
    /// What the switch noted.
    pub note: EndReason,
    /// What it reports.
    pub report: LoadReport,
}

/// What is to be written, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Set a call up.
    SetUp {
        /// At this switch.
        switch: SwitchId,
        /// The call.
        tag: Tag,
        /// Its class.
        class: String,
        /// The number called.
        called: String,
        /// When the attempt times out.
        until: Micros,
        /// The caller's description.
        description: Option<String>,
    },
    /// Give a set-up up, or release a call that stands there.
    GiveUp {
        /// The switch.
        switch: SwitchId,
        /// The call.
        tag: Tag,
    },
    /// Release a call wherever it may stand: it was set up before this program started.
    GiveUpAnywhere(Tag),
    /// Probe a switch.
    Probe {
        /// The switch.
        switch: SwitchId,
        /// The probe.
        tag: Tag,
    },
    /// Tell a caller that its call stands.
    Answer {
        /// The caller's connection.
        origin: Origin,
        /// The call.
        tag: Tag,
        /// The description that the switch gave.
        description: Option<String>,
    },
    /// Tell a caller that its call does not stand.
    Reject {
        /// The caller's connection.
        origin: Origin,
        /// The call.
        tag: Tag,
        /// Congestion if trying again is harmless, else failed.
        cause: u8,
        /// For how long to stay away; 0 says nothing.
        back_off: Micros,
    },
    /// Release a standing call towards its caller.
    Release {
        /// The connection of its set-up, if this program knows it.
        origin: Option<Origin>,
        /// The call.
        tag: Tag,
        /// Why.
        cause: u8,
    },
    /// A line for the log.
    Log(String),
}

/// What the one timer queue holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The module wants to be woken.
    Module(u64),
    /// An attempt of a call has run out of time.
    Attempt(CallId, u32),
    /// A probe has.
    Probe(Tag),
    /// The connection to a switch has something due.
    Link(SwitchId),
    /// The control feed has.
    Feed,
    /// The callers' connections are to be looked after.
    Callers,
    /// The end of the program may be near.
    Stop,
}

struct Attempt {
    number: u32,
    switch: SwitchId,
    sent: Micros,
}

enum Stage {
    /// The module decides, holds or has an attempt out.
    Open(Option<Attempt>),
    /// It stands at this switch; its set-up was sent then.
    Standing { switch: SwitchId, sent: Micros, attempt: u32 },
}

struct Call {
    tag: Tag,
    origin: Origin,
    class: usize,
    called: String,
    description: Option<String>,
    give_up_at: Micros,
    attempts: u32,
    stage: Stage,
}

/// The call table and the module behind it.
pub struct Driver {
    module: Controller,
    names: Names,
    step: Micros,
    limits: Limits,
    /// Bytes of descriptions in the table.
    held: usize,
    calls: BTreeMap<CallId, Call>,
    tags: HashMap<Tag, CallId>,
    last_id: u64,
    over: HashMap<Tag, Micros>,
    over_order: VecDeque<(Micros, Tag)>,
    probes: HashMap<Tag, (SwitchId, Micros)>,
    last_probe: Tag,
    /// What came since the last batch, in order of arrival.
    events: Vec<Event>,
    /// The next batch comes no sooner.
    next_batch: Micros,
    actions: Vec<Action>,
    /// All that is due at some time, the network's part too: there is one loop timer.
    pub timers: Timers<Due>,
    /// What is to be written.
    pub commands: Vec<Command>,
}

impl Driver {
    /// A driver with no call.
    pub fn new(settings: Settings, names: Names, limits: Limits, seed: u64, now: Micros) -> Self {
        let (step, mut actions) = (settings.min_batch_interval, Vec::new());
        let module = Controller::new(settings, seed, now, &mut actions);
        let mut driver = Driver {
            module,
            names,
            step,
            limits,
            held: 0,
            calls: BTreeMap::new(),
            tags: HashMap::new(),
            last_id: 0,
            over: HashMap::new(),
            over_order: VecDeque::new(),
            probes: HashMap::new(),
            last_probe: seed,
            events: vec![],
            next_batch: now,
            actions,
            timers: Timers::default(),
            commands: vec![],
        };
        driver.act(now);
        driver
    }

    /// The index of a zone's name; one that the settings do not name is a zone of its own.
    pub fn zone(&self, name: &str) -> u32 {
        self.names.zones.iter().position(|z| z == name).unwrap_or(self.names.zones.len()) as u32
    }

    /// Calls that still wait for their final answer.
    pub fn unanswered(&self) -> usize {
        self.calls.values().filter(|c| matches!(c.stage, Stage::Open(_))).count()
    }

    /// Whether a call has an attempt out at a switch, or stands there.
    pub fn uses(&self, switch: SwitchId) -> bool {
        self.calls.values().any(|c| match &c.stage {
            Stage::Open(attempt) => attempt.as_ref().is_some_and(|a| a.switch == switch),
            Stage::Standing { switch: at, .. } => *at == switch,
        })
    }

    /// When the oldest set-up that is out at a switch was sent.
    pub fn oldest_out(&self, switch: SwitchId) -> Option<Micros> {
        let out = |c: &Call| match &c.stage {
            Stage::Open(Some(a)) if a.switch == switch => Some(a.sent),
            _ => None,
        };
        self.calls.values().filter_map(out).min()
    }

    // What callers send.

    /// A set-up has come. One for which there is no place is refused here and never reaches the module.
    ///
    /// # Errors
    /// It is not taken, and nothing was answered.
    pub fn set_up(&mut self, now: Micros, origin: Origin, new: SetUp) -> Result<(), Fault> {
        // Guards against two answers to one id: the first set-up alone is answered.
        if self.tags.contains_key(&new.tag) {
            return Err(Fault::InUse);
        }
        let class = self.names.classes.iter().position(|c| *c == new.class).ok_or(Fault::Senseless)?;
        let fits = |w: &f64| (new.width - w).abs() < 1e-9;
        // Guards the switches and the module's figures against what no caller means: a switch closes its
        // connection, with all that is open on it, on what it can't read.
        let sound = new.tag != 0
            && self.limits.widths.get(class).map_or(new.width > 0.0 && new.width <= 1e3, fits)
            && (0..=1_000_000).contains(&new.destination)
            && (-1..=1_000_000).contains(&new.via)
            && (0..=self.limits.longest).contains(&new.left);
        if !sound {
            return Err(Fault::Senseless);
        }
        let held = self.held + new.description.as_ref().map_or(0, String::len);
        if self.calls.len() >= self.limits.calls || held > self.limits.descriptions {
            // Guards the memory, by the limits of the settings and the configuration.
            self.turn_away(origin, new.tag);
            return Ok(());
        }
        self.held = held;
        self.last_id += 1;
        let id = CallId(self.last_id);
        let give_up_at = now.saturating_add(new.left);
        self.tags.insert(new.tag, id);
        self.events.push(Event::NewCall(NewCall {
            id,
            class,
            tenant: None,
            called_number: new.called.clone(),
            deadline: give_up_at,
            destination: new.destination,
            circuits: new.width,
            via_exchange: new.via,
            redial: new.redial,
            transit: new.transit,
        }));
        let (tag, called, description) = (new.tag, new.called, new.description);
        let (attempts, stage) = (0, Stage::Open(None));
        self.calls.insert(id, Call { tag, origin, class, called, description, give_up_at, attempts, stage });
        Ok(())
    }

    /// Refuses a set-up for which there is no place; the module never hears of it.
    pub fn turn_away(&mut self, origin: Origin, tag: Tag) {
        let back_off = OVERFULL_BACK_OFF;
        self.commands.push(Command::Reject { origin, tag, cause: cause::CONGESTION, back_off });
    }

    /// A caller has given its set-up up, or released its call; false if that is neither open nor stands.
    pub fn released(&mut self, now: Micros, tag: Tag) -> bool {
        let Some(id) = self.tags.get(&tag).copied() else {
            // Not one of ours, and not an echo: a call of before the last restart may stand at any switch.
            if !self.over.contains_key(&tag) {
                self.commands.push(Command::GiveUpAnywhere(tag));
                self.remember(now, tag);
            }
            return false;
        };
        self.abandon(now, id);
        true
    }

    /// A caller's connection has ended: the set-ups open on it are given up. Calls that stand belong to none.
    pub fn origin_closed(&mut self, now: Micros, origin: Origin) {
        let open = |c: &Call| c.origin == origin && matches!(c.stage, Stage::Open(_));
        let gone: Vec<CallId> = self.calls.iter().filter(|(_, c)| open(c)).map(|(id, _)| *id).collect();
        gone.into_iter().for_each(|id| self.abandon(now, id));
    }

    /// A set-up of this connection that is not answered yet.
    pub fn owes(&self, origin: Origin) -> Option<Tag> {
        let owed = self.calls.values().find(|c| c.origin == origin && matches!(c.stage, Stage::Open(_)));
        owed.map(|c| c.tag)
    }

    /// All connections that wait for an answer, and for how many.
    pub fn owed(&self) -> BTreeMap<Origin, usize> {
        let mut owed = BTreeMap::new();
        for call in self.calls.values().filter(|c| matches!(c.stage, Stage::Open(_))) {
            *owed.entry(call.origin).or_default() += 1;
        }
        owed
    }

    /// The caller has no more use for the call: what it has at a switch is given up.
    fn abandon(&mut self, now: Micros, id: CallId) {
        match self.take(now, id).map(|c| (c.tag, c.stage)) {
            Some((tag, Stage::Open(attempt))) => {
                self.events.push(Event::CallerGone(id));
                if let Some(a) = attempt {
                    self.give_up(tag, a.switch);
                    self.end(id, a.number, a.switch, Outcome::Cancelled, true);
                }
            }
            Some((tag, Stage::Standing { switch, attempt, .. })) => {
                self.give_up(tag, switch);
                self.end(id, attempt, switch, Outcome::Cancelled, true);
            }
            None => {}
        }
    }

    // What switches send.

    /// A call stands.
    pub fn stands(&mut self, now: Micros, switch: SwitchId, tag: Tag, description: Option<String>) {
        let id = self.tags.get(&tag).copied();
        let call = id.and_then(|id| self.calls.get_mut(&id).map(|c| (id, c)));
        if let Some((id, call)) = call {
            match &call.stage {
                Stage::Open(Some(a)) if a.switch == switch => {
                    let (attempt, sent) = (a.number, a.sent);
                    call.stage = Stage::Standing { switch, sent, attempt };
                    let took = now - sent;
                    // It is not needed again, and calls stand for long.
                    self.held -= call.description.take().map_or(0, |d| d.len());
                    self.events.push(Event::Established { call: id, attempt, set_up_time: took });
                    let origin = call.origin;
                    return self.commands.push(Command::Answer { origin, tag, description });
                }
                Stage::Standing { switch: at, .. } if *at == switch => return,
                _ => {}
            }
        }
        // Guards against an answer that crossed its cancel: what was given up must not stay standing. One under
        // an id that was never sent is nobody's.
        if id.is_some() || self.over.contains_key(&tag) {
            self.give_up(tag, switch);
        }
    }

    /// An attempt has failed, or a call that stood is over.
    pub fn ended(&mut self, now: Micros, switch: SwitchId, tag: Tag, release: Release) {
        let Some(id) = self.tags.get(&tag).copied() else {
            self.state(switch, release.report);
            let was_standing = matches!(release.cause, cause::NORMAL | cause::BROKEN);
            if was_standing && !self.over.contains_key(&tag) {
                // A call of before the last restart: its caller still has it.
                self.remember(now, tag);
                self.commands.push(Command::Release { origin: None, tag, cause: release.cause });
            }
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else { return };
        match &call.stage {
            Stage::Open(Some(a)) if a.switch == switch => {
                let outcome = match release.cause {
                    cause::NO_CIRCUIT => Outcome::Congested,
                    cause::EXPIRED => Outcome::NotSent,
                    cause::BROKEN => Outcome::Reset,
                    _ => Outcome::Failed,
                };
                let attempt = a.number;
                call.stage = Stage::Open(None);
                let (reason, report) = (release.note, release.report);
                let (call, call_closed) = (id, false);
                self.events.push(Event::AttemptEnded(AttemptEnd {
                    call,
                    attempt,
                    switch,
                    outcome,
                    reason,
                    call_closed,
                    report,
                }));
            }
            Stage::Standing { switch: at, .. } if *at == switch => {
                let outcome =
                    if release.cause == cause::NORMAL { Outcome::Completed } else { Outcome::Reset };
                self.over(now, id, release.cause, outcome, release.report);
            }
            // The end of an attempt that was given up before.
            _ => self.state(switch, release.report),
        }
    }

    /// A switch has reported without being asked.
    pub fn state(&mut self, switch: SwitchId, report: LoadReport) {
        if report != LoadReport::default() {
            self.events.push(Event::SwitchStatus { switch, answered: true, round_trip: 0, report });
        }
    }

    /// A switch that seemed silent has spoken on a new connection, so long after that was begun: as good as a
    /// probe that it has answered.
    pub fn alive(&mut self, switch: SwitchId, took: Micros) {
        let (answered, round_trip, report) = (true, took.max(1), LoadReport::default());
        self.events.push(Event::SwitchStatus { switch, answered, round_trip, report });
    }

    /// A probe has been answered.
    pub fn probed(&mut self, now: Micros, tag: Tag, passed: bool, report: LoadReport) {
        if let Some((switch, sent)) = self.probes.remove(&tag) {
            let round_trip = (now - sent).max(1);
            self.events.push(Event::SwitchStatus { switch, answered: passed, round_trip, report });
        }
    }

    /// No connection to a switch came up: these set-ups never left.
    pub fn unreachable(&mut self, switch: SwitchId, tags: &[Tag]) {
        for tag in tags {
            self.end_attempts(switch, Outcome::Unreachable, |c| c.tag == *tag);
        }
    }

    /// A connection to a switch is gone, and with it the set-ups that were sent there up to then.
    pub fn link_lost(&mut self, switch: SwitchId, up_to: Micros) {
        let before = |c: &Call| matches!(&c.stage, Stage::Open(Some(a)) if a.sent <= up_to);
        self.end_attempts(switch, Outcome::Reset, before);
    }

    fn end_attempts(&mut self, switch: SwitchId, outcome: Outcome, which: impl Fn(&Call) -> bool) {
        let mut ended = Vec::new();
        for (id, call) in self.calls.iter_mut().filter(|(_, c)| which(c)) {
            if let Stage::Open(Some(a)) = &call.stage
                && a.switch == switch
            {
                ended.push((*id, a.number));
                call.stage = Stage::Open(None);
            }
        }
        ended.into_iter().for_each(|(id, n)| self.end(id, n, switch, outcome, false));
    }

    /// A switch has died or is cut off: the calls that were sent to it before that are cut.
    pub fn switch_died(&mut self, now: Micros, switch: SwitchId, before: Micros) {
        let cut = |c: &Call| matches!(c.stage, Stage::Standing { switch: s, sent, .. } if s == switch && sent < before);
        let ids: Vec<CallId> = self.calls.iter().filter(|(_, c)| cut(c)).map(|(id, _)| *id).collect();
        for id in ids {
            // Cut off is not dead: if the switch is there again, it must not think that the call stands.
            if let Some(tag) = self.calls.get(&id).map(|c| c.tag) {
                self.give_up(tag, switch);
            }
            self.over(now, id, cause::BROKEN, Outcome::Reset, LoadReport::default());
        }
    }

    /// News of the list of switches.
    pub fn list(&mut self, list: SwitchListUpdate) {
        self.events.push(Event::SwitchList(list));
    }

    /// A call that stood is over: its caller is told.
    fn over(&mut self, now: Micros, id: CallId, cause: u8, outcome: Outcome, report: LoadReport) {
        let Some(call) = self.take(now, id) else { return };
        let Stage::Standing { switch, attempt, .. } = call.stage else { return };
        self.commands.push(Command::Release { origin: Some(call.origin), tag: call.tag, cause });
        let (call, reason, call_closed) = (id, EndReason::Unknown, true);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            call,
            attempt,
            switch,
            outcome,
            reason,
            call_closed,
            report,
        }));
    }

    // Time and the module.

    /// When the next batch or timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        let batch = (!self.events.is_empty()).then_some(self.next_batch);
        [batch, self.timers.next()].into_iter().flatten().min()
    }

    /// A timer of the driver's is due.
    pub fn due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Module(token) => self.events.push(Event::Timer(token)),
            Due::Attempt(id, number) => {
                let Some(call) = self.calls.get_mut(&id) else { return };
                let Stage::Open(Some(a)) = &call.stage else { return };
                if a.number == number {
                    let (tag, switch) = (call.tag, a.switch);
                    call.stage = Stage::Open(None);
                    self.give_up(tag, switch);
                    self.end(id, number, switch, Outcome::TimedOut, false);
                }
            }
            Due::Probe(tag) => self.probed(now, tag, false, LoadReport::default()),
            Due::Link(_) | Due::Feed | Due::Callers | Due::Stop => {}
        }
    }

    /// Hands the module what came since the last batch, if it is time for one, and carries out its actions.
    ///
    /// As on the simulator's wire, all events of a batch come at its time, in their order of arrival, at least
    /// a step after the last one; the actions take effect after the last event, in order; what they bring about
    /// at once is an event of the next batch.
    pub fn batch(&mut self, now: Micros) {
        if self.events.is_empty() || now < self.next_batch {
            return;
        }
        self.next_batch = now + self.step;
        for event in std::mem::take(&mut self.events) {
            self.module.handle(now, event, &mut self.actions);
        }
        self.act(now);
        while self.over_order.front().is_some_and(|o| o.0 <= now)
            || self.over.len() > MOST_REMEMBERED * self.limits.calls
        {
            let Some((_, tag)) = self.over_order.pop_front() else { break };
            self.over.remove(&tag);
        }
    }

    fn act(&mut self, now: Micros) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::SendSetUp { call, switch, timeout } => self.send(now, call, switch, timeout),
                Action::Reject { call, back_off } => self.reject(now, call, cause::CONGESTION, back_off),
                Action::Fail(call) => self.reject(now, call, cause::BROKEN, 0),
                Action::Cancel { call, attempt } => {
                    let Some(c) = self.calls.get_mut(&call) else { continue };
                    let Stage::Open(Some(a)) = &c.stage else { continue };
                    if a.number == attempt {
                        let (tag, switch) = (c.tag, a.switch);
                        c.stage = Stage::Open(None);
                        self.give_up(tag, switch);
                        self.end(call, attempt, switch, Outcome::Cancelled, false);
                    }
                }
                Action::Probe(switch) => {
                    self.last_probe = self.last_probe.wrapping_add(1);
                    let tag = self.last_probe;
                    self.probes.insert(tag, (switch, now));
                    self.timers.push(now + PROBE_WAIT, Due::Probe(tag));
                    self.commands.push(Command::Probe { switch, tag });
                }
                // Changes to the list come unasked on the control feed.
                Action::Subscribe => {}
                Action::SetTimer { after, token } => {
                    self.timers.push(now.saturating_add(after.max(0)), Due::Module(token));
                }
                Action::Log(line) => self.log(line),
            }
        }
    }

    fn send(&mut self, now: Micros, id: CallId, switch: SwitchId, timeout: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let number = call.attempts;
        call.attempts += 1;
        if !matches!(call.stage, Stage::Open(None)) {
            // Two attempts at once never happen, whatever was decided on an older view of the call.
            return self.end(id, number, switch, Outcome::NotSent, true);
        }
        call.stage = Stage::Open(Some(Attempt { number, switch, sent: now }));
        let until = now.saturating_add(timeout).min(call.give_up_at);
        let class = self.names.classes.get(call.class).cloned().unwrap_or_default();
        let (tag, called, description) = (call.tag, call.called.clone(), call.description.clone());
        self.commands.push(Command::SetUp { switch, tag, class, called, until, description });
        self.timers.push(until, Due::Attempt(id, number));
    }

    /// The one final answer of a call that does not stand. One that stands by now has had its answer.
    fn reject(&mut self, now: Micros, id: CallId, cause: u8, back_off: Micros) {
        if !self.calls.get(&id).is_some_and(|c| matches!(c.stage, Stage::Open(_))) {
            return;
        }
        let Some(call) = self.take(now, id) else { return };
        if let Stage::Open(Some(a)) = call.stage {
            self.give_up(call.tag, a.switch);
        }
        self.commands.push(Command::Reject { origin: call.origin, tag: call.tag, cause, back_off });
    }

    /// Takes a call out of the table: the one place where it is given back.
    fn take(&mut self, now: Micros, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.tags.remove(&call.tag);
        self.held -= call.description.as_ref().map_or(0, String::len);
        self.remember(now, call.tag);
        Some(call)
    }

    fn remember(&mut self, now: Micros, tag: Tag) {
        if self.over.insert(tag, now).is_none() {
            self.over_order.push_back((now + REMEMBERED, tag));
        }
    }

    fn give_up(&mut self, tag: Tag, switch: SwitchId) {
        self.commands.push(Command::GiveUp { switch, tag });
    }

    fn end(&mut self, call: CallId, attempt: u32, switch: SwitchId, outcome: Outcome, call_closed: bool) {
        let (reason, report) = (EndReason::Unknown, LoadReport::default());
        self.events.push(Event::AttemptEnded(AttemptEnd {
            call,
            attempt,
            switch,
            outcome,
            reason,
            call_closed,
            report,
        }));
    }

    fn log(&mut self, line: String) {
        self.commands.push(Command::Log(line));
    }

    /// Ends all calls that still wait: the program stops before their time-outs would.
    pub fn fail_all(&mut self, now: Micros) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        open.into_iter().for_each(|id| self.reject(now, id, cause::BROKEN, 0));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Health, SwitchEntry};
    use crate::settings::{build, flatten};

    const MS: Micros = 1_000;
    const ORIGIN: Origin = Origin(1);
    const FAR: SwitchId = SwitchId(11);

    /// A driver of exchange 0 that knows exchange 1, with room toward it, at a time of ten seconds.
    struct Rig {
        driver: Driver,
        now: Micros,
    }

    impl Rig {
        fn new() -> Self {
            let config: serde_json::Value =
                serde_json::from_str(include_str!("../tests/exchanges/config.json")).unwrap();
            let (settings, names) = build(&flatten(&config["settings"])).unwrap();
            let now = 10_000 * MS;
            let limits = Limits { calls: 100, descriptions: 10_000, longest: 9_000 * MS, widths: vec![1.0] };
            let mut driver = Driver::new(settings, names, limits, 7, now);
            let listed = [(0, 10), (1, 11)].map(|(exchange_number, switch)| SwitchEntry {
                switch: SwitchId(switch),
                zone: 0,
                exchange_number,
                health: Health::InService,
                up_since: None,
            });
            driver.list(SwitchListUpdate::Full(listed.into()));
            driver.state(
                FAR,
                LoadReport { free_circuits: Some(9.0), group_size: Some(9.0), ..LoadReport::default() },
            );
            let mut rig = Rig { driver, now };
            assert_eq!(rig.turn(), []);
            rig
        }

        /// A turn: what is due, a batch, and the commands that came of it.
        fn turn(&mut self) -> Vec<Command> {
            while let Some(due) = self.driver.timers.pop(self.now) {
                self.driver.due(self.now, due);
            }
            self.driver.batch(self.now);
            std::mem::take(&mut self.driver.commands)
        }

        /// Turns in steps of a millisecond until one has commands.
        fn until_said(&mut self) -> Vec<Command> {
            for _ in 0..10_000 {
                self.now += MS;
                let commands = self.turn();
                if !commands.is_empty() {
                    return commands;
                }
            }
            panic!("nothing is said any more");
        }

        fn call(&mut self, tag: Tag, left: Micros) -> Vec<Command> {
            let (class, called) = ("check".into(), format!("n{tag}"));
            let (destination, width, via) = (1, 1.0, -1);
            let new = SetUp { tag, class, called, left, destination, width, via, ..SetUp::default() };
            self.driver.set_up(self.now, ORIGIN, new).unwrap();
            self.now += 10 * MS;
            self.turn()
        }

        fn stands(&mut self, tag: Tag) {
            let sent = self.call(tag, 3000 * MS);
            assert!(matches!(sent[..], [Command::SetUp { .. }]), "{sent:?}");
            self.driver.stands(self.now, FAR, tag, None);
            assert_eq!(self.turn(), [Command::Answer { origin: ORIGIN, tag, description: None }]);
        }
    }

    #[test]
    fn an_answer_that_came_in_time_is_the_only_one_whatever_its_batch_decides() {
        let mut rig = Rig::new();
        rig.call(1, 300 * MS);
        // The module's own limit, 10 ms before the caller's, is due in the turn in which the answer comes.
        rig.now += 285 * MS;
        while let Some(due) = rig.driver.timers.pop(rig.now) {
            rig.driver.due(rig.now, due);
        }
        rig.driver.stands(rig.now, FAR, 1, None);
        assert_eq!(rig.turn(), [Command::Answer { origin: ORIGIN, tag: 1, description: None }]);
        assert_eq!(rig.driver.unanswered(), 0);
    }

    #[test]
    fn what_is_given_up_is_told_to_the_switch_first_and_its_late_answer_does_not_stand() {
        let mut rig = Rig::new();
        rig.call(1, 300 * MS);
        let said = rig.until_said();
        let reject = Command::Reject { origin: ORIGIN, tag: 1, cause: cause::BROKEN, back_off: 0 };
        assert_eq!(said, [Command::GiveUp { switch: FAR, tag: 1 }, reject]);
        rig.driver.stands(rig.now, FAR, 1, None);
        assert_eq!(rig.turn(), [Command::GiveUp { switch: FAR, tag: 1 }]);
    }

    #[test]
    fn after_a_reset_the_call_waits_for_the_release_and_goes_out_once() {
        let mut rig = Rig::new();
        rig.call(1, 3000 * MS);
        rig.driver.link_lost(FAR, rig.now);
        let reset_at = rig.now;
        let said = rig.until_said();
        assert!(matches!(said[..], [Command::SetUp { tag: 1, .. }]), "{said:?}");
        assert!(rig.now - reset_at >= 500 * MS);
        // The module's view may lag: a second attempt beside the one that is out is never sent.
        rig.driver.send(rig.now, CallId(1), FAR, MS);
        assert_eq!(std::mem::take(&mut rig.driver.commands), []);
    }

    #[test]
    fn batches_keep_their_distance_and_hold_what_came_meanwhile() {
        let mut rig = Rig::new();
        rig.driver.state(FAR, LoadReport { free_circuits: Some(8.0), ..LoadReport::default() });
        rig.now += MS;
        rig.turn();
        assert_eq!((rig.driver.events.len(), rig.driver.next_due()), (1, Some(rig.now + 4 * MS)));
        rig.now += 4 * MS;
        rig.turn();
        assert_eq!(rig.driver.events.len(), 0);
    }

    #[test]
    fn a_switch_that_died_takes_the_calls_with_it_that_were_sent_before() {
        let mut rig = Rig::new();
        rig.stands(1);
        rig.now += 100 * MS;
        let died = rig.now;
        rig.now += 100 * MS;
        rig.stands(2);
        rig.driver.switch_died(rig.now, FAR, died);
        let release = Command::Release { origin: Some(ORIGIN), tag: 1, cause: cause::BROKEN };
        assert_eq!(rig.turn(), [Command::GiveUp { switch: FAR, tag: 1 }, release]);
        assert!(rig.driver.uses(FAR), "the other one stands");
    }

    #[test]
    fn the_end_of_an_unknown_call_is_passed_on_once_and_remembered_for_a_while() {
        let mut rig = Rig::new();
        let end =
            || Release { cause: cause::NORMAL, note: EndReason::Unknown, report: LoadReport::default() };
        let release = Command::Release { origin: None, tag: 5, cause: cause::NORMAL };
        rig.driver.ended(rig.now, FAR, 5, end());
        rig.driver.ended(rig.now, FAR, 5, end());
        rig.driver.released(rig.now, 5);
        assert_eq!(rig.turn(), [release]);
        rig.now += REMEMBERED + MS;
        rig.turn();
        assert!(rig.driver.over.is_empty() && rig.driver.over_order.is_empty());
    }

    #[test]
    fn a_full_table_refuses_without_asking_the_module() {
        let mut rig = Rig::new();
        rig.driver.limits.calls = 1;
        rig.call(1, 3000 * MS);
        let (origin, tag, cause, back_off) = (ORIGIN, 2, cause::CONGESTION, OVERFULL_BACK_OFF);
        assert_eq!(rig.call(2, 3000 * MS), [Command::Reject { origin, tag, cause, back_off }]);
    }

    #[test]
    fn descriptions_of_open_calls_are_bounded_and_given_back() {
        // Guards the memory: what open calls hold of it is counted, and no longer counted once they are answered.
        let mut rig = Rig::new();
        rig.driver.limits.descriptions = 10;
        let set_up = |rig: &mut Rig, tag: Tag| {
            let description = Some("v=0 s=-".to_string());
            let new =
                SetUp { tag, class: "check".into(), called: "n".into(), left: 3000 * MS, ..SetUp::default() };
            rig.driver
                .set_up(rig.now, ORIGIN, SetUp { destination: 1, width: 1.0, description, ..new })
                .unwrap();
            rig.now += 10 * MS;
            rig.turn()
        };
        assert!(matches!(set_up(&mut rig, 1)[..], [Command::SetUp { tag: 1, .. }]));
        assert!(matches!(set_up(&mut rig, 2)[..], [Command::Reject { tag: 2, .. }]));
        rig.driver.stands(rig.now, FAR, 1, None);
        rig.turn();
        assert!(matches!(set_up(&mut rig, 3)[..], [Command::SetUp { tag: 3, .. }]));
        rig.driver.released(rig.now, 3);
        assert_eq!(rig.driver.held, 0);
    }

    #[test]
    fn a_probe_is_answered_once_or_fails_in_time() {
        let mut rig = Rig::new();
        rig.driver.actions.push(Action::Probe(FAR));
        rig.driver.act(rig.now);
        let said = std::mem::take(&mut rig.driver.commands);
        let [Command::Probe { switch: FAR, tag }] = said[..] else { panic!("{said:?}") };
        rig.now += PROBE_WAIT;
        rig.driver.due(rig.now, Due::Probe(tag));
        rig.driver.probed(rig.now, tag, true, LoadReport::default());
        assert!(matches!(
            rig.driver.events[..],
            [Event::SwitchStatus { answered: false, round_trip: PROBE_WAIT, .. }]
        ));
    }
}
