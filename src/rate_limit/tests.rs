mod fleet;

use std::time::Duration;

use assert_matches::assert_matches;

use super::*;
use crate::ids::{BackendId, BackendKey, NodeId, NodeIncarnation};
use fleet::Fleet;

const TICK: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn rate(per_second: f64) -> StartRate {
    StartRate::try_from(per_second).unwrap()
}

fn key(started_at_ms: u64) -> BackendKey {
    let id: BackendId = "b1".parse().unwrap();
    BackendKey::new(&id, started_at_ms)
}

fn most_in_window(starts: &[Duration], window: Duration) -> usize {
    let in_window = |from: &Duration| {
        starts
            .iter()
            .filter(|at| (*from..*from + window).contains(at))
            .count()
    };
    starts.iter().map(in_window).max().unwrap_or_default()
}

/// Starts as many requests as the pacer allows at each tick; none while `is_frozen`.
fn starts_of(
    pacer: &mut StartPacer,
    from: Duration,
    to: Duration,
    is_frozen: impl Fn(Duration) -> bool,
) -> Vec<Duration> {
    let mut starts = Vec::new();
    let mut now = from;
    while now < to {
        while !is_frozen(now) && pacer.is_free(now) {
            pacer.record_start(now);
            starts.push(now);
        }
        now += TICK;
    }
    starts
}

fn assert_rate_is_kept(starts: &[Duration], named: f64) {
    for seconds in 1..=4 {
        let most = most_in_window(starts, SECOND * seconds);
        let allowed = 1.0 + named * (f64::from(seconds) + 0.1);
        assert!(most as f64 <= allowed, "{most} in {seconds} s at {named}");
    }
}

#[test]
fn rate_is_kept_and_used_in_each_second() {
    for named in [0.4, 1.0, 11.3, 30.0, 170.5, 900.0] {
        let mut pacer = StartPacer::default();
        pacer.set_rate(SECOND, Some(rate(named)));
        let starts = starts_of(&mut pacer, SECOND, SECOND * 21, |_| false);
        assert_rate_is_kept(&starts, named);
        // The first start is one interval after the naming.
        let used = starts.len() as f64 + 1.0;
        assert!(used >= 20.0 * named * 0.95, "{used} starts at {named}");
    }
}

#[test]
fn frozen_or_idle_gate_makes_up_for_one_burst_only() {
    let mut pacer = StartPacer::default();
    pacer.set_rate(SECOND, Some(rate(11.3)));
    let is_frozen = |now: Duration| now.as_secs().is_multiple_of(3);
    let starts = starts_of(&mut pacer, SECOND, SECOND * 20, is_frozen);
    assert_rate_is_kept(&starts, 11.3);
}

#[test]
fn rate_that_changes_each_second_is_followed() {
    let mut pacer = StartPacer::default();
    let rates = [11.3, 40.0, 0.5, 25.0, 3.0, 90.0, 1.0];
    for (second, named) in (1..).zip(rates) {
        let (from, to) = (SECOND * second, SECOND * (second + 1));
        pacer.set_rate(from, Some(rate(named)));
        let starts = starts_of(&mut pacer, from, to, |_| false);
        let most = 1.0 + named * 1.1;
        assert!(starts.len() as f64 <= most, "{} at {named}", starts.len());
        let least = named * 0.9 - 1.0;
        assert!(starts.len() as f64 >= least, "{} at {named}", starts.len());
    }
    pacer.set_rate(SECOND * 10, None);
    assert!(pacer.is_free(SECOND * 10));
}

#[test]
fn start_in_arrears_is_carried_over_to_a_new_rate() {
    let mut pacer = StartPacer::default();
    pacer.set_rate(SECOND, Some(rate(10.0)));
    for _ in 0..5 {
        pacer.record_start(SECOND);
    }
    pacer.set_rate(SECOND, Some(rate(1.0)));
    assert!(pacer.time_to_start(SECOND, 0) > SECOND * 5);
}

#[test]
fn server_that_takes_nothing_is_tried_every_ten_seconds() {
    let mut pacer = StartPacer::default();
    pacer.set_rate(SECOND, Some(rate(0.0)));
    let starts = starts_of(&mut pacer, SECOND, SECOND * 42, |_| false);
    assert_eq!(starts.len(), 4);
}

