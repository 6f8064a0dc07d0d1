//! The switch side: one connection to each carrier switch, kept open and shared by all calls, on which JSON
//! lines are spoken.

use super::lines::{self, Message};
use super::link::{Connection, ReadStatus};
use super::{Gatekeeper, PendingRead, log};
use crate::call::{Release, Tag, TimerEvent, cause};
use crate::interface::{EndReason, ExchangeNumber, Health, LoadReport, Micros, SwitchId};
use calloop::LoopHandle;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// First and longest wait before a switch is connected to again.
const RETRY: (Micros, Micros) = (100_000, 1_000_000);
/// A switch that can't be connected to for so long is dead or cut off, and so are its calls. A single refusal
/// may come from one that takes no more connections.
const DEAD_AFTER: Micros = 2_500_000;
/// One that has calls and has said nothing for so long is tried by a new connection: a dead or cut-off machine
/// leaves its old ones open and silent, but new ones never come up.
const SILENCE: Micros = 1_500_000;
/// A connection on which nothing has come for so long since a set-up went out may have failed by itself: a new one
/// is tried, and takes its place if the switch speaks on it.
const STUCK: Micros = 150_000;
/// For so long a connection that was replaced is still listened to: a slow answer may come.
const RETIRED: Micros = 3_000_000;
/// How often an open connection is looked at.
const WATCH: Micros = 50_000;

enum State {
    /// No connection; the next is tried then.
    Closed { retry_at: Micros },
    /// A connection is being set up until then.
    Connecting { link: Connection, until: Micros },
    /// A connection is open.
    Open(Open),
}

/// An open connection.
struct Open {
    link: Connection,
    since: Micros,
    /// When the last word about a call was spoken on it.
    used: Micros,
    /// When a set-up went out on it with nothing heard since.
    asked: Option<Micros>,
    /// A call has been answered on it.
    served: bool,
}

impl Open {
    fn new(link: Connection, now: Micros) -> Self {
        Open { link, since: now, used: now, asked: None, served: false }
    }
}

/// A second connection to a silent switch.
struct Trial {
    link: Connection,
    since: Micros,
    until: Micros,
    up: bool,
    /// How long it took until the switch spoke on it.
    spoke: Option<Micros>,
}

/// A connection that a second one has replaced.
struct Retired {
    link: Connection,
    at: Micros,
}

/// What the control feed says of a switch.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its number.
    pub number: ExchangeNumber,
    /// Its state.
    pub health: Health,
    /// When it last started, if that is known.
    pub up_since: Option<Micros>,
}

struct Switch {
    host: Host,
    state: State,
    /// Set-ups that wait for the connection, and until when each may.
    waiting: Vec<(Tag, Message, Micros)>,
    /// Calls to be given up as soon as there is a connection.
    debts: Vec<Tag>,
    retry: Micros,
    /// When it was last heard, or a connection last came up.
    last_heard: Micros,
    /// Its connection is looked at then.
    watch_at: Micros,
    /// Since when it can't be reached.
    lost_since: Option<Micros>,
    /// Shows whether it is still there when its connection is silent. What it says there counts as well.
    trial: Option<Trial>,
    /// What came before the present connection, as long as answers may come on it.
    retired: Option<Retired>,
    /// Its group has been reported, or it could not be reached: no reason to wait for it.
    heard: bool,
}

impl Switch {
    fn wanted(&self) -> bool {
        self.host.address.is_some()
    }
}

/// All carrier switches.
pub struct Switches {
    handle: LoopHandle<'static, Gatekeeper>,
    connect_timeout: Micros,
    /// Idle connections are closed after this.
    keepalive: Micros,
    /// The own exchange: nothing is sent there.
    here: ExchangeNumber,
    /// Most bytes that wait for one switch.
    most_unsent: usize,
    /// Those that are listed and not gone.
    switches: BTreeMap<SwitchId, Switch>,
    /// Their names on the wire and the module's ids: mapped here alone.
    names: HashMap<String, SwitchId>,
    last: u64,
}

