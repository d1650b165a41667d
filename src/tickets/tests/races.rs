//! Concurrent submissions to one store whose calls fail, in random order.
//!
//! These tests guard against tickets that are lost, applied in part or reported
//! wrongly when submissions race, processes crash, and responses or writes are
//! lost or delayed.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use proptest::prelude::*;

use assert_matches::assert_matches;
use bytes::Bytes;

use super::super::head::MAX_RECENT_TICKETS;
use super::super::submit::{HEAD_KEY, SubmitBackoff, body_key, submit_ticket};
use super::{accept, deterministic_config, digest, number, ticket};
use crate::store::ConfigStore;
use crate::store::memory::{MemoryStore, ScriptedOutcome};
use crate::tickets::{ChangeTicket, RefusalReason, SubmitOutcome, TicketDigest, TicketHead};

/// Number of attempts after which a submission in these tests ends.
const ATTEMPTS_PER_SUBMISSION: u32 = 6;

struct CountedAttempts(u32);

impl SubmitBackoff for CountedAttempts {
    async fn wait_before_retry(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.0 -= 1;
        self.0 > 0
    }
}

/// Step of a generated run.
#[derive(Debug, Clone)]
enum RaceStep {
    /// Polls one submission.
    Poll(usize),
    /// Drops one submission, as a crash of its process does.
    Crash(usize),
    /// Applies the oldest delayed write.
    ApplyDelayedWrite,
}

/// Number of the first ticket that only fills the list of recent tickets.
const FIRST_FILLER_NUMBER: u64 = 1_000;

/// Store whose list of recent tickets is full; tickets 1 and 2 leave it next.
fn store_with_full_recent_list(scripted_outcomes: Vec<ScriptedOutcome>) -> MemoryStore {
    let store = MemoryStore::new(scripted_outcomes);
    let oldest = [ticket(1, &[(0, 1)]), ticket(2, &[(0, 2), (1, 2)])];
    for ticket in &oldest {
        let body = Bytes::from(ticket.encode().unwrap());
        store.insert(&body_key(ticket.number), body);
    }
    let fillers = MAX_RECENT_TICKETS - oldest.len();
    let fillers = (0..fillers as u64).map(|place| ticket(FIRST_FILLER_NUMBER + place, &[(9, 1)]));
    let accepted = oldest.into_iter().chain(fillers);
    let head = accepted.fold(TicketHead::default(), |head, ticket| accept(&head, &ticket));
    store.insert(HEAD_KEY, Bytes::from(head.encode().unwrap()));
    store
}

type Outcomes = Rc<RefCell<Vec<(ChangeTicket, SubmitOutcome)>>>;
type Submitter = Pin<Box<dyn Future<Output = ()>>>;

fn submit_and_clean_up(
    store: &MemoryStore,
    ticket: ChangeTicket,
    outcomes: &Outcomes,
) -> Submitter {
    let (store, outcomes) = (store.clone(), outcomes.clone());
    Box::pin(async move {
        let report = submit_ticket(
            &store,
            &ticket,
            0,
            &mut CountedAttempts(ATTEMPTS_PER_SUBMISSION),
        )
        .await;
        outcomes.borrow_mut().push((ticket, report.outcome));
        for number in report.unreferenced_bodies {
            let _ = store.remove(&body_key(number)).await;
        }
    })
}

/// Checks invariants of the stored head and bodies from step to step.
struct InvariantChecker {
    head_bytes: Bytes,
    head: TicketHead,
    /// Tickets accepted before the run; resubmitting one that has left the list is
    /// refused as out of date.
    accepted_before: BTreeSet<(u64, TicketDigest)>,
    accepted_during: BTreeSet<(u64, TicketDigest)>,
}

fn recent_tickets(head: &TicketHead) -> impl Iterator<Item = (u64, TicketDigest)> {
    let recent = head.recent.iter();
    recent.map(|ticket| (ticket.0.get(), ticket.1.clone()))
}

impl InvariantChecker {
    fn at_start(store: &MemoryStore) -> Self {
        let bytes = store.current_value(HEAD_KEY).unwrap_or_default();
        let head = TicketHead::decode(&bytes).unwrap_or_default();
        Self {
            head_bytes: bytes,
            accepted_before: recent_tickets(&head).collect(),
            head,
            accepted_during: BTreeSet::new(),
        }
    }

    /// Checks the store after a step.
    fn check_step(&mut self, store: &MemoryStore) -> Result<(), TestCaseError> {
        let Some(bytes) = store.current_value(HEAD_KEY) else {
            prop_assert_eq!(self.head.version, 0);
            return Ok(());
        };
        if self.head_bytes == bytes {
            return self.check_bodies(store);
        }
        let head = TicketHead::decode(&bytes).unwrap();
        prop_assert!(head.version >= self.head.version, "head version decreased");
        prop_assert!(
            head.version <= self.head.version + 1,
            "head version increased by more than 1"
        );
        for (service, before) in &self.head.services {
            let after = &head.services[service];
            prop_assert!(
                after.number >= before.number,
                "ticket number of {service} decreased"
            );
        }
        self.check_recent_list(&head)?;
        let accepted_before = &self.accepted_before;
        let accepted = recent_tickets(&head).filter(|ticket| !accepted_before.contains(ticket));
        self.accepted_during.extend(accepted);
        self.check_atomicity(&head)?;
        self.head = head;
        self.head_bytes = bytes;
        self.check_bodies(store)
    }

