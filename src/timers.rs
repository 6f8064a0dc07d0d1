//! One queue of everything that is due at some time; the loop has a single timer, set to its head.

use crate::interface::Micros;
use std::collections::BTreeMap;

/// Things due, the earliest first; those due at the same time come in the order they were put in. Nothing is
/// withdrawn: whoever takes a thing out looks whether it still matters.
pub struct TimerQueue<T> {
    queue: BTreeMap<(Micros, u64), T>,
    put: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        TimerQueue { queue: BTreeMap::new(), put: 0 }
    }
}

impl<T> TimerQueue<T> {
    /// Puts in a thing that is due at a time.
    pub fn push(&mut self, at: Micros, thing: T) {
        self.put += 1;
        self.queue.insert((at, self.put), thing);
    }

    /// When the first thing is due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes out the first thing, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        let first = self.queue.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_due_comes_in_order_of_time_and_then_of_entry() {
        let mut timers = TimerQueue::default();
        for (at, name) in [(30, "c"), (10, "a"), (10, "b"), (40, "d")] {
            timers.push(at, name);
        }
        assert_eq!(timers.next_deadline(), Some(10));
        let due: Vec<_> = std::iter::from_fn(|| timers.pop_due(30)).collect();
        assert_eq!(due, ["a", "b", "c"]);
        assert_eq!((timers.pop_due(39), timers.next_deadline()), (None, Some(40)));
    }
}
