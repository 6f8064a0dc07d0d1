//! Tests the resource limits, and holds the mutation of messages that the tests of both codecs use.

use super::*;

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
        let peer_buffers = 9 * limits.max_peer_buffer_bytes;
        let calls = limits.max_calls * 1024 + limits.max_description_bytes;
        let total = caller_buffers + peer_buffers + calls;
        assert!(total < memory_bytes * 3 / 4, "{memory_mb} MB");
    }
}
