//! The tags of calls that have ended, so that messages that still arrive for them are taken for repeats.

use super::Tag;
use crate::interface::{Micros, SECOND};
use std::collections::{HashSet, VecDeque};

/// How long the tag of an ended call is kept. It is long because a switch repeats a release on its next
/// connection, which may be established much later.
pub const ENDED_TAG_RETENTION: Micros = 600 * SECOND;
/// Most tags of calls that were sent to a switch, as a multiple of the calls that the call table may hold.
const MAX_SENT_TAGS_PER_CALL: usize = 8;
/// Most other tags, as a multiple of the calls that the call table may hold.
const MAX_UNSENT_TAGS_PER_CALL: usize = 2;

/// The tags of ended calls. Those that a switch knows have a limit of their own, so that calls that are
/// refused before they are sent anywhere don't displace them.
pub struct EndedTags {
    sent: TagHistory,
    unsent: TagHistory,
}

impl EndedTags {
    /// No tags. The limits follow from the number of calls that the call table may hold.
    pub fn new(max_calls: usize) -> Self {
        EndedTags {
            sent: TagHistory::new(MAX_SENT_TAGS_PER_CALL.saturating_mul(max_calls)),
            unsent: TagHistory::new(MAX_UNSENT_TAGS_PER_CALL.saturating_mul(max_calls)),
        }
    }

    /// Records the tag of a call that a switch knows.
    pub fn record_sent(&mut self, now: Micros, tag: Tag) {
        self.sent.record(now, tag);
    }

    /// Records the tag of a call that no switch is known to know.
    pub fn record_unsent(&mut self, now: Micros, tag: Tag) {
        self.unsent.record(now, tag);
    }

    /// Whether a tag is kept.
    pub fn contains(&self, tag: Tag) -> bool {
        self.sent.tags.contains(&tag) || self.unsent.tags.contains(&tag)
    }

    /// Whether a tag is kept as that of a call that a switch knows.
    pub fn was_sent(&self, tag: Tag) -> bool {
        self.sent.tags.contains(&tag)
    }

    /// Removes the tags that have been kept for long enough.
    pub fn remove_expired(&mut self, now: Micros) {
        self.sent.remove_expired(now);
        self.unsent.remove_expired(now);
    }

    /// The number of tags that are kept.
    pub fn len(&self) -> usize {
        self.sent.expiries.len() + self.unsent.expiries.len()
    }

    /// Returns true if no tags are kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Tags with a limit on their number; the oldest make room for new ones.
struct TagHistory {
    limit: usize,
    tags: HashSet<Tag>,
    /// Expiry times of the tags, earliest first.
    expiries: VecDeque<TagExpiry>,
}

/// When a tag is no longer kept.
struct TagExpiry {
    expires_at: Micros,
    tag: Tag,
}

impl TagHistory {
    fn new(limit: usize) -> Self {
        TagHistory { limit, tags: HashSet::new(), expiries: VecDeque::new() }
    }

    /// Records a tag. One that is recorded already keeps its expiry time.
    fn record(&mut self, now: Micros, tag: Tag) {
        if self.tags.insert(tag) {
            self.expiries.push_back(TagExpiry { expires_at: now + ENDED_TAG_RETENTION, tag });
        }
        while self.expiries.len() > self.limit {
            self.remove_oldest();
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        while self.expiries.front().is_some_and(|expiry| expiry.expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.expiries.pop_front() {
            self.tags.remove(&oldest.tag);
        }
    }
}
