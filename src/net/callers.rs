//! The caller side: the listener and the connections of callers, on which binary messages are spoken.

use super::binary::{self, Message, code, kind};
use super::link::{Link, Progress};
use super::{Node, Unread, log};
use crate::call::{Origin, SetUp, Tag, cause};
use crate::interface::Micros;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Most releases that wait for a caller to connect.
const MOST_WAITING: usize = 65_536;
/// Longest that a caller may say it waits.
const LONGEST: Micros = 86_400_000_000;

struct Caller {
    link: Link,
    /// It has finished sending: it is closed once nothing is owed on it.
    ended: bool,
}

/// All connections from callers.
pub struct Callers {
    handle: LoopHandle<'static, Node>,
    listener: RegistrationToken,
    /// The listener rests while the descriptors set apart for callers are used up.
    resting: bool,
    most: usize,
    callers: BTreeMap<Origin, Caller>,
    last: u64,
    /// Tests that came before the gatekeeper was ready.
    tests: Vec<(Origin, Tag)>,
    /// Releases for which no caller was connected.
    releases: VecDeque<(Tag, u8)>,
}

impl Callers {
    /// Listens on an address for at most so many connections.
    pub fn listen(handle: LoopHandle<'static, Node>, at: SocketAddr, most: usize) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        log(&format!("listening on {}", listener.local_addr()?));
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let listener = handle
            .insert_source(source, |_, listener, node| {
                node.accept(listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        let (callers, tests, releases) = (BTreeMap::new(), vec![], VecDeque::new());
        Ok(Callers { handle, listener, resting: false, most, callers, last: 0, tests, releases })
    }

    fn add(&mut self, stream: TcpStream) {
        self.last += 1;
        let origin = Origin(self.last);
        match Link::new(&self.handle, stream, move |node| node.caller_ready(origin)) {
            Ok(link) => {
                self.callers.insert(origin, Caller { link, ended: false });
            }
            Err(e) => log(&format!("a caller's connection failed: {e}")),
        }
        for (tag, cause) in std::mem::take(&mut self.releases) {
            self.release(Some(origin), tag, cause);
        }
        if self.callers.len() >= self.most && !self.resting {
            self.resting = self.handle.disable(&self.listener).is_ok();
            log(&format!("{} callers' connections are open: no more for now", self.callers.len()));
        }
    }

    fn write(&mut self, origin: Origin, message: &Message) {
        if let Some(caller) = self.callers.get_mut(&origin)
            && !message.encode(caller.link.output())
        {
            log(&format!("a message of type {} is too long to be sent", message.kind));
        }
    }

    /// Tells a caller that its call stands.
    pub fn answer(&mut self, origin: Origin, tag: Tag, description: Option<String>) {
        let answer = Message::new(kind::ANSWER, tag);
        let answer = match description {
            Some(d) => answer.with(code::DESCRIPTION, d),
            None => answer,
        };
        self.write(origin, &answer);
    }

    /// Tells a caller that its call does not stand, and for how long to stay away.
    pub fn reject(&mut self, origin: Origin, tag: Tag, cause: u8, back_off: Micros) {
        let mut refusal = Message::new(kind::RELEASE, tag).with(code::CAUSE, [cause]);
        if back_off > 0 {
            refusal = refusal.with(code::BACK_OFF, (back_off / 1000).max(1).to_string());
        }
        self.write(origin, &refusal);
    }

    /// Releases a standing call: on its set-up's connection, else on any, else on the next that opens.
    pub fn release(&mut self, origin: Option<Origin>, tag: Tag, cause: u8) {
        let open = |o: &Origin| self.callers.get(o).is_some_and(|c| !c.ended);
        let any = || self.callers.iter().rev().find(|(_, c)| !c.ended).map(|(o, _)| *o);
        match origin.filter(open).or_else(any) {
            Some(origin) => {
                self.write(origin, &Message::new(kind::RELEASE, tag).with(code::CAUSE, [cause]));
            }
            None if self.releases.len() < MOST_WAITING => self.releases.push_back((tag, cause)),
            None => log("too many releases wait for a caller: one is dropped"),
        }
    }

    /// Answers the tests that have come, once the gatekeeper is ready.
    pub fn pass_tests(&mut self, passed: bool) {
        for (origin, tag) in std::mem::take(&mut self.tests) {
            self.write(origin, &Message::new(kind::TESTED, tag).with(code::CAUSE, [u8::from(passed)]));
        }
    }

    /// Whether tests wait for their answer.
    pub fn has_tests(&self) -> bool {
        !self.tests.is_empty()
    }

    /// Whether all that was said is written.
    pub fn is_flushed(&self) -> bool {
        self.callers.values().all(|c| c.link.is_flushed())
    }

    /// Writes what waits; returns the connections that are over.
    pub fn flush(&mut self, owed: impl Fn(Origin) -> bool) -> Vec<Origin> {
        let mut over = Vec::new();
        for (origin, caller) in &mut self.callers {
            let broken = match caller.link.flush() {
                Ok(()) => false,
                Err(e) => {
                    log(&format!("a caller's connection broke: {e}"));
                    true
                }
            };
            if broken || (caller.ended && caller.link.is_flushed() && !owed(*origin)) {
                over.push(*origin);
            }
        }
        over
    }

    /// The one place where a caller's connection is given back.
    fn close(&mut self, origin: Origin) {
        if let Some(caller) = self.callers.remove(&origin) {
            caller.link.close(&self.handle);
            self.tests.retain(|t| t.0 != origin);
        }
        if self.resting && self.callers.len() < self.most {
            self.resting = self.handle.enable(&self.listener).is_err();
        }
    }
}

impl Node {
    fn accept(&mut self, listener: &TcpListener) {
        while !self.callers.resting {
            match listener.accept() {
                Ok((stream, _)) => self.callers.add(stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => return log(&format!("a caller could not be accepted: {e}")),
            }
        }
    }

    /// Something has come on a caller's connection, or it has room again.
    pub(super) fn caller_ready(&mut self, origin: Origin) {
        let Some(caller) = self.callers.callers.get_mut(&origin) else { return };
        if caller.ended {
            // Nothing more comes but the reset of a caller that is gone.
            if !matches!(caller.link.connected(), Ok(true)) {
                self.close_caller(origin);
            }
            return;
        }
        let progress = caller.link.read();
        let (messages, result) = caller.link.messages(binary::decode);
        for message in messages {
            self.heard_caller(origin, message);
        }
        if let Err(what) = result {
            log(&format!("a caller sent {what}: its connection is closed"));
            return self.close_caller(origin);
        }
        match progress {
            Progress::Blocked => {}
            // One chunk at a time, so that a busy caller does not keep the others waiting.
            Progress::More => self.unread.push(Unread::Caller(origin)),
            Progress::Broken => self.close_caller(origin),
            Progress::End => match self.driver.owes(origin) {
                // A caller that only finished sending still reads. Guards against one that is gone for good:
                // this write, which means nothing, brings its reset.
                Some(tag) => {
                    self.callers.write(origin, &Message::new(kind::PROGRESS, tag));
                    self.callers.callers.entry(origin).and_modify(|c| c.ended = true);
                }
                None => self.close_caller(origin),
            },
        }
    }

    fn heard_caller(&mut self, origin: Origin, message: Message) {
        let (now, tag) = (self.clock.now(), message.call);
        match message.kind {
            kind::SET_UP => match set_up(&message) {
                Some(new) => self.driver.set_up(now, origin, new),
                None => {
                    log(&format!("set-up {tag:016x}: a parameter is missing or makes no sense"));
                    self.callers.reject(origin, tag, cause::INVALID, 0);
                }
            },
            kind::RELEASE => {
                self.driver.released(now, tag);
                self.callers.write(origin, &Message::new(kind::RELEASED, tag));
            }
            kind::TEST => self.callers.tests.push((origin, tag)),
            _ => {}
        }
    }

    /// A caller's connection is over, and with it the set-ups that were open on it.
    pub(super) fn close_caller(&mut self, origin: Origin) {
        self.callers.close(origin);
        let now = self.clock.now();
        self.driver.origin_closed(now, origin);
    }
}

/// A set-up's parameters.
fn set_up(message: &Message) -> Option<SetUp> {
    let mut new = SetUp {
        tag: message.call,
        class: message.text(code::CLASS)?.to_string(),
        called: message.text(code::CALLED)?.to_string(),
        left: message.text(code::LEFT)?.parse::<i64>().ok()?.saturating_mul(1000).clamp(0, LONGEST),
        redial: message.text(code::REDIAL).is_some_and(|r| r != "0"),
        destination: -1,
        width: 1.0,
        via: -1,
        transit: false,
        description: None,
    };
    for figure in message.text(code::FIGURES)?.split(';').filter(|f| !f.is_empty()) {
        let (name, value) = figure.split_once(':')?;
        let value = value.parse::<f64>().ok()?;
        match name {
            "dest" => new.destination = value as i64,
            "width" => new.width = value,
            "via" => new.via = value as i64,
            "transit" => new.transit = value != 0.0,
            _ => {}
        }
    }
    if let Some(description) = message.get(code::DESCRIPTION) {
        // The switches' JSON holds text only: what is no text could not be passed on unchanged.
        new.description = Some(String::from_utf8(description.to_vec()).ok()?);
    }
    Some(new)
}