impl Switches {
    /// No switch is known yet.
    pub fn new(
        handle: LoopHandle<'static, Gatekeeper>, connect_timeout: Micros, keepalive: Micros,
        here: ExchangeNumber, most_unsent: usize,
    ) -> Self {
        let (switches, names) = (BTreeMap::new(), HashMap::new());
        Switches { handle, connect_timeout, keepalive, here, most_unsent, switches, names, last: 0 }
    }

    /// The module's id of a switch that the list names; none for one that is gone and was not known.
    pub fn id(&mut self, name: &str, health: Health) -> Option<SwitchId> {
        let known = self.names.get(name).copied();
        if known.is_some() || health == Health::Gone {
            return known;
        }
        self.last += 1;
        self.names.insert(name.to_string(), SwitchId(self.last));
        Some(SwitchId(self.last))
    }

    /// Whether every switch in service has reported its group or could not be reached.
    pub fn all_heard(&self) -> bool {
        self.switches.values().all(|s| s.heard || !s.wanted() || s.host.health != Health::InService)
    }

    /// Whether all that was said is written.
    pub fn is_flushed(&self) -> bool {
        self.switches.values().all(|s| match &s.state {
            State::Open(open) => open.link.is_flushed(),
            _ => true,
        })
    }

    /// Writes to an open connection; false if there is none.
    fn write(&mut self, id: SwitchId, message: &Message) -> bool {
        match self.switches.get_mut(&id).map(|s| &mut s.state) {
            Some(State::Open(open)) => message.encode(open.link.output_buffer()),
            _ => false,
        }
    }

    /// Gives a set-up up, or releases a call.
    pub fn give_up(&mut self, id: SwitchId, tag: Tag) {
        if let Some(switch) = self.switches.get_mut(&id) {
            let waited = switch.waiting.len();
            switch.waiting.retain(|w| w.0 != tag);
            // What never left need not be given up.
            let left = switch.waiting.len() == waited;
            if left && !self.write(id, &finish(tag)) {
                // Guards against a call that stays standing because its switch could not be told. They are as
                // many as the bytes that may wait for it allow.
                let most = self.most_unsent / finish(tag).tag.len();
                let owing = self.switches.get_mut(&id).filter(|s| s.debts.len() < most);
                owing.into_iter().for_each(|s| s.debts.push(tag));
            }
        }
    }

    /// Gives a call up at every switch.
    pub fn give_up_anywhere(&mut self, tag: Tag) {
        let ids: Vec<SwitchId> = self.switches.keys().copied().collect();
        ids.into_iter().for_each(|id| self.give_up(id, tag));
    }

    /// Probes a switch.
    pub fn probe(&mut self, id: SwitchId, tag: Tag) {
        self.write(id, &Message { result_code: Some(0), ..Message::new("ECHO", tag) });
    }

    /// Writes what waits; returns the connections that broke.
    pub fn flush(&mut self) -> Vec<SwitchId> {
        let mut broken = Vec::new();
        for (id, switch) in &mut self.switches {
            if let State::Open(open) = &mut switch.state
                && let Err(e) = open.link.flush()
            {
                log(&format!("switch {}: the connection broke: {e}", switch.host.name));
                broken.push(*id);
            }
        }
        broken
    }
}

