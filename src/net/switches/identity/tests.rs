//! Tests what proves which process is at the address of a switch.

use super::*;

const FIRST: LostConnection = LostConnection { id: SwitchConnectionId(3), opened_at: 0 };
const LATER: LostConnection = LostConnection { id: SwitchConnectionId(5), opened_at: 2 * SECOND };

/// Guards against a new process, of another exchange, that is taken for the one that has gone.
#[test]
fn a_process_is_in_doubt_after_its_connection_ended_until_it_is_proved() {
    let doubted = || {
        let mut identity = ProcessIdentity::default();
        identity.connect(0);
        assert!(identity.is_confirmed(0));
        identity.interrupt(SECOND, Some(FIRST));
        assert!(!identity.is_confirmed(100 * SECOND));
        // An attempt to connect fails, and the next succeeds.
        identity.interrupt(2 * SECOND, None);
        identity.connect(3 * SECOND);
        identity
    };
    assert!(!doubted().is_confirmed(3 * SECOND + NEWS_TIMEOUT - 1));
    assert!(doubted().is_confirmed(3 * SECOND + NEWS_TIMEOUT));
    let mut moved = doubted();
    moved.confirm();
    assert!(moved.is_confirmed(3 * SECOND));
    let mut restarted = doubted();
    restarted.confirm_start(1);
    assert!(restarted.is_confirmed(3 * SECOND));
    // What concerns the new connection only proves nothing.
    let mut unproved = doubted();
    unproved.confirm_by(LATER.id);
    assert!(!unproved.is_confirmed(3 * SECOND));
    let mut proved = doubted();
    proved.confirm_by(FIRST.id);
    assert!(proved.is_confirmed(3 * SECOND));
}

#[test]
fn a_connection_that_is_lost_again_does_not_count_as_confirmed() {
    let mut identity = ProcessIdentity::default();
    identity.interrupt(SECOND, Some(FIRST));
    identity.connect(2 * SECOND);
    identity.interrupt(3 * SECOND, Some(LATER));
    identity.connect(4 * SECOND);
    identity.confirm_by(LATER.id);
    assert!(!identity.is_confirmed(2 * SECOND + NEWS_TIMEOUT));
    identity.confirm_by(FIRST.id);
    assert!(identity.is_confirmed(4 * SECOND));
    // Confirmed by time, and lost again.
    identity.interrupt(5 * SECOND, Some(FIRST));
    identity.connect(5 * SECOND);
    let much_later = 5 * SECOND + NEWS_TIMEOUT;
    identity.interrupt(much_later, Some(LATER));
    identity.connect(much_later);
    identity.confirm_by(LATER.id);
    assert!(identity.is_confirmed(much_later));
}

#[test]
fn a_process_that_was_never_reached_is_proved_by_the_list_or_by_time_only() {
    let mut identity = ProcessIdentity::default();
    identity.interrupt(SECOND, None);
    identity.connect(2 * SECOND);
    identity.confirm_by(FIRST.id);
    assert!(!identity.is_confirmed(2 * SECOND));
    assert!(identity.is_confirmed(2 * SECOND + NEWS_TIMEOUT));
}

/// Guards against the late news of a start, told after the process that was started then has gone as well.
#[test]
fn the_start_of_a_process_that_was_lost_since_proves_nothing() {
    let mut identity = ProcessIdentity::default();
    identity.interrupt(SECOND, Some(FIRST));
    identity.connect(2 * SECOND);
    identity.interrupt(3 * SECOND, Some(LATER));
    identity.connect(4 * SECOND);
    identity.confirm_start(LATER.opened_at);
    assert!(!identity.is_confirmed(4 * SECOND));
    identity.confirm_start(LATER.opened_at + 1);
    assert!(identity.is_confirmed(4 * SECOND));
}

#[test]
fn the_latest_releases_are_remembered() {
    let mut identity = ProcessIdentity::default();
    let last = MAX_RELEASES as Tag;
    (0..=last).for_each(|tag| identity.record_release(tag, FIRST.id));
    assert_eq!(identity.connection_of_released(0), None);
    assert_eq!(identity.connection_of_released(1), Some(FIRST.id));
    assert_eq!(identity.connection_of_released(last), Some(FIRST.id));
}
