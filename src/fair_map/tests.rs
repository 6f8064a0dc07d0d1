//! Tests which entries a full map gives up.

use super::*;

const fn source(connection: u64, is_trusted: bool) -> CallSource {
    CallSource { connection, is_trusted }
}

#[test]
fn a_source_that_adds_without_end_displaces_its_own_entries() {
    let mut map = FairMap::new(10);
    (0..4).for_each(|key| map.insert(key, (), source(1, false)));
    (100..1000).for_each(|key| map.insert(key, (), source(2, false)));
    assert!((0..4).all(|key| map.get(&key).is_some()));
    assert!((994..1000).all(|key| map.get(&key).is_some()), "the latest of the other source");
    assert_eq!(map.len(), 10);
}

#[test]
fn any_number_of_untrusted_sources_leave_half_of_the_map_to_the_trusted_ones() {
    let mut map = FairMap::new(10);
    (0..5).for_each(|key| map.insert(key, (), source(1, true)));
    (100..1000).for_each(|key| map.insert(key, (), source(key, false)));
    assert!((0..5).all(|key| map.get(&key).is_some()));
    (5..50).for_each(|key| map.insert(key, (), source(1, true)));
    assert_eq!(map.entries.values().filter(|entry| entry.place.source.is_trusted).count(), 5);
}

#[test]
fn a_source_whose_entries_are_removed_or_replaced_keeps_no_place() {
    let mut map = FairMap::new(10);
    (0..5).for_each(|key| map.insert(key, key, source(1, true)));
    map.insert(0, 7, source(2, false));
    assert_eq!(map.get(&0), Some(&7));
    assert_eq!((map.remove(&0), map.remove(&0)), (Some(7), None));
    map.retain(|value| *value == 4);
    assert_eq!((map.len(), map.trusted.total, map.untrusted.total), (1, 1, 0));
    map.retain(|_| false);
    assert!(map.is_empty() && map.trusted.keys.is_empty() && map.trusted.by_count.is_empty());
}

#[test]
fn a_map_without_room_stays_empty() {
    let mut map = FairMap::new(0);
    map.insert(1, (), source(1, true));
    assert!(map.is_empty());
}
