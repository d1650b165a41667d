//! Applies the evacuated zones to the gate, the routing table and membership.

use std::rc::Rc;

use crate::control::state::ControlState;
use crate::evacuation::EvacuatedZones;
use crate::gate::GateCommand;
use crate::table::{RoutingTable, UpstreamState};

/// Shows the upstreams of evacuated zones as draining, so that no ingress chooses them.
pub fn drain_evacuated_zones(table: &mut RoutingTable, evacuated: &EvacuatedZones) {
    let entries = table.services.values_mut();
    let upstreams = entries.flat_map(|entry| entry.upstreams.values_mut());
    for upstream in upstreams.filter(|upstream| evacuated.contains(&upstream.zone)) {
        if matches!(
            upstream.state,
            UpstreamState::Joining | UpstreamState::Ready
        ) {
            upstream.state = UpstreamState::Draining;
        }
    }
}

/// Applies each new set of evacuated zones until its channel closes.
pub async fn follow_evacuation(control: Rc<ControlState>) {
    let mut evacuated = control.routes.evacuation().subscribe();
    if !evacuated.borrow().revision.is_unknown() {
        evacuated.mark_changed();
    }
    while evacuated.changed().await.is_ok() {
        let set = evacuated.borrow_and_update().clone();
        let is_evacuated = set.contains(&control.identity.zone);
        control.send_to_gate(GateCommand::SetEvacuated(is_evacuated));
        control.membership.set_evacuated_zones(set);
        // Published without the batching delay, like a new configuration.
        control.publish_table();
    }
}
