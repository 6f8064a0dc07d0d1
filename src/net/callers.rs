//! The caller side: the listener and the connections of callers, on which binary messages are spoken.

use super::binary::{self, Message, message_type, parameter_code};
use super::link::{Connection, ReadStatus};
use super::{Gatekeeper, PendingRead, log};
use crate::call::{ConnectionId, SetUp, SetUpError, Tag, TimerEvent, cause};
use crate::interface::{ExchangeNumber, Micros};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Most releases that wait for a caller to connect.
const MOST_WAITING: usize = 65_536;
/// Connections taken from the listener in a turn: those of a flood are read, and the useless ones told from the
/// others, before more are taken.
const ACCEPTS: usize = 16;
/// How often connections are looked after.
const LOOK: Micros = 250_000;
/// A connection that has brought nothing of use by then is closed, and so is one on which part of a message has
/// waited for so long for the rest.
const PATIENCE: Micros = 2_000_000;
/// One without an open set-up on which nothing has come for so long is closed. Callers close theirs after 4 s.
const IDLE: Micros = 5_000_000;
/// A release waits for so long for a caller known to make sense before any connection will do.
const RELEASE_WAIT: Micros = 500_000;
/// A connection that has sent so many messages that make no sense is closed.
const STRIKES: u32 = 16;
/// So is one that has withdrawn so many calls that are not known here. After a restart all that stood before are.
const STRANGE: u32 = 1024;
/// Set-ups that may be open on a connection on which no call has stood yet. More come only from one that sends
/// without looking at what it is answered.
const UNPROVEN: usize = 128;

/// What is known of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Trust {
    /// It has said nothing of use.
    None,
    /// It has sent a message that makes sense.
    Sound,
    /// A call of its stood.
    Proven,
}

struct Caller {
    link: Connection,
    /// It has finished sending: it is closed once nothing is owed on it.
    ended: bool,
    trust: Trust,
    /// When something of use last came, or the connection itself.
    used: Micros,
    /// Since when part of a message has waited for the rest.
    part: Option<Micros>,
    strikes: u32,
    strange: u32,
}

/// All connections from callers.
pub struct Callers {
    handle: LoopHandle<'static, Gatekeeper>,
    /// Most connections at a time, and most bytes unsent on one.
    most: (usize, usize),
    callers: BTreeMap<ConnectionId, Caller>,
    last: u64,
    /// Tests that came before the gatekeeper was ready.
    tests: Vec<(ConnectionId, Tag)>,
    /// Releases for which no caller was connected, and since when they wait.
    releases: VecDeque<(Tag, u8, Micros)>,
    /// Connections closed since the last log line about them: the last reason, and how many.
    closed: (String, usize),
}

