//! The switches that the control feed names: their ids, and which of them is behind an address. No I/O and no
//! clock.
//!
//! The address of a switch that has gone may be taken by a new one while the list still names both, and the
//! entries of an update have no order. What tells which of them is there now, in this order:
//!
//! 1. The time of the start: the one that started last. An unknown start counts as the distant past.
//! 2. The order of the updates: the one that was named at the address by the later update.
//!
//! If two switches of different exchanges are equal in both, nothing tells which one is there, and neither has
//! the address. A switch whose address was taken has gone for good: it has no address until it starts again or
//! is named at another one, even if its successor leaves.

use crate::interface::{ExchangeNumber, Health, Micros, SwitchEntry, SwitchId, SwitchListUpdate};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// A carrier switch as the control feed describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedSwitch {
    /// Its name in the control feed.
    pub name: String,
    /// The address on which it listens. `None` if the control feed gives no valid one, or if the switch at
    /// that address is, or may be, another one.
    pub address: Option<SocketAddr>,
    /// Index of its zone.
    pub zone_index: u32,
    /// The number of the exchange that it serves.
    pub exchange_number: ExchangeNumber,
    /// Its state in the switch list.
    pub health: Health,
    /// When it last started, if that is known and recent.
    pub up_since: Option<Micros>,
    /// Unix time of its last start, in milliseconds; 0 if it is unknown.
    pub started_unix_ms: i64,
}

impl ListedSwitch {
    fn to_entry(&self, switch: SwitchId, health: Health) -> SwitchEntry {
        SwitchEntry {
            switch,
            zone_index: self.zone_index,
            exchange_number: self.exchange_number,
            health,
            up_since: self.up_since,
        }
    }
}

/// A switch's claim to the address at which the list names it.
struct AddressClaim {
    address: SocketAddr,
    /// Unix time of the start, in milliseconds; 0 if it is unknown.
    started_unix_ms: i64,
    /// Number of the update that first named the switch, with this start, at this address.
    claimed_in: u64,
    /// A newer switch has been named at the address since.
    is_superseded: bool,
}

impl AddressClaim {
    /// Claims with a higher rank are of newer switches.
    fn rank(&self) -> (i64, u64) {
        (self.started_unix_ms, self.claimed_in)
    }
}

/// A switch that the list names.
struct DirectoryEntry {
    /// As it was last named.
    listed: ListedSwitch,
    claim: Option<AddressClaim>,
    /// The switch has the address that it claims.
    holds_address: bool,
    /// The controller knows the switch as one that is not gone.
    is_announced: bool,
}

impl DirectoryEntry {
    /// Whether another switch has, or may have, the address at which the list names this one.
    fn is_displaced(&self) -> bool {
        self.claim.is_some() && !self.holds_address
    }

    /// The state in which calls may rely on the switch: one whose address is another's is gone.
    fn effective_health(&self) -> Health {
        if self.is_displaced() { Health::Gone } else { self.listed.health }
    }

    /// The switch as it was last named, with its address only if it has that.
    fn with_held_address(&self) -> ListedSwitch {
        let address = self.listed.address.filter(|_| self.holds_address);
        ListedSwitch { address, ..self.listed.clone() }
    }
}

/// A switch that is no longer named.
#[derive(Debug, PartialEq)]
pub struct RemovedSwitch {
    /// Its former id.
    pub id: SwitchId,
    /// Its name in the control feed.
    pub name: String,
}

/// What an update of the switch list changes.
pub struct DirectoryChanges {
    /// The switches that the update names, and those that have lost or got an address by it. Those without an
    /// address come first.
    pub listed: Vec<(SwitchId, ListedSwitch)>,
    /// The switches that are gone.
    pub removed: Vec<RemovedSwitch>,
    /// The update for the controller.
    pub for_controller: SwitchListUpdate,
}

/// The switches that the list names, those of the own exchange included.
#[derive(Default)]
pub struct SwitchDirectory {
    entries: BTreeMap<SwitchId, DirectoryEntry>,
    /// The controller's ids of the switches, by their names in the control feed. Only this type translates
    /// between the two.
    ids_by_name: HashMap<String, SwitchId>,
    last_id: u64,
    update_count: u64,
}

impl SwitchDirectory {
    /// Applies an update of the list: the whole list if `is_full`, else the entries that have changed.
    pub fn apply(&mut self, update: Vec<ListedSwitch>, is_full: bool) -> DirectoryChanges {
        self.update_count += 1;
        let mut removed = Vec::new();
        let mut gone = Vec::new();
        let mut named = Vec::new();
        for listed in update {
            if listed.health == Health::Gone {
                if let Some(switch) = self.remove(&listed.name) {
                    gone.push(listed.to_entry(switch.id, Health::Gone));
                    removed.push(switch);
                }
            } else {
                named.push(self.name_switch(listed));
            }
        }
        if is_full {
            removed.extend(self.remove_all_but(&named));
        }
        let moved = self.assign_addresses();
        let mut changed: Vec<SwitchId> = named.into_iter().chain(moved).collect();
        changed.sort_unstable();
        changed.dedup();
        let for_controller = if is_full {
            SwitchListUpdate::Full(gone.into_iter().chain(self.announce_all()).collect())
        } else {
            SwitchListUpdate::Changes(gone.into_iter().chain(self.announce(&changed)).collect())
        };
        DirectoryChanges { listed: self.listed_without_address_first(&changed), removed, for_controller }
    }

