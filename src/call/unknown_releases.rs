//! Releases of calls that are not in the call table. Such a call may have been set up before the last start,
//! at any switch, so its release goes to all of them.

use super::Caller;
use crate::interface::{Micros, SECOND};

/// Share of the calls that the call table may hold that callers without an answered call may release.
const UNTRUSTED_SHARE: usize = 8;
/// Time in which an allowance grows by one release.
const GROWTH_INTERVAL: Micros = SECOND;

/// How many unknown calls callers may release. Each such release costs every switch a message; without a
/// limit a caller that releases calls at random would keep all switches busy.
pub struct UnknownReleases {
    trusted: Allowance,
    untrusted: Allowance,
}

impl UnknownReleases {
    /// The limit follows from the number of calls that the call table may hold: no more can have been up
    /// before the start.
    pub fn new(now: Micros, max_calls: usize) -> Self {
        UnknownReleases {
            trusted: Allowance::new(now, max_calls),
            untrusted: Allowance::new(now, (max_calls / UNTRUSTED_SHARE).max(1)),
        }
    }

    /// Takes a release from the allowance of its caller. Returns false if there is none left.
    pub fn take(&mut self, now: Micros, caller: Caller) -> bool {
        let allowance = if caller.is_trusted { &mut self.trusted } else { &mut self.untrusted };
        allowance.take(now)
    }
}

/// A number of releases that grows with time up to a limit.
struct Allowance {
    left: usize,
    limit: usize,
    grown_until: Micros,
}

impl Allowance {
    fn new(now: Micros, limit: usize) -> Self {
        Allowance { left: limit, limit, grown_until: now }
    }

    fn take(&mut self, now: Micros) -> bool {
        let intervals = (now - self.grown_until).max(0) / GROWTH_INTERVAL;
        self.grown_until += intervals * GROWTH_INTERVAL;
        let grown = usize::try_from(intervals).unwrap_or(usize::MAX);
        self.left = self.left.saturating_add(grown).min(self.limit);
        let is_left = self.left > 0;
        self.left = self.left.saturating_sub(1);
        is_left
    }
}
