//! Load balancing: selects the upstream for each attempt of a call.
//!
//! The ingress asks [`RouterState`] for an upstream and reports back how the
//! attempt ended. The router does no I/O: events and the current time go in, a
//! selection comes out. Its routing table is published by control
//! ([`crate::table`]); the gate of the selected upstream still decides whether
//! it admits the call ([`crate::admission`]).
//!
//! The score of an upstream combines four inputs:
//!
//! - This node's outstanding attempts there are exact and never stale.
//! - The load report on each answer and refusal ([`LoadReport`]) also covers
//!   the calls of other ingresses. It is stale on arrival, so its weight decays
//!   within milliseconds in favour of the mean of the service.
//! - The ages of outstanding attempts show a slowdown before the first slow
//!   answer does.
//! - The failure history keeps an upstream that fails fast from looking idle.
//!
//! Each service has a deterministic subset of its upstreams, which bounds the
//! number of links per node. A selection compares a few random members of the
//! subset, starting with the own availability zone.

mod probe;
mod refused_ranks;
mod regions;
mod router;
mod select;
mod subset;
mod upstream;
mod zones;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Serialize, Serializer};

use crate::admission::GateLoad;
use crate::error::ErrorKind;
use crate::ids::{NodeId, NodeIncarnation, RegionName, ServiceName, ZoneName};
use crate::rate_limit::StartRate;

pub use probe::{ProbeBucket, ProbeCounts};
pub use refused_ranks::RankRefusal;
pub use regions::RegionLimit;
pub use router::RouterState;

/// Load of an upstream, as its gate reports it on every answer and refusal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Calls that the backend server is running.
    pub in_flight: u32,
    /// Calls that are queued at the gate.
    pub queued: u32,
    /// Concurrency limit of the gate.
    pub limit: u32,
    /// Whether the VM currently runs slower than usual.
    pub is_slow: bool,
    /// Rate of starts that the backend server named; `None` if it is not limited.
    pub start_rate: Option<StartRate>,
    /// Time until that rate lets a call start that is queued behind the others.
    pub next_start: Duration,
}

impl From<GateLoad> for LoadReport {
    fn from(load: GateLoad) -> Self {
        Self {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            is_slow: load.is_slow,
            start_rate: load.start_rate,
            next_start: load.next_start,
        }
    }
}

/// Identity and location of the node that routes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLocality {
    /// Identifier of the node.
    pub node: NodeId,
    /// Region of the node.
    pub region: RegionName,
    /// Availability zone of the node.
    pub zone: ZoneName,
}

/// Distance from the routing node to an upstream, nearest first.
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

/// Parameters of upstream selection.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingOptions {
    /// Maximum subset size of a service in the own availability zone.
    pub max_own_zone_upstreams: usize,
    /// Maximum subset size in the other availability zones of the region.
    pub max_own_region_upstreams: usize,
    /// Maximum subset size in other regions.
    pub max_other_region_upstreams: usize,
    /// Random members of a tier that a selection compares.
    pub candidates_per_tier: usize,
    /// Age at which the weight of a load report has halved.
    pub report_half_life: Duration,
    /// Age at which the weight of an answer in the latency estimate has halved.
    pub latency_half_life: Duration,
    /// Age at which the weight of a failure has halved.
    pub failure_half_life: Duration,
    /// Time in which a newly joined upstream grows to its full share of calls.
    pub slow_start_window: Duration,
    /// Age from which a load report is too old to score by, so a probe is due.
    pub stale_report_age: Duration,
    /// How far the best score may exceed that of an idle upstream before other
    /// availability zones are considered; about the utilization.
    pub spillover_threshold: f64,
    /// Factor on the score of an upstream in another availability zone.
    pub cross_zone_penalty: f64,
}

impl RoutingOptions {
    /// Policy of ingresses that send a call to the first gate they select, which
    /// may queue it.
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

