//! Whether the process that answers at the address of a switch is known to be the one that the list names. No
//! I/O and no clock.
//!
//! Nothing in the protocol of the switches names the process. When its connections end, or it falls silent, it
//! may have died, and a new process, of another exchange, may answer at its address before the list says so.
//! The same process is proved by a message on one of its earlier connections, or by its release of a call that
//! was set up on one: a new process knows no such call. A switch repeats its releases on the next connection, so
//! that this proof comes at once if a call has ended there lately. A new process is proved by the list.

use crate::call::{SwitchConnectionId, Tag};
use crate::interface::{Micros, SECOND};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The platform counts what the control feed has to tell as told after this time. A process that the list has
/// not replaced by then is the one that it names.
const NEWS_TIMEOUT: Micros = 7 * SECOND;

/// Most releases of a switch that are remembered.
const MAX_RELEASES: usize = 16;

/// A call that the process has released.
struct ReleasedCall {
    tag: Tag,
    /// The connection that it was set up on.
    connection: SwitchConnectionId,
}

/// A connection that has ended, or on which the process does not respond.
#[derive(Clone, Copy)]
pub(super) struct LostConnection {
    pub(super) id: SwitchConnectionId,
    pub(super) opened_at: Micros,
}

/// Doubt about which process is at the address.
struct Doubt {
    /// The last connection to the process that the list names, if there was one.
    last_confirmed: Option<SwitchConnectionId>,
    /// When the last connection was opened that was lost.
    lost_opened_at: Option<Micros>,
    /// When the connection was established that is in use now; `None` while there is none.
    connected_at: Option<Micros>,
}

/// What is known of the process at the address of a switch.
#[derive(Default)]
pub(super) struct ProcessIdentity {
    doubt: Option<Doubt>,
    /// The latest releases, the oldest first.
    releases: VecDeque<ReleasedCall>,
}

impl ProcessIdentity {
    /// The connection in use was lost or, if `lost` is `None`, none could be established.
    pub(super) fn interrupt(&mut self, now: Micros, lost: Option<LostConnection>) {
        let lost_opened_at = lost.map(|connection| connection.opened_at);
        if self.is_confirmed(now) {
            let last_confirmed = lost.map(|connection| connection.id);
            self.doubt = Some(Doubt { last_confirmed, lost_opened_at, connected_at: None });
        } else if let Some(doubt) = &mut self.doubt {
            doubt.lost_opened_at = lost_opened_at.or(doubt.lost_opened_at);
            doubt.connected_at = None;
        }
    }

    /// A connection has been established that is used from now on.
    pub(super) fn connect(&mut self, now: Micros) {
        if let Some(doubt) = &mut self.doubt {
            doubt.connected_at = Some(now);
        }
    }

    /// The list names the switch at another address than before.
    pub(super) fn confirm(&mut self) {
        self.doubt = None;
    }

    /// The list tells that the switch was started at `started_at`. If the lost connection was opened after that, the
    /// process that has gone is the one that was started then.
    pub(super) fn confirm_start(&mut self, started_at: Micros) {
        let lost_opened_at = self.doubt.as_ref().and_then(|doubt| doubt.lost_opened_at);
        if lost_opened_at.is_none_or(|opened_at| opened_at < started_at) {
            self.doubt = None;
        }
    }

    /// The process has released a call that was set up on `connection`.
    pub(super) fn record_release(&mut self, tag: Tag, connection: SwitchConnectionId) {
        self.releases.push_back(ReleasedCall { tag, connection });
        if self.releases.len() > MAX_RELEASES {
            self.releases.pop_front();
        }
    }

    /// The connection on which a call was set up that the process has released lately.
    pub(super) fn connection_of_released(&self, tag: Tag) -> Option<SwitchConnectionId> {
        self.releases.iter().find(|call| call.tag == tag).map(|call| call.connection)
    }

    /// The process has sent a message on `connection`, or has released a call that was set up on it.
    pub(super) fn confirm_by(&mut self, connection: SwitchConnectionId) {
        let last_confirmed = self.doubt.as_ref().and_then(|doubt| doubt.last_confirmed);
        if last_confirmed.is_some_and(|last_confirmed| connection <= last_confirmed) {
            self.doubt = None;
        }
    }

    /// Whether the process at the address is known to be the one that the list names.
    pub(super) fn is_confirmed(&self, now: Micros) -> bool {
        match &self.doubt {
            None => true,
            Some(doubt) => doubt.connected_at.is_some_and(|since| now >= since + NEWS_TIMEOUT),
        }
    }
}
