//! Tests the conversion of Unix times and the reading of the clock once per iteration.

use super::*;

#[test]
fn unix_times_are_converted_and_the_distant_past_is_none() {
    let clock = Clock::starting_at(Instant::now(), Duration::from_secs(1_000_000));
    assert_eq!(clock.from_unix_ms(1_000_000_000), Some(READING_AT_START));
    assert_eq!(clock.from_unix_ms(999_995_000), Some(READING_AT_START - 5 * SECOND));
    for unix_ms in [0, -7, 1, i64::MIN] {
        assert_eq!(clock.from_unix_ms(unix_ms), None);
    }
    assert!(clock.from_unix_ms(i64::MAX).is_some(), "no overflow");
}

#[test]
fn time_is_constant_until_the_iteration_ends() {
    let mut clock = Clock::start();
    let first = clock.now();
    while clock.start.elapsed() < Duration::from_micros(50) {}
    assert_eq!(clock.now(), first);
    clock.end_iteration();
    assert!(clock.now() > first);
}