impl Gatekeeper {
    /// The control feed tells of a switch.
    pub(super) fn host(&mut self, host: Host) {
        let now = self.clock.now();
        let Some(id) = self.switches.id(&host.name, host.health) else { return };
        if host.health == Health::Gone {
            return self.forget_switch(now, id, &host.name);
        }
        if host.number == self.switches.here {
            return;
        }
        let before = self.switches.switches.get(&id).map(|s| s.host.clone());
        // Guards against an address that a new switch has taken over: what was meant for the old one must not
        // reach it, even while the list still names both.
        if before.as_ref().is_none_or(|b| b.address != host.address) {
            let same = |(_, s): &(&SwitchId, &Switch)| s.wanted() && s.host.address == host.address;
            let others = self.switches.switches.iter().filter(|(other, _)| **other != id);
            let taken: Vec<SwitchId> = others.filter(same).map(|(other, _)| *other).collect();
            for other in taken {
                log(&format!("switch {} has the address of another, which is gone", host.name));
                self.drop_link(other);
                self.call_control.handle_switch_down(now, other, now);
                if let Some(s) = self.switches.switches.get_mut(&other) {
                    s.host.address = None;
                }
            }
        }
        let closed = State::Closed { retry_at: now };
        let switch = self.switches.switches.entry(id).or_insert_with(|| {
            log(&format!("switch {} is exchange {} of number {}", host.name, id.0, host.number));
            Switch {
                host: host.clone(),
                state: closed,
                waiting: vec![],
                debts: vec![],
                retry: RETRY.0,
                last_heard: now,
                watch_at: now,
                lost_since: None,
                trial: None,
                retired: None,
                heard: false,
            }
        });
        switch.host = host.clone();
        let Some(before) = before else { return self.connect(id) };
        if before.health != host.health {
            log(&format!("switch {} is {:?}", host.name, host.health));
        }
        let restarted = host.up_since.filter(|up| before.up_since != Some(*up));
        if let Some(up) = restarted {
            // A process that has started anew knows nothing of older calls, whatever its machine told us.
            self.call_control.handle_switch_down(now, id, up);
        }
        let switch = self.switches.switches.get(&id);
        let stale = switch.is_some_and(|s| match &s.state {
            State::Open(open) => restarted.is_some_and(|up| open.since < up),
            _ => false,
        });
        if stale || before.address != host.address {
            self.drop_link(id);
        }
        if stale || before.address != host.address {
            self.connect(id);
        }
    }

    /// A switch is gone for good: what stood there is over, nothing is owed to it, and its entry and its id go.
    /// Switches come and go without end.
    fn forget_switch(&mut self, now: Micros, id: SwitchId, name: &str) {
        if self.switches.switches.contains_key(&id) {
            log(&format!("switch {name} is Gone"));
        }
        self.drop_link(id);
        self.call_control.handle_switch_down(now, id, now);
        self.switches.switches.remove(&id);
        self.switches.names.remove(name);
    }

    /// A list that is whole names these switches: all others are gone.
    pub(super) fn keep_hosts(&mut self, names: &[String]) {
        let now = self.clock.now();
        let gone = self.switches.names.iter().filter(|(name, _)| !names.contains(name));
        let gone: Vec<(String, SwitchId)> = gone.map(|(name, id)| (name.clone(), *id)).collect();
        gone.into_iter().for_each(|(name, id)| self.forget_switch(now, id, &name));
    }

