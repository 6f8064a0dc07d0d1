//! Tests which switch has an address, for each order in which the list can name the switches.

use super::*;

const ADDRESS: &str = "127.0.0.1:5080";

fn switch(name: &str, exchange_number: ExchangeNumber, started_unix_ms: i64) -> ListedSwitch {
    ListedSwitch {
        name: name.into(),
        address: ADDRESS.parse().ok(),
        zone_index: 0,
        exchange_number,
        health: Health::InService,
        up_since: None,
        started_unix_ms,
    }
}

fn with_health(listed: ListedSwitch, health: Health) -> ListedSwitch {
    ListedSwitch { health, ..listed }
}

/// The names of the switches that have an address.
fn holders(directory: &SwitchDirectory) -> Vec<&str> {
    let holders = directory.entries.values().filter(|entry| entry.holds_address);
    holders.map(|entry| entry.listed.name.as_str()).collect()
}

/// The exchanges and states of the switches in an update for the controller.
fn announced(changes: DirectoryChanges) -> Vec<(ExchangeNumber, Health)> {
    let (SwitchListUpdate::Full(entries) | SwitchListUpdate::Changes(entries)) = changes.for_controller
    else {
        panic!("no entries");
    };
    entries.iter().map(|entry| (entry.exchange_number, entry.health)).collect()
}

/// Guards against a switch that has gone and is taken for the one that has its address now, because of the order in
/// which the list names them.
#[test]
fn the_switch_that_started_last_has_the_address_in_each_order() {
    for (old_start, new_start) in [(0, 1), (1, 2), (1_700_000_000_000, 1_700_000_000_001)] {
        let (old, new) = (switch("old", 1, old_start), switch("new", 3, new_start));
        let updates: [&[&[&ListedSwitch]]; 6] = [
            &[&[&old, &new]],
            &[&[&new, &old]],
            &[&[&old], &[&new]],
            &[&[&new], &[&old]],
            &[&[&new], &[&old], &[&new, &old], &[&old]],
            &[&[&old, &new], &[&old], &[&new], &[&old]],
        ];
        for updates in updates {
            let mut directory = SwitchDirectory::default();
            for (index, update) in updates.iter().enumerate() {
                directory.apply(update.iter().map(|listed| (*listed).clone()).collect(), index == 0);
            }
            assert_eq!(holders(&directory), ["new"], "{updates:?}");
            let state_of_old = with_health(old.clone(), Health::Draining);
            let changes = directory.apply(vec![state_of_old], false);
            assert!(
                !announced(changes)
                    .iter()
                    .any(|(exchange, health)| { *exchange == 1 && *health != Health::Gone })
            );
            directory.apply(vec![with_health(old.clone(), Health::Gone)], false);
            assert_eq!(holders(&directory), ["new"], "{updates:?}");
        }
    }
}

#[test]
fn of_two_switches_with_equal_starts_the_one_named_last_has_the_address() {
    for start in [0, 1_700_000_000_000] {
        let (old, new) = (switch("old", 1, start), switch("new", 3, start));
        for later in [vec![old.clone(), new.clone()], vec![new.clone(), old.clone()], vec![new.clone()]] {
            let mut directory = SwitchDirectory::default();
            directory.apply(vec![old.clone()], true);
            assert_eq!(announced(directory.apply(later, false)).len(), 2);
            assert_eq!(holders(&directory), ["new"]);
            directory.apply(vec![new.clone(), old.clone()], true);
            assert_eq!(holders(&directory), ["new"]);
        }
    }
}

/// Guards against a guess where nothing tells which switch is there: a transit call must not reach another exchange.
#[test]
fn of_two_switches_of_different_exchanges_that_are_equally_new_neither_has_the_address() {
    let (one, other) = (switch("one", 1, 0), switch("other", 3, 0));
    let mut directory = SwitchDirectory::default();
    let changes = directory.apply(vec![one.clone(), other.clone()], true);
    assert_eq!(announced(changes), []);
    assert!(holders(&directory).is_empty());
    let changes = directory.apply(vec![with_health(one.clone(), Health::Gone)], false);
    assert_eq!(announced(changes), [(1, Health::Gone), (3, Health::InService)]);
    assert_eq!(holders(&directory), ["other"]);
    // The start of one of them decides as well.
    directory.apply(vec![one.clone(), other], true);
    directory.apply(vec![ListedSwitch { started_unix_ms: 7, ..one }], false);
    assert_eq!(holders(&directory), ["one"]);
}

#[test]
fn of_two_switches_of_one_exchange_that_are_equally_new_the_one_that_drains_has_the_address() {
    let drains = with_health(switch("drains", 1, 0), Health::Draining);
    for update in [vec![drains.clone(), switch("serves", 1, 0)], vec![switch("serves", 1, 0), drains]] {
        let mut directory = SwitchDirectory::default();
        directory.apply(update, true);
        assert_eq!(holders(&directory), ["drains"]);
    }
}

/// Guards against calls to a switch that has gone, once its successor has left the address.
#[test]
fn a_switch_whose_address_was_taken_needs_another_start_or_address() {
    let (old, new) = (switch("old", 1, 0), switch("new", 3, 5));
    let mut directory = SwitchDirectory::default();
    directory.apply(vec![old.clone(), new.clone()], true);
    directory.apply(vec![with_health(new.clone(), Health::Gone)], false);
    directory.apply(vec![old.clone()], false);
    assert!(holders(&directory).is_empty());
    // The address is free for a third one, whatever its start.
    directory.apply(vec![switch("third", 2, 0)], false);
    assert_eq!(holders(&directory), ["third"]);
    let moved = ListedSwitch { address: "127.0.0.1:5081".parse().ok(), ..old.clone() };
    directory.apply(vec![moved], false);
    assert_eq!(holders(&directory), ["old", "third"]);
    directory.apply(vec![ListedSwitch { started_unix_ms: 9, ..old }], false);
    assert_eq!(holders(&directory), ["old"]);
}

#[test]
fn switches_that_exchange_their_addresses_keep_one_each() {
    let other_address = "127.0.0.1:5081".parse().ok();
    let (one, other) =
        (switch("one", 1, 0), ListedSwitch { address: other_address, ..switch("other", 2, 0) });
    let mut directory = SwitchDirectory::default();
    directory.apply(vec![one.clone(), other.clone()], true);
    let moved_one = ListedSwitch { address: other.address, ..one.clone() };
    let moved_other = ListedSwitch { address: one.address, ..other };
    let changes = directory.apply(vec![moved_one, moved_other], false);
    assert_eq!(announced(changes), [(1, Health::InService), (2, Health::InService)]);
    assert_eq!(holders(&directory), ["one", "other"]);
}

#[test]
fn an_entry_without_its_start_does_not_make_the_switch_older() {
    let mut directory = SwitchDirectory::default();
    directory.apply(vec![switch("new", 3, 5), switch("old", 1, 4)], true);
    directory.apply(vec![switch("new", 3, 0)], false);
    directory.apply(vec![switch("late", 2, 0)], false);
    assert_eq!(holders(&directory), ["new"]);
}
