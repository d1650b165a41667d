//! Operators race on one store whose calls fail, in an order that is drawn.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use proptest::prelude::*;

use assert_matches::assert_matches;
use bytes::Bytes;

use super::super::head::RECENT_TICKETS;
use super::super::submit::{HEAD_KEY, SubmitPacer, body_key, submit_ticket};
use super::{accept, digest, number, seeded, ticket};
use crate::store::ConfigStore;
use crate::store::memory::{MemoryStore, ScriptedOutcome};
use crate::tickets::{ChangeTicket, RefusalReason, SubmitAnswer, TicketDigest, TicketHead};

/// Attempts of each operator in these tests.
const ATTEMPTS: u32 = 6;

struct CountedPacer(u32);

impl SubmitPacer for CountedPacer {
    async fn next_attempt(&mut self) -> bool {
        tokio::task::yield_now().await;
        self.0 -= 1;
        self.0 > 0
    }
}

/// One step of a drawn run.
#[derive(Debug, Clone)]
enum RaceStep {
    /// Lets one operator's submission go on.
    Poll(usize),
    /// Ends the process of one operator's node.
    Crash(usize),
    /// Lets the oldest delayed write land.
    Land,
}

/// Number of the first ticket that is accepted before a run.
const FIRST_FILLER: u64 = 1_000;

/// Store with a full list, which two tickets of small numbers leave next.
fn full_store(fates: Vec<ScriptedOutcome>) -> MemoryStore {
    let store = MemoryStore::new(fates);
    let oldest = [ticket(1, &[(0, 1)]), ticket(2, &[(0, 2), (1, 2)])];
    for ticket in &oldest {
        let body = Bytes::from(ticket.encode().unwrap());
        store.insert(&body_key(ticket.number), body);
    }
    let fillers = RECENT_TICKETS - oldest.len();
    let fillers = (0..fillers as u64).map(|place| ticket(FIRST_FILLER + place, &[(9, 1)]));
    let accepted = oldest.into_iter().chain(fillers);
    let head = accepted.fold(TicketHead::default(), |head, ticket| accept(&head, &ticket));
    store.insert(HEAD_KEY, Bytes::from(head.encode().unwrap()));
    store
}

type Answers = Rc<RefCell<Vec<(ChangeTicket, SubmitAnswer)>>>;
type Operator = Pin<Box<dyn Future<Output = ()>>>;

fn operator(store: &MemoryStore, ticket: ChangeTicket, answers: &Answers) -> Operator {
    let (store, answers) = (store.clone(), answers.clone());
    Box::pin(async move {
        let report = submit_ticket(&store, &ticket, 0, &mut CountedPacer(ATTEMPTS)).await;
        answers.borrow_mut().push((ticket, report.answer));
        for number in report.garbage {
            let _ = store.remove(&body_key(number)).await;
        }
    })
}

/// What an observer of the store has seen so far.
struct StoreObserver {
    bytes: Bytes,
    head: TicketHead,
    /// Tickets accepted before the run; a repeat of one that has left the
    /// list is refused as out of date.
    known: BTreeSet<(u64, TicketDigest)>,
    accepted: BTreeSet<(u64, TicketDigest)>,
}

fn listed(head: &TicketHead) -> impl Iterator<Item = (u64, TicketDigest)> {
    let recent = head.recent.iter();
    recent.map(|ticket| (ticket.0.get(), ticket.1.clone()))
}

impl StoreObserver {
    fn of(store: &MemoryStore) -> Self {
        let bytes = store.current_value(HEAD_KEY).unwrap_or_default();
        let head = TicketHead::decode(&bytes).unwrap_or_default();
        Self {
            bytes,
            known: listed(&head).collect(),
            head,
            accepted: BTreeSet::new(),
        }
    }

    /// Checks the store after one step.
    fn observe(&mut self, store: &MemoryStore) -> Result<(), TestCaseError> {
        let Some(bytes) = store.current_value(HEAD_KEY) else {
            prop_assert_eq!(self.head.version, 0);
            return Ok(());
        };
        if self.bytes == bytes {
            return self.check_bodies(store);
        }
        let head = TicketHead::decode(&bytes).unwrap();
        prop_assert!(head.version >= self.head.version, "head went back");
        prop_assert!(head.version <= self.head.version + 1, "a head was skipped");
        for (service, before) in &self.head.services {
            let after = &head.services[service];
            prop_assert!(after.number >= before.number, "{service} went back");
        }
        self.check_list(&head)?;
        let known = &self.known;
        let accepted = listed(&head).filter(|ticket| !known.contains(ticket));
        self.accepted.extend(accepted);
        self.check_whole(&head)?;
        self.head = head;
        self.bytes = bytes;
        self.check_bodies(store)
    }

