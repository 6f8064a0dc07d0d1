//! The switch side: one connection to each carrier switch, kept open and shared by all calls, on which JSON
//! lines are spoken.

use super::lines::{self, Message};
use super::link::{Link, Progress};
use super::{Node, log};
use crate::call::{Due, Release, Tag, cause};
use crate::interface::{Cause, ExchangeId, Health, Micros, Number, Report};
use calloop::LoopHandle;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// First and longest wait before a switch is connected to again.
const RETRY: (Micros, Micros) = (100_000, 1_000_000);
/// A switch that refuses connections for so long has no process: its calls are cut. A single refusal may come
/// from one that takes no more connections.
const DEAD_AFTER: Micros = 2_500_000;

enum State {
    /// No connection; the next is tried then.
    Closed { retry_at: Micros },
    /// A connection is being set up until then.
    Connecting { link: Link, until: Micros },
    /// A connection is open since then.
    Open { link: Link, since: Micros },
}

/// What the control feed says of a switch.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Its number.
    pub number: Number,
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
    retry: Micros,
    refused_since: Option<Micros>,
    /// Its group has been reported, or it could not be reached: no reason to wait for it.
    heard: bool,
}

impl Switch {
    fn wanted(&self) -> bool {
        self.host.health != Health::Gone && self.host.address.is_some()
    }
}

/// All carrier switches.
pub struct Switches {
    handle: LoopHandle<'static, Node>,
    connect_timeout: Micros,
    /// The own exchange: nothing is sent there.
    here: Number,
    switches: BTreeMap<ExchangeId, Switch>,
    /// Names on the wire and the module's ids: mapped here alone.
    names: HashMap<String, ExchangeId>,
}

impl Switches {
    /// No switch is known yet.
    pub fn new(handle: LoopHandle<'static, Node>, connect_timeout: Micros, here: Number) -> Self {
        Switches { handle, connect_timeout, here, switches: BTreeMap::new(), names: HashMap::new() }
    }

    /// The module's id of a switch.
    pub fn id(&mut self, name: &str) -> ExchangeId {
        let next = ExchangeId(self.names.len() as u64 + 1);
        *self.names.entry(name.to_string()).or_insert(next)
    }

    /// Whether every switch in service has reported its group or could not be reached.
    pub fn all_heard(&self) -> bool {
        self.switches.values().all(|s| s.heard || s.host.health != Health::InService)
    }

    /// Switches that are not gone.
    pub fn present(&self) -> Vec<ExchangeId> {
        self.switches.iter().filter(|(_, s)| s.host.health != Health::Gone).map(|(id, _)| *id).collect()
    }

    /// Whether all that was said is written.
    pub fn is_flushed(&self) -> bool {
        self.switches.values().all(|s| match &s.state {
            State::Open { link, .. } => link.is_flushed(),
            _ => true,
        })
    }

    /// Writes to an open connection; false if there is none.
    fn write(&mut self, id: ExchangeId, message: &Message) -> bool {
        match self.switches.get_mut(&id).map(|s| &mut s.state) {
            Some(State::Open { link, .. }) => message.encode(link.output()),
            _ => false,
        }
    }

    /// Gives a set-up up, or releases a call.
    pub fn give_up(&mut self, id: ExchangeId, tag: Tag) {
        if let Some(switch) = self.switches.get_mut(&id) {
            let waited = switch.waiting.len();
            switch.waiting.retain(|w| w.0 != tag);
            // What never left need not be given up.
            if switch.waiting.len() == waited {
                self.write(id, &Message { rc: Some(cause::NORMAL), ..Message::new("FINISH", tag) });
            }
        }
    }

    /// Gives a call up at every switch.
    pub fn give_up_anywhere(&mut self, tag: Tag) {
        let ids: Vec<ExchangeId> = self.switches.keys().copied().collect();
        ids.into_iter().for_each(|id| self.give_up(id, tag));
    }

    /// Probes a switch.
    pub fn probe(&mut self, id: ExchangeId, tag: Tag) {
        self.write(id, &Message { rc: Some(0), ..Message::new("ECHO", tag) });
    }

    /// Writes what waits; returns the connections that broke.
    pub fn flush(&mut self) -> Vec<ExchangeId> {
        let mut broken = Vec::new();
        for (id, switch) in &mut self.switches {
            if let State::Open { link, .. } = &mut switch.state
                && let Err(e) = link.flush()
            {
                log(&format!("switch {}: the connection broke: {e}", switch.host.name));
                broken.push(*id);
            }
        }
        broken
    }
}

