//! What an update of the switch list means for the connections to the switches.

use super::{ConnectionState, DirectoryChanges, ListedSwitch, Switch};
use crate::interface::{SwitchId, SwitchListUpdate};
use crate::net::{Gatekeeper, log};

impl Gatekeeper {
    /// Takes an update of the switch list from the control feed: the whole list if `is_full`, else the entries
    /// that have changed. Returns the update for the controller.
    pub(in crate::net) fn update_switch_list(
        &mut self, update: Vec<ListedSwitch>, is_full: bool,
    ) -> SwitchListUpdate {
        let DirectoryChanges { listed, removed, for_controller } =
            self.switches.directory.apply(update, is_full);
        for (id, listed) in listed {
            self.update_switch(id, listed);
        }
        for switch in removed {
            self.remove_switch(switch.id, &switch.name);
        }
        for_controller
    }

    /// Takes a switch as the list names it now.
    fn update_switch(&mut self, id: SwitchId, listed: ListedSwitch) {
        let now = self.clock.now();
        if listed.exchange_number == self.switches.own_exchange {
            return self.remove_switch(id, &listed.name);
        }
        let before = self.switches.by_id.get(&id).map(|switch| switch.listed.clone());
        let switch = self.switches.by_id.entry(id).or_insert_with(|| {
            log(&format!(
                "switch {} has id {} and serves exchange {}",
                listed.name, id.0, listed.exchange_number
            ));
            Switch::new(listed.clone(), now)
        });
        switch.listed = listed.clone();
        log_changes(before.as_ref(), &listed);
        let Some(before) = before else { return self.connect_switch(id) };
        let serves_other_exchange = before.exchange_number != listed.exchange_number;
        let has_moved = before.address != listed.address || serves_other_exchange;
        if has_moved {
            switch.identity.confirm();
        }
        let restarted_at = listed.up_since.filter(|up_since| before.up_since != Some(*up_since));
        if let Some(restarted_at) = restarted_at {
            switch.identity.confirm_start(restarted_at);
        }
        let was_opened_before_restart = match &switch.state {
            ConnectionState::Open(open) => restarted_at.is_some_and(|at| open.opened_at < at),
            _ => false,
        };
        if listed.address.is_none() || serves_other_exchange {
            // Messages must not reach the switch that has its address now, nor calls the wrong exchange.
            self.call_control.handle_switch_down(now, id, now);
        } else if let Some(restarted_at) = restarted_at {
            // A restarted process has lost the calls from before its start, whatever state its machine left
            // the connection in.
            self.call_control.handle_switch_down(now, id, restarted_at);
        }
        if was_opened_before_restart || has_moved {
            self.close_switch_connections(id);
            self.connect_switch(id);
        }
    }

    /// Removes a switch that is gone for good, or belongs to the own exchange: ends its calls and drops its pending
    /// releases.
    fn remove_switch(&mut self, id: SwitchId, name: &str) {
        let now = self.clock.now();
        if self.switches.by_id.contains_key(&id) {
            log(&format!("switch {name} is Gone"));
        }
        self.close_switch_connections(id);
        self.call_control.handle_switch_down(now, id, now);
        if let Some(timer) = self.switches.by_id.remove(&id).and_then(|switch| switch.timer) {
            self.call_control.timers.cancel(timer);
        }
    }
}

/// Writes to the log what the list says of a switch that it did not say before.
fn log_changes(before: Option<&ListedSwitch>, listed: &ListedSwitch) {
    let name = &listed.name;
    if listed.address.is_none() && before.is_none_or(|before| before.address.is_some()) {
        log(&format!("switch {name} is taken to be gone: its address is not, or may not be, its own"));
    }
    let Some(before) = before else { return };
    if before.exchange_number != listed.exchange_number {
        log(&format!("switch {name} serves exchange {} now", listed.exchange_number));
    }
    if before.health != listed.health {
        log(&format!("switch {name} is {:?}", listed.health));
    }
}
