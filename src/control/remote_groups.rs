//! What the controller has last seen of the groups of circuits between other exchanges.

use crate::fair_map::FairMap;
use crate::interface::{CallSource, ExchangeNumber, Micros, SECOND};

/// How long the controller relies on what it last saw of a group: that it had room, or was full.
const MIN_REMOTE_GROUP_VALIDITY: Micros = 8 * SECOND;
/// A group found full again is taken for full for twice as long, up to this time: it may not exist at all.
const MAX_REMOTE_GROUP_VALIDITY: Micros = 64 * SECOND;

/// The two exchanges that a group of circuits connects, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    lower_end: ExchangeNumber,
    higher_end: ExchangeNumber,
}

impl GroupKey {
    /// The key of the group between two exchanges, the same for either order of them.
    pub fn new(one_end: ExchangeNumber, other_end: ExchangeNumber) -> Self {
        GroupKey { lower_end: one_end.min(other_end), higher_end: one_end.max(other_end) }
    }

    /// The two exchanges.
    pub fn ends(&self) -> [ExchangeNumber; 2] {
        [self.lower_end, self.higher_end]
    }
}

/// What is known of a group.
struct RemoteGroup {
    had_room: bool,
    valid_until: Micros,
    /// For how long the last observation is valid from when it was made.
    validity: Micros,
}

/// The groups that something is known of.
pub struct RemoteGroups {
    groups: FairMap<GroupKey, RemoteGroup>,
}

impl RemoteGroups {
    /// No groups, and at most `limit` of them.
    pub fn new(limit: usize) -> Self {
        RemoteGroups { groups: FairMap::new(limit) }
    }

    /// Records whether a group had room, as a call of `source` showed.
    pub fn record(&mut self, now: Micros, key: GroupKey, had_room: bool, source: CallSource) {
        let found_full_before = self.groups.get(&key).filter(|group| !group.had_room);
        let validity = match found_full_before {
            Some(before) if !had_room => (before.validity * 2).min(MAX_REMOTE_GROUP_VALIDITY),
            _ => MIN_REMOTE_GROUP_VALIDITY,
        };
        let group = RemoteGroup { had_room, valid_until: now + validity, validity };
        self.groups.insert(key, group, source);
    }

    /// Whether a group had room when it was last seen, as long as the controller relies on that.
    pub fn had_room(&self, now: Micros, key: GroupKey) -> Option<bool> {
        let group = self.groups.get(&key).filter(|group| group.valid_until > now)?;
        Some(group.had_room)
    }

    /// Whether a group was found full and the controller still relies on that.
    pub fn was_full(&self, now: Micros, key: GroupKey) -> bool {
        self.groups.get(&key).is_some_and(|group| !group.had_room && group.valid_until >= now)
    }

    /// Removes what is no longer needed.
    pub fn remove_expired(&mut self, now: Micros) {
        self.groups.retain(|group| group.valid_until + MAX_REMOTE_GROUP_VALIDITY > now);
    }
}
