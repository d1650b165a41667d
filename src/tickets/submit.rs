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

use super::answer::{RefusalReason, SubmitAnswer};
use super::body::{ChangeTicket, TicketDigest, TicketError};
use super::head::{TicketHead, TicketVerdict};
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
    pub answer: SubmitAnswer,
    /// Newest head that was seen.
    pub head: Option<TicketHead>,
    /// Bodies that no head will ever need again.
    pub garbage: Vec<TicketNumber>,
}

/// Time between attempts and the end of trying.
#[allow(
    async_fn_in_trait,
    reason = "every caller runs on the single control thread, so futures need not be Send"
)]
pub trait SubmitPacer {
    /// Waits before a further attempt; false if the time for trying is over.
    async fn next_attempt(&mut self) -> bool;
}

/// One submission on its way.
struct Submission<'a, S> {
    store: &'a S,
    ticket: &'a ChangeTicket,
    least_version: u64,
    content: Bytes,
    digest: TicketDigest,
    is_body_stored: bool,
    /// Revision that a swap of unknown effect expected.
    doubtful: Option<KeyRevision>,
    head: Option<TicketHead>,
    garbage: Vec<TicketNumber>,
}

enum AttemptEnd {
    Done(SubmitAnswer),
    Again(RefusalReason),
}

/// Submits a ticket and settles what can be settled in the time given.
///
/// A head below `least_version`, which is in force here already, is not
/// replaced: the ticket could not come into force.
pub async fn submit_ticket<S: ConfigStore>(
    store: &S,
    ticket: &ChangeTicket,
    least_version: u64,
    pacer: &mut impl SubmitPacer,
) -> SubmitReport {
    let content = match ticket.encode() {
        Ok(content) => Bytes::from(content),
        Err(error) => return malformed_report(error),
    };
    let mut submission = Submission {
        store,
        ticket,
        least_version,
        digest: TicketDigest::of(&content),
        content,
        is_body_stored: false,
        doubtful: None,
        head: None,
        garbage: Vec::new(),
    };
    let answer = submission.run(pacer).await;
    SubmitReport {
        answer,
        head: submission.head,
        garbage: submission.garbage,
    }
}

fn malformed_report(error: TicketError) -> SubmitReport {
    SubmitReport {
        answer: refused(RefusalReason::Malformed(error)),
        head: None,
        garbage: Vec::new(),
    }
}

fn refused(reason: RefusalReason) -> SubmitAnswer {
    SubmitAnswer::Refused { reason }
}

fn again(error: &StoreError) -> AttemptEnd {
    AttemptEnd::Again(RefusalReason::StoreAway {
        reason: error.to_string(),
    })
}

