//! Chooses the connections to close when all together hold more bytes than a limit.

use std::cmp::Reverse;

#[cfg(test)]
mod tests;

/// What a connection holds in its buffers.
#[derive(Clone, Copy, Debug)]
pub struct BufferedConnection<Id, Rank> {
    /// The connection.
    pub id: Id,
    /// Those of a lower rank are closed first.
    pub rank: Rank,
    /// The bytes in its buffers.
    pub bytes: usize,
}

/// The connections to close so that the others hold at most `limit` bytes together: those that hold the most,
/// of those with the lowest rank.
pub fn connections_over_limit<Id: Copy + Ord, Rank: Copy + Ord>(
    connections: impl Iterator<Item = BufferedConnection<Id, Rank>>, limit: usize,
) -> Vec<Id> {
    let mut connections: Vec<_> = connections.filter(|connection| connection.bytes > 0).collect();
    let total: usize = connections.iter().map(|connection| connection.bytes).sum();
    if total <= limit {
        return vec![];
    }
    connections
        .sort_unstable_by_key(|connection| (connection.rank, Reverse(connection.bytes), connection.id));
    let mut left = total;
    let mut to_close = Vec::new();
    for connection in connections {
        if left <= limit {
            break;
        }
        left -= connection.bytes;
        to_close.push(connection.id);
    }
    to_close
}