    /// Sends a set-up: at once, or when the connection is up.
    pub(super) fn send_set_up(&mut self, id: SwitchId, tag: Tag, mut message: Message, until: Micros) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id).filter(|s| s.wanted()) else {
            return self.call_control.fail_unsent_set_ups(id, &[tag]);
        };
        if let State::Open(open) = &switch.state
            && about_to_close(now - open.used, self.switches.keepalive)
        {
            // Guards against a set-up that crosses the close of an idle connection and is lost with it. It is
            // the only one that is out, and not yet on any connection.
            self.end_link(id, now, now - 1);
        }
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if let State::Open(open) = &mut switch.state {
            open.used = now;
            open.asked.get_or_insert(now);
            if !left(&mut message, until - now).encode(open.link.output_buffer()) {
                log(&format!("set-up {tag:016x} is too long to be passed on"));
                let release = Release {
                    cause: cause::RESOURCE_UNAVAILABLE,
                    note: EndReason::Unknown,
                    report: LoadReport::default(),
                };
                self.call_control.handle_switch_release(now, id, tag, release);
            }
            return;
        }
        switch.waiting.push((tag, message, until));
        self.connect(id);
    }

    /// Starts to connect to a switch that has no connection.
    fn connect(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let until = now + self.switches.connect_timeout;
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let State::Closed { .. } = switch.state else { return };
        let Some(address) = switch.host.address.filter(|_| switch.wanted()) else { return };
        match Connection::connect(
            &self.switches.handle,
            address,
            self.switches.most_unsent,
            move |gatekeeper| gatekeeper.switch_ready(id),
        ) {
            Ok(link) => {
                switch.state = State::Connecting { link, until };
                self.call_control.timers.push(until, TimerEvent::SwitchConnection(id));
            }
            Err(e) => self.not_connected(id, &e.to_string()),
        }
    }

    /// No connection came up.
    fn not_connected(&mut self, id: SwitchId, why: &str) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if switch.lost_since.is_none() {
            log(&format!("switch {} cannot be reached: {why}", switch.host.name));
        }
        switch.heard = true;
        let since = *switch.lost_since.get_or_insert(now);
        let retry_at = now + switch.retry;
        switch.retry = (switch.retry * 2).min(RETRY.1);
        self.close_link(id, retry_at);
        if now - since >= DEAD_AFTER {
            self.call_control.handle_switch_down(now, id, now);
        }
    }

    /// Looks after a connection that is open: has the switch been silent on it for too long?
    fn watch(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let (used, oldest) =
            (self.call_control.has_calls_at(id), self.call_control.oldest_attempt_sent_at(id));
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let State::Open(open) = &switch.state else { return };
        // One that has come in place of another is not looked at twice as often.
        if now < switch.watch_at {
            return;
        }
        switch.watch_at = now + WATCH;
        self.call_control.timers.push(switch.watch_at, TimerEvent::SwitchConnection(id));
        // One that takes connections and says nothing is not waited for.
        switch.heard |= now >= open.since + SILENCE;
        let stuck = open.asked.is_some_and(|asked| now >= asked + STUCK) && switch.retired.is_none();
        if !used {
            switch.last_heard = now;
        }
        if switch.retired.as_ref().is_some_and(|r| now >= r.at + RETIRED || oldest.is_none_or(|o| o >= r.at))
        {
            self.close_retired(id);
        }
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let silent = now - switch.last_heard;
        match &switch.trial {
            Some(trial) if !trial.up && now < trial.until => return,
            Some(trial) if trial.spoke.is_some() && stuck => return self.replace_link(id),
            Some(trial) if trial.up && silent < SILENCE => return,
            None if !stuck && silent < SILENCE => return,
            _ => self.close_trial(id),
        }
        if silent >= SILENCE + DEAD_AFTER {
            return self.silent_for_good(id);
        }
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let Some(address) = switch.host.address else { return };
        let until = now + self.switches.connect_timeout;
        let most = self.switches.most_unsent;
        match Connection::connect(&self.switches.handle, address, most, move |gatekeeper| {
            gatekeeper.switch_ready(id)
        }) {
            Ok(link) => switch.trial = Some(Trial { link, since: now, until, up: false, spoke: None }),
            Err(e) => log(&format!("switch {} refuses a new connection: {e}", switch.host.name)),
        }
    }

    /// A switch has been silent, and no new connection came up.
    fn silent_for_good(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        log(&format!("switch {} is silent and no new connection comes up", switch.host.name));
        // The time of its silence counts: nothing is gained by waiting for refusals as well.
        switch.lost_since = Some(switch.last_heard);
        self.close_link(id, now);
        self.call_control.handle_switch_down(now, id, now);
    }

    /// The second connection takes the place of one on which nothing comes any more, though the switch lives.
    /// Guards against a connection that has failed and stays open: set-ups would go there for good, unanswered.
    fn replace_link(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let Some(trial) = switch.trial.take() else { return };
        log(&format!("switch {}: set-ups stay unanswered; a new connection takes over", switch.host.name));
        let open = State::Open(Open::new(trial.link, now));
        if let State::Open(old) = std::mem::replace(&mut switch.state, open) {
            switch.retired = Some(Retired { link: old.link, at: now });
            // It was the connection that failed, unless the one before it never served either.
            let took = trial.spoke.filter(|_| old.served);
            took.into_iter().for_each(|took| self.call_control.handle_switch_responsive(id, took));
        }
    }

    /// The one place where a connection that was replaced is given back, with the set-ups that are open on it.
    fn close_retired(&mut self, id: SwitchId) {
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if let Some(retired) = switch.retired.take() {
            retired.link.close(&self.switches.handle);
            self.call_control.handle_connection_lost(id, retired.at);
        }
    }

    /// The one place where a second connection is given back.
    fn close_trial(&mut self, id: SwitchId) {
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        switch.trial.take().into_iter().for_each(|t| t.link.close(&self.switches.handle));
    }

    /// Reads a second connection and one that was replaced.
    fn read_others(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if let Some(trial) = &mut switch.trial {
            match trial.link.check_connected() {
                Ok(false) => {}
                Ok(true) => {
                    if !trial.up {
                        (trial.up, switch.last_heard) = (true, now);
                    }
                    let said = read_lines(&mut trial.link);
                    if !said.0.is_empty() {
                        trial.spoke.get_or_insert(now - trial.since);
                    }
                    if !self.heard_lines(now, id, said) {
                        self.close_trial(id);
                    }
                }
                Err(_) => self.close_trial(id),
            }
        }
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if let Some(retired) = &mut switch.retired {
            let said = read_lines(&mut retired.link);
            if !self.heard_lines(now, id, said) {
                self.close_retired(id);
            }
        }
    }

    /// Takes what a connection has said; false if it is over.
    fn heard_lines(&mut self, now: Micros, id: SwitchId, (messages, result, progress): Said) -> bool {
        let result = messages.into_iter().try_for_each(|m| self.heard_switch(now, id, m)).and(result);
        if progress == ReadStatus::MorePossible {
            self.pending_reads.push(PendingRead::Switch(id));
        }
        result.is_ok() && !matches!(progress, ReadStatus::EndOfStream | ReadStatus::Failed)
    }

    /// Drops the connection to a switch, if there is one, and with it what was open on it.
    pub(super) fn drop_link(&mut self, id: SwitchId) {
        let now = self.clock.now();
        self.close_link(id, now);
    }

    /// Closes the connection to a switch; the next is tried then.
    fn close_link(&mut self, id: SwitchId, retry_at: Micros) {
        let now = self.clock.now();
        self.end_link(id, retry_at, now);
    }

    /// The one place where a connection to a switch is given back, with the set-ups that were sent up to then.
    fn end_link(&mut self, id: SwitchId, retry_at: Micros, up_to: Micros) {
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        match std::mem::replace(&mut switch.state, State::Closed { retry_at }) {
            State::Open(open) => {
                open.link.close(&self.switches.handle);
                self.call_control.handle_connection_lost(id, up_to);
            }
            State::Connecting { link, .. } => link.close(&self.switches.handle),
            State::Closed { .. } => {}
        }
        self.close_trial(id);
        self.close_retired(id);
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let waiting: Vec<Tag> = switch.waiting.drain(..).map(|w| w.0).collect();
        self.call_control.fail_unsent_set_ups(id, &waiting);
        self.call_control.timers.push(retry_at, TimerEvent::SwitchConnection(id));
    }

    /// Something is due on a switch's connection.
    pub(super) fn link_due(&mut self, id: SwitchId) {
        let now = self.clock.now();
        match self.switches.switches.get(&id).map(|s| &s.state) {
            Some(State::Connecting { until, .. }) if *until <= now => {
                self.not_connected(id, "no connection in time");
            }
            Some(State::Closed { retry_at }) if *retry_at <= now => self.connect(id),
            Some(State::Open(_)) => self.watch(id),
            _ => {}
        }
    }

    /// Something has come on a switch's connection, or it has room again.
    pub(super) fn switch_ready(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if let State::Connecting { link, .. } = &switch.state {
            match link.check_connected() {
                Ok(false) => return,
                Ok(true) => self.link_up(id),
                Err(e) => return self.not_connected(id, &e.to_string()),
            }
        }
        self.read_others(id);
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let State::Open(open) = &mut switch.state else { return };
        let (messages, result, progress) = read_lines(&mut open.link);
        if !messages.is_empty() {
            open.asked = None;
        }
        open.served |= messages.iter().any(|m| m.verb != "LOAD");
        let name = switch.host.name.clone();
        let result = messages.into_iter().try_for_each(|m| self.heard_switch(now, id, m)).and(result);
        if let Err(what) = result {
            log(&format!("switch {name} sent {what}: its connection is closed"));
            return self.close_link(id, now + RETRY.0);
        }
        match progress {
            ReadStatus::WouldBlock => {}
            ReadStatus::MorePossible => self.pending_reads.push(PendingRead::Switch(id)),
            ReadStatus::EndOfStream | ReadStatus::Failed => {
                let how = if progress == ReadStatus::EndOfStream { "closed" } else { "reset" };
                log(&format!("switch {name}: the connection was {how}"));
                self.close_link(id, now);
            }
        }
    }

    /// A connection has come up: the set-ups that waited for it go out.
    fn link_up(&mut self, id: SwitchId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        (switch.retry, switch.lost_since, switch.last_heard) = (RETRY.0, None, now);
        switch.watch_at = now + WATCH;
        self.call_control.timers.push(switch.watch_at, TimerEvent::SwitchConnection(id));
        let state = std::mem::replace(&mut switch.state, State::Closed { retry_at: now });
        if let State::Connecting { link, .. } = state {
            switch.state = State::Open(Open::new(link, now));
        }
        let (debts, waiting) = (std::mem::take(&mut switch.debts), std::mem::take(&mut switch.waiting));
        for tag in debts {
            self.switches.write(id, &finish(tag));
        }
        for (tag, message, until) in waiting {
            self.send_set_up(id, tag, message, until);
        }
    }

    fn heard_switch(&mut self, now: Micros, id: SwitchId, message: Message) -> Result<(), &'static str> {
        if let Some(switch) = self.switches.switches.get_mut(&id) {
            (switch.heard, switch.last_heard) = (true, now);
        }
        if message.verb == "LOAD" {
            self.call_control.handle_load_report(id, message.load_report());
            return Ok(());
        }
        let tag = message.call_reference().ok_or("a message about no call")?;
        if let Some(State::Open(open)) = self.switches.switches.get_mut(&id).map(|s| &mut s.state) {
            open.used = now;
        }
        match message.verb.as_str() {
            "STARTED" => self.call_control.handle_answer(now, id, tag, message.session_description),
            "FINISH" => {
                let (note, report) = (message.release_reason(), message.load_report());
                let cause = message.result_code.ok_or("a release without a cause")?;
                self.call_control.handle_switch_release(now, id, tag, Release { cause, note, report });
                self.switches.write(id, &Message::new("FINISHED", tag));
            }
            "ECHOED" => self.call_control.handle_probe_result(
                now,
                tag,
                message.result_code == Some(1),
                message.load_report(),
            ),
            _ => {}
        }
        Ok(())
    }
}

