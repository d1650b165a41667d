//! Load on the store: calls after an outage, at rest and per ticket, by fleet size.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use currantlift::standin::store::CallCounts;
use serde_json::json;

use super::fleet::{Fleet, IN_FORCE_LIMIT, tickets};

/// Zones over which the nodes are distributed.
const ZONES: usize = 3;
/// Largest number of calls that one zone may make in a second, for any fleet size.
const ZONE_CALLS_PER_SECOND: u64 = 10;
/// Outage long enough for every backoff to reach its maximum.
const OUTAGE_DURATION: Duration = Duration::from_secs(15);
/// Time after the end of an outage during which calls are counted.
const POST_OUTAGE_PERIOD: Duration = Duration::from_secs(10);
/// Time during which calls without any change are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(60);
/// Number of tickets over which calls are averaged.
const MEASURED_TICKETS: u64 = 20;

fn total(counts: &CallCounts) -> u64 {
    counts.reads + counts.watches + counts.writes + counts.leases
}

/// Makes the store unreachable for a while and returns the call counts of the time
/// after that.
async fn count_after_outage(fleet: &Fleet) -> CallCounts {
    fleet.set_faults(json!({ "away": true })).await;
    ntex::time::sleep(OUTAGE_DURATION).await;
    fleet.reset_counts().await;
    fleet.set_faults(json!({})).await;
    ntex::time::sleep(POST_OUTAGE_PERIOD).await;
    fleet.counts().await
}

#[ntex::test]
async fn no_thundering_herd_after_an_outage() {
    let mut fleet = Fleet::start(12, ZONES).await;
    let counts = count_after_outage(&fleet).await;
    let peak = counts.peak_reads + counts.peak_writes;
    println!("MEASURE peak after the outage {peak}");
    assert!(peak <= ZONE_CALLS_PER_SECOND * ZONES as u64, "{counts:?}");
    fleet.accept(0, 1, &[("a", 1)]).await;
    let nodes = fleet.node_indices();
    let expected = tickets(&[("a", 1)]);
    fleet.wait_in_force(&nodes, &expected, IN_FORCE_LIMIT).await;
    fleet.assert_rates_kept().await;
}

/// Prints the calls that the store receives and the time until tickets are in force.
#[ntex::test]
#[ignore = "measurement of several minutes, see docs/capacity-tickets.md"]
async fn measure_store_calls() {
    for nodes in [10, 25, 50] {
        measure_fleet(nodes).await;
    }
}

async fn measure_fleet(nodes: usize) {
    let mut fleet = Fleet::start(nodes, ZONES).await;
    let start_counts = fleet.counts().await;
    println!(
        "MEASURE nodes={nodes} start={} {start_counts:?}",
        total(&start_counts)
    );
    ntex::time::sleep(Duration::from_secs(15)).await;

    fleet.reset_counts().await;
    ntex::time::sleep(IDLE_PERIOD).await;
    let idle_counts = fleet.counts().await;
    let per_second = total(&idle_counts) as f64 / IDLE_PERIOD.as_secs_f64();
    println!("MEASURE nodes={nodes} rest_per_s={per_second:.2} {idle_counts:?}");

    fleet.reset_counts().await;
    let started = Instant::now();
    let mut durations = Vec::new();
    for number in 1..=MEASURED_TICKETS {
        durations.push(time_until_in_force(&mut fleet, number).await);
    }
    let counts = fleet.counts().await;
    let idle_calls = per_second * started.elapsed().as_secs_f64();
    let per_ticket = (total(&counts) as f64 - idle_calls) / MEASURED_TICKETS as f64;
    durations.sort();
    let (median, longest) = (
        durations[durations.len() / 2],
        durations[durations.len() - 1],
    );
    println!("MEASURE nodes={nodes} per_ticket={per_ticket:.1} {counts:?}");
    println!("MEASURE nodes={nodes} in_force median={median:?} longest={longest:?}");

    let outage_counts = count_after_outage(&fleet).await;
    println!(
        "MEASURE nodes={nodes} after_outage={} {outage_counts:?}",
        total(&outage_counts)
    );
    fleet.assert_rates_kept().await;
}

/// Submits a ticket and returns the time from its acceptance until it is in force at
/// every node.
async fn time_until_in_force(fleet: &mut Fleet, number: u64) -> Duration {
    let indices = fleet.node_indices();
    let submitter_index = usize::try_from(number).unwrap() % indices.len();
    fleet
        .accept(submitter_index, number, &[("a", number)])
        .await;
    let accepted = Instant::now();
    let expected = BTreeMap::from([("a".to_string(), number)]);
    fleet
        .wait_in_force(&indices, &expected, IN_FORCE_LIMIT)
        .await;
    accepted.elapsed()
}