    /// Takes a switch as the list names it now, and returns its id.
    fn name_switch(&mut self, listed: ListedSwitch) -> SwitchId {
        let id = self.get_or_assign_id(&listed.name);
        let update_count = self.update_count;
        let before = self.entries.remove(&id);
        let (before_claim, is_announced) =
            before.map_or((None, false), |entry| (entry.claim, entry.is_announced));
        let claim = listed.address.map(|address| match before_claim {
            // An entry without a start, or with an earlier one, is no news of the process.
            Some(claim) if claim.address == address && listed.started_unix_ms <= claim.started_unix_ms => {
                claim
            }
            _ => AddressClaim {
                address,
                started_unix_ms: listed.started_unix_ms,
                claimed_in: update_count,
                is_superseded: false,
            },
        });
        self.entries.insert(id, DirectoryEntry { listed, claim, holds_address: false, is_announced });
        id
    }

    fn get_or_assign_id(&mut self, name: &str) -> SwitchId {
        if let Some(id) = self.ids_by_name.get(name) {
            return *id;
        }
        self.last_id += 1;
        let id = SwitchId(self.last_id);
        self.ids_by_name.insert(name.to_string(), id);
        id
    }

    /// Removes a switch with its id, since the number of switches that come and go has no limit.
    fn remove(&mut self, name: &str) -> Option<RemovedSwitch> {
        let id = self.ids_by_name.remove(name)?;
        self.entries.remove(&id);
        Some(RemovedSwitch { id, name: name.to_string() })
    }

    fn remove_all_but(&mut self, named: &[SwitchId]) -> Vec<RemovedSwitch> {
        let unnamed = self.ids_by_name.iter().filter(|(_, id)| !named.contains(id));
        let mut unnamed: Vec<(SwitchId, String)> = unnamed.map(|(name, id)| (*id, name.clone())).collect();
        unnamed.sort_unstable();
        unnamed.into_iter().filter_map(|(_, name)| self.remove(&name)).collect()
    }

    /// Decides which switch has each address. Returns the switches that have lost or got theirs.
    fn assign_addresses(&mut self) -> Vec<SwitchId> {
        let mut ranks: HashMap<SocketAddr, (i64, u64)> = HashMap::new();
        let claims = self.entries.values().filter_map(|entry| entry.claim.as_ref());
        for claim in claims.filter(|claim| !claim.is_superseded) {
            let newest = ranks.entry(claim.address).or_insert_with(|| claim.rank());
            *newest = claim.rank().max(*newest);
        }
        let mut claimants: HashMap<SocketAddr, Vec<SwitchId>> = HashMap::new();
        for (id, entry) in &mut self.entries {
            let Some(claim) = &mut entry.claim else { continue };
            claim.is_superseded |= ranks.get(&claim.address).is_some_and(|newest| claim.rank() < *newest);
            if !claim.is_superseded {
                claimants.entry(claim.address).or_default().push(*id);
            }
        }
        let holders: Vec<SwitchId> =
            claimants.values().filter_map(|claimants| self.choose_holder(claimants)).collect();
        let mut moved = Vec::new();
        for (id, entry) in &mut self.entries {
            let held_before = std::mem::replace(&mut entry.holds_address, holders.contains(id));
            if held_before != entry.holds_address {
                moved.push(*id);
            }
        }
        moved
    }

    /// The switch that has an address for which `claimants` are equally new, if there is one.
    fn choose_holder(&self, claimants: &[SwitchId]) -> Option<SwitchId> {
        let entries = || claimants.iter().filter_map(|id| Some((*id, &self.entries.get(id)?.listed)));
        let (_, first) = entries().next()?;
        let serve_one_exchange = entries().all(|(_, listed)| listed.exchange_number == first.exchange_number);
        // Where they serve one exchange, any of them will do, but it may be the one that drains.
        let holder = entries().min_by_key(|(id, listed)| (listed.health == Health::InService, Reverse(*id)));
        holder.filter(|_| serve_one_exchange).map(|(id, _)| id)
    }

    /// The entries for the controller of all switches that are not gone.
    fn announce_all(&mut self) -> Vec<SwitchEntry> {
        let mut announced = Vec::new();
        for (id, entry) in &mut self.entries {
            let health = entry.effective_health();
            entry.is_announced = health != Health::Gone;
            if entry.is_announced {
                announced.push(entry.listed.to_entry(*id, health));
            }
        }
        announced
    }

    /// The entries for the controller of the switches that have changed, but for those that are gone and of
    /// which it does not know.
    fn announce(&mut self, changed: &[SwitchId]) -> Vec<SwitchEntry> {
        let mut announced = Vec::new();
        for id in changed {
            let Some(entry) = self.entries.get_mut(id) else { continue };
            let health = entry.effective_health();
            let was_announced = std::mem::replace(&mut entry.is_announced, health != Health::Gone);
            if was_announced || entry.is_announced {
                announced.push(entry.listed.to_entry(*id, health));
            }
        }
        announced
    }

    /// The switches that have changed, with the addresses that they have.
    fn listed_without_address_first(&self, changed: &[SwitchId]) -> Vec<(SwitchId, ListedSwitch)> {
        let entries = changed.iter().filter_map(|id| Some((*id, self.entries.get(id)?)));
        let mut listed: Vec<(SwitchId, ListedSwitch)> =
            entries.map(|(id, entry)| (id, entry.with_held_address())).collect();
        listed.sort_by_key(|(_, listed)| listed.address.is_some());
        listed
    }
}
