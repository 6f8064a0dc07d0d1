//! Tests the resource limits, and holds the mutation of messages that the tests of both codecs use.

use super::*;

/// Most tags of ended calls for each call of the call table, and the memory that one takes with the unused
/// room of its table.
const ENDED_TAGS_PER_CALL: usize = 10;
const BYTES_PER_ENDED_TAG: usize = 50;
/// Memory that a release takes that waits for a connection or an acknowledgement, with the unused room of its queue.
const BYTES_PER_RELEASE: usize = 64;
/// Memory that the program itself takes.
const PROGRAM_BYTES: usize = 5_000_000;

/// Calls `check` with 20,000 mutations of an encoded message, each with one to four bytes overwritten and, in
/// about one of eight, the last byte cut off. A decoder must not panic on any of them, since a panic ends the
/// program.
pub(super) fn for_each_mutation(encoded: &[u8], mut check: impl FnMut(&[u8])) {
    use rand_core::{RngCore, SeedableRng};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut bytes = encoded.to_vec();
        let overwrites = 1 + rng.next_u32() % 4;
        for _ in 0..overwrites {
            let index = rng.next_u32() as usize % bytes.len();
            bytes[index] = rng.next_u32() as u8;
        }
        if rng.next_u32() % 8 == 7 {
            bytes.pop();
        }
        check(&bytes);
    }
}

#[test]
fn resource_limits_fit_within_the_configured_sockets_and_memory() {
    for (sockets, memory_mb) in [(256, 32), (1024, 32), (384, 48), (1024, 128), (1024, 192)] {
        let memory_bytes = memory_mb * 1_000_000;
        let limits = ResourceLimits::new(sockets, memory_bytes);
        // In normal operation callers hold a third; the switches, the feed and the program need the rest.
        assert!(limits.max_caller_connections > sockets / 3);
        let other_sockets = sockets - limits.max_caller_connections;
        assert!(other_sockets >= 64);
        assert!(limits.caller_buffers.unsent_per_connection >= binary::MAX_MESSAGE_BYTES);
        // All connections together hold no more than this, however many there are.
        let caller_buffers = limits.caller_buffers.total;
        let peer_buffers = limits.switches.total_unsent + limits.max_feed_buffer_bytes;
        let calls = limits.max_calls * BYTES_PER_CALL;
        let buffers_and_calls = caller_buffers + peer_buffers + calls + limits.max_description_bytes;
        assert!(buffers_and_calls < memory_bytes * 3 / 4, "{memory_mb} MB");
        // In the call table, and in a set-up that waits for a connection to its switch.
        let descriptions = 2 * limits.max_description_bytes;
        let history = limits.history.called_numbers * 2 * BYTES_PER_CALLED_NUMBER
            + limits.history.remote_groups * BYTES_PER_REMOTE_GROUP;
        let ended_tags = ENDED_TAGS_PER_CALL * limits.max_calls * BYTES_PER_ENDED_TAG;
        let pending_releases = limits.switches.unacknowledged_releases + limits.pending_releases_to_callers;
        let held_in_tables =
            calls + descriptions + history + ended_tags + pending_releases * BYTES_PER_RELEASE;
        let total = caller_buffers + peer_buffers + held_in_tables + limits.max_input_bytes;
        assert!(total + PROGRAM_BYTES < memory_bytes, "{memory_mb} MB");
    }
}
