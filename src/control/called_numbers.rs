//! What the controller remembers of called numbers: which ones were found busy, and when callers first tried
//! those that were not answered.

use crate::fair_map::FairMap;
use crate::interface::{CallSource, Micros, SECOND};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A call to the same number within this time of the first try of a call that was not answered is taken
/// for its redial. Callers that do not mark their redials would otherwise get the full value of a call
/// for which no earlier try is known.
const REDIAL_WINDOW: Micros = 10 * SECOND;
/// How long no calls are sent to a number whose lines were all busy.
const MIN_BUSY_NUMBER_WAIT: Micros = SECOND;
/// Longest wait for a busy number. The wait doubles each time that the number is found busy again.
const MAX_BUSY_NUMBER_WAIT: Micros = 8 * SECOND;

/// A hash of a called number: it takes the same memory however long the number is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NumberKey(u64);

/// A number whose lines were all busy.
struct BusyNumber {
    /// No calls are sent to it before this time.
    wait_until: Micros,
    /// The wait; it doubles when the number is found busy again.
    wait: Micros,
}

/// Busy numbers, and numbers of calls that were not answered.
pub struct CalledNumbers {
    busy: FairMap<NumberKey, BusyNumber>,
    /// When the callers of unanswered calls first tried.
    first_tries: FairMap<NumberKey, Micros>,
    /// Makes the hashes differ between instances.
    hash_seed: u64,
}

impl CalledNumbers {
    /// No numbers. At most `limit` busy numbers are kept, and as many of unanswered calls.
    pub fn new(limit: usize, hash_seed: u64) -> Self {
        CalledNumbers { busy: FairMap::new(limit), first_tries: FairMap::new(limit), hash_seed }
    }

    /// Whether no calls are sent to a number now, because its lines were all busy.
    pub fn is_busy(&self, now: Micros, number: &str) -> bool {
        self.busy.get(&self.key(number)).is_some_and(|number| number.wait_until > now)
    }

    /// Records that all lines of a number were busy, for a call of `source`.
    pub fn record_busy(&mut self, now: Micros, number: &str, source: CallSource) {
        let key = self.key(number);
        let wait = match self.busy.get(&key) {
            Some(known) => (known.wait * 2).min(MAX_BUSY_NUMBER_WAIT),
            None => MIN_BUSY_NUMBER_WAIT,
        };
        self.busy.insert(key, BusyNumber { wait_until: now + wait, wait }, source);
    }

    /// Records that a call of `source`, first tried at `first_tried_at`, was not answered.
    pub fn record_unanswered(&mut self, number: &str, first_tried_at: Micros, source: CallSource) {
        self.first_tries.insert(self.key(number), first_tried_at, source);
    }

    /// Returns when a call to this number was first tried, if it was not answered and a new call is taken for
    /// its redial. The number is forgotten until it is recorded again.
    pub fn take_first_try(&mut self, now: Micros, number: &str) -> Option<Micros> {
        let first_tried_at = self.first_tries.remove(&self.key(number))?;
        (now < first_tried_at + REDIAL_WINDOW).then_some(first_tried_at)
    }

    /// Removes what is no longer needed.
    pub fn remove_expired(&mut self, now: Micros) {
        self.busy.retain(|number| number.wait_until + MAX_BUSY_NUMBER_WAIT > now);
        self.first_tries.retain(|first_tried_at| *first_tried_at + REDIAL_WINDOW > now);
    }

    fn key(&self, number: &str) -> NumberKey {
        let mut hasher = DefaultHasher::new();
        self.hash_seed.hash(&mut hasher);
        number.hash(&mut hasher);
        NumberKey(hasher.finish())
    }
}
