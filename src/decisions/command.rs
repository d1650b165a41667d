//! Command line of `currantlift-decisions`: replays traces with every routing
//! policy and compares the figures, or writes generated traces.

use std::fs::File;
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;
use std::time::Duration;

use super::figures::{ReplayFigures, check_outcome};
use super::{
    Deployment, PolicyKind, Scenario, ZoneScenario, generate_trace, measure_decision_times,
    print_zone_table, replay_trace,
};
use crate::options::{
    BoundedNumber, CommandSpec, FlagArity, FlagSpec, RawOptions, SettingError, options_from_process,
};
use crate::routing::RoutingOptions;
use crate::trace::RecordedTrace;

const EXIT_OUTCOME_MISSED: u8 = 1;
const TABLE_HEADER: &str = "| policy | p50 ms | p99 ms | p99.9 ms | p99 beyond work ms | answered % | goodput % | refused \
                       | unknown | attempts % | probes/1,000 |\n\
                       |---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|";

const FLAGS: &[FlagSpec] = &[
    FlagSpec::single(
        "deployment",
        "NAME",
        "hearthwood, chantier or deep",
        "deployment to generate a trace for; if absent, each of them",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "scenario",
        "NAME",
        "calm, noisy-neighbour, slow-down, drain-and-fail-fast, zone-gone, flash-90, flash-130 \
         or deep-130",
        "load and faults of a generated trace; if absent, each of them",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "zone-scenario",
        "NAME",
        "swing, swing-slow, smaller-zone, lost-zone, all-full or uneven-upstreams",
        "compare the rules of zone balancing on generated traces instead",
    )
    .with_arity(FlagArity::Repeated),
    FlagSpec::single(
        "zones",
        "N",
        "1 to 99",
        "availability zones of such a trace",
    )
    .with_default("3"),
    FlagSpec::single(
        "zone-upstreams",
        "N",
        "1 to 99",
        "upstreams of each of these zones",
    )
    .with_default("8"),
    FlagSpec::single("seconds", "N", "1 to 3600", "length of a generated trace").with_default("4"),
    FlagSpec::single("seed", "N", "1 to 1000000", "first seed").with_default("1"),
    FlagSpec::single(
        "seeds",
        "N",
        "1 to 1000",
        "number of seeds whose figures are merged",
    )
    .with_default("3"),
    FlagSpec::single(
        "write",
        "true|false",
        "true or false",
        "write the trace to standard output instead of replaying it",
    )
    .with_arity(FlagArity::Switch),
    FlagSpec::single(
        "time-decisions",
        "true|false",
        "true or false",
        "measure the time of a routing decision in a fleet of 2,700 upstreams",
    )
    .with_arity(FlagArity::Switch),
];

const COMMAND: CommandSpec = CommandSpec {
    name: "currantlift-decisions",
    summary: "Replays traces in virtual time and compares the router with baseline policies.",
    positional_usage: "[TRACE-FILE ...]",
    notes: "Without files, traces are generated.\n\
            Exit codes: 0 all required outcomes reached, 1 some missed, 2 invalid settings or trace.",
    flags: FLAGS,
};

/// Checked settings of the command.
#[derive(Debug)]
struct DecisionsOptions {
    trace_files: Vec<String>,
    deployments: Vec<Deployment>,
    scenarios: Vec<Scenario>,
    zone_scenarios: Vec<ZoneScenario>,
    zones: BoundedNumber<1, 99>,
    zone_upstreams: BoundedNumber<1, 99>,
    seconds: f64,
    seeds: std::ops::Range<u64>,
    writes_trace: bool,
    times_decisions: bool,
}

impl TryFrom<RawOptions> for DecisionsOptions {
    type Error = SettingError;

    fn try_from(raw: RawOptions) -> Result<Self, SettingError> {
        let mut deployments = raw.list("deployment")?;
        if deployments.is_empty() {
            deployments = Deployment::ALL.to_vec();
        }
        let mut scenarios = raw.list("scenario")?;
        if scenarios.is_empty() {
            scenarios = Scenario::ALL.to_vec();
        }
        let seconds: BoundedNumber<1, 3600> = raw.required("seconds")?;
        let seed: BoundedNumber<1, 1_000_000> = raw.required("seed")?;
        let seeds: BoundedNumber<1, 1000> = raw.required("seeds")?;
        Ok(Self {
            trace_files: raw.positional_arguments().to_vec(),
            deployments,
            scenarios,
            zone_scenarios: raw.list("zone-scenario")?,
            zones: raw.required("zones")?,
            zone_upstreams: raw.required("zone-upstreams")?,
            seconds: seconds.get() as f64,
            seeds: seed.get()..seed.get() + seeds.get(),
            writes_trace: raw.is_switch_on("write")?,
            times_decisions: raw.is_switch_on("time-decisions")?,
        })
    }
}

