//! Simulator of the load-balancing decisions: replays traces in virtual time.
//!
//! Each node of a trace runs the router ([`crate::routing`]), the retry policy
//! ([`crate::retry`]) and the admission queue ([`crate::admission`]) of a real
//! node; backend servers and network are simulated. One event queue and one
//! seeded random number generator drive a replay, so the same trace and seed
//! always give the same figures. For comparison, baseline routing policies are
//! replayed on the same trace and seed.

mod baseline;
mod command;
mod event_queue;
mod figures;
mod generate;
mod replay;
mod timing;
mod upstream;
mod zone_figures;
mod zone_table;

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;

use crate::error::ErrorKind;
use crate::ids::{NodeId, ServiceName};
use crate::routing::{
    AttemptNumber, AttemptResult, LoadReport, ProbeCounts, ProbeTarget, RegionLimit, RouteRequest,
    RouterState,
};
use crate::table::RoutingTable;
use crate::zone_balancing::{CallClass, ZoneLoad};

pub use command::run_command;
pub use figures::{ReplayFigures, check_outcome};
pub use generate::{Deployment, Scenario, ZoneTraceSettings, generate_trace, generate_zone_trace};
pub use replay::{PlacementSettings, replay_trace, replay_zones};
pub use timing::measure_decision_times;
pub use zone_figures::ZoneFigures;
pub use zone_table::{ZoneScenario, placement_settings, print_zone_table};

/// Error for a text that names no member of a fixed set, such as a scenario.
#[derive(Debug, Clone, Display, derive_more::Error, PartialEq, Eq)]
#[display("unknown name '{text}'")]
pub struct ParseNameError {
    text: String,
}

/// Returns the member whose `Display` text is `text`.
fn parse_name<T: Copy + ToString>(all: &[T], text: &str) -> Result<T, ParseNameError> {
    let found = all.iter().find(|member| member.to_string() == text);
    found.copied().ok_or_else(|| ParseNameError {
        text: text.to_string(),
    })
}

/// Routing policy that a replay runs.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// Router of this project ([`RouterState`]).
    #[display("currantlift")]
    Currantlift,
    /// Uniformly random upstream.
    #[display("random")]
    Random,
    /// Upstreams of a service in turn, from a random start at each ingress.
    #[display("round-robin")]
    RoundRobin,
    /// Upstream with the fewest outstanding attempts of the ingress, ties broken
    /// at random.
    #[display("least-outstanding")]
    LeastOutstanding,
}

impl PolicyKind {
    /// Every policy, in the order of the printed rows.
    pub const ALL: [Self; 4] = [
        Self::Currantlift,
        Self::Random,
        Self::RoundRobin,
        Self::LeastOutstanding,
    ];
}

/// Routing decisions of one simulated ingress.
trait RoutingPolicy {
    fn apply_table(&mut self, now: Duration, table: &Arc<RoutingTable>);

    fn select_node(
        &mut self,
        now: Duration,
        rng: &mut StdRng,
        request: &RouteRequest<'_>,
    ) -> Result<(NodeId, AttemptNumber), ErrorKind>;

    fn on_load_report(&mut self, now: Duration, node: &NodeId, report: LoadReport);

    fn on_attempt_finished(
        &mut self,
        now: Duration,
        service: &ServiceName,
        node: &NodeId,
        attempt: AttemptNumber,
        result: AttemptResult,
    );

    fn take_probe_targets(&mut self, now: Duration) -> Vec<ProbeTarget>;

    fn probe_counts(&self) -> ProbeCounts;

    /// Gate of another zone that the call is offered to first.
    fn select_other_zone(
        &mut self,
        _now: Duration,
        _rng: &mut StdRng,
        _request: &RouteRequest<'_>,
        _class: &CallClass,
    ) -> Option<(NodeId, AttemptNumber)> {
        None
    }

    /// Counts an attempt at a gate whose queue the call joins.
    fn join_queue(
        &mut self,
        _now: Duration,
        _service: &ServiceName,
        _node: &NodeId,
    ) -> Result<AttemptNumber, ErrorKind> {
        Err(ErrorKind::NoUpstream)
    }

    fn on_round_trip(&mut self, _now: Duration, _node: &NodeId, _round_trip: Duration) {}

    fn own_zone_load(&self, _now: Duration) -> Option<ZoneLoad> {
        None
    }

    fn on_zone_report(&mut self, _now: Duration, _node: &NodeId, _load: ZoneLoad) {}
}

impl RoutingPolicy for RouterState {
    fn apply_table(&mut self, now: Duration, table: &Arc<RoutingTable>) {
        self.apply_table(now, table);
    }

    fn select_node(
        &mut self,
        now: Duration,
        rng: &mut StdRng,
        request: &RouteRequest<'_>,
    ) -> Result<(NodeId, AttemptNumber), ErrorKind> {
        let choice = self.select_upstream(now, rng, request)?;
        Ok((choice.node, choice.attempt))
    }

    fn on_load_report(&mut self, now: Duration, node: &NodeId, report: LoadReport) {
        self.record_report(now, node, report);
    }

    fn on_attempt_finished(
        &mut self,
        now: Duration,
        service: &ServiceName,
        node: &NodeId,
        attempt: AttemptNumber,
        result: AttemptResult,
    ) {
        self.finish_attempt(now, service, node, attempt, result);
    }

    fn take_probe_targets(&mut self, now: Duration) -> Vec<ProbeTarget> {
        self.take_due_probes(now)
    }

    fn probe_counts(&self) -> ProbeCounts {
        self.probe_counts()
    }

    fn select_other_zone(
        &mut self,
        now: Duration,
        rng: &mut StdRng,
        request: &RouteRequest<'_>,
        class: &CallClass,
    ) -> Option<(NodeId, AttemptNumber)> {
        let choice = self.select_other_zone(now, rng, request, class, RegionLimit::default())?;
        Some((choice.node, choice.attempt))
    }

    fn join_queue(
        &mut self,
        now: Duration,
        service: &ServiceName,
        node: &NodeId,
    ) -> Result<AttemptNumber, ErrorKind> {
        Ok(RouterState::select_node(self, now, service, node)?.attempt)
    }

    fn on_round_trip(&mut self, now: Duration, node: &NodeId, round_trip: Duration) {
        self.record_round_trip(now, node, round_trip);
    }

    fn own_zone_load(&self, now: Duration) -> Option<ZoneLoad> {
        self.own_zone_load(now)
    }

    fn on_zone_report(&mut self, now: Duration, node: &NodeId, load: ZoneLoad) {
        self.record_zone_report(now, node, load);
    }
}

#[cfg(test)]
mod tests;
