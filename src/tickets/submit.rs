//! The writes that get a ticket accepted, and the settling of doubt.
//!
//! The body is written first, under a key that is only ever created; then the
//! head is replaced by compare-and-swap. A body without a place in a head is
//! garbage and has no effect. When the answer to a swap is lost, the head is
//! read: if it lists the ticket, the ticket is accepted; if it has moved on
//! without the ticket, the lost swap can't land any more, because it expects
//! an older revision; if it is unchanged, a further swap from the same
//! revision decides, of which at most one can take effect.

use bytes::Bytes;

use super::answer::{RefusalReason, SubmitOutcome};
use super::body::{ChangeTicket, TicketDigest, TicketError};
use super::head::{TicketCheck, TicketHead};
use crate::ids::TicketNumber;
use crate::store::{ConfigStore, KeyRevision, StoreError, SwapOutcome};

/// Key of the head.
pub const HEAD_KEY: &str = "currantlift/head";
/// Prefix of the keys of ticket bodies.
const BODY_PREFIX: &str = "currantlift/tickets/";

/// Key of a ticket's body.
pub fn body_key(number: TicketNumber) -> String {
    format!("{BODY_PREFIX}{number}")
}

/// Result of a submission for the node that made it.
#[derive(Debug)]
pub struct SubmitReport {
    /// Answer for the operator.
    pub outcome: SubmitOutcome,
    /// Newest head that was seen.
    pub newest_head: Option<TicketHead>,
    /// Bodies that no head will ever need again.
    pub unreferenced_bodies: Vec<TicketNumber>,
}

/// Time between attempts and the end of trying.
#[allow(
    async_fn_in_trait,
    reason = "every caller runs on the single control thread, so futures need not be Send"
)]
pub trait SubmitBackoff {
    /// Waits before a further attempt; false if the time for trying is over.
    async fn wait_before_retry(&mut self) -> bool;
}

/// One submission on its way.
struct Submission<'a, S> {
    store: &'a S,
    ticket: &'a ChangeTicket,
    min_head_version: u64,
    encoded_body: Bytes,
    digest: TicketDigest,
    is_body_stored: bool,
    /// Revision that a swap of unknown effect expected.
    unresolved_swap: Option<KeyRevision>,
    newest_head: Option<TicketHead>,
    unreferenced_bodies: Vec<TicketNumber>,
}

enum AttemptOutcome {
    Finished(SubmitOutcome),
    Retry(RefusalReason),
}

/// Submits a ticket and settles what can be settled in the time given.
///
/// A head below `least_version`, which is in force here already, is not
/// replaced: the ticket could not come into force.
pub async fn submit_ticket<S: ConfigStore>(
    store: &S,
    ticket: &ChangeTicket,
    least_version: u64,
    pacer: &mut impl SubmitBackoff,
) -> SubmitReport {
    let content = match ticket.encode() {
        Ok(content) => Bytes::from(content),
        Err(error) => return malformed_report(error),
    };
    let mut submission = Submission {
        store,
        ticket,
        min_head_version: least_version,
        digest: TicketDigest::of(&content),
        encoded_body: content,
        is_body_stored: false,
        unresolved_swap: None,
        newest_head: None,
        unreferenced_bodies: Vec::new(),
    };
    let answer = submission.run_attempts(pacer).await;
    SubmitReport {
        outcome: answer,
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
    async fn run_attempts(&mut self, pacer: &mut impl SubmitBackoff) -> SubmitOutcome {
        loop {
            let reason = match self.try_once().await {
                AttemptOutcome::Finished(answer) => return answer,
                AttemptOutcome::Retry(reason) => reason,
            };
            if pacer.wait_before_retry().await {
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
        // Read together, so that a store that takes seconds a call is waited
        // for once.
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
        let was_doubtful = self.unresolved_swap.is_some();
        if self
            .unresolved_swap
            .is_some_and(|expected| revision > expected)
        {
            self.unresolved_swap = None;
        }
        let verdict = head.check(self.ticket, &self.digest);
        let version = head.version;
        let end = match verdict {
            TicketCheck::Repeated if was_doubtful => {
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
                if let Some(end) = self.compare_stored_body(body) {
                    return end;
                }
                return self.swap_head(head, revision).await;
            }
        };
        self.newest_head = Some(head);
        end
    }

    /// Gives up the body of a ticket that can't be accepted any more.
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
        if let Some(end) = self.create_body().await {
            return end;
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
            Err(error @ StoreError::NotDone { .. }) => retry_after_store_error(&error),
            Err(error @ StoreError::Unknown { .. }) => {
                self.unresolved_swap = Some(revision);
                retry_after_store_error(&error)
            }
        }
    }

    /// Writes the body unless it is there; an end if it can't be written now.
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
            // Written since it was read: read it again.
            Ok(SwapOutcome::Mismatch) => Some(AttemptOutcome::Retry(RefusalReason::Contended)),
            Err(error) => Some(retry_after_store_error(&error)),
        }
    }

    /// Reads the stored body, unless it is known to be there.
    async fn read_body(&self) -> Result<Option<Bytes>, StoreError> {
        if self.is_body_stored {
            return Ok(None);
        }
        let stored = self.store.get(&body_key(self.ticket.number)).await?;
        Ok(stored.map(|stored| stored.bytes))
    }

    /// Compares the stored body; an end if it is another one or not known.
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

fn head_rolled_back(stored: u64, in_force: u64) -> RefusalReason {
    RefusalReason::HeadUnreadable {
        reason: format!("version {stored} is older than {in_force}, which is in force here"),
    }
}

fn head_unreadable(error: &TicketError) -> AttemptOutcome {
    AttemptOutcome::Finished(refused(RefusalReason::HeadUnreadable {
        reason: error.to_string(),
    }))
}

/// Tickets that the later head neither has in force nor lists.
///
/// A higher number is in force for every service of such a ticket, so no
/// submission can ever need its body again.
fn newly_unreferenced(before: &TicketHead, after: &TicketHead) -> Vec<TicketNumber> {
    let kept = after.referenced_numbers();
    let numbers = before.referenced_numbers().into_iter();
    numbers.filter(|number| !kept.contains(number)).collect()
}