/// Runs the command.
pub fn run_command() -> ExitCode {
    let options = match options_from_process::<DecisionsOptions>(&COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    match options.run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_OUTCOME_MISSED),
        Err(error) => {
            eprintln!("{}: {error}", COMMAND.name);
            ExitCode::from(crate::options::EXIT_USAGE)
        }
    }
}

impl DecisionsOptions {
    /// Returns the number of missed outcomes.
    fn run(&self) -> io::Result<usize> {
        let mut missed = 0;
        for path in &self.trace_files {
            let trace = read_trace(path)?;
            missed += self.replay_or_write(path, |_| Ok(trace.clone()))?;
        }
        if !self.trace_files.is_empty() {
            return Ok(missed);
        }
        if !self.zone_scenarios.is_empty() {
            self.compare_zone_rules()?;
            return Ok(0);
        }
        if self.times_decisions {
            print_decision_times()?;
            return Ok(0);
        }
        for deployment in &self.deployments {
            for scenario in self
                .scenarios
                .iter()
                .filter(|scenario| scenario.applies_to(*deployment))
            {
                let name = format!("{deployment}, {scenario}");
                missed += self.replay_or_write(&name, |seed| {
                    generate_trace(*deployment, *scenario, self.seconds, seed)
                        .map_err(io::Error::other)
                })?;
            }
        }
        Ok(missed)
    }

    fn compare_zone_rules(&self) -> io::Result<()> {
        for scenario in &self.zone_scenarios {
            for seed in self.seeds.clone() {
                print_zone_table(
                    *scenario,
                    self.zones.get() as usize,
                    self.zone_upstreams.get() as usize,
                    Duration::from_secs_f64(self.seconds),
                    seed,
                )
                .map_err(io::Error::other)?;
            }
        }
        Ok(())
    }

    /// Replays the trace of each seed with every policy, prints the merged figures
    /// and returns the number of missed outcomes; or only writes the trace of the
    /// first seed.
    fn replay_or_write(
        &self,
        name: &str,
        trace_of: impl Fn(u64) -> io::Result<RecordedTrace>,
    ) -> io::Result<usize> {
        if self.writes_trace {
            let trace = trace_of(self.seeds.start)?;
            trace.write(&mut BufWriter::new(io::stdout().lock()))?;
            return Ok(0);
        }
        let mut outcome = None;
        let mut totals: Vec<Option<ReplayFigures>> = vec![None; PolicyKind::ALL.len()];
        for seed in self.seeds.clone() {
            let trace = trace_of(seed)?;
            outcome = Some(trace.outcome);
            for (kind, total) in PolicyKind::ALL.into_iter().zip(&mut totals) {
                let figures = replay_trace(&trace, kind, &RoutingOptions::default(), seed);
                match total {
                    Some(total) => total.merge(&figures),
                    None => *total = Some(figures),
                }
            }
        }
        let totals: Vec<_> = totals.into_iter().flatten().collect();
        println!("\n{name}\n\n{TABLE_HEADER}");
        for (kind, figures) in PolicyKind::ALL.iter().zip(&totals) {
            println!("{}", table_row(*kind, figures));
        }
        let (Some(outcome), [own, _, round_robin, least_outstanding]) = (outcome, &totals[..])
        else {
            return Ok(0);
        };
        let misses = check_outcome(&outcome, own, round_robin, least_outstanding);
        if !misses.is_empty() {
            println!("\nMissed: {}.", misses.join("; "));
        }
        Ok(misses.len())
    }
}

fn print_decision_times() -> io::Result<()> {
    let times = measure_decision_times().map_err(io::Error::other)?;
    for quantile in [0.5, 0.99, 0.999] {
        let time_us = times.value_at_quantile(quantile) as f64 / 1e3;
        println!("decision, quantile {quantile}: {time_us:.1} us");
    }
    Ok(())
}

fn read_trace(path: &str) -> io::Result<RecordedTrace> {
    let file = File::open(path)
        .map_err(|error| io::Error::new(error.kind(), format!("{path}: {error}")))?;
    RecordedTrace::read(BufReader::new(file))
        .map_err(|error| io::Error::other(format!("{path}: {error}")))
}

fn table_row(kind: PolicyKind, figures: &ReplayFigures) -> String {
    format!(
        "| {kind} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} | {:.1} | {} | {} | {:.1} | {:.2} |",
        figures.latency_ms(0.5),
        figures.latency_ms(0.99),
        figures.latency_ms(0.999),
        figures.excess_latency_ms(0.99),
        figures.answered_percent(),
        figures.goodput_percent,
        figures.refused,
        figures.unknown,
        figures.attempts_percent(),
        figures.probes_per_1000(),
    )
}
