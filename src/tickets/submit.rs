//! Writes that get a ticket accepted, and recovery from lost responses.
//!
//! The body is written first, under a key that is created once and never
//! overwritten; then the head is replaced by compare-and-swap. A body that no
//! head references has no effect and is garbage. When the response to a swap
//! is lost, the head is read again. If it lists the ticket, the ticket is
//! accepted. If it has a newer revision without the ticket, the lost swap can
//! no longer take effect, because it expects an older revision. If it is
//! unchanged, the swap is repeated from the same revision; at most one of the
//! two can take effect.

use bytes::Bytes;

use super::answer::{RefusalReason, SubmitOutcome};
use super::body::{ChangeTicket, TicketDigest, TicketError};
use super::head::{TicketCheck, TicketHead};
use crate::ids::TicketNumber;
use crate::store::{ConfigStore, KeyRevision, StoreError, SwapOutcome};

/// Store key of the head.
pub const HEAD_KEY: &str = "currantlift/head";
/// Prefix of the store keys of ticket bodies.
const BODY_PREFIX: &str = "currantlift/tickets/";

/// Store key of a ticket's body.
pub fn body_key(number: TicketNumber) -> String {
    format!("{BODY_PREFIX}{number}")
}

/// Result of a submission, with what is left to do at the node that made it.
#[derive(Debug)]
pub struct SubmitReport {
    /// Outcome for the operator.
    pub outcome: SubmitOutcome,
    /// Newest head that the submission read or wrote, if any.
    pub newest_head: Option<TicketHead>,
    /// Tickets whose stored bodies no head will reference again; to be removed.
    pub unreferenced_bodies: Vec<TicketNumber>,
}

/// Delay between attempts, and the decision when to stop retrying.
#[allow(
    async_fn_in_trait,
    reason = "every caller runs on the single control thread, so futures need not be Send"
)]
pub trait SubmitBackoff {
    /// Waits before the next attempt; returns false if there must be no more.
    async fn wait_before_retry(&mut self) -> bool;
}

/// Submission in progress.
struct Submission<'a, S> {
    store: &'a S,
    ticket: &'a ChangeTicket,
    min_head_version: u64,
    encoded_body: Bytes,
    digest: TicketDigest,
    is_body_stored: bool,
    /// Expected revision of a swap whose effect is unknown.
    unresolved_swap: Option<KeyRevision>,
    newest_head: Option<TicketHead>,
    unreferenced_bodies: Vec<TicketNumber>,
}

enum AttemptOutcome {
    Finished(SubmitOutcome),
    Retry(RefusalReason),
}

/// Submits a ticket, retrying until the outcome is final or `backoff` ends it.
///
/// A stored head older than `min_head_version`, the version applied at this
/// node, is not replaced: the ticket could not come into force here.
pub async fn submit_ticket<S: ConfigStore>(
    store: &S,
    ticket: &ChangeTicket,
    min_head_version: u64,
    backoff: &mut impl SubmitBackoff,
) -> SubmitReport {
    let encoded_body = match ticket.encode() {
        Ok(encoded) => Bytes::from(encoded),
        Err(error) => return malformed_report(error),
    };
    let mut submission = Submission {
        store,
        ticket,
        min_head_version,
        digest: TicketDigest::of(&encoded_body),
        encoded_body,
        is_body_stored: false,
        unresolved_swap: None,
        newest_head: None,
        unreferenced_bodies: Vec::new(),
    };
    let outcome = submission.run_attempts(backoff).await;
    SubmitReport {
        outcome,
        newest_head: submission.newest_head,
        unreferenced_bodies: submission.unreferenced_bodies,
    }
}

fn malformed_report(error: TicketError) -> SubmitReport {
    SubmitReport {
        outcome: refused(RefusalReason::Malformed(error)),
        newest_head: None,
        unreferenced_bodies: Vec::new(),
    }
}

fn refused(reason: RefusalReason) -> SubmitOutcome {
    SubmitOutcome::Refused { reason }
}

fn retry_after_store_error(error: &StoreError) -> AttemptOutcome {
    AttemptOutcome::Retry(RefusalReason::StoreAway {
        reason: error.to_string(),
    })
}