impl Node {
    /// The control feed tells of a switch.
    pub(super) fn host(&mut self, host: Host) {
        let now = self.clock.now();
        let id = self.switches.id(&host.name);
        if host.number == self.switches.here {
            return;
        }
        let before = self.switches.switches.get(&id).map(|s| s.host.clone());
        if before.is_none() && host.health == Health::Gone {
            return;
        }
        // Guards against an address that a new switch has taken over: what was meant for the old one must not
        // reach it, even while the list still names both.
        if host.health != Health::Gone && before.as_ref().is_none_or(|b| b.address != host.address) {
            let same = |(_, s): &(&ExchangeId, &Switch)| s.wanted() && s.host.address == host.address;
            let others = self.switches.switches.iter().filter(|(other, _)| **other != id);
            let taken: Vec<ExchangeId> = others.filter(same).map(|(other, _)| *other).collect();
            for other in taken {
                log(&format!("switch {} has the address of another, which is gone", host.name));
                self.drop_link(other);
                self.driver.switch_died(now, other, now);
                if let Some(s) = self.switches.switches.get_mut(&other) {
                    s.host.address = None;
                }
            }
        }
        let closed = State::Closed { retry_at: now };
        let switch = self.switches.switches.entry(id).or_insert_with(|| {
            log(&format!("switch {} is exchange {} of number {}", host.name, id.0, host.number));
            let (waiting, retry) = (vec![], RETRY.0);
            Switch { host: host.clone(), state: closed, waiting, retry, refused_since: None, heard: false }
        });
        switch.host = host.clone();
        let Some(before) = before else { return self.connect(id) };
        if before.health != host.health {
            log(&format!("switch {} is {:?}", host.name, host.health));
        }
        if host.health == Health::Gone {
            self.drop_link(id);
            self.driver.switch_died(now, id, now);
            return;
        }
        let restarted = host.up_since.filter(|up| before.up_since != Some(*up));
        if let Some(up) = restarted {
            // A process that has started anew knows nothing of older calls, whatever its machine told us.
            self.driver.switch_died(now, id, up);
        }
        let switch = self.switches.switches.get(&id);
        let stale = switch.is_some_and(|s| match s.state {
            State::Open { since, .. } => restarted.is_some_and(|up| since < up),
            _ => false,
        });
        if stale || before.address != host.address {
            self.drop_link(id);
        }
        if before.health == Health::Gone || stale || before.address != host.address {
            self.connect(id);
        }
    }

    /// Names of the switches that are not gone, for a list that is whole.
    pub(super) fn present_hosts(&self) -> Vec<Host> {
        let present = self.switches.switches.values().filter(|s| s.host.health != Health::Gone);
        present.map(|s| s.host.clone()).collect()
    }

