//! The unanswered calls of each caller's connection, and the share of the limits that each may take.

use super::{Caller, ConnectionId};
use crate::interface::CallId;
use std::collections::{BTreeMap, BTreeSet};

/// What the unanswered calls of a caller may take together, as a multiple of what is still free: with several
/// callers at this limit, another one always finds room.
const UNTRUSTED_SHARE_OF_FREE: usize = 1;
/// The same for a trusted caller, which may be the only one of the deployment.
const TRUSTED_SHARE_OF_FREE: usize = 8;

/// The unanswered calls, by connection.
#[derive(Default)]
pub struct UnansweredCalls {
    by_connection: BTreeMap<ConnectionId, ConnectionCalls>,
    call_count: usize,
    description_bytes: usize,
}

#[derive(Default)]
struct ConnectionCalls {
    ids: BTreeSet<CallId>,
    description_bytes: usize,
}

/// What is still free of the limits on calls.
pub struct FreeRoom {
    /// Calls.
    pub calls: usize,
    /// Bytes of session descriptions.
    pub description_bytes: usize,
}

impl UnansweredCalls {
    /// Adds a call with a session description of this length.
    pub fn add(&mut self, connection: ConnectionId, id: CallId, description_bytes: usize) {
        let calls = self.by_connection.entry(connection).or_default();
        if calls.ids.insert(id) {
            calls.description_bytes += description_bytes;
            self.call_count += 1;
            self.description_bytes += description_bytes;
        }
    }

    /// Removes a call, which was added with the same length.
    pub fn remove(&mut self, connection: ConnectionId, id: CallId, description_bytes: usize) {
        let Some(calls) = self.by_connection.get_mut(&connection) else { return };
        if calls.ids.remove(&id) {
            calls.description_bytes -= description_bytes;
            self.call_count -= 1;
            self.description_bytes -= description_bytes;
        }
        if calls.ids.is_empty() {
            self.by_connection.remove(&connection);
        }
    }

    /// The number of unanswered calls of all connections.
    pub fn call_count(&self) -> usize {
        self.call_count
    }

    /// The bytes of the session descriptions of all unanswered calls.
    pub fn description_bytes(&self) -> usize {
        self.description_bytes
    }

    /// The number of unanswered calls of a connection.
    pub fn call_count_of(&self, connection: ConnectionId) -> usize {
        self.by_connection.get(&connection).map_or(0, |calls| calls.ids.len())
    }

    /// The unanswered calls of a connection, the oldest first.
    pub fn ids_of(&self, connection: ConnectionId) -> impl Iterator<Item = CallId> {
        self.by_connection.get(&connection).into_iter().flat_map(|calls| calls.ids.iter().copied())
    }

    /// Whether a caller may have a further call, with a session description of this length.
    pub fn may_add(&self, caller: Caller, description_bytes: usize, free: &FreeRoom) -> bool {
        let share = if caller.is_trusted { TRUSTED_SHARE_OF_FREE } else { UNTRUSTED_SHARE_OF_FREE };
        let calls = self.by_connection.get(&caller.connection);
        let held_calls = calls.map_or(0, |calls| calls.ids.len());
        let held_bytes = calls.map_or(0, |calls| calls.description_bytes);
        held_calls < free.calls.saturating_mul(share)
            && description_bytes <= free.description_bytes
            && held_bytes + description_bytes <= free.description_bytes.saturating_mul(share)
    }
}
