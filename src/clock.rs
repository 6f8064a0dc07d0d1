//! The clock of the program: whole microseconds on the monotonic clock, read once a turn of the loop.

use crate::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the clock shows at the start. Instants before the start (a switch's, say) stay above nought, which
/// the module takes for 'never'.
const BASE: Micros = 86_400_000_000;

/// The monotonic clock, and how Unix time lies on it.
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in microseconds. Mapped once: a later step of the system's clock moves nothing.
    unix_start: Micros,
    turn: Option<Micros>,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Self::at(Instant::now(), unix)
    }

    fn at(start: Instant, unix: Duration) -> Self {
        Clock { start, unix_start: Micros::try_from(unix.as_micros()).unwrap_or(0), turn: None }
    }

    /// The time of this turn: read at its first use, the same until [`Clock::end_iteration`].
    pub fn now(&mut self) -> Micros {
        let start = self.start;
        *self.turn.get_or_insert_with(|| {
            BASE.saturating_add(Micros::try_from(start.elapsed().as_micros()).unwrap_or(Micros::MAX / 2))
        })
    }

    /// The next use reads the time anew.
    pub fn end_iteration(&mut self) {
        self.turn = None;
    }

    /// The instant at which the clock shows `at`, for the loop's timer.
    pub fn to_instant(&self, at: Micros) -> Instant {
        let after = u64::try_from(at.saturating_sub(BASE)).unwrap_or(0).min(1 << 50);
        self.start + Duration::from_micros(after)
    }

    /// What the clock showed at a Unix millisecond; 0 and what lies too far back is 'the distant past'.
    pub fn from_unix_ms(&self, ms: i64) -> Option<Micros> {
        if ms <= 0 {
            return None;
        }
        let at = ms.saturating_mul(1000).saturating_sub(self.unix_start).saturating_add(BASE);
        (at > 0).then_some(at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unix_time_is_mapped_once_and_the_distant_past_is_none() {
        let clock = Clock::at(Instant::now(), Duration::from_secs(1_000_000));
        assert_eq!(clock.from_unix_ms(1_000_000_000), Some(BASE));
        assert_eq!(clock.from_unix_ms(999_995_000), Some(BASE - 5_000_000));
        for far in [0, -7, 1, i64::MIN] {
            assert_eq!(clock.from_unix_ms(far), None);
        }
        assert!(clock.from_unix_ms(i64::MAX).is_some(), "no overflow");
    }

    #[test]
    fn the_time_stays_the_same_until_the_turn_ends() {
        let mut clock = Clock::start();
        let first = clock.now();
        while clock.start.elapsed() < Duration::from_micros(50) {}
        assert_eq!(clock.now(), first);
        clock.end_iteration();
        assert!(clock.now() > first);
    }
}