impl Callers {
    /// Listens on an address for at most so many connections, each with so many bytes unsent at most.
    pub fn listen(
        handle: LoopHandle<'static, Gatekeeper>, at: SocketAddr, most: usize, most_unsent: usize,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        log(&format!("listening on {}", listener.local_addr()?));
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let _: RegistrationToken = handle
            .insert_source(source, |_, listener, gatekeeper| {
                gatekeeper.accept(listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Callers {
            handle,
            most: (most, most_unsent),
            callers: BTreeMap::new(),
            last: 0,
            tests: vec![],
            releases: VecDeque::new(),
            closed: (String::new(), 0),
        })
    }

    fn add(&mut self, now: Micros, stream: TcpStream) {
        self.last += 1;
        let origin = ConnectionId(self.last);
        match Connection::new(&self.handle, stream, self.most.1, move |gatekeeper| {
            gatekeeper.caller_ready(origin)
        }) {
            Ok(link) => {
                let (ended, trust, part, strikes, strange) = (false, Trust::None, None, 0, 0);
                let caller = Caller { link, ended, trust, used: now, part, strikes, strange };
                self.callers.insert(origin, caller);
            }
            Err(e) => log(&format!("a caller's connection failed: {e}")),
        }
    }

    /// The connection that can best be done without: of those on which no set-up is open the least trusted, and
    /// of these the idlest.
    fn idlest(&self, owed: &BTreeMap<ConnectionId, usize>) -> Option<ConnectionId> {
        let idle = self.callers.iter().filter(|(origin, _)| !owed.contains_key(origin));
        idle.min_by_key(|(_, c)| (c.trust, c.used)).map(|(origin, _)| *origin)
    }

    /// Connections that have been of no use for too long.
    fn useless(
        &self, now: Micros, owed: &BTreeMap<ConnectionId, usize>,
    ) -> Vec<(ConnectionId, &'static str)> {
        let why = |(origin, c): (&ConnectionId, &Caller)| {
            let patience = if c.trust == Trust::None { PATIENCE } else { IDLE };
            if c.part.is_some_and(|since| now >= since + PATIENCE) {
                Some((*origin, "part of a message came and no more"))
            } else if !owed.contains_key(origin) && now >= c.used + patience {
                Some((*origin, "nothing of use came for too long"))
            } else {
                None
            }
        };
        self.callers.iter().filter_map(why).collect()
    }

    /// Something of use has come on a connection, or been said on it.
    fn trust(&mut self, now: Micros, origin: ConnectionId, trust: Trust) {
        if let Some(caller) = self.callers.get_mut(&origin) {
            (caller.used, caller.trust) = (now, caller.trust.max(trust));
        }
    }

    fn write(&mut self, origin: ConnectionId, message: &Message) {
        if let Some(caller) = self.callers.get_mut(&origin)
            && !message.encode(caller.link.output_buffer())
        {
            log(&format!("a message of type {} is too long to be sent", message.message_type));
        }
    }

    /// Tells a caller that its call stands.
    pub fn answer(&mut self, now: Micros, origin: ConnectionId, tag: Tag, description: Option<String>) {
        let answer = Message::new(message_type::ANSWER, tag);
        let answer = match description {
            Some(d) => answer.with_parameter(parameter_code::SESSION_DESCRIPTION, d),
            None => answer,
        };
        self.write(origin, &answer);
        self.trust(now, origin, Trust::Proven);
    }

    /// Tells a caller that its call does not stand, and for how long to stay away.
    pub fn reject(&mut self, origin: ConnectionId, tag: Tag, cause: u8, back_off: Micros) {
        let mut refusal =
            Message::new(message_type::RELEASE, tag).with_parameter(parameter_code::CAUSE, [cause]);
        if back_off > 0 {
            refusal = refusal.with_parameter(parameter_code::BACK_OFF, (back_off / 1000).max(1).to_string());
        }
        self.write(origin, &refusal);
    }

    /// Releases a standing call: on its set-up's connection, else on that of a caller known to make sense, else
    /// as soon as there is one.
    pub fn release(&mut self, now: Micros, origin: Option<ConnectionId>, tag: Tag, cause: u8) {
        let open = |o: &ConnectionId| self.callers.get(o).is_some_and(|c| !c.ended);
        match origin.filter(open).or_else(|| self.best(Trust::Sound)) {
            Some(origin) => self.write_release(origin, tag, cause),
            None if self.releases.len() < MOST_WAITING => self.releases.push_back((tag, cause, now)),
            None => log("too many releases wait for a caller: one is dropped"),
        }
    }

    fn write_release(&mut self, origin: ConnectionId, tag: Tag, cause: u8) {
        self.write(
            origin,
            &Message::new(message_type::RELEASE, tag).with_parameter(parameter_code::CAUSE, [cause]),
        );
    }

    /// The connection that most likely has a caller at its end who reads it.
    fn best(&self, least: Trust) -> Option<ConnectionId> {
        let open = self.callers.iter().filter(|(_, c)| !c.ended && c.trust >= least);
        open.max_by_key(|(_, c)| (c.trust, c.used)).map(|(origin, _)| *origin)
    }

    /// Releases that waited for a caller go out.
    fn release_waiting(&mut self, now: Micros) {
        while let Some((tag, cause, since)) = self.releases.front().copied() {
            let least = if now >= since + RELEASE_WAIT { Trust::None } else { Trust::Sound };
            let Some(origin) = self.best(least) else { break };
            self.write_release(origin, tag, cause);
            self.releases.pop_front();
        }
    }

    /// Answers the tests that have come, once the gatekeeper is ready.
    pub fn pass_tests(&mut self, passed: bool) {
        for (origin, tag) in std::mem::take(&mut self.tests) {
            self.write(
                origin,
                &Message::new(message_type::HEALTH_CHECK_RESULT, tag)
                    .with_parameter(parameter_code::CAUSE, [u8::from(passed)]),
            );
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
    pub fn flush(&mut self, owed: impl Fn(ConnectionId) -> bool) -> Vec<ConnectionId> {
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

    /// The one place where a caller's connection is given back. What was said to it is written first.
    fn close(&mut self, origin: ConnectionId) {
        if let Some(mut caller) = self.callers.remove(&origin) {
            // It is closed in any case: whatever is not taken now is lost.
            let _ = caller.link.flush();
            caller.link.close(&self.handle);
            self.tests.retain(|t| t.0 != origin);
        }
    }
}

impl Gatekeeper {
    fn accept(&mut self, listener: &TcpListener) {
        let now = self.clock.now();
        for _ in 0..ACCEPTS {
            match listener.accept() {
                Ok((stream, _)) => {
                    if self.callers.callers.len() >= self.callers.most.0 {
                        // Guards the descriptors. A listener that rests instead would keep callers out for as
                        // long as others hold their connections for nothing.
                        match self.callers.idlest(&self.call_control.unanswered_by_connection()) {
                            Some(origin) => self.close_useless(origin, "others need its place"),
                            None => continue,
                        }
                    }
                    self.callers.add(now, stream);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => return log(&format!("a caller could not be accepted: {e}")),
            }
        }
    }

    /// Closes connections that hold their place for nothing, and sends releases that waited for a caller.
    pub(super) fn look_after_callers(&mut self) {
        let now = self.clock.now();
        for (origin, why) in self.callers.useless(now, &self.call_control.unanswered_by_connection()) {
            self.close_useless(origin, why);
        }
        self.callers.release_waiting(now);
        let (why, n) = std::mem::take(&mut self.callers.closed);
        if n > 0 {
            log(&format!("callers' connections closed: {n}, the last since {why}"));
        }
        self.call_control.timers.push(now + LOOK, TimerEvent::CallerMaintenance);
    }

    /// Closes a connection whose caller makes no sense. Many may come: the log has a line for all of them.
    fn close_useless(&mut self, origin: ConnectionId, why: &str) {
        self.callers.closed = (why.to_string(), self.callers.closed.1 + 1);
        self.close_caller(origin);
    }

    /// A message made no sense; true if the connection lives on.
    fn strike(&mut self, origin: ConnectionId, why: &str) -> bool {
        let Some(caller) = self.callers.callers.get_mut(&origin) else { return false };
        caller.strikes += 1;
        let lives = caller.strikes < STRIKES;
        if !lives {
            self.close_useless(origin, why);
        }
        lives
    }

    /// Something has come on a caller's connection, or it has room again.
    pub(super) fn caller_ready(&mut self, origin: ConnectionId) {
        let now = self.clock.now();
        let Some(caller) = self.callers.callers.get_mut(&origin) else { return };
        if caller.ended {
            // Nothing more comes but the reset of a caller that is gone.
            if !matches!(caller.link.check_connected(), Ok(true)) {
                self.close_caller(origin);
            }
            return;
        }
        let progress = caller.link.read();
        let (messages, result) = caller.link.decode_messages(binary::decode);
        // The wait for the rest begins anew with each message that has come whole.
        let since = caller.part.filter(|_| messages.is_empty()).or(Some(now));
        caller.part = since.filter(|_| !caller.link.input_buffer.is_empty());
        for message in messages {
            if !self.heard_caller(origin, message) {
                return;
            }
        }
        if let Err(what) = result {
            return self.close_useless(origin, &format!("it sent {what}"));
        }
        match progress {
            ReadStatus::WouldBlock => {}
            // One chunk at a time, so that a busy caller does not keep the others waiting.
            ReadStatus::MorePossible => self.pending_reads.push(PendingRead::Caller(origin)),
            ReadStatus::Failed => self.close_caller(origin),
            ReadStatus::EndOfStream => match self.call_control.unanswered_set_up(origin) {
                // A caller that only finished sending still reads. Guards against one that is gone for good:
                // this write, which means nothing, brings its reset.
                Some(tag) => {
                    self.callers.write(origin, &Message::new(message_type::PROGRESS, tag));
                    self.callers.callers.entry(origin).and_modify(|c| c.ended = true);
                }
                None => self.close_caller(origin),
            },
        }
    }

    /// Takes a message; false if the connection is closed over it.
    fn heard_caller(&mut self, origin: ConnectionId, message: Message) -> bool {
        let (now, tag) = (self.clock.now(), message.call_reference);
        let trust = self.callers.callers.get(&origin).map_or(Trust::None, |c| c.trust);
        match message.message_type {
            message_type::SET_UP => return self.heard_set_up(now, origin, &message, trust),
            message_type::RELEASE if tag != 0 => {
                let known = self.call_control.handle_caller_release(now, tag);
                self.callers.write(origin, &Message::new(message_type::RELEASE_COMPLETE, tag));
                self.callers.trust(now, origin, trust);
                if !known && let Some(caller) = self.callers.callers.get_mut(&origin) {
                    // Guards the switches: each is told of a call that may stand with any of them.
                    caller.strange += 1;
                    if caller.strange > STRANGE {
                        self.close_useless(origin, "it withdrew calls that are not known");
                        return false;
                    }
                }
            }
            message_type::HEALTH_CHECK => {
                // Those that wait for the gatekeeper to be ready are bounded as the connections are.
                if self.callers.tests.len() < self.callers.most.0 {
                    self.callers.tests.push((origin, tag));
                }
                self.callers.trust(now, origin, Trust::Sound);
            }
            message_type::RELEASE_COMPLETE | message_type::PROGRESS => {}
            // From a caller that is known to make sense, a message of a later protocol.
            _ if trust == Trust::Proven => {}
            _ => {
                self.close_useless(origin, "it sent a message that no caller sends");
                return false;
            }
        }
        true
    }

    fn heard_set_up(&mut self, now: Micros, origin: ConnectionId, message: &Message, trust: Trust) -> bool {
        let tag = message.call_reference;
        let unproven = trust != Trust::Proven;
        let taken = match set_up(message) {
            Some(_)
                if unproven
                    && self
                        .call_control
                        .unanswered_by_connection()
                        .get(&origin)
                        .is_some_and(|n| *n >= UNPROVEN) =>
            {
                // Guards the others against one that sends without end: its place is bounded.
                self.call_control.reject_for_congestion(origin, tag);
                return true;
            }
            Some(new) => self.call_control.handle_set_up(now, origin, new),
            None => Err(SetUpError::Invalid),
        };
        match taken {
            Ok(()) => self.callers.trust(now, origin, Trust::Sound),
            Err(SetUpError::Invalid) => {
                self.callers.reject(origin, tag, cause::INVALID_CONTENTS, 0);
                return self.strike(origin, "its set-ups make no sense");
            }
            // An answer could be taken for that to the first set-up: a stranger's connection is closed instead.
            Err(SetUpError::TagInUse) if unproven => {
                self.close_useless(origin, "it sent a set-up whose id is in use");
                return false;
            }
            Err(SetUpError::TagInUse) => {
                log(&format!("set-up {tag:016x}: the id is in use; ignored"));
                return self.strike(origin, "it sent set-ups whose ids are in use");
            }
        }
        true
    }

    /// A caller's connection is over, and with it the set-ups that were open on it.
    pub(super) fn close_caller(&mut self, origin: ConnectionId) {
        self.callers.close(origin);
        let now = self.clock.now();
        self.call_control.handle_caller_disconnect(now, origin);
    }
}

/// A set-up's parameters.
fn set_up(message: &Message) -> Option<SetUp> {
    let called = message.text_parameter(parameter_code::CALLED_NUMBER)?;
    if called.is_empty() || called.len() > 64 || !called.bytes().all(|b| b.is_ascii_graphic()) {
        return None;
    }
    let mut new = SetUp {
        tag: message.call_reference,
        class: message.text_parameter(parameter_code::CLASS)?.to_string(),
        called_number: called.to_string(),
        caller_timeout: message
            .text_parameter(parameter_code::TIME_LEFT)?
            .parse::<i64>()
            .ok()?
            .saturating_mul(1000),
        redial: message.text_parameter(parameter_code::REDIAL).is_some_and(|r| r != "0"),
        destination: -1,
        circuits: 1.0,
        via: -1,
        transit: false,
        description: None,
    };
    for figure in message.text_parameter(parameter_code::ROUTING)?.split(';').filter(|f| !f.is_empty()) {
        let (name, value) = figure.split_once(':')?;
        // What is no number, or none at all, must not pass as nought.
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite())?;
        let whole = (value.fract() == 0.0 && value.abs() <= 1e9).then_some(value as ExchangeNumber);
        match name {
            "dest" => new.destination = whole?,
            "width" => new.circuits = value,
            "via" => new.via = whole?,
            "transit" => new.transit = whole? != 0,
            _ => {}
        }
    }
    if let Some(description) = message.parameter(parameter_code::SESSION_DESCRIPTION) {
        // The switches' JSON holds text only: what is no text could not be passed on unchanged.
        new.description = Some(String::from_utf8(description.to_vec()).ok()?);
    }
    Some(new)
}