#[test]
fn request_that_was_not_sent_gives_its_start_back() {
    let mut pacer = StartPacer::default();
    pacer.set_rate(SECOND, Some(rate(1.0)));
    let now = SECOND * 5;
    pacer.record_start(now);
    assert!(!pacer.is_free(now));
    pacer.return_start();
    assert!(pacer.is_free(now));
}

#[test]
fn only_decimal_numbers_are_rates() {
    for (text, value) in [("11.3", 11.3), ("0", 0.0), ("0.25", 0.25), ("900", 900.0)] {
        assert_eq!(text.parse::<StartRate>(), Ok(rate(value)));
    }
    for text in [
        "",
        "-1",
        "NaN",
        "inf",
        "1e3",
        "+5",
        "11,3",
        "11.3 a second",
        "1.2.3",
        "99999999999",
    ] {
        assert_matches!(text.parse::<StartRate>(), Err(_), "{text}");
    }
    assert_matches!(StartRate::try_from(f64::NAN), Err(_));
    assert_matches!(StartRate::try_from(-0.5), Err(_));
    assert_eq!(rate(11.3).to_string(), "11.3");
}

fn times(sent_ms: u64, read_ms: u64) -> ResponseTime {
    ResponseTime {
        sent_at: Duration::from_millis(sent_ms),
        read_at: Duration::from_millis(read_ms),
    }
}

fn record(
    statements: &mut RateStatements,
    times: ResponseTime,
    named: Option<f64>,
) -> Option<Option<StartRate>> {
    let reading = named.map_or(RateReading::Absent, |named| RateReading::Named(rate(named)));
    let change = statements.record_response(times, &reading, StatementSource::Response);
    change.map(|change| change.new)
}

#[test]
fn first_response_without_the_field_ends_the_limit() {
    let mut statements = RateStatements::default();
    assert_eq!(
        record(&mut statements, times(0, 100), Some(5.0)),
        Some(Some(rate(5.0)))
    );
    assert_eq!(record(&mut statements, times(110, 200), Some(5.0)), None);
    assert_eq!(record(&mut statements, times(210, 300), None), Some(None));
    assert_eq!(statements.rate(), None);
}

#[test]
fn older_response_on_another_connection_neither_raises_nor_ends_the_limit() {
    let mut statements = RateStatements::default();
    record(&mut statements, times(50, 100), Some(5.0));
    assert_eq!(record(&mut statements, times(40, 110), None), None);
    assert_eq!(record(&mut statements, times(40, 120), Some(9.0)), None);
    assert_eq!(
        record(&mut statements, times(40, 130), Some(3.0)),
        Some(Some(rate(3.0)))
    );
    assert_eq!(
        record(&mut statements, times(140, 150), Some(9.0)),
        Some(Some(rate(9.0)))
    );
}

#[test]
fn response_to_a_load_poll_ends_only_what_such_responses_state() {
    let mut statements = RateStatements::default();
    record(&mut statements, times(0, 10), Some(5.0));
    let poll = StatementSource::LoadPoll;
    let absent = RateReading::Absent;
    assert_eq!(
        statements.record_response(times(20, 30), &absent, poll),
        None
    );
    let named = RateReading::Named(rate(5.0));
    statements.record_response(times(40, 50), &named, poll);
    let change = statements.record_response(times(60, 70), &absent, poll);
    assert_matches!(change, Some(RateChange { new: None, .. }));
}

#[test]
fn unreadable_limit_changes_nothing() {
    let mut statements = RateStatements::default();
    record(&mut statements, times(0, 10), Some(5.0));
    let unreadable = RateReading::Unreadable("many".to_string());
    let change = statements.record_response(times(20, 30), &unreadable, StatementSource::Response);
    assert_eq!(change, None);
    assert_eq!(statements.rate(), Some(rate(5.0)));
}

#[test]
fn restarted_gate_takes_a_limit_from_an_ingress_until_it_hears_its_own_server() {
    let mut statements = RateStatements::default();
    let change = statements.record_from_ingress(SECOND, rate(11.3));
    assert_matches!(change, Some(RateChange { new: Some(_), .. }));
    assert_eq!(
        record(&mut statements, times(1_100, 1_200), None),
        Some(None)
    );
    assert_eq!(statements.record_from_ingress(SECOND * 2, rate(11.3)), None);
}

