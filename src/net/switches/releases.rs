//! The releases that carrier switches have not acknowledged: those that wait for a connection, and those that
//! were written to one. A connection that ends or is replaced may take releases with it, and the calls would stay
//! up at their switch, so they are written again to the next connection.
//!
//! A release that is still on its way on a replaced connection could end a later attempt of its call. Such a
//! call is not sent to the switch until the release has arrived, or is not expected to any more.

use super::{ConnectionState, Switches, release_message};
use crate::call::{SwitchConnectionId, Tag};
use crate::interface::{Micros, SECOND, SwitchId};
use std::collections::HashMap;

/// How long an acknowledgement is expected.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = 10 * SECOND;

/// How long after the replacement of a connection a release on it is expected to arrive.
const LATE_ARRIVAL_TIMEOUT: Micros = 3 * SECOND;

/// A release that was written to a connection.
#[derive(Clone, Copy)]
struct WrittenRelease {
    connection: SwitchConnectionId,
    written_at: Micros,
    /// The call may be sent again.
    call_waits: bool,
}

/// The releases that a switch has not acknowledged.
#[derive(Default)]
pub(super) struct UnacknowledgedReleases {
    /// Calls that are released once a connection is established.
    pending: Vec<Tag>,
    written: HashMap<Tag, WrittenRelease>,
    /// The releases of waiting calls that may still arrive on replaced connections.
    late: HashMap<Tag, WrittenRelease>,
}

impl UnacknowledgedReleases {
    fn count(&self) -> usize {
        self.pending.len() + self.written.len() + self.late.len()
    }

    #[cfg(test)]
    pub(super) fn pending(&self) -> &[Tag] {
        &self.pending
    }

    pub(super) fn take_pending(&mut self) -> Vec<Tag> {
        std::mem::take(&mut self.pending)
    }

    pub(super) fn record_written(
        &mut self, tag: Tag, connection: SwitchConnectionId, now: Micros, call_waits: bool,
    ) {
        self.written.insert(tag, WrittenRelease { connection, written_at: now, call_waits });
    }

    /// The release of a call is on its way on another connection than before.
    pub(super) fn move_to(&mut self, tag: Tag, connection: SwitchConnectionId) {
        if let Some(release) = self.written.get_mut(&tag) {
            release.connection = connection;
        }
    }

    /// The switch has released a call or acknowledged its release, or the call is sent there once more and its
    /// earlier release must not be repeated.
    pub(super) fn forget(&mut self, tag: Tag) {
        self.written.remove(&tag);
    }

    /// Removes the releases that were written to a connection and returns them, the oldest first.
    pub(super) fn take_written_to(&mut self, connection: SwitchConnectionId) -> Vec<Tag> {
        let taken = self.written.extract_if(|_, release| release.connection == connection);
        let mut taken: Vec<(Micros, Tag)> = taken.map(|(tag, release)| (release.written_at, tag)).collect();
        taken.sort_unstable();
        taken.into_iter().map(|(_, tag)| tag).collect()
    }

    /// A connection has been replaced. Returns the calls whose releases are to be repeated on its successor, the
    /// oldest first.
    pub(super) fn replace(&mut self, connection: SwitchConnectionId, now: Micros) -> Vec<Tag> {
        let of_waiting_calls =
            self.written.iter().filter(|(_, release)| release.call_waits && release.connection == connection);
        let replaced_now = WrittenRelease { connection, written_at: now, call_waits: true };
        self.late.extend(of_waiting_calls.map(|(tag, _)| (*tag, replaced_now)));
        self.take_written_to(connection)
    }

    /// Whether a release may still arrive on this replaced connection.
    pub(super) fn may_arrive_late_on(&self, connection: SwitchConnectionId) -> bool {
        self.late.values().any(|release| release.connection == connection)
    }

    /// Whether a release of the call may still arrive on a replaced connection.
    pub(super) fn may_arrive_late(&self, tag: Tag) -> bool {
        self.late.contains_key(&tag)
    }

    /// The switch has acknowledged the release that was written to a connection.
    pub(super) fn acknowledge(&mut self, tag: Tag, connection: SwitchConnectionId) {
        if self.late.get(&tag).is_some_and(|release| release.connection == connection) {
            self.late.remove(&tag);
        }
    }

    /// All messages that were written to a connection have arrived.
    pub(super) fn acknowledge_all(&mut self, connection: SwitchConnectionId) {
        self.late.retain(|_, release| release.connection != connection);
    }

    /// The releases that were written to a connection wait for the next one.
    pub(super) fn make_pending(&mut self, connection: SwitchConnectionId) {
        let written = self.take_written_to(connection);
        self.pending.extend(written);
    }

    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.written.retain(|_, release| now < release.written_at + ACKNOWLEDGEMENT_TIMEOUT);
        self.late.retain(|_, release| now < release.written_at + LATE_ARRIVAL_TIMEOUT);
    }
}

impl Switches {
    /// Releases an attempt or an answered call at a switch.
    pub fn release(&mut self, now: Micros, id: SwitchId, tag: Tag) {
        self.release_within(now, id, tag, self.limits.unacknowledged_releases, false);
    }

    /// Releases an attempt whose call may be sent again.
    pub(super) fn release_waiting_call(&mut self, now: Micros, id: SwitchId, tag: Tag) {
        self.release_within(now, id, tag, self.limits.unacknowledged_releases, true);
    }

    /// Releases a call at every switch. It may be up at none of them, so such releases leave half of the limit to
    /// those of known calls.
    pub fn release_at_all(&mut self, now: Micros, tag: Tag) {
        let ids: Vec<SwitchId> = self.by_id.keys().copied().collect();
        let max_count = self.limits.unacknowledged_releases / 2;
        ids.into_iter().for_each(|id| self.release_within(now, id, tag, max_count, false));
    }

    /// Releases an attempt or a call at a switch. The release is kept for the next connection if fewer than
    /// `max_count` are kept for all switches.
    fn release_within(&mut self, now: Micros, id: SwitchId, tag: Tag, max_count: usize, call_waits: bool) {
        let Some(switch) = self.by_id.get_mut(&id) else { return };
        let queued_before = switch.queued_set_ups.len();
        switch.queued_set_ups.retain(|set_up| set_up.tag != tag);
        // A set-up that was still queued is unknown to the switch and needs no release.
        if switch.queued_set_ups.len() == queued_before {
            self.write_release(now, id, tag, max_count, call_waits);
        }
    }

    /// Sends the release of an earlier attempt once more. A set-up of the call that is queued stays.
    pub(super) fn repeat_release(&mut self, now: Micros, id: SwitchId, tag: Tag) {
        self.write_release(now, id, tag, self.limits.unacknowledged_releases, true);
    }

    fn write_release(&mut self, now: Micros, id: SwitchId, tag: Tag, max_count: usize, call_waits: bool) {
        let may_keep = self.unacknowledged_release_count() < max_count;
        let Some(switch) = self.by_id.get_mut(&id) else { return };
        if let ConnectionState::Open(open) = &mut switch.state {
            release_message(tag).encode(open.connection.socket.output_buffer());
            if may_keep {
                switch.releases.record_written(tag, open.connection.id, now, call_waits);
            }
        } else if may_keep {
            switch.releases.pending.push(tag);
        }
    }

    fn unacknowledged_release_count(&self) -> usize {
        self.by_id.values().map(|switch| switch.releases.count()).sum()
    }
}
