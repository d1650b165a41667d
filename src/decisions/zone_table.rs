//! Comparison of the rules of zone balancing on the same traces.

use std::time::Duration;

use derive_more::Display;

use super::{
    PlacementSettings, ReplayFigures, ZoneFigures, ZoneTraceSettings, generate_zone_trace,
    parse_name, replay_zones,
};
use crate::ids::ParseIdError;
use crate::routing::RoutingOptions;
use crate::zone_balancing::ShareRule;

/// Run time above four fifths of the slots relative to the usual one.
const FULL_SLOWDOWN: f64 = 1.7;
/// Gates that calls are offered to for an immediate start.
const MAX_IMMEDIATE_OFFERS: u32 = 3;
/// Time in which a lost zone is away, and the time after each change that is counted.
const LOST_FROM: Duration = Duration::from_secs(8);
const LOST_UNTIL: Duration = Duration::from_secs(14);
const REACTION_TIME: Duration = Duration::from_secs(3);

/// Demand and faults of a comparison.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneScenario {
    /// Demand of each zone swings by 55% at 75% mean load.
    #[display("swing")]
    Swing,
    /// The same swing at a mean load of 55%, with upstreams that slow down when nearly
    /// full.
    #[display("swing-slow")]
    SwingSlow,
    /// One zone has a third fewer upstreams at the same demand.
    #[display("smaller-zone")]
    SmallerZone,
    /// One zone is lost for 6 s at half the load.
    #[display("lost-zone")]
    LostZone,
    /// All zones have 90% of their capacity to do.
    #[display("all-full")]
    AllFull,
    /// Upstreams differ in speed, with bursts of noisy neighbours, at half the load.
    #[display("uneven-upstreams")]
    UnevenUpstreams,
}

impl ZoneScenario {
    /// Every scenario, in the order of the printed tables.
    pub const ALL: [Self; 6] = [
        Self::Swing,
        Self::SwingSlow,
        Self::SmallerZone,
        Self::LostZone,
        Self::AllFull,
        Self::UnevenUpstreams,
    ];

    /// Settings of its trace.
    pub fn trace_settings(
        self,
        zones: usize,
        upstreams_per_zone: usize,
        length: Duration,
    ) -> ZoneTraceSettings {
        let swinging = ZoneTraceSettings::swinging(zones, upstreams_per_zone, length);
        match self {
            Self::Swing => swinging,
            Self::SwingSlow => ZoneTraceSettings {
                mean_load: 0.55,
                ..swinging
            },
            Self::SmallerZone => ZoneTraceSettings {
                has_smaller_zone: true,
                mean_load: 0.65,
                swing: 0.0,
                ..swinging
            },
            Self::LostZone => ZoneTraceSettings {
                lost: Some(LOST_FROM..LOST_UNTIL),
                mean_load: 0.5,
                swing: 0.2,
                ..swinging
            },
            Self::AllFull => ZoneTraceSettings {
                mean_load: 0.9,
                swing: 0.0,
                ..swinging
            },
            Self::UnevenUpstreams => ZoneTraceSettings {
                has_uneven_upstreams: true,
                mean_load: 0.5,
                swing: 0.0,
                ..swinging
            },
        }
    }
}

impl std::str::FromStr for ZoneScenario {
    type Err = super::ParseNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_name(&Self::ALL, text)
    }
}

/// Settings of a node with immediate offers and this rule of zone balancing.
pub fn placement_settings(
    scenario: ZoneScenario,
    share_rule: Option<ShareRule>,
) -> PlacementSettings {
    PlacementSettings {
        max_immediate_offers: MAX_IMMEDIATE_OFFERS,
        share_rule,
        full_slowdown: match scenario {
            ZoneScenario::SwingSlow | ZoneScenario::UnevenUpstreams => FULL_SLOWDOWN,
            _ => 1.0,
        },
        ..PlacementSettings::without_offers(RoutingOptions::WITH_SLOT_REQUESTS)
    }
}

const HEADER: &str = "| rule | within objective % | p99 ms | in another zone % | bytes between zones per answer \
                      | oscillation, points | busiest to mean | probes/1,000 | after loss % | after return % |\n\
                      |---|---:|---:|---:|---:|---:|---:|---:|---:|---:|";

/// Prints the figures of each rule in a scenario, summed over the seeds.
///
/// # Errors
///
/// Fails if a generated name is not valid.
pub fn print_zone_table(
    scenario: ZoneScenario,
    zones: usize,
    upstreams_per_zone: usize,
    length: Duration,
    seed: u64,
) -> Result<(), ParseIdError> {
    println!(
        "\n{scenario}, {zones} zones of {upstreams_per_zone} upstreams, seed {seed}\n\n{HEADER}"
    );
    let trace_settings = scenario.trace_settings(zones, upstreams_per_zone, length);
    let trace = generate_zone_trace(&trace_settings, seed)?;
    let rules = [
        None,
        Some(ShareRule::PowerOfTwo),
        Some(ShareRule::WaterFilling),
        Some(ShareRule::Gradient),
    ];
    for rule in rules {
        let (figures, zones) = replay_zones(&trace, &placement_settings(scenario, rule), seed);
        let name = rule.map_or("spill after refusals".to_string(), |rule| rule.to_string());
        println!("{}", row(&name, scenario, length, &figures, &zones));
    }
    Ok(())
}

fn row(
    name: &str,
    scenario: ZoneScenario,
    length: Duration,
    figures: &ReplayFigures,
    zones: &ZoneFigures,
) -> String {
    let after = |at: Duration| match scenario {
        ZoneScenario::LostZone => {
            format!("{:.1}", zones.answered_percent_in(at..at + REACTION_TIME))
        }
        _ => "-".to_string(),
    };
    format!(
        "| {name} | {:.2} | {:.0} | {:.1} | {:.0} | {:.2} | {:.2} | {:.1} | {} | {} |",
        figures.answered_percent(),
        figures.latency_ms(0.99),
        zones.cross_zone_percent_in(Duration::ZERO..length),
        zones.cross_zone_bytes as f64 / figures.answered.max(1) as f64,
        zones.oscillation_points(),
        zones.busiest_to_mean(),
        figures.probes_per_1000(),
        after(LOST_FROM),
        after(LOST_UNTIL),
    )
}

#[cfg(test)]
mod tests;