#[test]
fn lower_of_the_named_and_the_announced_limit_is_in_force() {
    let mut statements = RateStatements::default();
    statements.record_announcement(SECOND, Some(rate(8.0)));
    record(&mut statements, times(1_000, 1_100), Some(20.0));
    assert_eq!(statements.rate(), Some(rate(8.0)));
    statements.record_announcement(SECOND * 2, None);
    assert_eq!(statements.rate(), Some(rate(20.0)));
}

#[test]
fn refused_callers_return_one_after_another() {
    let mut returns = ReturnSchedule::default();
    let wait = Duration::from_millis(500);
    let times: Vec<Duration> = (0..4)
        .map(|_| returns.reserve(SECOND, rate(10.0), wait, SECOND * 3))
        .collect();
    let expected = [500, 600, 700, 800].map(Duration::from_millis);
    assert_eq!(times, expected);
    // A caller with little time left takes no place.
    let short = Duration::from_millis(600);
    returns.reserve(SECOND, rate(10.0), wait, short);
    let next = returns.reserve(SECOND, rate(10.0), wait, SECOND * 3);
    assert_eq!(next, Duration::from_millis(900));
}

#[test]
fn server_that_left_stays_so_until_its_next_start() {
    let node: NodeId = "node-1".parse().unwrap();
    let mut known = KnownStatements::default();
    let gate = |start: u64| NodeIncarnation::try_from(start).unwrap();
    let statement = |start, backend, is_leaving| KnownStatement {
        gate: gate(start),
        backend,
        rate: None,
        is_leaving,
    };
    known.record(&node, statement(1, key(1), true));
    // A gate that has restarted doesn't know it, and reports nothing or a limit only.
    known.record_none(&node, gate(2));
    known.record(&node, statement(2, key(1), false));
    assert_eq!(known.get(&node), Some(statement(1, key(1), true)));
    known.record(&node, statement(2, key(2), false));
    assert_eq!(known.get(&node), None);
}

#[test]
fn server_that_left_is_back_when_its_gate_says_so() {
    let node: NodeId = "node-1".parse().unwrap();
    let gate = NodeIncarnation::try_from(1).unwrap();
    let mut known = KnownStatements::default();
    let leaving = KnownStatement {
        gate,
        backend: key(1),
        rate: None,
        is_leaving: true,
    };
    known.record(&node, leaving);
    known.record_none(&node, gate);
    assert_eq!(known.get(&node), None);
}

/// Names the limit at all listed servers and drops what was counted before.
fn name_limits(fleet: &mut Fleet, servers: &[usize], named: Option<f64>) {
    for index in servers {
        fleet.servers[*index].named = named;
    }
    // Runs that started before the naming are answered first.
    fleet.run_until(fleet.now() + Duration::from_millis(300), 100.0);
    for server in &mut fleet.servers {
        server.arrivals.clear();
        server.started_ranks.clear();
    }
    fleet.refusal_delays.clear();
    fleet.retry_afters.clear();
    (fleet.refused_offers, fleet.offered, fleet.answered) = (0, 0, 0);
}

fn fewest_in_window(starts: &[Duration], from: Duration, to: Duration, window: Duration) -> usize {
    let mut fewest = usize::MAX;
    let mut at = from;
    while at + window <= to {
        let in_window = starts
            .iter()
            .filter(|start| (at..at + window).contains(start));
        fewest = fewest.min(in_window.count());
        at += Duration::from_millis(50);
    }
    fewest
}

/// Checks one limited server: the rate is kept in each window, and 95% of it used.
fn assert_server_gets_its_rate(fleet: &Fleet, index: usize, named: f64, from: Duration) {
    let starts = &fleet.servers[index].arrivals;
    assert_rate_is_kept(starts, named);
    let window = SECOND * 4;
    let fewest = fewest_in_window(starts, from, fleet.now(), window);
    // A window between two starts misses a part of one.
    let least = (named * 4.0 * 0.95).floor();
    assert!(
        fewest as f64 >= least,
        "server {index}: {fewest} in 4 s of {least}"
    );
}

