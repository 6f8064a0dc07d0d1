//! A queue of timers. The event loop has one system timer, which it sets to the earliest deadline in the
//! queue.

use crate::interface::Micros;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Items ordered by deadline; items with the same deadline keep the order in which they were added.
pub struct TimerQueue<T> {
    queue: BTreeMap<TimerId, T>,
    last_sequence: u64,
}

/// Identifies an item in the queue, by its place there. The derived order compares the deadline first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    deadline: Micros,
    sequence: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { queue: BTreeMap::new(), last_sequence: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Adds an item that is due at `deadline`.
    pub fn push(&mut self, deadline: Micros, item: T) -> TimerId {
        self.last_sequence += 1;
        let id = TimerId { deadline, sequence: self.last_sequence };
        self.queue.insert(id, item);
        id
    }

    /// Removes an item. An item that has expired already is left alone: ids are not used again.
    pub fn cancel(&mut self, id: TimerId) {
        self.queue.remove(&id);
    }

    /// The earliest deadline in the queue.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|(id, _)| id.deadline)
    }

    /// Removes and returns the first item if its deadline is not after `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        let first = self.queue.first_entry().filter(|entry| entry.key().deadline <= now)?;
        Some(first.remove())
    }

    /// The number of items in the queue.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns true if there are no items in the queue.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
