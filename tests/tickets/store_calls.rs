//! Counts of the store's calls: after an outage, and against the fleet's size.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use currantlift::standin::store::CallCounts;
use serde_json::json;

use super::fleet::{Fleet, IN_FORCE_LIMIT, tickets};

/// Zones of the measured fleets.
const ZONES: usize = 3;
/// Most calls of one zone within a second, whatever the fleet's size.
const ZONE_CALLS_PER_SECOND: u64 = 10;
/// Outage after which all pauses have grown to their longest.
const OUTAGE_DURATION: Duration = Duration::from_secs(15);
/// Time that is watched after an outage.
const POST_OUTAGE_PERIOD: Duration = Duration::from_secs(10);
/// Time over which calls at rest are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(60);
/// Tickets over which calls are counted.
const MEASURED_TICKETS: u64 = 20;

fn total(counts: &CallCounts) -> u64 {
    counts.reads + counts.watches + counts.writes + counts.leases
}

/// Lets the store go away and come back; gives the counts of the time after.
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
    let all = fleet.node_indices();
    let expected = tickets(&[("a", 1)]);
    fleet.wait_in_force(&all, &expected, IN_FORCE_LIMIT).await;
    fleet.assert_rates_kept().await;
}

/// Prints the store's calls and the time until tickets are in force.
#[ntex::test]
#[ignore = "measurement of several minutes, see docs/capacity-tickets.md"]
async fn measure_store_calls() {
    for nodes in [10, 25, 50] {
        measure_fleet(nodes).await;
    }
}

async fn measure_fleet(nodes: usize) {
    let mut fleet = Fleet::start(nodes, ZONES).await;
    let start = fleet.counts().await;
    println!("MEASURE nodes={nodes} start={} {start:?}", total(&start));
    ntex::time::sleep(Duration::from_secs(15)).await;

    fleet.reset_counts().await;
    ntex::time::sleep(IDLE_PERIOD).await;
    let rest = fleet.counts().await;
    let per_second = total(&rest) as f64 / IDLE_PERIOD.as_secs_f64();
    println!("MEASURE nodes={nodes} rest_per_s={per_second:.2} {rest:?}");

    fleet.reset_counts().await;
    let started = Instant::now();
    let mut times = Vec::new();
    for number in 1..=MEASURED_TICKETS {
        times.push(time_ticket(&mut fleet, number).await);
    }
    let counts = fleet.counts().await;
    let at_rest = per_second * started.elapsed().as_secs_f64();
    let per_ticket = (total(&counts) as f64 - at_rest) / MEASURED_TICKETS as f64;
    times.sort();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("MEASURE nodes={nodes} per_ticket={per_ticket:.1} {counts:?}");
    println!("MEASURE nodes={nodes} in_force median={median:?} longest={longest:?}");

    let after = count_after_outage(&fleet).await;
    println!(
        "MEASURE nodes={nodes} after_outage={} {after:?}",
        total(&after)
    );
    fleet.assert_rates_kept().await;
}

/// Time from a ticket's acceptance until it is in force at every node.
async fn time_ticket(fleet: &mut Fleet, number: u64) -> Duration {
    let slots = fleet.node_indices();
    let submitter = usize::try_from(number).unwrap() % slots.len();
    fleet.accept(submitter, number, &[("a", number)]).await;
    let accepted = Instant::now();
    let expected = BTreeMap::from([("a".to_string(), number)]);
    fleet.wait_in_force(&slots, &expected, IN_FORCE_LIMIT).await;
    accepted.elapsed()
}