    /// Every ticket in force has its accepted body.
    fn check_bodies(&self, store: &MemoryStore) -> Result<(), TestCaseError> {
        for entry in self
            .head
            .services
            .values()
            .filter(|entry| !entry.is_removed())
        {
            if entry.number.get() >= FIRST_FILLER {
                continue;
            }
            let body = store.current_value(&body_key(entry.number));
            let stored = body.map(|body| TicketDigest::of(&body));
            prop_assert_eq!(stored.as_ref(), Some(&entry.digest), "body in force");
        }
        Ok(())
    }

    /// The list goes on where it was; only its oldest tickets leave it.
    fn check_list(&self, head: &TicketHead) -> Result<(), TestCaseError> {
        if head.version == self.head.version {
            return Ok(());
        }
        let before = &self.head.recent;
        let dropped = (before.len() + 1).saturating_sub(RECENT_TICKETS);
        let goes_on = head.recent.starts_with(&before[dropped..]);
        prop_assert!(goes_on, "an accepted ticket was lost");
        Ok(())
    }

    /// The newest ticket changed all of its services at once, and no others.
    fn check_whole(&self, head: &TicketHead) -> Result<(), TestCaseError> {
        if head.version == self.head.version {
            return Ok(());
        }
        let newest = head.recent.last().unwrap();
        let mut changed = head.services.iter();
        let is_one_ticket = changed.all(|(service, entry)| {
            self.head.services.get(service) == Some(entry)
                || (entry.number, entry.version) == (newest.0, head.version)
        });
        prop_assert!(is_one_ticket, "a head mixes tickets");
        Ok(())
    }

    fn check_answer(
        &self,
        ticket: &ChangeTicket,
        answer: &SubmitAnswer,
        is_alone: bool,
    ) -> Result<(), TestCaseError> {
        let content = (ticket.number.get(), digest(ticket));
        let is_accepted = self.accepted.contains(&content);
        match answer {
            SubmitAnswer::Accepted { .. } | SubmitAnswer::Repeated => {
                let is_known = self.known.contains(&content);
                prop_assert!(
                    is_accepted || is_known,
                    "{} was answered accepted",
                    ticket.number
                );
            }
            SubmitAnswer::Refused { reason } => {
                let is_final = !reason.is_worth_retrying();
                // Another operator may get the very same ticket accepted later.
                prop_assert!(
                    !(is_accepted && (is_final || is_alone)),
                    "{} was refused: {reason}",
                    ticket.number
                );
                let is_expected = matches!(
                    reason,
                    RefusalReason::Stale { .. }
                        | RefusalReason::Conflict
                        | RefusalReason::StoreAway { .. }
                        | RefusalReason::Contended
                );
                prop_assert!(is_expected, "{reason}");
            }
            SubmitAnswer::Unknown { .. } => {}
        }
        Ok(())
    }
}

fn fates() -> impl Strategy<Value = Vec<ScriptedOutcome>> {
    let fate = prop_oneof![
        6 => Just(ScriptedOutcome::Success),
        1 => Just(ScriptedOutcome::KnownFailure),
        1 => Just(ScriptedOutcome::RequestLost),
        2 => Just(ScriptedOutcome::ResponseLost),
        2 => Just(ScriptedOutcome::DelayedWrite),
    ];
    prop::collection::vec(fate, 0..60)
}

fn steps() -> impl Strategy<Value = Vec<RaceStep>> {
    let step = prop_oneof![
        30 => any::<usize>().prop_map(RaceStep::Poll),
        1 => any::<usize>().prop_map(RaceStep::Crash),
        4 => Just(RaceStep::Land),
    ];
    prop::collection::vec(step, 0..250)
}

fn tickets() -> impl Strategy<Value = Vec<ChangeTicket>> {
    let services = prop::collection::btree_map(0_u8..3, 0_u64..3, 1..3);
    let drawn = (1_u64..6, services).prop_map(|(number, services)| {
        let services: Vec<(u8, u64)> = services.into_iter().collect();
        ticket(number, &services)
    });
    prop::collection::vec(drawn, 1..7)
}

