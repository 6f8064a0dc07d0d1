//! The control feed: the numbered events that change the list of carrier switches.

use super::lines;
use super::link::{Connection, DecodeResult, ReadStatus};
use super::switches::ListedSwitch;
use super::{Node, Unread, log};
use crate::call::TimerEvent;
use crate::clock::Clock;
use crate::interface::{ExchangeNumber, Health, Micros, SwitchEntry, SwitchListUpdate};
use calloop::LoopHandle;
use serde::Deserialize;
use std::net::SocketAddr;

/// A connection that is not up by then is given up.
const CONNECT: Micros = 1_000_000;
/// The feed says something each second: one that has been silent for so long is connected to anew.
const SILENCE: Micros = 2_500_000;
/// Wait before it is connected to again.
const RETRY: Micros = 200_000;
/// A line of the feed, or of the configuration's `known`.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// Its number.
    pub n: u64,
    /// What it changes in the list.
    #[serde(default)]
    pub members: Option<Members>,
}

/// A change to the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Members {
    /// These are all there are.
    #[serde(default)]
    pub whole: bool,
    /// The switches. Each is read by itself, so that one that can't be read does not keep the others out.
    #[serde(default)]
    pub hosts: Vec<serde_json::Value>,
}

/// A switch in the list.
#[derive(Deserialize)]
struct Entry {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    block: ExchangeNumber,
    health: Word,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
enum Word {
    #[serde(rename = "SERVING")]
    Serving,
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Deleted,
}

impl Entry {
    fn host(&self, clock: &Clock) -> ListedSwitch {
        ListedSwitch {
            name: self.host.clone(),
            address: self.dial.parse().ok(),
            exchange_number: self.block,
            health: match self.health {
                Word::Serving => Health::InService,
                Word::Draining => Health::Draining,
                Word::Deleted => Health::Gone,
            },
            up_since: clock.from_unix_ms(self.born_ms as i64),
        }
    }
}

/// What the configuration holds of the feed: the events up to the start.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Known {
    /// The number of the last one.
    #[serde(default)]
    pub n: u64,
    /// The events.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// The connection to the control feed.
pub struct Feed {
    handle: LoopHandle<'static, Node>,
    address: Option<SocketAddr>,
    link: Option<Connection>,
    /// It is up, and `SUB` has been sent.
    asked: bool,
    /// The number of the last event.
    last: u64,
    /// The connection is given up then, or tried again if there is none.
    due: Micros,
    /// An event was missed after this number, and all since has been asked for once.
    gap: Option<u64>,
    /// Most bytes of a line: a whole list may be longer than a call's message.
    most: usize,
}

impl Feed {
    /// A feed that is not connected yet.
    pub fn new(handle: LoopHandle<'static, Node>, address: Option<SocketAddr>, most: usize) -> Self {
        Feed { handle, address, link: None, asked: false, last: 0, due: 0, gap: None, most }
    }

    /// Writes what waits.
    pub fn flush(&mut self) -> bool {
        self.link.as_mut().is_none_or(|l| l.flush().is_ok())
    }
}

enum Line {
    Last(u64),
    Event(Event),
}

/// A number and nothing else. Guards against taking it for the event of that number, which would then be skipped.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Alone {
    n: u64,
}

fn decode(bytes: &[u8], most: usize) -> DecodeResult<Line> {
    let Some((line, taken)) = lines::first_line(bytes, most)? else { return Ok(None) };
    let text = std::str::from_utf8(line).map_err(|_| "a line that is no text")?.trim();
    let alone = text.parse().or_else(|_| serde_json::from_str(text).map(|alone: Alone| alone.n));
    let line = match alone {
        Ok(last) => Line::Last(last),
        Err(_) => Line::Event(serde_json::from_str(text).map_err(|_| "a line that holds no event")?),
    };
    Ok(Some((line, taken)))
}

impl Node {
    /// Takes over the events that were known at the start, and connects.
    pub(super) fn start_feed(&mut self, known: Known) {
        let last = known.n;
        self.take_known(known);
        self.feed.last = self.feed.last.max(last);
        self.connect_feed();
    }

    /// Takes over what a new configuration says: the events that are new here, and where the feed is now.
    pub(super) fn move_feed(&mut self, address: Option<SocketAddr>, known: Known) {
        self.take_known(known);
        if self.feed.address != address {
            // The old one tells nothing further: the new one is asked at once for all since the last number.
            (self.feed.address, self.feed.gap) = (address, None);
            self.close_feed("has moved", 0);
        }
    }

    /// Each number counts once, and none is passed over: what is missing here the feed will tell.
    fn take_known(&mut self, known: Known) {
        for event in known.events {
            let whole = event.members.as_ref().is_some_and(|m| m.whole);
            let next = event.n == self.feed.last.saturating_add(1);
            if event.n > self.feed.last && (next || whole) {
                self.feed.last = event.n;
                self.apply(event);
            }
        }
    }

