//! Deterministic subset of the upstreams of a service.
//!
//! Rendezvous hashing ranks the upstreams of each tier by a hash of routing
//! node, service and upstream. Each node gets a different ranking, so links
//! spread evenly over the fleet, and an upstream that joins or leaves changes
//! only the subsets in which it ranks high enough.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::Xxh3;

use super::{LocalityTier, NodeLocality, RoutingOptions};
use crate::ids::{NodeId, RegionName, ServiceName};
use crate::table::{ServiceEntry, UpstreamEntry, UpstreamState};

/// Members of a service's subset in one tier: the own node first, then by rank.
#[derive(Debug, Clone)]
pub(super) struct TierMembers {
    pub(super) tier: LocalityTier,
    pub(super) nodes: Vec<NodeId>,
}

/// Distance from the node at `locality` to an upstream.
pub(super) fn tier_of(locality: &NodeLocality, entry: &UpstreamEntry) -> LocalityTier {
    if entry.region != locality.region {
        LocalityTier::OtherRegion
    } else if entry.zone != locality.zone {
        LocalityTier::OwnRegion
    } else {
        LocalityTier::OwnZone
    }
}

fn rendezvous_rank(locality: &NodeLocality, service: &ServiceName, node: &NodeId) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [locality.node.as_str(), service.as_str(), node.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Selects the members of each tier, nearest tier first. Each required region has members
/// of its own, whatever those of other regions.
///
/// Suspected upstreams are used only if a tier has no others: during a network
/// partition between regions, suspicion alone must not empty a subset.
pub(super) fn select_subset(
    locality: &NodeLocality,
    options: &RoutingOptions,
    service: &ServiceName,
    entry: &ServiceEntry,
    required_regions: &BTreeSet<RegionName>,
) -> Vec<TierMembers> {
    let tier_sizes = [
        (LocalityTier::OwnZone, options.max_own_zone_upstreams),
        (LocalityTier::OwnRegion, options.max_own_region_upstreams),
        (
            LocalityTier::OtherRegion,
            options.max_other_region_upstreams,
        ),
    ];
    let mut tiers: Vec<TierMembers> = tier_sizes
        .into_iter()
        .map(|(tier, max_members)| TierMembers {
            tier,
            nodes: select_tier_members(locality, tier, None, max_members, service, entry),
        })
        .collect();
    for region in required_regions {
        let (tier, max_members) = (
            LocalityTier::OtherRegion,
            options.max_other_region_upstreams,
        );
        let nodes = select_tier_members(locality, tier, Some(region), max_members, service, entry);
        let members = tiers.iter_mut().find(|members| members.tier == tier);
        if let Some(members) = members {
            let added = nodes.into_iter();
            let added = added.filter(|node| !members.nodes.contains(node));
            let added: Vec<NodeId> = added.collect();
            members.nodes.extend(added);
        }
    }
    tiers
}

fn select_tier_members(
    locality: &NodeLocality,
    tier: LocalityTier,
    region: Option<&RegionName>,
    max_members: usize,
    service: &ServiceName,
    entry: &ServiceEntry,
) -> Vec<NodeId> {
    let mut ranked: Vec<_> = entry
        .upstreams
        .values()
        .filter(|upstream| upstream.state == UpstreamState::Ready)
        .filter(|upstream| tier_of(locality, upstream) == tier)
        .filter(|upstream| region.is_none_or(|region| upstream.region == *region))
        .map(|upstream| {
            let is_other = upstream.node != locality.node;
            let rank = rendezvous_rank(locality, service, &upstream.node);
            (upstream.is_suspect, is_other, rank, &upstream.node)
        })
        .collect();
    ranked.sort();
    let has_unsuspected = ranked.first().is_some_and(|first| !first.0);
    ranked
        .into_iter()
        .filter(|(is_suspect, ..)| !(has_unsuspected && *is_suspect))
        .take(max_members)
        .map(|(.., node)| node.clone())
        .collect()
}
