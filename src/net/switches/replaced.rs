//! A connection to a carrier switch that another one has replaced.

use super::replacement::RESPONSE_TIMEOUT;
use super::{SwitchConnection, probe_message};
use crate::call::Tag;
use crate::interface::{Micros, SECOND};
use crate::net::lines::Message;
use std::io;

/// How long a replaced connection is still read, since a late answer may arrive on it.
const RETENTION: Micros = 3 * SECOND;

/// A connection that has been replaced by a candidate connection. Set-ups may still be on their way on it, and
/// arrive after their attempts have been released on the open connection.
///
/// Messages arrive in order, so the result of a probe proves that all set-ups before it have arrived.
pub(super) struct ReplacedConnection {
    pub(super) connection: SwitchConnection,
    replaced_at: Micros,
    /// When the arrival of the set-ups was first in question.
    checked_since: Option<Micros>,
    probe: Option<Tag>,
    /// The result of the probe has been received.
    pub(super) set_ups_have_arrived: bool,
    /// The calls whose attempts were withdrawn before that was known.
    withdrawn: Vec<Tag>,
    /// One of them is a transit call, which another gatekeeper may send elsewhere at once.
    has_withdrawn_transit_call: bool,
}

impl ReplacedConnection {
    pub(super) fn new(connection: SwitchConnection, now: Micros) -> Self {
        ReplacedConnection {
            connection,
            replaced_at: now,
            checked_since: None,
            probe: None,
            set_ups_have_arrived: false,
            withdrawn: vec![],
            has_withdrawn_transit_call: false,
        }
    }

    /// Whether the arrival of the set-ups has been checked.
    pub(super) fn is_checked(&self) -> bool {
        self.checked_since.is_some()
    }

    /// Checks with a probe, if the settings allow one, whether all set-ups have arrived.
    pub(super) fn check_arrival(&mut self, now: Micros, probe: Option<Tag>) {
        self.checked_since = Some(now);
        self.probe = probe;
        if let Some(tag) = probe {
            probe_message(tag).encode(self.connection.socket.output_buffer());
        }
    }

    /// Whether a message is the result of the probe.
    pub(super) fn is_probe_result(&self, message: &Message) -> bool {
        message.verb == "ECHOED" && self.probe.is_some() && message.parse_tag() == self.probe
    }

    /// An attempt was withdrawn whose set-up may still arrive.
    pub(super) fn withdraw(&mut self, tag: Tag, transit: bool) {
        self.withdrawn.push(tag);
        self.has_withdrawn_transit_call |= transit;
    }

    /// Removes the withdrawn calls and returns their tags.
    pub(super) fn take_withdrawn(&mut self) -> Vec<Tag> {
        std::mem::take(&mut self.withdrawn)
    }

    /// Whether it has been kept for long enough, or the set-up of a withdrawn transit call may still arrive and
    /// the result of the probe is overdue.
    pub(super) fn must_be_closed(&self, now: Micros) -> bool {
        let is_overdue = self.checked_since.is_some_and(|since| now >= since + RESPONSE_TIMEOUT);
        let is_in_doubt = self.has_withdrawn_transit_call && !self.set_ups_have_arrived && is_overdue;
        is_in_doubt || now >= self.replaced_at + RETENTION
    }

    /// Sends the probe, and the rest of a message that was sent in part before the replacement.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        self.connection.socket.flush()
    }
}