    /// Checks that the body of every ticket in force is stored as accepted.
    fn check_bodies(&self, store: &MemoryStore) -> Result<(), TestCaseError> {
        for entry in self
            .head
            .services
            .values()
            .filter(|entry| !entry.is_removal())
        {
            if entry.number.get() >= FIRST_FILLER_NUMBER {
                continue;
            }
            let body = store.current_value(&body_key(entry.number));
            let stored = body.map(|body| TicketDigest::of(&body));
            prop_assert_eq!(
                stored.as_ref(),
                Some(&entry.digest),
                "stored body of a ticket in force"
            );
        }
        Ok(())
    }

    /// Checks that the recent list was only appended to, and that only its oldest
    /// tickets have left it.
    fn check_recent_list(&self, head: &TicketHead) -> Result<(), TestCaseError> {
        if head.version == self.head.version {
            return Ok(());
        }
        let before = &self.head.recent;
        let dropped = (before.len() + 1).saturating_sub(MAX_RECENT_TICKETS);
        let is_continued = head.recent.starts_with(&before[dropped..]);
        prop_assert!(
            is_continued,
            "an accepted ticket is missing from the recent list"
        );
        Ok(())
    }

    /// Checks that all changes of the head belong to the newest ticket.
    fn check_atomicity(&self, head: &TicketHead) -> Result<(), TestCaseError> {
        if head.version == self.head.version {
            return Ok(());
        }
        let newest = head.recent.last().unwrap();
        let mut changed = head.services.iter();
        let is_one_ticket = changed.all(|(service, entry)| {
            self.head.services.get(service) == Some(entry)
                || (entry.number, entry.version) == (newest.0, head.version)
        });
        prop_assert!(
            is_one_ticket,
            "one head version changes services of several tickets"
        );
        Ok(())
    }

    fn check_outcome(
        &self,
        ticket: &ChangeTicket,
        outcome: &SubmitOutcome,
        is_unique: bool,
    ) -> Result<(), TestCaseError> {
        let content = (ticket.number.get(), digest(ticket));
        let is_accepted = self.accepted_during.contains(&content);
        match outcome {
            SubmitOutcome::Accepted { .. } | SubmitOutcome::Repeated => {
                let was_accepted_before = self.accepted_before.contains(&content);
                prop_assert!(
                    is_accepted || was_accepted_before,
                    "ticket {} was reported as accepted but is not",
                    ticket.number
                );
            }
            SubmitOutcome::Refused { reason } => {
                let is_final = !reason.is_retryable();
                // Another submission of the same ticket may succeed later.
                prop_assert!(
                    !(is_accepted && (is_final || is_unique)),
                    "ticket {} was reported as refused but is accepted: {reason}",
                    ticket.number
                );
                let is_expected = matches!(
                    reason,
                    RefusalReason::Stale { .. }
                        | RefusalReason::Conflict
                        | RefusalReason::StoreAway { .. }
                        | RefusalReason::Contended
                );
                prop_assert!(is_expected, "unexpected reason: {reason}");
            }
            SubmitOutcome::Unknown { .. } => {}
        }
        Ok(())
    }
}

fn scripted_outcomes() -> impl Strategy<Value = Vec<ScriptedOutcome>> {
    let scripted_outcome = prop_oneof![
        6 => Just(ScriptedOutcome::Success),
        1 => Just(ScriptedOutcome::KnownFailure),
        1 => Just(ScriptedOutcome::RequestLost),
        2 => Just(ScriptedOutcome::ResponseLost),
        2 => Just(ScriptedOutcome::DelayedWrite),
    ];
    prop::collection::vec(scripted_outcome, 0..60)
}

fn steps() -> impl Strategy<Value = Vec<RaceStep>> {
    let step = prop_oneof![
        30 => any::<usize>().prop_map(RaceStep::Poll),
        1 => any::<usize>().prop_map(RaceStep::Crash),
        4 => Just(RaceStep::ApplyDelayedWrite),
    ];
    prop::collection::vec(step, 0..250)
}

fn tickets() -> impl Strategy<Value = Vec<ChangeTicket>> {
    let services = prop::collection::btree_map(0_u8..3, 0_u64..3, 1..3);
    let generated = (1_u64..6, services).prop_map(|(number, services)| {
        let services: Vec<(u8, u64)> = services.into_iter().collect();
        ticket(number, &services)
    });
    prop::collection::vec(generated, 1..7)
}