    /// Policy of ingresses that ask gates for a free slot before they queue a
    /// call. One message then tells whether the own availability zone has a free
    /// slot, so that zone is always asked first.
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

/// Attempt of a call that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Service that the call is for.
    pub service: &'a ServiceName,
    /// Whether the call may safely run twice.
    pub is_idempotent: bool,
    /// Whether the body is large; such a call waits in the own availability zone
    /// rather than send the body to another zone.
    pub has_large_body: bool,
    /// Nodes of the upstreams that earlier attempts of the call went to.
    pub tried_nodes: &'a BTreeSet<NodeId>,
    /// Which upstreams are left out because of a rate that they named.
    pub skipped: SkippedUpstreams,
}

/// Upstreams that an attempt doesn't go to because of a rate that they named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SkippedUpstreams {
    /// None: the call may wait for its turn.
    None,
    /// Those whose next start is known to be later: the attempt must start at once.
    UsedUp,
    /// All limited ones: the attempt isn't needed.
    Limited,
}

/// Candidate that a selection compared; written to the log as JSON.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateScore {
    /// Node of the upstream.
    pub node: NodeId,
    /// The lowest score wins.
    pub score: f64,
    /// Age of the last load report; `None` before the first.
    #[serde(rename = "report_age_ms", serialize_with = "serialize_age_ms")]
    pub report_age: Option<Duration>,
    /// Attempts of this node outstanding there, without this one.
    pub outstanding: u32,
}

/// Serializes an age in whole milliseconds.
#[expect(clippy::ref_option, reason = "serde passes a reference to the field")]
fn serialize_age_ms<S: Serializer>(
    age: &Option<Duration>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    age.map(|age| age.as_millis() as u64).serialize(serializer)
}

/// Why an upstream was selected.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteReason {
    /// It is the upstream of this node, and no other candidate has a better score.
    #[display("own-node")]
    OwnNode,
    /// It has the best score and is in the own availability zone.
    #[display("own-zone")]
    OwnZone,
    /// The own availability zone is overloaded or has no candidates.
    #[display("spill-to-region")]
    SpillToRegion,
    /// The own region has no candidates.
    #[display("spill-to-other-region")]
    SpillToOtherRegion,
    /// No gate that was asked had a free slot; this one expects the earliest answer.
    #[display("shortest-queue")]
    ShortestQueue,
    /// The call belongs to the share that zone balancing offers to this zone first.
    #[display("zone-share")]
    ZoneShare,
    /// Every candidate refused or failed recently; this one has the best score.
    #[display("last-resort")]
    LastResort,
}

/// Selected upstream and the inputs of the selection, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteChoice {
    /// Number to pass to [`RouterState::finish_attempt`].
    pub attempt: AttemptNumber,
    /// Node of the selected upstream.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: NodeIncarnation,
    /// Address of the node's link listener.
    pub peer_address: SocketAddr,
    /// Candidates that were compared; empty if the node was given.
    pub candidates: Vec<CandidateScore>,
    /// Why this upstream was selected.
    pub reason: RouteReason,
}

/// Result of an attempt as the ingress saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The backend server answered.
    Answered,
    /// The backend server answered with a 5xx status, which is forwarded.
    AnsweredServerError,
    /// The call was not run, usually because the gate refused it.
    Refused(ErrorKind),
    /// The attempt failed; the call may have run.
    Failed(ErrorKind),
    /// The caller disconnected or its time limit passed.
    Cancelled,
}

/// Upstream that a load probe is sent to.
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
    /// Services whose subset contains it.
    pub services: Vec<ServiceName>,
    /// Distance from the routing node.
    pub tier: LocalityTier,
    /// Attempts of this node outstanding there.
    pub outstanding: u32,
    /// Last load report and its age.
    pub report: Option<(LoadReport, Duration)>,
    /// Current score; the lowest wins.
    pub score: f64,
    /// Decayed weight of past failures; 0 if there were none.
    pub failure_weight: f64,
    /// Whether calls avoid it after a recent refusal or failure.
    pub is_avoided: bool,
}

/// State of the router for the status page and logs.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSnapshot {
    /// Version of the routing table in use.
    pub table_version: u64,
    /// Load probes sent and throttled since the start.
    pub probes: ProbeCounts,
    /// Upstreams in the subsets of services that this node calls.
    pub upstreams: Vec<UpstreamSnapshot>,
}

#[cfg(test)]
mod tests;
