//! Borrower's side of quotas: the tokens that this node has borrowed for one tenant, and
//! the requests that wait for the owner's answer.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::bucket::TokenBucket;
use super::limits::QuotaLimits;
use super::state::WaitNumber;
use super::usage::{RefusalReason, TenantUsage};
use super::wire::{TokenGrant, TokenRequest};
use crate::rate_limit::{ReturnSchedule, StartRate};

/// Time after which an unanswered request to the owner is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(15);
/// Times that a request is sent before the owner is taken for unreachable.
const MAX_SENDS: u32 = 3;
/// Redirects to another owner that a request follows.
const MAX_MOVES: u32 = 3;
/// Pause after a request that the owner didn't answer.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a redirect is followed that differs from the own view.
const MOVE_LIFETIME: Duration = Duration::from_secs(1);
/// Time without an answer after which the owner's lease has ended for certain, so that a
/// node may spend without it.
const FLOOR_DELAY: Duration = super::owner::LEASE_TIME;
/// Part of its share of the rate that a node without an owner spends; a new owner starts
/// with the rest.
const FLOOR_SHARE: f64 = 0.5;
/// Interval in which the demand is counted; two of them are kept.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Requests in the last two intervals from which a stock is kept.
const MIN_STOCK_DEMAND: u32 = 4;
/// Demand that the stock covers, if tokens are valid for twice as long.
const STOCK_TIME: Duration = Duration::from_millis(250);

/// Requests in the last second.
#[derive(Debug, Default)]
struct DemandMeter {
    interval: u64,
    current: u32,
    previous: u32,
}

impl DemandMeter {
    fn advance(&mut self, now: Duration) {
        let interval = (now.as_millis() / DEMAND_INTERVAL.as_millis()) as u64;
        if interval > self.interval {
            let is_next = interval == self.interval + 1;
            self.previous = if is_next { self.current } else { 0 };
            self.current = 0;
            self.interval = interval;
        }
    }

    fn count(&mut self, now: Duration) {
        self.advance(now);
        self.current = self.current.saturating_add(1);
    }

    fn recent(&self) -> u32 {
        self.current.saturating_add(self.previous)
    }

    /// Requests per second.
    fn rate(&self, now: Duration) -> f64 {
        let into_interval = now.as_millis() % DEMAND_INTERVAL.as_millis();
        let counted = DEMAND_INTERVAL + Duration::from_millis(into_interval as u64);
        f64::from(self.recent()) / counted.as_secs_f64()
    }
}

#[derive(Debug)]
struct Batch {
    expires_at: Duration,
    tokens: u32,
}

/// Request to the owner that isn't answered yet.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub sequence: u32,
    pub request: TokenRequest,
    pub to: SocketAddr,
    first_sent_at: Duration,
    sent_at: Duration,
    send_count: u32,
    move_count: u32,
}

/// Result of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// A token that expires at this time.
    Token(Duration),
    Refused(RefusalReason, Duration),
}

/// Result of taking a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Taken {
    Verdict(Verdict),
    /// The request waits for the owner's answer.
    Waiting,
}

/// What a decision of the borrower depends on besides its own state.
#[derive(Debug, Clone, Copy)]
pub(super) struct BorrowerContext<'a> {
    pub now: Duration,
    pub limits: &'a QuotaLimits,
    /// Owner in this node's view.
    pub owner: SocketAddr,
    /// Members that may be part of the fleet.
    pub known_count: usize,
    /// Place of this node among the nodes, from 0 to 1, which spreads retry times.
    pub phase: f64,
}

fn interval_of(limits: &QuotaLimits) -> Duration {
    limits.quota().rate.interval()
}

/// Borrowed tokens of one tenant.
#[derive(Debug, Default)]
pub(super) struct BorrowerState {
    demand: DemandMeter,
    stock: VecDeque<Batch>,
    waiters: VecDeque<WaitNumber>,
    open: Option<OpenRequest>,
    next_wait_at: Duration,
    next_stock_at: Duration,
    capacity_at: Duration,
    sharers: u16,
    moved: Option<(SocketAddr, Duration)>,
    unreachable_since: Option<Duration>,
    floor: Option<TokenBucket>,
    returns: ReturnSchedule,
    pub usage: TenantUsage,
}

impl BorrowerState {
    /// Tokens in stock.
    pub fn stock_size(&self, now: Duration) -> u32 {
        let valid = self.stock.iter().filter(|batch| batch.expires_at > now);
        valid.map(|batch| batch.tokens).sum()
    }

    pub fn is_idle(&self) -> bool {
        self.open.is_none() && self.waiters.is_empty()
    }

