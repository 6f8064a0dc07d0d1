//! The connections that may have more input than was read in one iteration of the event loop, and how much
//! of the callers' input is read in one.

use crate::call::ConnectionId;
use crate::interface::SwitchId;
use std::collections::{HashSet, VecDeque};

#[cfg(test)]
mod tests;

/// Most bytes that are read in an iteration from all callers without an answered call. It keeps the
/// iterations short, so that answers and time-outs are handled in time beside a flood of set-ups.
const MAX_UNTRUSTED_BYTES: usize = 64 * 1024;
/// The same for the other callers, where the memory does not allow more.
const MIN_TRUSTED_BYTES: usize = 64 * 1024;

/// A connection that may have more input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PendingRead {
    /// A caller's connection.
    Caller(ConnectionId),
    /// The connections to a switch.
    Switch(SwitchId),
    /// The connection to the control feed.
    Feed,
}

/// The connections that are to be read in the next iteration, each at most once, in the order in which they
/// came; and what is left to read from callers in this one.
pub struct PendingReads {
    queue: VecDeque<PendingRead>,
    queued: HashSet<PendingRead>,
    /// Most bytes that are read in an iteration from all callers with an answered call.
    max_trusted_bytes: usize,
    trusted_bytes_left: usize,
    untrusted_bytes_left: usize,
}

impl PendingReads {
    /// No connections. What one iteration reads from callers is turned into calls, events and replies; all
    /// that is bounded by `max_trusted_bytes`.
    pub fn new(max_trusted_bytes: usize) -> Self {
        let max_trusted_bytes = max_trusted_bytes.max(MIN_TRUSTED_BYTES);
        PendingReads {
            queue: VecDeque::new(),
            queued: HashSet::new(),
            max_trusted_bytes,
            trusted_bytes_left: max_trusted_bytes,
            untrusted_bytes_left: MAX_UNTRUSTED_BYTES,
        }
    }

    /// Adds a connection at the end, unless it is there already.
    pub fn push(&mut self, read: PendingRead) {
        if self.queued.insert(read) {
            self.queue.push_back(read);
        }
    }

    /// Returns true if there is a connection to be read.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns true if this connection is to be read.
    pub fn contains(&self, read: PendingRead) -> bool {
        self.queued.contains(&read)
    }

    /// Removes and returns all connections, the first one first.
    pub fn take(&mut self) -> VecDeque<PendingRead> {
        self.queued.clear();
        std::mem::take(&mut self.queue)
    }

    /// Puts connections back that were taken and not read, before those that were added since.
    pub fn put_back(&mut self, reads: Vec<PendingRead>) {
        for read in reads.into_iter().rev() {
            if self.queued.insert(read) {
                self.queue.push_front(read);
            }
        }
    }

    /// Returns true if callers of this trust may still be read in this iteration.
    pub fn may_read_callers(&self, is_trusted: bool) -> bool {
        let left = if is_trusted { self.trusted_bytes_left } else { self.untrusted_bytes_left };
        left > 0
    }

    /// Counts bytes that were read from a caller.
    pub fn record_caller_bytes(&mut self, is_trusted: bool, bytes: usize) {
        let left = if is_trusted { &mut self.trusted_bytes_left } else { &mut self.untrusted_bytes_left };
        *left = left.saturating_sub(bytes);
    }

    /// Starts the next iteration.
    pub fn start_iteration(&mut self) {
        self.trusted_bytes_left = self.max_trusted_bytes;
        self.untrusted_bytes_left = MAX_UNTRUSTED_BYTES;
    }
}
