//! The control feed: a connection on which numbered events arrive that change the switch list.

use super::lines;
use super::link::{Connection, DecodeResult, READ_CHUNK_BYTES, ReadStatus};
use super::pending_reads::PendingRead;
use super::switches::ListedSwitch;
use super::{Gatekeeper, log};
use crate::call::TimerEvent;
use crate::clock::Clock;
use crate::interface::{ExchangeNumber, Health, MILLISECOND, Micros, SECOND};
use crate::timers::TimerId;
use calloop::LoopHandle;
use serde::Deserialize;
use std::net::SocketAddr;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Micros = SECOND;
/// The feed sends a line each second; a connection that has been silent for this long is replaced.
const SILENCE_TIMEOUT: Micros = 2500 * MILLISECOND;
/// Delay before the next attempt to connect after an attempt has failed with an error, the connection was
/// closed by the feed or failed on reading, or a malformed line was received. After all other ends of a
/// connection, such as a time-out, the next attempt is made at once.
const RECONNECT_DELAY: Micros = 200 * MILLISECOND;

/// An event of the feed: one of its lines, or one of the events in the configuration's `known`.
#[derive(Clone, Debug, Deserialize)]
pub struct FeedEvent {
    /// Number of the event.
    #[serde(rename = "n")]
    pub number: u64,
    /// The update of the switch list; `None` if the event does not change the list.
    #[serde(default, rename = "members")]
    pub list_update: Option<ListUpdate>,
}

/// An update of the switch list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListUpdate {
    /// The entries are the whole list; switches without an entry are gone.
    #[serde(default, rename = "whole")]
    pub is_full: bool,
    /// The entries. Each is decoded by itself, so that an invalid one does not affect the others.
    #[serde(default, rename = "hosts")]
    pub entries: Vec<serde_json::Value>,
}

/// An entry of the switch list as the feed sends it.
#[derive(Deserialize)]
struct ListEntry {
    #[serde(rename = "host")]
    name: String,
    #[serde(default, rename = "dial")]
    address: String,
    #[serde(default, rename = "site")]
    zone_name: String,
    #[serde(rename = "block")]
    exchange_number: ExchangeNumber,
    health: EntryHealth,
    /// Unix time of the switch's last start, in milliseconds; 0 if it is unknown.
    #[serde(default, rename = "born_ms")]
    up_since_unix_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
enum EntryHealth {
    #[serde(rename = "SERVING")]
    Serving,
    #[serde(rename = "DRAINING")]
    Draining,
    #[serde(rename = "DELETED")]
    Deleted,
}

impl ListEntry {
    fn to_listed_switch(&self, clock: &Clock, zone_index: u32) -> ListedSwitch {
        let started_unix_ms = self.up_since_unix_ms as i64;
        ListedSwitch {
            name: self.name.clone(),
            address: self.address.parse().ok(),
            zone_index,
            exchange_number: self.exchange_number,
            health: match self.health {
                EntryHealth::Serving => Health::InService,
                EntryHealth::Draining => Health::Draining,
                EntryHealth::Deleted => Health::Gone,
            },
            up_since: clock.from_unix_ms(started_unix_ms),
            started_unix_ms: started_unix_ms.max(0),
        }
    }
}

/// The part of the configuration that contains earlier events of the feed, which are applied at the start of
/// the program and, if they are new, on a reload.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// Number of the last event; at the start, the feed is asked for the events after it. It has no effect on
    /// a reload.
    #[serde(default, rename = "n")]
    pub last_event_number: u64,
    /// The events, in the order of their numbers.
    #[serde(default)]
    pub events: Vec<FeedEvent>,
}

/// The connection to the control feed.
pub struct ControlFeed {
    loop_handle: LoopHandle<'static, Gatekeeper>,
    address: Option<SocketAddr>,
    connection: Option<Connection>,
    /// The connection is established, and `SUB` has been put into its output buffer.
    subscribed: bool,
    /// Number of the last known event; the feed is asked for the events after it.
    last_event_number: u64,
    /// When the connection times out or, if there is none, the next attempt is made.
    timer: Option<TimerId>,
    /// Number of the last event before a gap, whose missing events have been requested by a new `SUB`. They
    /// are requested only once; if they are still missing then, they are skipped.
    gap_after: Option<u64>,
    /// Most bytes of a line, which can hold a full list and thus be longer than a call's message. Also the
    /// limit on unsent output.
    max_line_bytes: usize,
}