    fn connect_feed(&mut self) {
        let now = self.clock.now();
        let Some(address) = self.feed.address else { return };
        match Connection::connect(&self.feed.handle, address, self.feed.most, Node::feed_ready) {
            Ok(link) => self.feed.link = Some(link),
            Err(e) => log(&format!("the control feed cannot be reached: {e}")),
        }
        let wait = if self.feed.link.is_some() { CONNECT } else { RETRY };
        self.set_feed_due(now + wait);
    }

    fn set_feed_due(&mut self, due: Micros) {
        self.feed.due = due;
        self.call_control.timers.push(due, TimerEvent::ControlFeed);
    }

    /// The one place where the connection is given back.
    pub(super) fn close_feed(&mut self, why: &str, wait: Micros) {
        log(&format!("the control feed {why} after event {}: connecting again", self.feed.last));
        if let Some(link) = self.feed.link.take() {
            link.close(&self.feed.handle);
        }
        self.feed.asked = false;
        let now = self.clock.now();
        self.set_feed_due(now + wait);
    }

    /// A time-out of the connection, or the time to try again.
    pub(super) fn feed_due(&mut self) {
        let now = self.clock.now();
        if now < self.feed.due {
            return;
        }
        match (&self.feed.link, self.feed.asked) {
            (None, _) => self.connect_feed(),
            (Some(_), true) => self.close_feed("was silent", 0),
            (Some(_), false) => self.close_feed("could not be reached", 0),
        }
    }

    pub(super) fn feed_ready(&mut self) {
        let now = self.clock.now();
        let Some(link) = &mut self.feed.link else { return };
        if !self.feed.asked {
            match link.check_connected() {
                Ok(false) => return,
                Ok(true) => {
                    self.feed.asked = true;
                    let ask = format!("SUB {}\n", self.feed.last);
                    link.output_buffer().extend_from_slice(ask.as_bytes());
                    self.set_feed_due(now + SILENCE);
                }
                Err(e) => return self.close_feed(&format!("could not be reached: {e}"), RETRY),
            }
        }
        let Some(link) = &mut self.feed.link else { return };
        let progress = link.read();
        let most = self.feed.most;
        let (lines, result) = link.decode_messages(|bytes| decode(bytes, most));
        if !lines.is_empty() {
            self.set_feed_due(now + SILENCE);
        }
        for line in lines {
            if !self.heard_feed(line) {
                return self.close_feed("has left out events", 0);
            }
        }
        if let Err(what) = result {
            return self.close_feed(&format!("sent {what}"), RETRY);
        }
        match progress {
            ReadStatus::WouldBlock => {}
            ReadStatus::MorePossible => self.unread.push(Unread::Feed),
            ReadStatus::EndOfStream | ReadStatus::Failed => self.close_feed("closed the connection", RETRY),
        }
    }

    /// Takes a line in; false if events before it are missing and must be asked for.
    fn heard_feed(&mut self, line: Line) -> bool {
        let (last, gap) = (self.feed.last, self.feed.gap);
        let event = match line {
            Line::Last(n) if n <= last => return true,
            Line::Last(_) => {
                // Later events follow SUB before the first such line: what it names should have come.
                self.feed.gap = Some(last);
                return gap == Some(last);
            }
            Line::Event(event) if event.n <= last => return true,
            Line::Event(event) => event,
        };
        let whole = event.members.as_ref().is_some_and(|m| m.whole);
        if event.n > last + 1 && !whole && gap != Some(last) {
            self.feed.gap = Some(last);
            return false;
        }
        self.feed.last = event.n;
        self.apply(event);
        true
    }

    fn apply(&mut self, event: Event) {
        let Some(members) = event.members else { return };
        let mut listed = Vec::with_capacity(members.hosts.len());
        let mut names = Vec::new();
        for value in members.hosts {
            let entry = match Entry::deserialize(&value) {
                Ok(entry) => entry,
                Err(e) => {
                    log(&format!("event {}: an entry is left out: {e}", event.n));
                    continue;
                }
            };
            let host = entry.host(&self.clock);
            let (zone, exchange_number) = (self.call_control.zone_index(&entry.site), host.exchange_number);
            let (health, up_since) = (host.health, host.up_since);
            let switch = self.switches.get_or_assign_id(&host.name, health);
            listed.extend(switch.map(|switch| SwitchEntry {
                switch,
                zone,
                exchange_number,
                health,
                up_since,
            }));
            names.push(host.name.clone());
            self.update_switch(host);
        }
        if members.whole {
            self.remove_unlisted_switches(&names);
        }
        self.call_control.handle_switch_list(if members.whole {
            SwitchListUpdate::Full(listed)
        } else {
            SwitchListUpdate::Changes(listed)
        });
    }
}
