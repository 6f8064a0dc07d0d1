//! Tests what is read of which connections in an iteration.

use super::*;

const FIRST: PendingRead = PendingRead::Caller(ConnectionId(1));
const SECOND: PendingRead = PendingRead::Caller(ConnectionId(2));

/// Guards against a queue that grows with each readiness of a connection that always has more input: the
/// connection was read once more in each iteration, and the iterations grew without end.
#[test]
fn a_connection_is_queued_once_and_in_order() {
    let mut reads = PendingReads::new(0);
    for _ in 0..1000 {
        reads.push(FIRST);
        reads.push(SECOND);
        reads.push(FIRST);
    }
    assert!(reads.contains(FIRST) && !reads.contains(PendingRead::Feed));
    assert_eq!(reads.take(), [FIRST, SECOND]);
    assert!(reads.is_empty() && !reads.contains(FIRST));
}

/// Guards against a connection that waits behind the same ones in each iteration.
#[test]
fn connections_that_were_not_read_come_before_those_that_were() {
    let mut reads = PendingReads::new(0);
    reads.push(FIRST);
    reads.push(SECOND);
    reads.take();
    reads.push(FIRST);
    reads.put_back(vec![SECOND]);
    assert_eq!(reads.take(), [SECOND, FIRST]);
}

/// Guards against a flood whose input is read without a limit, so that the answers of others wait.
#[test]
fn callers_without_an_answered_call_do_not_take_the_input_of_the_others() {
    let mut reads = PendingReads::new(MIN_TRUSTED_BYTES);
    reads.record_caller_bytes(false, MAX_UNTRUSTED_BYTES + 1);
    assert!(!reads.may_read_callers(false) && reads.may_read_callers(true));
    reads.record_caller_bytes(true, MIN_TRUSTED_BYTES);
    assert!(!reads.may_read_callers(true));
    reads.start_iteration();
    assert!(reads.may_read_callers(false) && reads.may_read_callers(true));
}
