//! Scenarios of generated traces: load, faults and required outcomes.

use std::str::FromStr;

use derive_more::Display;
use rand::Rng;

use super::{Deployment, TraceBuilder};
use crate::decisions::{ParseNameError, parse_name};
use crate::ids::ParseIdError;
use crate::trace::{EventKind, NodeLine, OutcomeLine, SpeedLine};

/// Mean time from the end of a neighbour's burst on a host to the next one.
const MEAN_BURST_GAP_MS: f64 = 600.0;
const BURST_LENGTH_RANGE_MS: (f64, f64) = (50.0, 250.0);
/// Multiple of the service time during a burst.
const BURST_SLOWDOWN_FACTOR: f64 = 4.0;
/// Multiple of the service time after a sudden slow-down.
const SUDDEN_SLOWDOWN_FACTOR: f64 = 20.0;
/// With the request itself these are 11 levels.
const DEEP_NESTED_CALLS: u32 = 10;

/// Attempts that the retry budget allows, as a percentage of first attempts: 10%
/// more, and at most 1% for the tokens that each ingress starts with.
const MAX_ATTEMPTS_PERCENT: f64 = 111.0;

/// Load and faults of a generated trace.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Steady load, no fault.
    #[display("calm")]
    Calm,
    /// Bursts of load from neighbours on each host.
    #[display("noisy-neighbour")]
    NoisyNeighbour,
    /// One upstream of each service is 20 times slower for half of the trace.
    #[display("slow-down")]
    SlowDown,
    /// One upstream of each service drains, another fails each request at once and
    /// recovers later.
    #[display("drain-and-fail-fast")]
    DrainAndFailFast,
    /// One availability zone is lost.
    #[display("zone-gone")]
    ZoneGone,
    /// Load rises suddenly from 30% to 90% of capacity.
    #[display("flash-90")]
    Flash90,
    /// Load is 130% of capacity from the start.
    #[display("flash-130")]
    Flash130,
    /// Nested calls, 11 levels deep, at 130% of capacity.
    #[display("deep-130")]
    Deep130,
}

impl FromStr for Scenario {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Self, ParseNameError> {
        parse_name(&Self::ALL, text)
    }
}

impl Scenario {
    /// Every scenario, in the order of the printed tables.
    pub const ALL: [Self; 8] = [
        Self::Calm,
        Self::NoisyNeighbour,
        Self::SlowDown,
        Self::DrainAndFailFast,
        Self::ZoneGone,
        Self::Flash90,
        Self::Flash130,
        Self::Deep130,
    ];

    /// Whether the scenario is generated for a deployment.
    pub fn applies_to(self, deployment: Deployment) -> bool {
        (self == Self::Deep130) == (deployment == Deployment::Deep)
    }

    /// Load as a fraction of capacity; `progress` is 0 at the start of the trace and
    /// 1 at its end.
    pub(super) fn load_fraction_at(self, progress: f64) -> f64 {
        match self {
            Self::Calm | Self::NoisyNeighbour | Self::SlowDown => 0.5,
            Self::DrainAndFailFast | Self::ZoneGone => 0.35,
            Self::Flash90 if progress >= 0.25 => 0.9,
            Self::Flash90 => 0.3,
            Self::Flash130 | Self::Deep130 => 1.3,
        }
    }

    /// Levels of nested calls below each request.
    pub(super) fn nested_calls(self) -> u32 {
        match self {
            Self::Deep130 => DEEP_NESTED_CALLS,
            _ => 0,
        }
    }

    /// Outcomes that the users' targets require.
    pub(super) fn required_outcome(self) -> OutcomeLine {
        let outcome = OutcomeLine {
            max_p99_percent_of_least_outstanding: Some(100.0),
            max_probes_per_1000: Some(0.0),
            ..OutcomeLine::default()
        };
        match self {
            Self::NoisyNeighbour | Self::SlowDown => OutcomeLine {
                max_p99_percent_of_round_robin: Some(50.0),
                ..outcome
            },
            Self::Flash130 => OutcomeLine {
                min_goodput_percent: Some(95.0),
                ..outcome
            },
            Self::Deep130 => OutcomeLine {
                max_attempts_percent: Some(MAX_ATTEMPTS_PERCENT),
                ..outcome
            },
            _ => outcome,
        }
    }

    pub(super) fn add_faults(
        self,
        builder: &mut TraceBuilder,
        length_ms: f64,
    ) -> Result<(), ParseIdError> {
        match self {
            Self::NoisyNeighbour => add_neighbour_bursts(builder, length_ms),
            Self::SlowDown => add_slow_down(builder, length_ms),
            Self::DrainAndFailFast => add_drain_and_fail_fast(builder, length_ms),
            Self::ZoneGone => add_zone_loss(builder, length_ms),
            _ => Ok(()),
        }
    }
}

fn add_neighbour_bursts(builder: &mut TraceBuilder, length_ms: f64) -> Result<(), ParseIdError> {
    for (node, ..) in builder.upstream_nodes()? {
        let mut starts_at_ms = builder.sample_exponential(MEAN_BURST_GAP_MS);
        while starts_at_ms < length_ms {
            let (shortest, longest) = BURST_LENGTH_RANGE_MS;
            let ends_at_ms = starts_at_ms + builder.rng.random_range(shortest..longest);
            for (at_ms, factor) in [
                (starts_at_ms, BURST_SLOWDOWN_FACTOR),
                (ends_at_ms.min(length_ms), 1.0),
            ] {
                let node = node.clone();
                builder.push_event(at_ms, EventKind::Speed(SpeedLine { node, factor }));
            }
            starts_at_ms = ends_at_ms + builder.sample_exponential(MEAN_BURST_GAP_MS);
        }
    }
    Ok(())
}

fn add_slow_down(builder: &mut TraceBuilder, length_ms: f64) -> Result<(), ParseIdError> {
    for service in builder.profile.services {
        for (progress, factor) in [(0.25, SUDDEN_SLOWDOWN_FACTOR), (0.75, 1.0)] {
            let node = format!("{}-2", service.name).parse()?;
            let line = SpeedLine { node, factor };
            builder.push_event(length_ms * progress, EventKind::Speed(line));
        }
    }
    Ok(())
}

fn add_drain_and_fail_fast(builder: &mut TraceBuilder, length_ms: f64) -> Result<(), ParseIdError> {
    for service in builder.profile.services {
        let draining: NodeLine = NodeLine {
            node: format!("{}-1", service.name).parse()?,
        };
        let failing = NodeLine {
            node: format!("{}-2", service.name).parse()?,
        };
        builder.push_event(length_ms * 0.25, EventKind::Drain(draining));
        builder.push_event(length_ms * 0.4, EventKind::FailFast(failing.clone()));
        builder.push_event(length_ms * 0.8, EventKind::Recover(failing));
    }
    Ok(())
}

fn add_zone_loss(builder: &mut TraceBuilder, length_ms: f64) -> Result<(), ParseIdError> {
    let lost_zone = builder.profile.zones.last().copied().unwrap_or_default();
    for (node, zone, _) in builder.upstream_nodes()? {
        if zone == lost_zone {
            builder.push_event(length_ms * 0.3, EventKind::Gone(NodeLine { node }));
        }
    }
    Ok(())
}
