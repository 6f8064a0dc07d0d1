//! Tests the order in which the items of a timer queue fall due.

use super::*;

#[test]
fn due_items_are_ordered_by_deadline_and_then_by_insertion() {
    let mut timers = TimerQueue::default();
    for (deadline, name) in [(30, "c"), (10, "a"), (10, "b"), (40, "d")] {
        timers.push(deadline, name);
    }
    assert_eq!(timers.next_deadline(), Some(10));
    let due: Vec<_> = std::iter::from_fn(|| timers.pop_due(30)).collect();
    assert_eq!(due, ["a", "b", "c"]);
    assert_eq!((timers.pop_due(39), timers.next_deadline()), (None, Some(40)));
}

#[test]
fn cancelled_item_is_not_due_and_an_expired_one_is_left_alone() {
    let mut timers = TimerQueue::default();
    let first = timers.push(10, "a");
    let second = timers.push(20, "b");
    timers.cancel(first);
    assert_eq!((timers.len(), timers.pop_due(20)), (1, Some("b")));
    timers.push(30, "c");
    timers.cancel(second);
    assert_eq!((timers.pop_due(30), timers.is_empty()), (Some("c"), true));
}
