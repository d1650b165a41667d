//! Tests of the search for a gate.

use super::*;

fn node(name: &str) -> NodeId {
    name.parse().unwrap()
}

fn estimate(wait_ms: u64, finish_ms: u64) -> Option<GateEstimate> {
    Some(GateEstimate {
        time_to_slot: Duration::from_millis(wait_ms),
        time_to_response: Duration::from_millis(finish_ms),
        admits_past_target: wait_ms <= 1,
    })
}

const TIME_BUDGET: CallTimeBudget = CallTimeBudget {
    target_left: Duration::from_millis(200),
    time_left: Duration::from_millis(500),
};

#[test]
fn a_call_joins_the_queue_that_answers_first() {
    let mut search = GateSearch::new(2);
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_refused(&node("a"), estimate(80, 160));
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_refused(&node("b"), estimate(20, 100));
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::JoinQueue(node("b"))
    );
    search.on_refused(&node("b"), estimate(150, 230));
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::JoinQueue(node("a"))
    );
    search.on_refused(&node("a"), estimate(150, 230));
    let retry_after = Duration::from_millis(150);
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::Refuse { retry_after }
    );
}

#[test]
fn a_call_that_would_be_late_everywhere_is_refused_at_once() {
    let mut search = GateSearch::new(2);
    search.on_refused(&node("a"), estimate(180, 260));
    search.on_refused(&node("b"), estimate(150, 230));
    search.on_no_more_gates();
    let retry_after = Duration::from_millis(150);
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::Refuse { retry_after }
    );
}

#[test]
fn a_free_slot_on_a_slow_vm_is_better_than_none() {
    let mut search = GateSearch::new(1);
    search.on_refused(&node("a"), estimate(1, 300));
    search.on_no_more_gates();
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::JoinQueue(node("a"))
    );
}

#[test]
fn a_free_slot_is_preferred_to_a_queue_that_is_too_long() {
    let mut search = GateSearch::new(2);
    search.on_refused(&node("a"), estimate(75, 210));
    search.on_refused(&node("b"), estimate(1, 220));
    search.on_no_more_gates();
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::JoinQueue(node("b"))
    );
}

#[test]
fn a_draining_gate_leaves_the_search() {
    let mut search = GateSearch::new(1);
    search.on_refused(&node("a"), None);
    search.on_no_more_gates();
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::Refuse {
            retry_after: Duration::ZERO
        }
    );
}

#[test]
fn without_immediate_offers_every_offer_may_be_queued() {
    let mut search = GateSearch::new(0);
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferQueueable);
    search.on_refused(&node("a"), estimate(1, 2));
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferQueueable);
}

/// An evacuated zone may have more gates than a call has offers and joins; each would refuse
/// it, while another zone has room.
#[test]
fn refusal_in_an_evacuated_zone_costs_no_offer_and_drops_the_gates_of_the_zone() {
    let mut search = GateSearch::new(2);
    for _ in 0..5 {
        assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
        search.on_refused(&node("a"), None);
        search.on_zone_evacuated([&node("a"), &node("b")]);
    }
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_refused(&node("b"), estimate(20, 100));
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_refused(&node("c"), estimate(30, 110));
    // The zone of a and b is evacuated while the call waits at b.
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::JoinQueue(node("b"))
    );
    search.on_refused(&node("b"), None);
    search.on_zone_evacuated([&node("a"), &node("b")]);
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_no_more_gates();
    assert_eq!(
        search.next_step(TIME_BUDGET),
        SearchStep::JoinQueue(node("c"))
    );
}

#[test]
fn stopping_gates_are_asked_again_only_if_no_other_takes_the_call() {
    let mut search = GateSearch::new(1);
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_stopping(&node("a"), Duration::from_secs(1));
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_stopping(&node("b"), Duration::from_secs(2));
    assert_eq!(search.next_step(TIME_BUDGET), SearchStep::OfferImmediate);
    search.on_refused(&node("c"), estimate(20, 100));
    let step = search.next_step(TIME_BUDGET);
    assert_eq!(step, SearchStep::JoinQueue(node("c")));
    search.on_refused(&node("c"), None);
    let retry_after = STOP_RETRY_AFTER;
    let step = search.next_step(TIME_BUDGET);
    assert_eq!(step, SearchStep::Refuse { retry_after });
    assert_eq!(search.take_stopping_gate(), Some(node("b")));
    search.on_stopping(&node("b"), Duration::from_secs(2));
    assert_eq!(search.take_stopping_gate(), Some(node("a")));
    assert_eq!(search.take_stopping_gate(), None);
}
