//! Choice of the upstream for each attempt of a call.
//!
//! A [`RouterState`] is pure: events and the present time go in, a choice
//! comes out. It joins four things it knows about an upstream. Its own
//! outstanding attempts are exact and never stale. The load that rides on
//! each answer and refusal ([`LoadReport`]) also shows other ingresses' work,
//! but is stale on arrival, so trust in it decays within milliseconds and
//! falls back on the mean of the service. The ages of outstanding attempts
//! show a slow-down before any answer does. The history of failures keeps an
//! upstream that fails fast from looking idle.
//!
//! Each service has a deterministic subset of its upstreams, so that links per
//! node stay bounded; the choice compares a few random members of the subset,
//! own availability zone first.

mod probe;
mod router;
mod select;
mod subset;
mod upstream;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Serialize, Serializer};

use crate::admission::GateLoad;
use crate::error::ErrorKind;
use crate::ids::{NodeId, NodeIncarnation, RegionName, ServiceName, ZoneName};

pub use probe::{ProbeBucket, ProbeCounts};
pub use router::RouterState;

/// Load of an upstream as its gate knows it; rides on every answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls at work in the backend server.
    pub in_flight: u32,
    /// Calls that wait at the gate.
    pub queued: u32,
    /// Calls that the gate lets the backend server work on at once.
    pub limit: u32,
    /// Whether the VM is slow at present.
    pub is_slow: bool,
}

impl From<GateLoad> for LoadReport {
    fn from(load: GateLoad) -> Self {
        Self {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            is_slow: load.is_slow,
        }
    }
}

/// Place of the node that routes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLocality {
    /// The node itself.
    pub node: NodeId,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Distance from the routing node to an upstream.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocalityTier {
    /// Same availability zone.
    #[display("own-zone")]
    OwnZone,
    /// Another availability zone of the same region.
    #[display("own-region")]
    OwnRegion,
    /// Another region.
    #[display("other-region")]
    OtherRegion,
}

/// Settings of the routing policy.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingOptions {
    /// Most members of a service's subset in the own availability zone.
    pub max_own_zone_upstreams: usize,
    /// Most members in other availability zones of the region.
    pub max_own_region_upstreams: usize,
    /// Most members in other regions.
    pub max_other_region_upstreams: usize,
    /// Random candidates compared in a tier.
    pub candidates_per_tier: usize,
    /// Age at which trust in a report's in-flight count has halved.
    pub report_half_life: Duration,
    /// Age at which an answer's weight in the latency estimate has halved.
    pub latency_half_life: Duration,
    /// Age at which a failure's weight has halved.
    pub failure_half_life: Duration,
    /// Time in which a joined upstream grows to its full share.
    pub slow_start_window: Duration,
    /// Age at which a report is too old to judge by, so that a probe is due.
    pub stale_report_age: Duration,
    /// Pressure (work per place) above which other availability zones are considered.
    pub spillover_threshold: f64,
    /// Factor by which an upstream in another availability zone must look better.
    pub cross_zone_penalty: f64,
}

impl RoutingOptions {
    /// Policy of ingresses that push each call to the gate they choose.
    const WITHOUT_SLOT_REQUESTS: Self = Self {
        max_own_zone_upstreams: 6,
        max_own_region_upstreams: 6,
        max_other_region_upstreams: 3,
        candidates_per_tier: 3,
        report_half_life: Duration::from_millis(100),
        latency_half_life: Duration::from_millis(500),
        failure_half_life: Duration::from_secs(1),
        slow_start_window: Duration::from_secs(10),
        stale_report_age: Duration::from_secs(2),
        spillover_threshold: 0.2,
        cross_zone_penalty: 1.2,
    };

    /// Policy of ingresses that ask gates for a free slot: whether the own
    /// availability zone has room is then known a message later, so it is
    /// always asked first.
    pub const WITH_SLOT_REQUESTS: Self = Self {
        spillover_threshold: 10.0,
        ..Self::WITHOUT_SLOT_REQUESTS
    };
}

