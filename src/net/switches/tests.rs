//! Tests when an idle connection is replaced and the time left that a set-up states.

use super::*;

#[test]
fn idle_connections_are_replaced_shortly_before_the_switch_closes_them() {
    let second = 1_000_000;
    let long = 600_000_000;
    assert!(!is_idle_close_imminent(long - second - 1, long));
    assert!(is_idle_close_imminent(long - second, long) && is_idle_close_imminent(long * 2, long));
    let short = 2 * second;
    assert!(!is_idle_close_imminent(second, short) && is_idle_close_imminent(short, short));
}

#[test]
fn set_ups_state_the_time_left_in_whole_milliseconds() {
    let mut message = set_up_message(7, "check".into(), "12".into(), None);
    for (time_left, text) in [(1_500_900, "1500"), (900, "1"), (-5_000, "1")] {
        assert_eq!(set_time_left(&mut message, time_left).field_text("left").as_deref(), Some(text));
    }
}