    /// Sends a set-up: at once, or when the connection is up.
    pub(super) fn send_set_up(&mut self, id: ExchangeId, tag: Tag, mut message: Message, until: Micros) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id).filter(|s| s.wanted()) else {
            return self.driver.unreachable(id, &[tag]);
        };
        if let State::Open { link, .. } = &mut switch.state {
            if !left(&mut message, until - now).encode(link.output()) {
                log(&format!("set-up {tag:016x} is too long to be passed on"));
                let release = Release { cause: cause::UNAVAILABLE, note: Cause::None, report: Report::default() };
                self.driver.ended(now, id, tag, release);
            }
            return;
        }
        switch.waiting.push((tag, message, until));
        self.connect(id);
    }

    /// Starts to connect to a switch that has no connection.
    fn connect(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        let until = now + self.switches.connect_timeout;
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let State::Closed { .. } = switch.state else { return };
        let Some(address) = switch.host.address.filter(|_| switch.wanted()) else { return };
        match Link::connect(&self.switches.handle, address, move |node| node.switch_ready(id)) {
            Ok(link) => {
                switch.state = State::Connecting { link, until };
                self.driver.timers.push(until, Due::Link(id));
            }
            Err(e) => self.not_connected(id, &e.to_string(), true),
        }
    }

    /// No connection came up.
    fn not_connected(&mut self, id: ExchangeId, why: &str, refused: bool) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if !switch.heard || (refused && switch.refused_since.is_none()) {
            log(&format!("switch {} cannot be reached: {why}", switch.host.name));
        }
        switch.heard = true;
        let since = switch.refused_since.filter(|_| refused);
        switch.refused_since = if refused { since.or(Some(now)) } else { None };
        let dead = since.is_some_and(|s| now - s >= DEAD_AFTER);
        let retry_at = now + switch.retry;
        switch.retry = (switch.retry * 2).min(RETRY.1);
        self.close_link(id, retry_at);
        if dead {
            self.driver.switch_died(now, id, now);
        }
    }

    /// Drops the connection to a switch, if there is one, and with it what was open on it.
    pub(super) fn drop_link(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        self.close_link(id, now);
    }

    /// The one place where a connection to a switch is given back.
    fn close_link(&mut self, id: ExchangeId, retry_at: Micros) {
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        match std::mem::replace(&mut switch.state, State::Closed { retry_at }) {
            State::Open { link, .. } => {
                link.close(&self.switches.handle);
                self.driver.link_lost(id);
            }
            State::Connecting { link, .. } => link.close(&self.switches.handle),
            State::Closed { .. } => {}
        }
        let waiting: Vec<Tag> = switch.waiting.drain(..).map(|w| w.0).collect();
        self.driver.unreachable(id, &waiting);
        self.driver.timers.push(retry_at, Due::Link(id));
    }

    /// Something is due on a switch's connection.
    pub(super) fn link_due(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        match self.switches.switches.get(&id).map(|s| &s.state) {
            Some(State::Connecting { until, .. }) if *until <= now => {
                self.not_connected(id, "no connection in time", false);
            }
            Some(State::Closed { retry_at }) if *retry_at <= now => self.connect(id),
            _ => {}
        }
    }

    /// Something has come on a switch's connection, or it has room again.
    fn switch_ready(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        if let State::Connecting { link, .. } = &switch.state {
            match link.connected() {
                Ok(false) => return,
                Ok(true) => self.link_up(id),
                Err(e) => return self.not_connected(id, &e.to_string(), true),
            }
        }
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        let State::Open { link, .. } = &mut switch.state else { return };
        let progress = link.read();
        let (messages, result) = link.messages(lines::decode);
        let name = switch.host.name.clone();
        let result = messages.into_iter().try_for_each(|m| self.heard_switch(now, id, m)).and(result);
        if let Err(what) = result {
            log(&format!("switch {name} sent {what}: its connection is closed"));
            return self.close_link(id, now + RETRY.0);
        }
        match progress {
            Progress::Blocked => {}
            Progress::More => {
                self.switches.handle.insert_idle(move |node| node.switch_ready(id));
            }
            Progress::End | Progress::Broken => {
                let how = if progress == Progress::End { "closed" } else { "reset" };
                log(&format!("switch {name}: the connection was {how}"));
                self.close_link(id, now);
            }
        }
    }

    /// A connection has come up: the set-ups that waited for it go out.
    fn link_up(&mut self, id: ExchangeId) {
        let now = self.clock.now();
        let Some(switch) = self.switches.switches.get_mut(&id) else { return };
        (switch.retry, switch.refused_since) = (RETRY.0, None);
        let state = std::mem::replace(&mut switch.state, State::Closed { retry_at: now });
        if let State::Connecting { link, .. } = state {
            switch.state = State::Open { link, since: now };
        }
        for (tag, message, until) in std::mem::take(&mut switch.waiting) {
            self.send_set_up(id, tag, message, until);
        }
    }

    fn heard_switch(&mut self, now: Micros, id: ExchangeId, message: Message) -> Result<(), &'static str> {
        if message.verb == "LOAD" {
            if let Some(switch) = self.switches.switches.get_mut(&id) {
                switch.heard = true;
            }
            self.driver.state(id, message.report());
            return Ok(());
        }
        let tag = message.call().ok_or("a message about no call")?;
        match message.verb.as_str() {
            "STARTED" => self.driver.stands(now, id, tag, message.blob),
            "FINISH" => {
                let (note, report) = (message.note(), message.report());
                let cause = message.rc.ok_or("a release without a cause")?;
                self.driver.ended(now, id, tag, Release { cause, note, report });
                self.switches.write(id, &Message::new("FINISHED", tag));
            }
            "ECHOED" => self.driver.probed(now, tag, message.rc == Some(1), message.report()),
            _ => {}
        }
        Ok(())
    }
}

/// A set-up with the time that is left for it, in whole milliseconds.
fn left(message: &mut Message, left: Micros) -> &Message {
    message.opts.insert("left".into(), (left / 1000).max(1).to_string().into());
    message
}

/// The set-up of a call.
pub fn set_up(tag: Tag, class: String, called: String, description: Option<String>) -> Message {
    let mut message = Message { blob: description, ..Message::new("START", tag) };
    message.opts.insert("class".into(), class.into());
    message.opts.insert("key".into(), called.into());
    message
}