impl<S: ConfigStore> Submission<'_, S> {
    async fn run_attempts(&mut self, backoff: &mut impl SubmitBackoff) -> SubmitOutcome {
        loop {
            let reason = match self.try_once().await {
                AttemptOutcome::Finished(outcome) => return outcome,
                AttemptOutcome::Retry(reason) => reason,
            };
            if backoff.wait_before_retry().await {
                continue;
            }
            return match self.unresolved_swap {
                Some(_) => SubmitOutcome::Unknown {
                    reason: reason.to_string(),
                },
                None => refused(reason),
            };
        }
    }

    async fn try_once(&mut self) -> AttemptOutcome {
        // Reads both concurrently, so that a store that takes seconds for a
        // call delays the attempt only once.
        let (stored, body) = tokio::join!(self.store.get(HEAD_KEY), self.read_body());
        let stored = match stored {
            Ok(stored) => stored,
            Err(error) => return retry_after_store_error(&error),
        };
        let (head, revision) = match stored {
            Some(stored) => match TicketHead::decode(&stored.bytes) {
                Ok(head) => (head, stored.revision),
                Err(error) => return head_unreadable(&error),
            },
            None => (TicketHead::default(), KeyRevision::ABSENT),
        };
        if head.version < self.min_head_version {
            return AttemptOutcome::Retry(head_rolled_back(head.version, self.min_head_version));
        }
        let had_unresolved_swap = self.unresolved_swap.is_some();
        if self
            .unresolved_swap
            .is_some_and(|expected| revision > expected)
        {
            self.unresolved_swap = None;
        }
        let result = head.check(self.ticket, &self.digest);
        let version = head.version;
        let outcome = match result {
            TicketCheck::Repeated if had_unresolved_swap => {
                AttemptOutcome::Finished(SubmitOutcome::Accepted {
                    head_version: version,
                })
            }
            TicketCheck::Repeated => AttemptOutcome::Finished(SubmitOutcome::Repeated),
            TicketCheck::Conflict => AttemptOutcome::Finished(refused(RefusalReason::Conflict)),
            TicketCheck::Stale { service, in_force } => {
                self.mark_body_unreferenced();
                AttemptOutcome::Finished(refused(RefusalReason::Stale { service, in_force }))
            }
            TicketCheck::Acceptable => {
                if let Some(outcome) = self.compare_stored_body(body) {
                    return outcome;
                }
                return self.swap_head(head, revision).await;
            }
        };
        self.newest_head = Some(head);
        outcome
    }

    /// Marks this ticket's body for removal, as the ticket can no longer be accepted.
    fn mark_body_unreferenced(&mut self) {
        if self.is_body_stored {
            self.unreferenced_bodies.push(self.ticket.number);
        }
    }

    async fn swap_head(&mut self, head: TicketHead, revision: KeyRevision) -> AttemptOutcome {
        let next = match head.accept(self.ticket, &self.digest) {
            Ok(next) => next,
            Err(error) => return head_unreadable(&error),
        };
        let value = match next.encode() {
            Ok(value) => value,
            Err(error) => return head_unreadable(&error),
        };
        if !next.is_within_limits(&value) {
            return AttemptOutcome::Finished(refused(RefusalReason::Full));
        }
        if let Some(outcome) = self.create_body().await {
            return outcome;
        }
        let swap = self
            .store
            .compare_and_swap(HEAD_KEY, revision, Bytes::from(value));
        match swap.await {
            Ok(SwapOutcome::Swapped) => {
                self.unreferenced_bodies
                    .extend(newly_unreferenced(&head, &next));
                let head_version = next.version;
                self.newest_head = Some(next);
                AttemptOutcome::Finished(SubmitOutcome::Accepted { head_version })
            }
            Ok(SwapOutcome::Mismatch) => AttemptOutcome::Retry(RefusalReason::Contended),
            Err(error @ StoreError::NoEffect { .. }) => retry_after_store_error(&error),
            Err(error @ StoreError::UnknownEffect { .. }) => {
                self.unresolved_swap = Some(revision);
                retry_after_store_error(&error)
            }
        }
    }

    /// Creates the body unless it is stored; `Some` ends the attempt.
    async fn create_body(&mut self) -> Option<AttemptOutcome> {
        if self.is_body_stored {
            return None;
        }
        let key = body_key(self.ticket.number);
        let create =
            self.store
                .compare_and_swap(&key, KeyRevision::ABSENT, self.encoded_body.clone());
        match create.await {
            Ok(SwapOutcome::Swapped) => {
                self.is_body_stored = true;
                None
            }
            // Created since it was read; the next attempt compares it.
            Ok(SwapOutcome::Mismatch) => Some(AttemptOutcome::Retry(RefusalReason::Contended)),
            Err(error) => Some(retry_after_store_error(&error)),
        }
    }

    /// Reads the stored body, unless it is known to be stored.
    async fn read_body(&self) -> Result<Option<Bytes>, StoreError> {
        if self.is_body_stored {
            return Ok(None);
        }
        let stored = self.store.get(&body_key(self.ticket.number)).await?;
        Ok(stored.map(|stored| stored.bytes))
    }

    /// Compares the stored body with this ticket's; `Some` ends the attempt, as
    /// the body differs or could not be read.
    fn compare_stored_body(
        &mut self,
        body: Result<Option<Bytes>, StoreError>,
    ) -> Option<AttemptOutcome> {
        match body {
            Ok(Some(body)) if body == self.encoded_body => {
                self.is_body_stored = true;
                None
            }
            Ok(Some(_)) => Some(AttemptOutcome::Finished(refused(RefusalReason::Conflict))),
            Ok(None) => None,
            Err(error) => Some(retry_after_store_error(&error)),
        }
    }
}

fn head_rolled_back(stored_version: u64, applied_version: u64) -> RefusalReason {
    RefusalReason::HeadUnreadable {
        reason: format!(
            "version {stored_version} is older than {applied_version}, which is in force here"
        ),
    }
}

fn head_unreadable(error: &TicketError) -> AttemptOutcome {
    AttemptOutcome::Finished(refused(RefusalReason::HeadUnreadable {
        reason: error.to_string(),
    }))
}

/// Tickets that the earlier head references and the later one does not.
///
/// A higher number is in force for every service of such a ticket, so no
/// submission can need its body again.
fn newly_unreferenced(before: &TicketHead, after: &TicketHead) -> Vec<TicketNumber> {
    let referenced = after.referenced_numbers();
    let numbers = before.referenced_numbers().into_iter();
    numbers
        .filter(|number| !referenced.contains(number))
        .collect()
}
