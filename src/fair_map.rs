//! A map with a limit on its entries, which it shares fairly between the callers that the entries come from.

use crate::interface::CallSource;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// A map with at most `limit` entries. Once it is full, a new entry takes the place of the oldest one of the
/// source with the most entries, among the trusted sources or among the others, whichever have more entries
/// in total. So a source that adds entries without end displaces its own, and sources that are not trusted,
/// however many they are, leave half of the map to the trusted ones.
pub struct FairMap<K, V> {
    limit: usize,
    entries: BTreeMap<K, Entry<V>>,
    trusted: EntriesBySource<K>,
    untrusted: EntriesBySource<K>,
    last_sequence: u64,
}

struct Entry<V> {
    value: V,
    place: Place,
}

/// The place of an entry in the order in which those of its source were added.
#[derive(Clone, Copy)]
struct Place {
    source: CallSource,
    sequence: u64,
}

impl<K: Clone + Ord, V> FairMap<K, V> {
    /// An empty map.
    pub fn new(limit: usize) -> Self {
        FairMap {
            limit,
            entries: BTreeMap::new(),
            trusted: EntriesBySource::default(),
            untrusted: EntriesBySource::default(),
            last_sequence: 0,
        }
    }

    /// The value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry that comes from `source`, in the place of the one with the same key.
    pub fn insert(&mut self, key: K, value: V, source: CallSource) {
        self.remove(&key);
        if self.limit == 0 {
            return;
        }
        if self.entries.len() >= self.limit {
            self.remove_oldest_of_largest_source(source);
        }
        self.last_sequence += 1;
        let place = Place { source, sequence: self.last_sequence };
        self.group_of(source).add(place, key.clone());
        self.entries.insert(key, Entry { value, place });
    }

    /// Removes an entry and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let Entry { value, place } = self.entries.remove(key)?;
        self.group_of(place.source).remove(place);
        Some(value)
    }

    /// Removes the entries whose values `keep` does not accept.
    pub fn retain(&mut self, keep: impl Fn(&V) -> bool) {
        let removed = self.entries.extract_if(.., |_, entry| !keep(&entry.value));
        let places: Vec<Place> = removed.map(|(_, entry)| entry.place).collect();
        places.into_iter().for_each(|place| self.group_of(place.source).remove(place));
    }

    /// Makes room for an entry of `newcomer`.
    fn remove_oldest_of_largest_source(&mut self, newcomer: CallSource) {
        let group = match self.trusted.total.cmp(&self.untrusted.total) {
            Ordering::Less => &self.untrusted,
            Ordering::Equal if newcomer.is_trusted => &self.trusted,
            Ordering::Equal => &self.untrusted,
            Ordering::Greater => &self.trusted,
        };
        if let Some(key) = group.oldest_of_largest() {
            self.remove(&key);
        }
    }

    fn group_of(&mut self, source: CallSource) -> &mut EntriesBySource<K> {
        if source.is_trusted { &mut self.trusted } else { &mut self.untrusted }
    }
}

/// The keys of the trusted sources, or of the others.
struct EntriesBySource<K> {
    /// The keys of each source, by their sequence numbers.
    keys: BTreeMap<CallSource, BTreeMap<u64, K>>,
    /// The sources, by the number of their keys.
    by_count: BTreeSet<(usize, CallSource)>,
    total: usize,
}

impl<K> Default for EntriesBySource<K> {
    fn default() -> Self {
        EntriesBySource { keys: BTreeMap::new(), by_count: BTreeSet::new(), total: 0 }
    }
}

impl<K: Clone> EntriesBySource<K> {
    fn add(&mut self, place: Place, key: K) {
        let keys = self.keys.entry(place.source).or_default();
        self.by_count.remove(&(keys.len(), place.source));
        keys.insert(place.sequence, key);
        self.by_count.insert((keys.len(), place.source));
        self.total += 1;
    }

    fn remove(&mut self, place: Place) {
        let Some(keys) = self.keys.get_mut(&place.source) else { return };
        self.by_count.remove(&(keys.len(), place.source));
        if keys.remove(&place.sequence).is_some() {
            self.total -= 1;
        }
        if keys.is_empty() {
            self.keys.remove(&place.source);
        } else {
            self.by_count.insert((keys.len(), place.source));
        }
    }

    fn oldest_of_largest(&self) -> Option<K> {
        let (_, source) = self.by_count.last()?;
        let (_, key) = self.keys.get(source)?.first_key_value()?;
        Some(key.clone())
    }
}