/// What was read at a time: the messages, what is wrong with what follows them, and how the reading went.
type Said = (Vec<Message>, Result<(), &'static str>, ReadStatus);

fn read_lines(link: &mut Connection) -> Said {
    let progress = link.read();
    let (messages, result) = link.decode_messages(lines::decode);
    (messages, result, progress)
}

/// Whether a connection that has been idle for so long may be closed before a set-up gets there.
fn about_to_close(idle: Micros, keepalive: Micros) -> bool {
    idle >= keepalive - (keepalive / 4).min(1_000_000)
}

/// Gives a set-up up, or releases a call.
fn finish(tag: Tag) -> Message {
    Message { result_code: Some(cause::NORMAL_CLEARING), ..Message::new("FINISH", tag) }
}

/// A set-up with the time that is left for it, in whole milliseconds.
fn left(message: &mut Message, left: Micros) -> &Message {
    message.fields.insert("left".into(), (left / 1000).max(1).to_string().into());
    message
}

/// The set-up of a call.
pub fn set_up(tag: Tag, class: String, called: String, description: Option<String>) -> Message {
    let mut message = Message { session_description: description, ..Message::new("START", tag) };
    message.fields.insert("class".into(), class.into());
    message.fields.insert("key".into(), called.into());
    message
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_idle_connection_is_replaced_shortly_before_its_switch_closes_it() {
        let (second, keepalive) = (1_000_000, 600_000_000);
        assert!(!about_to_close(keepalive - second - 1, keepalive));
        assert!(about_to_close(keepalive - second, keepalive) && about_to_close(keepalive * 2, keepalive));
        assert!(!about_to_close(second, 2 * second) && about_to_close(2 * second, 2 * second));
    }

    #[test]
    fn a_set_up_names_the_time_that_is_left_in_whole_milliseconds() {
        let mut message = set_up(7, "check".into(), "12".into(), None);
        for (span, text) in [(1_500_900, "1500"), (900, "1"), (-5_000, "1")] {
            assert_eq!(left(&mut message, span).field_text("left").as_deref(), Some(text));
        }
    }
}