impl<S: ConfigStore> Submission<'_, S> {
    async fn run(&mut self, pacer: &mut impl SubmitPacer) -> SubmitAnswer {
        loop {
            let reason = match self.attempt().await {
                AttemptEnd::Done(answer) => return answer,
                AttemptEnd::Again(reason) => reason,
            };
            if pacer.next_attempt().await {
                continue;
            }
            return match self.doubtful {
                Some(_) => SubmitAnswer::Unknown {
                    reason: reason.to_string(),
                },
                None => refused(reason),
            };
        }
    }

    async fn attempt(&mut self) -> AttemptEnd {
        // Read together, so that a store that takes seconds a call is waited
        // for once.
        let (stored, body) = tokio::join!(self.store.get(HEAD_KEY), self.read_body());
        let stored = match stored {
            Ok(stored) => stored,
            Err(error) => return again(&error),
        };
        let (head, revision) = match stored {
            Some(stored) => match TicketHead::decode(&stored.bytes) {
                Ok(head) => (head, stored.revision),
                Err(error) => return unreadable(&error),
            },
            None => (TicketHead::default(), KeyRevision::ABSENT),
        };
        if head.version < self.least_version {
            return AttemptEnd::Again(set_back(head.version, self.least_version));
        }
        let was_doubtful = self.doubtful.is_some();
        if self.doubtful.is_some_and(|expected| revision > expected) {
            self.doubtful = None;
        }
        let verdict = head.check(self.ticket, &self.digest);
        let version = head.version;
        let end = match verdict {
            TicketVerdict::Repeated if was_doubtful => AttemptEnd::Done(SubmitAnswer::Accepted {
                head_version: version,
            }),
            TicketVerdict::Repeated => AttemptEnd::Done(SubmitAnswer::Repeated),
            TicketVerdict::Conflict => AttemptEnd::Done(refused(RefusalReason::Conflict)),
            TicketVerdict::Stale { service, in_force } => {
                self.discard_own_body();
                AttemptEnd::Done(refused(RefusalReason::Stale { service, in_force }))
            }
            TicketVerdict::Acceptable => {
                if let Some(end) = self.check_body(body) {
                    return end;
                }
                return self.accept(head, revision).await;
            }
        };
        self.head = Some(head);
        end
    }

    /// Gives up the body of a ticket that can't be accepted any more.
    fn discard_own_body(&mut self) {
        if self.is_body_stored {
            self.garbage.push(self.ticket.number);
        }
    }

    async fn accept(&mut self, head: TicketHead, revision: KeyRevision) -> AttemptEnd {
        let next = match head.accept(self.ticket, &self.digest) {
            Ok(next) => next,
            Err(error) => return unreadable(&error),
        };
        let value = match next.encode() {
            Ok(value) => value,
            Err(error) => return unreadable(&error),
        };
        if !next.is_within_limits(&value) {
            return AttemptEnd::Done(refused(RefusalReason::Full));
        }
        if let Some(end) = self.store_body().await {
            return end;
        }
        let swap = self
            .store
            .compare_and_swap(HEAD_KEY, revision, Bytes::from(value));
        match swap.await {
            Ok(SwapOutcome::Swapped) => {
                self.garbage.extend(dropped_numbers(&head, &next));
                let head_version = next.version;
                self.head = Some(next);
                AttemptEnd::Done(SubmitAnswer::Accepted { head_version })
            }
            Ok(SwapOutcome::Mismatch) => AttemptEnd::Again(RefusalReason::Contended),
            Err(error @ StoreError::NoEffect { .. }) => again(&error),
            Err(error @ StoreError::UnknownEffect { .. }) => {
                self.doubtful = Some(revision);
                again(&error)
            }
        }
    }

    /// Writes the body unless it is there; an end if it can't be written now.
    async fn store_body(&mut self) -> Option<AttemptEnd> {
        if self.is_body_stored {
            return None;
        }
        let key = body_key(self.ticket.number);
        let create = self
            .store
            .compare_and_swap(&key, KeyRevision::ABSENT, self.content.clone());
        match create.await {
            Ok(SwapOutcome::Swapped) => {
                self.is_body_stored = true;
                None
            }
            // Written since it was read: read it again.
            Ok(SwapOutcome::Mismatch) => Some(AttemptEnd::Again(RefusalReason::Contended)),
            Err(error) => Some(again(&error)),
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
    fn check_body(&mut self, body: Result<Option<Bytes>, StoreError>) -> Option<AttemptEnd> {
        match body {
            Ok(Some(body)) if body == self.content => {
                self.is_body_stored = true;
                None
            }
            Ok(Some(_)) => Some(AttemptEnd::Done(refused(RefusalReason::Conflict))),
            Ok(None) => None,
            Err(error) => Some(again(&error)),
        }
    }
}

fn set_back(stored: u64, in_force: u64) -> RefusalReason {
    RefusalReason::HeadUnreadable {
        reason: format!("version {stored} is older than {in_force}, which is in force here"),
    }
}

fn unreadable(error: &TicketError) -> AttemptEnd {
    AttemptEnd::Done(refused(RefusalReason::HeadUnreadable {
        reason: error.to_string(),
    }))
}

/// Tickets that the later head neither has in force nor lists.
///
/// A higher number is in force for every service of such a ticket, so no
/// submission can ever need its body again.
fn dropped_numbers(before: &TicketHead, after: &TicketHead) -> Vec<TicketNumber> {
    let kept = after.numbers_kept();
    let numbers = before.numbers_kept().into_iter();
    numbers.filter(|number| !kept.contains(number)).collect()
}
