//! The program's clock: whole microseconds of monotonic time, read once per iteration of the event loop.

use crate::interface::{MILLISECOND, Micros, SECOND};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[cfg(test)]
mod tests;

/// The reading at the start of the program: one day. The controller takes a time of 0 for "never", so events
/// from before the start, such as the start of a switch, must have readings above 0.
const READING_AT_START: Micros = 86_400 * SECOND;
/// Longest time after the start, about 35 years, that is converted to an [`Instant`]. An overflow of an
/// `Instant` panics, and its range depends on the platform.
const MAX_INSTANT_OFFSET_US: u64 = 1 << 50;

/// A monotonic clock to which Unix times can be converted.
pub struct Clock {
    start: Instant,
    /// Unix time at the start. It is read once, so that later adjustments of the system clock have no effect.
    unix_time_at_start: Micros,
    /// The reading for this iteration of the event loop.
    cached_now: Option<Micros>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self::starting_at(Instant::now(), unix_time)
    }

    fn starting_at(start: Instant, unix_time: Duration) -> Self {
        let unix_time_at_start = Micros::try_from(unix_time.as_micros()).unwrap_or(0);
        Clock { start, unix_time_at_start, cached_now: None }
    }

    /// The time in this iteration of the event loop: read on first use, then constant until
    /// [`Clock::end_iteration`].
    pub fn now(&mut self) -> Micros {
        let start = self.start;
        *self.cached_now.get_or_insert_with(|| {
            let elapsed = Micros::try_from(start.elapsed().as_micros()).unwrap_or(Micros::MAX / 2);
            READING_AT_START.saturating_add(elapsed)
        })
    }

    /// Makes the next call of [`Clock::now`] read the time again.
    pub fn end_iteration(&mut self) {
        self.cached_now = None;
    }

    /// The instant at which the clock reads `at`, for the event loop's timer. Times before the start give the
    /// start.
    pub fn to_instant(&self, at: Micros) -> Instant {
        let offset_us = u64::try_from(at.saturating_sub(READING_AT_START)).unwrap_or(0);
        self.start + Duration::from_micros(offset_us.min(MAX_INSTANT_OFFSET_US))
    }

    /// Converts a Unix time in milliseconds to a reading of this clock. `None` for 0, for negative values and
    /// for times a day or more before the start.
    pub fn from_unix_ms(&self, unix_ms: i64) -> Option<Micros> {
        if unix_ms <= 0 {
            return None;
        }
        let since_start = unix_ms.saturating_mul(MILLISECOND).saturating_sub(self.unix_time_at_start);
        let reading = since_start.saturating_add(READING_AT_START);
        (reading > 0).then_some(reading)
    }
}