    /// Takes a token for a request, or lets it wait under this number.
    pub fn take(&mut self, context: BorrowerContext<'_>, number: WaitNumber) -> Taken {
        let now = context.now;
        self.demand.count(now);
        if let Some(expires_at) = self.take_from_stock(now) {
            return Taken::Verdict(Verdict::Token(expires_at));
        }
        if self.take_from_floor(context) {
            return Taken::Verdict(Verdict::Token(now));
        }
        if self.open.is_none() && now < self.next_wait_at {
            let reason = if self.unreachable_since.is_some() {
                RefusalReason::NoOwner
            } else {
                RefusalReason::Limit
            };
            return Taken::Verdict(self.refusal(context, reason));
        }
        self.waiters.push_back(number);
        Taken::Waiting
    }

    fn take_from_stock(&mut self, now: Duration) -> Option<Duration> {
        self.stock.retain(|batch| batch.expires_at > now);
        let batch = self.stock.front_mut()?;
        let expires_at = batch.expires_at;
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.stock.pop_front();
        }
        Some(expires_at)
    }

    /// Spends the node's part of the rate while no owner answers.
    fn take_from_floor(&mut self, context: BorrowerContext<'_>) -> bool {
        let BorrowerContext {
            now,
            limits,
            known_count,
            ..
        } = context;
        let Some(since) = self.unreachable_since else {
            return false;
        };
        if now < since + FLOOR_DELAY || !limits.allows_floor(known_count) {
            return false;
        }
        let rate = limits.rate() * FLOOR_SHARE / known_count as f64;
        let new_bucket = || TokenBucket::new(since + FLOOR_DELAY, 0.0);
        let floor = self.floor.get_or_insert_with(new_bucket);
        floor.fill(now, rate, 1.0);
        floor.take(1, 0.0) == 1
    }

    /// Puts a token back that wasn't used; it is lost if it has expired.
    pub fn put_back(&mut self, now: Duration, expires_at: Duration) {
        self.usage.returned += 1;
        if expires_at > now {
            self.stock.push_front(Batch {
                expires_at,
                tokens: 1,
            });
        }
    }

    /// Time of its own for a caller that is refused.
    fn refusal(&mut self, context: BorrowerContext<'_>, reason: RefusalReason) -> Verdict {
        let BorrowerContext {
            now, limits, phase, ..
        } = context;
        let sharers = f64::from(self.sharers.max(1));
        let interval = sharers / limits.rate().max(1e-9);
        let share = StartRate::try_from(1.0 / interval);
        let share = share.unwrap_or(limits.quota().rate);
        let offset = if sharers > 1.0 { phase * interval } else { 0.0 };
        let offset = share
            .interval()
            .min(Duration::from_secs_f64(offset.min(10.0)));
        let earliest = match reason {
            RefusalReason::Limit => self.capacity_at.saturating_sub(now),
            RefusalReason::NoOwner => FLOOR_DELAY,
        };
        let earliest = earliest.max(interval_of(limits)) + offset;
        let retry_after = self.returns.reserve(now, share, earliest, Duration::MAX);
        Verdict::Refused(reason, retry_after)
    }

    /// Request to send to the owner now, if any.
    pub fn next_request(
        &mut self,
        context: BorrowerContext<'_>,
        sequence: impl FnOnce() -> u32,
    ) -> Option<&OpenRequest> {
        let now = context.now;
        if self.open.is_some() {
            return None;
        }
        let target = self.stock_target(context);
        let in_stock = self.stock_size(now);
        let needs_stock = now >= self.next_stock_at && 2 * in_stock < target;
        if self.waiters.is_empty() && !needs_stock {
            return None;
        }
        if needs_stock {
            self.next_stock_at = now + RESEND_INTERVAL;
        }
        let stock = if needs_stock { target - in_stock } else { 0 };
        let moved = self.moved.filter(|(_, until)| now < *until);
        let open = OpenRequest {
            sequence: sequence(),
            request: TokenRequest {
                waiting: u16::try_from(self.waiters.len()).unwrap_or(u16::MAX),
                stock: u16::try_from(stock).unwrap_or(u16::MAX),
            },
            to: moved.map_or(context.owner, |(owner, _)| owner),
            first_sent_at: now,
            sent_at: now,
            send_count: 1,
            move_count: 0,
        };
        Some(self.open.insert(open))
    }

    /// Tokens to have in stock: those for the demand until the next answer, with room for
    /// its unevenness. None for a few requests a second, as they would expire unused.
    fn stock_target(&mut self, context: BorrowerContext<'_>) -> u32 {
        self.demand.advance(context.now);
        if self.demand.recent() < MIN_STOCK_DEMAND {
            return 0;
        }
        let time = STOCK_TIME.min(context.limits.validity() / 2);
        (self.demand.rate(context.now) * time.as_secs_f64()).ceil() as u32
    }

    /// Handles the owner's grant. Returns what becomes of the requests that waited.
    pub fn on_grant(
        &mut self,
        context: BorrowerContext<'_>,
        sequence: u32,
        grant: TokenGrant,
    ) -> Vec<(WaitNumber, Verdict)> {
        let now = context.now;
        let open = self.open.take_if(|open| open.sequence == sequence);
        let Some(open) = open else {
            return Vec::new();
        };
        self.unreachable_since = None;
        self.floor = None;
        self.sharers = grant.sharers;
        self.capacity_at = now + Duration::from_millis(grant.wait_ms.into());
        let expires_at = open.first_sent_at + context.limits.validity();
        if expires_at > now && grant.tokens > 0 {
            self.stock.push_back(Batch {
                expires_at,
                tokens: grant.tokens.into(),
            });
        }
        let pause = Duration::from_millis(grant.pause_ms.into());
        self.next_wait_at = now + pause;
        let asked = u32::from(open.request.waiting) + u32::from(open.request.stock);
        if u32::from(grant.tokens) < asked {
            self.next_stock_at = now + pause.max(STOCK_TIME);
        }
        let mut verdicts = self.serve_waiters(now);
        if !pause.is_zero() {
            verdicts.extend(self.refuse_waiters(context, RefusalReason::Limit));
        }
        verdicts
    }

    fn serve_waiters(&mut self, now: Duration) -> Vec<(WaitNumber, Verdict)> {
        let mut verdicts = Vec::new();
        while !self.waiters.is_empty()
            && let Some(expires_at) = self.take_from_stock(now)
        {
            let waiter = self.waiters.pop_front();
            verdicts.extend(waiter.map(|number| (number, Verdict::Token(expires_at))));
        }
        verdicts
    }

    fn refuse_waiters(
        &mut self,
        context: BorrowerContext<'_>,
        reason: RefusalReason,
    ) -> Vec<(WaitNumber, Verdict)> {
        let waiters = std::mem::take(&mut self.waiters);
        let refused = waiters.into_iter();
        refused
            .map(|number| (number, self.refusal(context, reason)))
            .collect()
    }

    /// Handles a redirect to another owner; true to ask that one.
    pub fn on_moved(&mut self, now: Duration, sequence: u32, owner: SocketAddr) -> bool {
        let Some(open) = &mut self.open else {
            return false;
        };
        if open.sequence != sequence || open.move_count >= MAX_MOVES || open.to == owner {
            return false;
        }
        open.move_count += 1;
        open.to = owner;
        open.sent_at = now;
        open.send_count = 1;
        self.moved = Some((owner, now + MOVE_LIFETIME));
        true
    }

    /// Removes all waiting requests, as the tenant has no quota any longer.
    pub fn take_waiters(&mut self) -> VecDeque<WaitNumber> {
        std::mem::take(&mut self.waiters)
    }

    /// Request that isn't answered yet.
    pub fn open_request(&self) -> Option<&OpenRequest> {
        self.open.as_ref()
    }

    /// Gives up a wait, after its time; the request's caller is refused. Returns `None` if
    /// the wait has been decided.
    pub fn give_up(&mut self, context: BorrowerContext<'_>, number: WaitNumber) -> Option<Verdict> {
        let index = self.waiters.iter().position(|waiter| *waiter == number)?;
        self.waiters.remove(index);
        Some(self.refusal(context, RefusalReason::NoOwner))
    }

    /// Whether the open request is to be sent again now. After the last time its owner
    /// counts as unreachable.
    pub fn tick(&mut self, context: BorrowerContext<'_>) -> (bool, Vec<(WaitNumber, Verdict)>) {
        let now = context.now;
        let Some(open) = &mut self.open else {
            return (false, Vec::new());
        };
        if now.saturating_sub(open.sent_at) < RESEND_INTERVAL {
            return (false, Vec::new());
        }
        if open.send_count < MAX_SENDS {
            open.send_count += 1;
            open.sent_at = now;
            return (true, Vec::new());
        }
        let first_sent_at = open.first_sent_at;
        self.unreachable_since.get_or_insert(first_sent_at);
        self.open = None;
        self.moved = None;
        self.next_wait_at = now + UNANSWERED_PAUSE;
        self.next_stock_at = now + UNANSWERED_PAUSE;
        (false, self.refuse_waiters(context, RefusalReason::NoOwner))
    }
}