impl Default for RoutingOptions {
    fn default() -> Self {
        Self::WITHOUT_SLOT_REQUESTS
    }
}

/// Number of an attempt, unique within one router.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNumber(u64);

impl From<u64> for AttemptNumber {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

/// One attempt to choose an upstream for.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Service asked for.
    pub service: &'a ServiceName,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Whether it has a large body, which rather waits in the own availability
    /// zone than travels to another.
    pub has_large_body: bool,
    /// Upstreams that earlier attempts of the call went to.
    pub tried_nodes: &'a BTreeSet<NodeId>,
}

/// One candidate that a choice looked at.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateScore {
    /// Node of the upstream.
    pub node: NodeId,
    /// Score; the lowest wins.
    pub score: f64,
    /// Age of the last load report.
    #[serde(rename = "report_age_ms", serialize_with = "serialize_age_ms")]
    pub report_age: Option<Duration>,
    /// Own attempts outstanding there, before this one.
    pub outstanding: u32,
}

/// Writes an age in whole milliseconds.
#[expect(clippy::ref_option, reason = "the signature is the library's")]
fn serialize_age_ms<S: Serializer>(
    age: &Option<Duration>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    age.map(|age| age.as_millis() as u64).serialize(serializer)
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteReason {
    /// It serves beside this node and has room.
    #[display("own-node")]
    OwnNode,
    /// Best score within the own availability zone.
    #[display("own-zone")]
    OwnZone,
    /// Own availability zone under pressure or without candidates.
    #[display("spill-to-region")]
    SpillToRegion,
    /// No candidate left in the own region.
    #[display("spill-to-other-region")]
    SpillToOtherRegion,
    /// No gate that was asked had a free slot; this one expects to answer first.
    #[display("shortest-queue")]
    ShortestQueue,
    /// Every candidate recently refused or failed; the least bad one was taken.
    #[display("last-resort")]
    LastResort,
}

/// A chosen upstream and what the choice went by, for the decision's log line.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// Number to hand back to [`RouterState::on_finished`].
    pub attempt: AttemptNumber,
    /// Node of the chosen upstream.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: NodeIncarnation,
    /// Address of the node's link listener.
    pub peer_address: SocketAddr,
    /// Candidates that were compared.
    pub candidates: Vec<CandidateScore>,
    /// Why this one was chosen.
    pub reason: RouteReason,
}

/// End of one attempt as the ingress saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The backend server answered.
    Answered,
    /// The backend server answered with a 5xx status, which is passed on.
    AnsweredServerError,
    /// The gate refused; the call was not run.
    Refused(ErrorKind),
    /// The attempt failed.
    Failed(ErrorKind),
    /// The caller went away or its time ran out.
    Cancelled,
}

/// A load probe to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Node of the upstream.
    pub node: NodeId,
    /// Address of the node's link listener.
    pub peer_address: SocketAddr,
}

/// State of one upstream for the status page and logs.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamSnapshot {
    /// Node of the upstream.
    pub node: NodeId,
    /// Services whose subset it is in.
    pub services: Vec<ServiceName>,
    /// Distance from this node.
    pub tier: LocalityTier,
    /// Own attempts outstanding there.
    pub outstanding: u32,
    /// Last load report and its age.
    pub report: Option<(LoadReport, Duration)>,
    /// Score by which it competes now; the lowest wins.
    pub score: f64,
    /// Weight of recent failures, 0 when there were none.
    pub failure_weight: f64,
    /// Whether it is passed over for a recent refusal or failure.
    pub is_avoided: bool,
}

/// State of the router for the status page and logs.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSnapshot {
    /// Version of the routing table in use.
    pub table_version: u64,
    /// Load probes sent and held back since the start.
    pub probes: ProbeCounts,
    /// Upstreams in the subsets of services that this node calls.
    pub upstreams: Vec<UpstreamSnapshot>,
}

#[cfg(test)]
mod tests;