#[test]
fn limited_server_gets_its_rate_from_25_nodes() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(25, 1, seed);
        fleet.run_until(SECOND * 2, 100.0);
        name_limits(&mut fleet, &[0], Some(11.3));
        let from = fleet.now();
        fleet.run_until(from + SECOND * 20, 100.0);
        assert_server_gets_its_rate(&fleet, 0, 11.3, from);
        // Refused at once, or as soon as more urgent calls have taken the turn.
        let slowest = fleet.refusal_delays.iter().max().unwrap();
        assert!(*slowest < Duration::from_millis(300), "{slowest:?}");
    }
}

#[test]
fn more_urgent_calls_get_the_rate_first() {
    let mut fleet = Fleet::new(25, 1, 1);
    fleet.run_until(SECOND * 2, 100.0);
    name_limits(&mut fleet, &[0], Some(11.3));
    let from = fleet.now();
    fleet.run_until(from + SECOND * 20, 100.0);
    let ranks = &fleet.servers[0].started_ranks;
    let urgent = ranks.iter().filter(|rank| **rank == 0).count();
    assert!(
        urgent * 10 >= ranks.len() * 9,
        "{urgent} of {}",
        ranks.len()
    );
}

#[test]
fn other_servers_take_the_calls_of_limited_ones() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(25, 5, seed);
        fleet.run_until(SECOND * 2, 200.0);
        name_limits(&mut fleet, &[0, 1, 2], Some(11.3));
        let from = fleet.now();
        fleet.run_until(from + SECOND * 12, 200.0);
        for index in 0..3 {
            assert_rate_is_kept(&fleet.servers[index].arrivals, 11.3);
        }
        let answered = fleet.answered as f64 / fleet.offered as f64;
        assert!(answered > 0.97, "{answered} answered");
        let offers = fleet.refused_offers as f64 / fleet.offered as f64;
        assert!(offers < 0.5, "{offers} refused offers a call");
    }
}

#[test]
fn limited_servers_get_their_rates_while_more_is_offered_than_all_take() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(25, 5, seed);
        fleet.run_until(SECOND * 2, 100.0);
        name_limits(&mut fleet, &[0, 1, 2, 3, 4], Some(11.3));
        let from = fleet.now();
        fleet.run_until(from + SECOND * 12, 200.0);
        for index in 0..5 {
            assert_server_gets_its_rate(&fleet, index, 11.3, from);
        }
        let offers = fleet.refused_offers as f64 / fleet.offered as f64;
        assert!(offers < 2.5, "{offers} refused offers a call");
    }
}

#[test]
fn limit_that_comes_in_a_burst_holds_from_the_first_second() {
    let mut fleet = Fleet::new(25, 1, 1);
    fleet.run_until(SECOND * 2, 400.0);
    name_limits(&mut fleet, &[0], Some(11.3));
    let from = fleet.now();
    fleet.run_until(from + SECOND * 8, 400.0);
    assert_server_gets_its_rate(&fleet, 0, 11.3, from);
}

#[test]
fn limit_that_changes_each_second_is_followed_by_the_fleet() {
    let mut fleet = Fleet::new(25, 1, 1);
    fleet.run_until(SECOND * 2, 100.0);
    name_limits(&mut fleet, &[0], Some(20.0));
    for named in [20.0, 8.0, 30.0, 5.0, 12.0, 40.0] {
        fleet.servers[0].named = Some(named);
        // The first response with the new rate comes after the runs of the old one.
        fleet.run_until(fleet.now() + Duration::from_millis(400), 100.0);
        let known = fleet.servers[0].arrivals.len();
        fleet.run_until(fleet.now() + Duration::from_millis(600), 100.0);
        let starts = &fleet.servers[0].arrivals[known..];
        assert!(
            starts.len() as f64 <= 1.0 + named * 0.7,
            "{} at {named}",
            starts.len()
        );
    }
}

#[test]
fn limit_holds_while_its_gate_restarts_and_freezes() {
    let mut fleet = Fleet::new(25, 2, 1);
    fleet.run_until(SECOND * 2, 100.0);
    name_limits(&mut fleet, &[0, 1], Some(11.3));
    for _ in 0..3 {
        fleet.run_until(fleet.now() + Duration::from_millis(1_300), 100.0);
        fleet.restart_gate(0);
        fleet.run_until(fleet.now() + Duration::from_millis(1_300), 100.0);
        fleet.freeze_gate(0, SECOND * 2);
        fleet.run_until(fleet.now() + SECOND * 3, 100.0);
    }
    assert_rate_is_kept(&fleet.servers[0].arrivals, 11.3);
}