proptest! {
    #![proptest_config(seeded(1_500))]

    #[test]
    fn racing_operators_agree_with_the_store(
        tickets in tickets(),
        fates in fates(),
        steps in steps(),
        is_full in prop::bool::weighted(0.1),
    ) {
        let store = if is_full {
            full_store(fates)
        } else {
            MemoryStore::new(fates)
        };
        let answers = Answers::default();
        let mut operators: BTreeMap<usize, Operator> = tickets
            .iter()
            .map(|ticket| operator(&store, ticket.clone(), &answers))
            .enumerate()
            .collect();
        let mut observer = StoreObserver::of(&store);
        let mut context = Context::from_waker(Waker::noop());
        let mut answered = 0;
        let drain = (0..10_000).map(|_| RaceStep::Poll(0));
        for step in steps.into_iter().chain(drain) {
            if operators.is_empty() {
                break;
            }
            match step {
                RaceStep::Poll(index) => {
                    let chosen = *operators.keys().nth(index % operators.len()).unwrap();
                    let operator = operators.get_mut(&chosen).unwrap();
                    if operator.as_mut().poll(&mut context).is_ready() {
                        operators.remove(&chosen);
                    }
                }
                RaceStep::Crash(index) => {
                    let chosen = *operators.keys().nth(index % operators.len()).unwrap();
                    operators.remove(&chosen);
                }
                RaceStep::Land => store.apply_delayed_write(),
            }
            observer.observe(&store)?;
            // An acceptance is true when it is told, not only at the end.
            for (ticket, answer) in &answers.borrow()[answered..] {
                if matches!(answer, SubmitAnswer::Accepted { .. } | SubmitAnswer::Repeated) {
                    observer.check_answer(ticket, answer, false)?;
                }
            }
            answered = answers.borrow().len();
        }
        prop_assert!(operators.is_empty());
        for _ in 0..60 {
            store.apply_delayed_write();
            observer.observe(&store)?;
        }
        for (ticket, answer) in answers.borrow().iter() {
            let is_alone = tickets.iter().filter(|other| *other == ticket).count() == 1;
            observer.check_answer(ticket, answer, is_alone)?;
        }
    }
}

/// Runs one submission that is ended after `polls` steps, then another.
fn crash_and_repeat(polls: usize) -> (SubmitAnswer, usize) {
    let store = MemoryStore::default();
    let answers = Answers::default();
    let mut context = Context::from_waker(Waker::noop());
    let first = ticket(3, &[(0, 1), (1, 1)]);
    let mut crashed = operator(&store, first.clone(), &answers);
    let is_whole = (0..polls).any(|_| crashed.as_mut().poll(&mut context).is_ready());
    drop(crashed);
    let head = store
        .current_value(HEAD_KEY)
        .map(|bytes| TicketHead::decode(&bytes).unwrap());
    let is_accepted = head.is_some_and(|head| head.accepted_digest(number(3)).is_some());
    assert!(is_accepted || !is_whole);
    let garbage = store.key_count();
    let mut again = operator(&store, first, &answers);
    while again.as_mut().poll(&mut context).is_pending() {}
    let answer = answers.borrow().last().unwrap().1.clone();
    assert_eq!(
        matches!(answer, SubmitAnswer::Repeated),
        is_accepted,
        "{polls}"
    );
    (answer, garbage)
}

#[test]
fn crash_between_the_writes_leaves_only_a_body_without_effect() {
    let ends: Vec<_> = (0..9).map(crash_and_repeat).collect();
    let accepted = SubmitAnswer::Accepted { head_version: 1 };
    assert!(ends.contains(&(accepted.clone(), 0)), "before the body");
    assert!(ends.contains(&(accepted, 1)), "between body and head");
    assert!(
        ends.contains(&(SubmitAnswer::Repeated, 2)),
        "after the head"
    );
}

#[test]
fn store_that_was_set_back_accepts_nothing() {
    let store = MemoryStore::default();
    let late = ticket(9, &[(0, 1)]);
    let mut pacer = CountedPacer(ATTEMPTS);
    let submission = submit_ticket(&store, &late, 1, &mut pacer);
    let mut submission = Box::pin(submission);
    let mut context = Context::from_waker(Waker::noop());
    let report = loop {
        if let Poll::Ready(report) = submission.as_mut().poll(&mut context) {
            break report;
        }
    };
    assert_matches!(
        report.answer,
        SubmitAnswer::Refused {
            reason: RefusalReason::HeadUnreadable { .. }
        }
    );
    assert_eq!(store.key_count(), 0);
}
