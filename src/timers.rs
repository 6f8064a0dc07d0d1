//! A queue of timers. The event loop has one system timer, which it sets to the earliest deadline in the
//! queue.

use crate::interface::Micros;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Items ordered by deadline; items with the same deadline keep the order in which they were added. There is
/// no way to cancel an item: its recipient must check whether it still applies.
pub struct TimerQueue<T> {
    queue: BTreeMap<Key, T>,
    last_sequence: u64,
}

/// The place of an item in the queue. The derived order compares the deadline first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Key {
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
    pub fn push(&mut self, deadline: Micros, item: T) {
        self.last_sequence += 1;
        self.queue.insert(Key { deadline, sequence: self.last_sequence }, item);
    }

    /// The earliest deadline in the queue.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|(key, _)| key.deadline)
    }

    /// Removes and returns the first item if its deadline is not after `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        let first = self.queue.first_entry().filter(|entry| entry.key().deadline <= now)?;
        Some(first.remove())
    }
}
