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

/// Guards against releases of unknown calls, which go to all switches, that take the places of those of known
/// calls while the switches cannot be reached.
#[test]
fn pending_releases_of_unknown_calls_leave_room_for_those_of_known_calls() {
    let event_loop: calloop::EventLoop<'static, Gatekeeper> = calloop::EventLoop::try_new().unwrap();
    let limits = SwitchLimits { unsent_per_switch: 1000, total_unsent: 1000, unacknowledged_releases: 20 };
    let mut switches = Switches::new(event_loop.handle(), SECOND, SECOND, 0, limits);
    for id in [1, 2] {
        let listed = ListedSwitch {
            name: id.to_string(),
            address: None,
            zone_index: 0,
            exchange_number: 1,
            health: Health::InService,
            up_since: None,
            started_unix_ms: 0,
        };
        switches.by_id.insert(SwitchId(id), Switch::new(listed, 0));
    }
    (0..1000).for_each(|tag| switches.release_at_all(0, tag));
    (1000..2000).for_each(|tag| switches.release(0, SwitchId(1), tag));
    let pending = |id: u64| switches.by_id[&SwitchId(id)].releases.pending();
    assert_eq!(pending(2)[..], [0, 1, 2, 3, 4]);
    assert_eq!(pending(1)[..5], [0, 1, 2, 3, 4]);
    assert_eq!(pending(1)[5..], (1000..1010).collect::<Vec<u64>>());
}

/// Guards against the release of an earlier attempt that ends a later one of the same call: it can arrive late on a
/// connection that was replaced.
#[test]
fn a_release_on_a_replaced_connection_may_arrive_until_it_is_acknowledged_there() {
    let connection = SwitchConnectionId;
    let mut releases = UnacknowledgedReleases::default();
    for tag in 1..=5 {
        // The fifth call has ended and is not sent again.
        releases.record_written(tag, connection(1), tag as Micros, tag != 5);
    }
    releases.forget(4);
    assert_eq!(releases.replace(connection(1), SECOND), [1, 2, 3, 5]);
    let late = |releases: &UnacknowledgedReleases| [1, 2, 3, 4].map(|tag| releases.may_arrive_late(tag));
    assert_eq!(late(&releases), [true, true, true, false]);
    assert!(!releases.may_arrive_late(5));
    // The release on the successor is acknowledged first.
    releases.acknowledge(1, connection(2));
    assert_eq!(late(&releases), [true, true, true, false]);
    releases.acknowledge(1, connection(1));
    assert_eq!(late(&releases), [false, true, true, false]);
    releases.remove_expired(4 * SECOND - 1);
    assert_eq!(late(&releases), [false, true, true, false]);
    releases.acknowledge_all(connection(2));
    assert_eq!(late(&releases), [false, true, true, false]);
    let mut expired = releases;
    expired.remove_expired(4 * SECOND);
    assert_eq!(late(&expired), [false; 4]);
}
