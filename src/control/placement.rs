//! Builds the routing table from the members and the configuration, and logs how
//! it changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::{NodeId, ServiceName, TicketNumber};
use crate::membership::{BackendRecord, MemberRecord, MemberState};
use crate::routes::RouteConfig;
use crate::table::{RoutingTable, ServiceEntry, ServiceRule, UpstreamEntry, UpstreamState};
use crate::tickets::TicketState;

/// Builds the routing table from the live members, the change tickets and the
/// routes.
///
/// A service of the routes replaces a service of the tickets with the same name.
pub fn build_routing_table(
    version: u64,
    members: &BTreeMap<NodeId, MemberRecord>,
    tickets: &TicketState,
    routes: Option<Arc<RouteConfig>>,
) -> RoutingTable {
    let mut services: BTreeMap<ServiceName, ServiceEntry> = tickets
        .rules_in_force()
        .iter()
        .map(|(name, (ticket, rule))| {
            let entry = ServiceEntry {
                ticket: *ticket,
                rule: rule.clone(),
                upstreams: BTreeMap::new(),
            };
            (name.clone(), entry)
        })
        .collect();
    if let Some(config) = &routes {
        services.extend(services_from_routes(config));
    }
    for member in members.values().filter(|member| member.is_live()) {
        let Some(backend) = &member.backend else {
            continue;
        };
        if let Some(service) = services.get_mut(&backend.service) {
            let upstream = build_upstream_entry(member, backend);
            service.upstreams.insert(member.node.clone(), upstream);
        }
    }
    RoutingTable {
        version,
        services,
        routes,
    }
}

/// Services of a route configuration, with its version as their ticket number.
fn services_from_routes(config: &RouteConfig) -> BTreeMap<ServiceName, ServiceEntry> {
    let route_services = config.routes_by_host.values().flatten();
    let route_services = route_services.flat_map(|route| route.target.services());
    let service_names = config.services.keys().chain(route_services);
    let Ok(ticket) = TicketNumber::try_from(config.version.0) else {
        return BTreeMap::new();
    };
    let new_entry = || ServiceEntry {
        ticket,
        rule: ServiceRule::default(),
        upstreams: BTreeMap::new(),
    };
    service_names
        .map(|name| (name.clone(), new_entry()))
        .collect()
}

fn build_upstream_entry(member: &MemberRecord, backend: &BackendRecord) -> UpstreamEntry {
    let state = match member.state() {
        MemberState::Leaving => UpstreamState::Draining,
        MemberState::Dead => UpstreamState::Gone,
        MemberState::Alive | MemberState::Suspect => backend.state,
    };
    UpstreamEntry {
        node: member.node.clone(),
        incarnation: member.incarnation,
        region: member.region.clone(),
        zone: member.zone.clone(),
        peer_address: member.peer_address,
        backend: backend.key,
        slots: backend.slots,
        state,
        is_suspect: member.state() == MemberState::Suspect,
    }
}

/// Logs each upstream that the new table adds, removes or changes.
pub fn log_upstream_changes(old: &RoutingTable, new: &RoutingTable) {
    for (service, entry) in &new.services {
        let old_upstreams = old.services.get(service).map(|entry| &entry.upstreams);
        for (node, upstream) in &entry.upstreams {
            if old_upstreams.and_then(|old_upstreams| old_upstreams.get(node)) != Some(upstream) {
                log::info!(
                    target: "placement",
                    service:%, upstream:% = node,
                    state:serde = upstream.state,
                    suspect = upstream.is_suspect,
                    table = new.version;
                    "upstream placed"
                );
            }
        }
    }
    for (service, entry) in &old.services {
        let new_upstreams = new.services.get(service).map(|entry| &entry.upstreams);
        for node in entry.upstreams.keys() {
            if new_upstreams.is_none_or(|new_upstreams| !new_upstreams.contains_key(node)) {
                log::info!(
                    target: "placement",
                    service:%, upstream:% = node, table = new.version;
                    "upstream dropped"
                );
            }
        }
    }
}