proptest! {
    #![proptest_config(deterministic_config(1_500))]

    #[test]
    fn racing_submitters_agree_with_the_store(
        tickets in tickets(),
        scripted_outcomes in scripted_outcomes(),
        steps in steps(),
        is_recent_list_full in prop::bool::weighted(0.1),
    ) {
        let store = if is_recent_list_full {
            store_with_full_recent_list(scripted_outcomes)
        } else {
            MemoryStore::new(scripted_outcomes)
        };
        let outcomes = Outcomes::default();
        let mut submitters: BTreeMap<usize, Submitter> = tickets
            .iter()
            .map(|ticket| submit_and_clean_up(&store, ticket.clone(), &outcomes))
            .enumerate()
            .collect();
        let mut checker = InvariantChecker::at_start(&store);
        let mut context = Context::from_waker(Waker::noop());
        let mut checked_count = 0;
        let remaining_polls = (0..10_000).map(|_| RaceStep::Poll(0));
        for step in steps.into_iter().chain(remaining_polls) {
            if submitters.is_empty() {
                break;
            }
            match step {
                RaceStep::Poll(index) => {
                    let chosen = *submitters.keys().nth(index % submitters.len()).unwrap();
                    let submitter = submitters.get_mut(&chosen).unwrap();
                    if submitter.as_mut().poll(&mut context).is_ready() {
                        submitters.remove(&chosen);
                    }
                }
                RaceStep::Crash(index) => {
                    let chosen = *submitters.keys().nth(index % submitters.len()).unwrap();
                    submitters.remove(&chosen);
                }
                RaceStep::ApplyDelayedWrite => store.apply_delayed_write(),
            }
            checker.check_step(&store)?;
            // Checked at once: a ticket reported as accepted must be accepted already.
            for (ticket, outcome) in &outcomes.borrow()[checked_count..] {
                if matches!(outcome, SubmitOutcome::Accepted { .. } | SubmitOutcome::Repeated) {
                    checker.check_outcome(ticket, outcome, false)?;
                }
            }
            checked_count = outcomes.borrow().len();
        }
        prop_assert!(submitters.is_empty());
        for _ in 0..60 {
            store.apply_delayed_write();
            checker.check_step(&store)?;
        }
        for (ticket, outcome) in outcomes.borrow().iter() {
            let is_unique = tickets.iter().filter(|other| *other == ticket).count() == 1;
            checker.check_outcome(ticket, outcome, is_unique)?;
        }
    }
}

/// Drops a submission after `polls` polls, as a crash does, and submits the same
/// ticket again. Returns the second outcome and the number of keys that the
/// first submission left.
fn crash_and_resubmit(polls: usize) -> (SubmitOutcome, usize) {
    let store = MemoryStore::default();
    let outcomes = Outcomes::default();
    let mut context = Context::from_waker(Waker::noop());
    let first = ticket(3, &[(0, 1), (1, 1)]);
    let mut crashed = submit_and_clean_up(&store, first.clone(), &outcomes);
    let is_finished = (0..polls).any(|_| crashed.as_mut().poll(&mut context).is_ready());
    drop(crashed);
    let head = store
        .current_value(HEAD_KEY)
        .map(|bytes| TicketHead::decode(&bytes).unwrap());
    let is_accepted = head.is_some_and(|head| head.accepted_digest(number(3)).is_some());
    assert!(is_accepted || !is_finished);
    let keys_left = store.key_count();
    let mut resubmission = submit_and_clean_up(&store, first, &outcomes);
    while resubmission.as_mut().poll(&mut context).is_pending() {}
    let outcome = outcomes.borrow().last().unwrap().1.clone();
    assert_eq!(
        matches!(outcome, SubmitOutcome::Repeated),
        is_accepted,
        "crash after {polls} polls"
    );
    (outcome, keys_left)
}

#[test]
fn crash_between_writes_leaves_only_an_unreferenced_body() {
    let results: Vec<_> = (0..9).map(crash_and_resubmit).collect();
    let accepted = SubmitOutcome::Accepted { head_version: 1 };
    assert!(
        results.contains(&(accepted.clone(), 0)),
        "crash before the body is written"
    );
    assert!(
        results.contains(&(accepted, 1)),
        "crash between body and head"
    );
    assert!(
        results.contains(&(SubmitOutcome::Repeated, 2)),
        "crash after the head is written"
    );
}

#[test]
fn restored_older_store_accepts_nothing() {
    let store = MemoryStore::default();
    let late = ticket(9, &[(0, 1)]);
    let mut backoff = CountedAttempts(ATTEMPTS_PER_SUBMISSION);
    let submission = submit_ticket(&store, &late, 1, &mut backoff);
    let mut submission = Box::pin(submission);
    let mut context = Context::from_waker(Waker::noop());
    let report = loop {
        if let Poll::Ready(report) = submission.as_mut().poll(&mut context) {
            break report;
        }
    };
    assert_matches!(
        report.outcome,
        SubmitOutcome::Refused {
            reason: RefusalReason::HeadUnreadable { .. }
        }
    );
    assert_eq!(store.key_count(), 0);
}