impl ControlFeed {
    /// Creates a feed that is not connected yet.
    pub fn new(
        loop_handle: LoopHandle<'static, Gatekeeper>, address: Option<SocketAddr>, max_line_bytes: usize,
    ) -> Self {
        ControlFeed {
            loop_handle,
            address,
            connection: None,
            subscribed: false,
            last_event_number: 0,
            timer: None,
            gap_after: None,
            max_line_bytes,
        }
    }

    /// Sends the output that is waiting. Returns false if the connection has failed.
    pub fn flush(&mut self) -> bool {
        self.connection.as_mut().is_none_or(|connection| connection.flush().is_ok())
    }
}

enum FeedLine {
    /// The number of the last event, without the event: a bare number or a [`NumberOnly`].
    LastEventNumber(u64),
    Event(FeedEvent),
}

/// A line that is an object with nothing but a number. It must not be taken for the event of that number,
/// which would then be skipped as already handled; an event has other fields, which are rejected here.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NumberOnly {
    #[serde(rename = "n")]
    number: u64,
}

fn decode(bytes: &[u8], max_line_bytes: usize) -> DecodeResult<FeedLine> {
    let Some((line, size)) = lines::first_line(bytes, max_line_bytes)? else { return Ok(None) };
    let text = std::str::from_utf8(line).map_err(|_| "a line that is not valid UTF-8")?.trim();
    let number_only =
        text.parse().or_else(|_| serde_json::from_str(text).map(|line: NumberOnly| line.number));
    let line = match number_only {
        Ok(number) => FeedLine::LastEventNumber(number),
        Err(_) => {
            FeedLine::Event(serde_json::from_str(text).map_err(|_| "a line that is not a valid event")?)
        }
    };
    Ok(Some((line, size)))
}

impl Gatekeeper {
    /// Applies the events that are known at the start, and connects.
    pub(super) fn start_feed(&mut self, known_events: KnownEvents) {
        let last_event_number = known_events.last_event_number;
        self.apply_known_events(known_events);
        self.feed.last_event_number = self.feed.last_event_number.max(last_event_number);
        self.connect_feed();
    }

    /// Applies the new events of a reloaded configuration, and connects to the feed's new address if it has
    /// changed.
    pub(super) fn reconfigure_feed(&mut self, address: Option<SocketAddr>, known_events: KnownEvents) {
        self.apply_known_events(known_events);
        if self.feed.address != address {
            // The new feed is asked at once for all events after the last one that the old feed sent.
            self.feed.address = address;
            self.feed.gap_after = None;
            self.close_feed_connection("address changed", 0);
        }
    }

    /// Applies each new event once. Events after a gap in the numbers are skipped unless they hold a full
    /// list: the feed sends all that are missing.
    fn apply_known_events(&mut self, known_events: KnownEvents) {
        for event in known_events.events {
            let is_full = event.list_update.as_ref().is_some_and(|update| update.is_full);
            let is_next = event.number == self.feed.last_event_number.saturating_add(1);
            if event.number > self.feed.last_event_number && (is_next || is_full) {
                self.feed.last_event_number = event.number;
                self.apply_feed_event(event);
            }
        }
    }

    fn connect_feed(&mut self) {
        let now = self.clock.now();
        let Some(address) = self.feed.address else { return };
        let max_unsent_bytes = self.feed.max_line_bytes;
        match Connection::connect(
            &self.feed.loop_handle,
            address,
            max_unsent_bytes,
            Gatekeeper::handle_feed_readiness,
        ) {
            Ok(connection) => self.feed.connection = Some(connection),
            Err(error) => log(&format!("control feed: cannot connect: {error}")),
        }
        let delay = if self.feed.connection.is_some() { CONNECT_TIMEOUT } else { RECONNECT_DELAY };
        self.set_feed_timer(now + delay);
    }

    fn set_feed_timer(&mut self, deadline: Micros) {
        let timer = self.call_control.timers.push(deadline, TimerEvent::ControlFeed);
        if let Some(earlier) = self.feed.timer.replace(timer) {
            self.call_control.timers.cancel(earlier);
        }
    }

