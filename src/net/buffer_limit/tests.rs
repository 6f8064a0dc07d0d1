//! Tests which connections are closed over a limit.

use super::*;

fn over_limit(connections: &[(u32, u32, usize)], limit: usize) -> Vec<u32> {
    let connections = connections.iter().map(|(id, rank, bytes)| BufferedConnection {
        id: *id,
        rank: *rank,
        bytes: *bytes,
    });
    connections_over_limit(connections, limit)
}

/// Guards against buffers that are bounded for each connection only.
#[test]
fn the_largest_connections_of_the_lowest_rank_are_closed_first() {
    let connections = [(1, 1, 900), (2, 0, 100), (3, 0, 300), (4, 0, 200), (5, 0, 0)];
    assert_eq!(over_limit(&connections, 1500), [0; 0]);
    assert_eq!(over_limit(&connections, 1499), [3]);
    assert_eq!(over_limit(&connections, 1100), [3, 4]);
    assert_eq!(over_limit(&connections, 800), [3, 4, 2, 1]);
}
