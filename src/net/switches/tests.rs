//! Tests when an idle connection is replaced and the time left that a set-up states.

use super::*;

#[test]
fn idle_connections_are_replaced_shortly_before_the_switch_closes_them() {
    let long_timeout = 600 * SECOND;
    assert!(!is_idle_close_imminent(long_timeout - SECOND - 1, long_timeout));
    assert!(is_idle_close_imminent(long_timeout - SECOND, long_timeout));
    assert!(is_idle_close_imminent(long_timeout * 2, long_timeout));
    let short_timeout = 2 * SECOND;
    assert!(!is_idle_close_imminent(SECOND, short_timeout));
    assert!(is_idle_close_imminent(short_timeout, short_timeout));
}

#[test]
fn set_ups_state_the_time_left_in_whole_milliseconds() {
    let mut message = set_up_message(7, "check".into(), "12".into(), None);
    for (time_left, text) in [(1500 * MILLISECOND + 900, "1500"), (900, "1"), (-5 * MILLISECOND, "1")] {
        assert_eq!(set_time_left(&mut message, time_left).field_text("left").as_deref(), Some(text));
    }
}