    /// Closes the connection, if there is one, and sets the timer for the next attempt. All connections to
    /// the feed are closed here.
    pub(super) fn close_feed_connection(&mut self, reason: &str, reconnect_delay: Micros) {
        log(&format!(
            "control feed: {reason}; reconnecting to request the events after number {}",
            self.feed.last_event_number
        ));
        if let Some(connection) = self.feed.connection.take() {
            connection.close(&self.feed.loop_handle);
        }
        self.feed.subscribed = false;
        let now = self.clock.now();
        self.set_feed_timer(now + reconnect_delay);
    }

    /// Handles a time-out of the connection, or makes the next attempt to connect.
    pub(super) fn handle_feed_timer(&mut self) {
        match (&self.feed.connection, self.feed.subscribed) {
            (None, _) => self.connect_feed(),
            (Some(_), true) => self.close_feed_connection("silent for too long", 0),
            (Some(_), false) => self.close_feed_connection("connecting timed out", 0),
        }
    }

    /// The connection has become readable or writable, or has failed.
    pub(super) fn handle_feed_readiness(&mut self) {
        let now = self.clock.now();
        let Some(connection) = &mut self.feed.connection else { return };
        if !self.feed.subscribed {
            match connection.check_connected() {
                Ok(false) => return,
                Ok(true) => {
                    self.feed.subscribed = true;
                    let request = format!("SUB {}\n", self.feed.last_event_number);
                    connection.output_buffer().extend_from_slice(request.as_bytes());
                    self.set_feed_timer(now + SILENCE_TIMEOUT);
                }
                Err(error) => {
                    return self.close_feed_connection(&format!("cannot connect: {error}"), RECONNECT_DELAY);
                }
            }
        }
        let Some(connection) = &mut self.feed.connection else { return };
        let status = connection.read(READ_CHUNK_BYTES);
        let max_line_bytes = self.feed.max_line_bytes;
        let (lines, result) = connection.decode_messages(|bytes| decode(bytes, max_line_bytes));
        if !lines.is_empty() {
            self.set_feed_timer(now + SILENCE_TIMEOUT);
        }
        for line in lines {
            if !self.handle_feed_line(line) {
                return self.close_feed_connection("events are missing", 0);
            }
        }
        if let Err(error) = result {
            return self.close_feed_connection(&format!("received {error}"), RECONNECT_DELAY);
        }
        match status {
            ReadStatus::WouldBlock => {}
            ReadStatus::MorePossible => self.pending_reads.push(PendingRead::Feed),
            ReadStatus::EndOfStream | ReadStatus::Failed => {
                self.close_feed_connection("connection closed or reset", RECONNECT_DELAY);
            }
        }
    }

    /// Handles a line. Returns false if earlier events are missing and must be requested.
    fn handle_feed_line(&mut self, line: FeedLine) -> bool {
        let last_event_number = self.feed.last_event_number;
        let already_requested = self.feed.gap_after == Some(last_event_number);
        let event = match line {
            FeedLine::LastEventNumber(number) if number <= last_event_number => return true,
            FeedLine::LastEventNumber(_) => {
                // After SUB the feed sends the later events before its first number line. So the event with
                // this number should have come already.
                self.feed.gap_after = Some(last_event_number);
                return already_requested;
            }
            FeedLine::Event(event) if event.number <= last_event_number => return true,
            FeedLine::Event(event) => event,
        };
        let is_full = event.list_update.as_ref().is_some_and(|update| update.is_full);
        if event.number > last_event_number + 1 && !is_full && !already_requested {
            self.feed.gap_after = Some(last_event_number);
            return false;
        }
        self.feed.last_event_number = event.number;
        self.apply_feed_event(event);
        true
    }

    fn apply_feed_event(&mut self, event: FeedEvent) {
        let Some(update) = event.list_update else { return };
        let mut listed = Vec::with_capacity(update.entries.len());
        for value in update.entries {
            let entry = match ListEntry::deserialize(&value) {
                Ok(entry) => entry,
                Err(error) => {
                    let name = value.get("host").and_then(|host| host.as_str()).unwrap_or("without a name");
                    log(&format!(
                        "control feed: event {}: invalid entry skipped: switch {name}: {error}",
                        event.number
                    ));
                    continue;
                }
            };
            let zone_index = self.call_control.zone_index(&entry.zone_name);
            listed.push(entry.to_listed_switch(&self.clock, zone_index));
        }
        let for_controller = self.update_switch_list(listed, update.is_full);
        self.call_control.handle_switch_list(for_controller);
    }
}
