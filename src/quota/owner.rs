//! Owner's side of quotas: the buckets that this node holds, and the leases under which
//! nodes hold them.
//!
//! The owner of a tenant grants only while it has a lease from its successor, the next
//! member in the tenant's order. The successor gives a lease only to a node that ranks
//! before it, to one at a time, and holds no bucket itself meanwhile. So there is one
//! holder, also while nodes disagree on the members, and a node that is cut off or paused
//! stops granting when its lease ends. A lease is asked for when a request needs it and
//! costs nothing while a tenant is quiet.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use super::bucket::TokenBucket;
use super::limits::QuotaLimits;
use super::members::MemberView;
use super::wire::{LeaseTerms, MessageContent, QuotaMessage, TenantKey, TokenGrant, TokenRequest};

/// Time for which a lease keeps others from holding the bucket.
pub(super) const LEASE_TIME: Duration = Duration::from_millis(500);
/// Time by which the owner ends its lease early, for clocks of different speed.
const LEASE_MARGIN: Duration = Duration::from_millis(20);
/// Time left on a lease at which it is renewed.
const RENEWAL_TIME: Duration = Duration::from_millis(200);
/// Time after which an unanswered claim is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(15);
/// Times that a claim is sent before its successor is taken for unreachable.
const MAX_CLAIM_SENDS: u32 = 3;
/// Pause after a claim that was refused or not answered.
const CLAIM_PAUSE: Duration = Duration::from_millis(100);
/// Time for which the level of a bucket is passed on after the lease ended.
const LEVEL_LIFETIME: Duration = Duration::from_secs(1);
/// Time for which an owner that knows no level grants half the rate. Other nodes may take
/// that long to learn that there is an owner again, and spend without one until then.
const SLOW_START: Duration = Duration::from_secs(3);
const SLOW_START_SHARE: f64 = 0.5;
/// Time for which a request waits for the lease.
const PENDING_LIFETIME: Duration = Duration::from_millis(100);
/// Time since its last request for which a borrower counts as sharing the rate.
const BORROWER_MEMORY: Duration = Duration::from_secs(2);
/// Requests per second that borrowers without tokens may send for one tenant, if that is
/// more than its rate.
const MIN_POLLS_PER_SECOND: f64 = 100.0;
/// Part of the bucket that is lent to requests only, not for stock: stock may expire
/// unused. With 2 tokens instead, a tenant with 70% of 10 requests per second at two nodes
/// was refused 1.4%.
const STOCK_RESERVE_SHARE: f64 = 0.5;

/// Message to another node, or to the own one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Outgoing {
    pub to: SocketAddr,
    pub message: QuotaMessage,
}

/// What a decision of the owner depends on besides its own state.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnerContext<'a> {
    pub now: Duration,
    pub view: &'a MemberView,
    pub limits: &'a QuotaLimits,
}

#[derive(Debug)]
struct PendingClaim {
    sequence: u32,
    first_sent_at: Duration,
    sent_at: Duration,
    send_count: u32,
    to: SocketAddr,
}

#[derive(Debug)]
struct PendingRequest {
    from: SocketAddr,
    sequence: u32,
    request: TokenRequest,
    received_at: Duration,
}

#[derive(Debug)]
struct BorrowerRecord {
    sequence: u32,
    grant: TokenGrant,
    asked_at: Duration,
}

/// Bucket of a tenant and the lease on it.
#[derive(Debug, Default)]
struct Holding {
    bucket: Option<TokenBucket>,
    lease_until: Duration,
    /// Version of the view in which the node held the bucket alone.
    alone_in_view: Option<u64>,
    slow_until: Duration,
    claim: Option<PendingClaim>,
    next_claim_at: Duration,
    pending: VecDeque<PendingRequest>,
    borrowers: BTreeMap<SocketAddr, BorrowerRecord>,
}

/// Lease that this node has given.
#[derive(Debug)]
struct GivenLease {
    holder: SocketAddr,
    rank: u64,
    until: Duration,
    sequence: u32,
    terms: LeaseTerms,
    /// Whether this node knows that no other has held the bucket since.
    is_known_exclusive: bool,
}

/// Start of holding a bucket, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HoldStart {
    pub tenant: TenantKey,
    /// Where the level comes from.
    pub source: &'static str,
    pub level: f64,
    /// Time for which nobody held the bucket, as far as it is known.
    pub quiet: Duration,
}

/// Buckets and leases of one node.
#[derive(Debug, Default)]
pub(super) struct OwnerState {
    started_at: Duration,
    /// End of the last pause of this node.
    paused_at: Duration,
    holdings: BTreeMap<TenantKey, Holding>,
    given_leases: BTreeMap<TenantKey, GivenLease>,
    next_sequence: u32,
    hold_starts: Vec<HoldStart>,
}

impl OwnerState {
    /// Buckets that this node has begun to hold since the last call.
    pub fn take_hold_starts(&mut self) -> Vec<HoldStart> {
        std::mem::take(&mut self.hold_starts)
    }

    /// State of a node that has just started. Its numbers start at `first_sequence`, which
    /// differs from those of an earlier process of the node.
    pub fn new(now: Duration, first_sequence: u32) -> Self {
        Self {
            started_at: now,
            next_sequence: first_sequence,
            ..Self::default()
        }
    }

    /// A node that has just started may have given a lease before, which it has forgotten.
    fn is_ready(&self, now: Duration) -> bool {
        now >= self.started_at + LEASE_TIME
    }

    /// Level of a bucket that this node holds.
    pub fn level(&self, now: Duration, tenant: TenantKey) -> Option<f64> {
        let holding = self.holdings.get(&tenant)?;
        let bucket = holding.bucket.as_ref()?;
        (holding.lease_until > now).then(|| bucket.level())
    }

    /// Forgets what depends on this node having watched without a gap.
    pub fn on_pause(&mut self, now: Duration) {
        self.paused_at = now;
        for lease in self.given_leases.values_mut() {
            lease.is_known_exclusive = false;
        }
    }

    /// Drops tenants without a quota.
    pub fn retain(&mut self, mut has_quota: impl FnMut(TenantKey) -> bool) {
        self.holdings.retain(|tenant, _| has_quota(*tenant));
        self.given_leases.retain(|tenant, _| has_quota(*tenant));
    }

    /// Handles a borrower's request.
    pub fn on_request(
        &mut self,
        context: OwnerContext<'_>,
        tenant: TenantKey,
        from: SocketAddr,
        sequence: u32,
        request: TokenRequest,
        output: &mut Vec<Outgoing>,
    ) {
        let OwnerContext { now, view, .. } = context;
        if !self.is_ready(now) {
            return;
        }
        let owner = view.owner(tenant);
        let is_holding = self.hold(context, tenant);
        let lease = self.given_leases.get(&tenant);
        let valid_lease = lease.filter(|lease| lease.until > now);
        let other = match valid_lease {
            _ if is_holding => None,
            Some(lease) => Some(lease.holder),
            None => (owner != view.own()).then_some(owner.address),
        };
        if let Some(other) = other {
            let message = QuotaMessage {
                tenant,
                sequence,
                content: MessageContent::Moved(other),
            };
            output.push(Outgoing { to: from, message });
            return;
        }
        let holding = self.holdings.entry(tenant).or_default();
        if is_holding {
            let message = holding.answer(context, tenant, from, sequence, request);
            output.push(Outgoing { to: from, message });
        } else {
            holding.pending.retain(|pending| pending.from != from);
            holding.pending.push_back(PendingRequest {
                from,
                sequence,
                request,
                received_at: now,
            });
        }
        if owner == view.own() && holding.needs_lease(now) {
            self.claim(context, tenant, output);
        }
    }

    /// Whether this node may grant now.
    fn hold(&mut self, context: OwnerContext<'_>, tenant: TenantKey) -> bool {
        let OwnerContext { now, view, .. } = context;
        let is_lent = self.given_leases.get(&tenant);
        let is_lent = is_lent.is_some_and(|lease| lease.until > now);
        if view.is_alone(now) && !is_lent {
            self.given_leases.remove(&tenant);
            let holding = self.holdings.entry(tenant).or_default();
            if holding.lease_until <= now && holding.alone_in_view != Some(view.version()) {
                holding.start(context, Duration::ZERO);
                let level = holding.level();
                self.hold_starts.push(HoldStart {
                    tenant,
                    source: "alone",
                    level,
                    quiet: Duration::ZERO,
                });
            }
            holding.alone_in_view = Some(view.version());
            holding.lease_until = now + LEASE_TIME - LEASE_MARGIN;
        }
        let holding = self.holdings.get(&tenant);
        holding.is_some_and(|holding| holding.bucket.is_some() && holding.lease_until > now)
    }

    /// Asks the successor for a lease.
    fn claim(&mut self, context: OwnerContext<'_>, tenant: TenantKey, output: &mut Vec<Outgoing>) {
        let OwnerContext { now, view, .. } = context;
        let Some(successor) = view.first_other(tenant, None) else {
            return;
        };
        self.next_sequence = self.next_sequence.wrapping_add(1);
        let holding = self.holdings.entry(tenant).or_default();
        let claim = PendingClaim {
            sequence: self.next_sequence,
            first_sent_at: now,
            sent_at: now,
            send_count: 1,
            to: successor.address,
        };
        output.push(claim_message(view, tenant, &claim));
        holding.claim = Some(claim);
    }

    /// Handles another node's claim as its successor.
    pub fn on_claim(
        &mut self,
        context: OwnerContext<'_>,
        tenant: TenantKey,
        from: SocketAddr,
        sequence: u32,
        rank: u64,
        output: &mut Vec<Outgoing>,
    ) {
        let OwnerContext { now, view, limits } = context;
        if !self.is_ready(now) {
            return;
        }
        let content = if self.may_give_lease(context, tenant, rank) {
            let terms = self.give_lease(now, view, limits, tenant, from, sequence, rank);
            MessageContent::Lease(terms)
        } else {
            MessageContent::ClaimRefused
        };
        let message = QuotaMessage {
            tenant,
            sequence,
            content,
        };
        output.push(Outgoing { to: from, message });
    }

    fn may_give_lease(&self, context: OwnerContext<'_>, tenant: TenantKey, rank: u64) -> bool {
        let OwnerContext { now, view, .. } = context;
        let own_rank = view.own().rank(tenant);
        let next = view.first_other(tenant, Some(rank));
        let is_next = next.is_none_or(|next| next.rank(tenant) < own_rank);
        let lease = self.given_leases.get(&tenant);
        let is_free = lease.is_none_or(|lease| lease.rank == rank || lease.until <= now);
        rank > own_rank && is_next && is_free
    }

    #[expect(clippy::too_many_arguments, reason = "fields of one message")]
    fn give_lease(
        &mut self,
        now: Duration,
        view: &MemberView,
        limits: &QuotaLimits,
        tenant: TenantKey,
        holder: SocketAddr,
        sequence: u32,
        rank: u64,
    ) -> LeaseTerms {
        let previous = self.given_leases.get_mut(&tenant);
        let previous = previous.filter(|lease| lease.rank == rank);
        if let Some(lease) = previous
            && lease.sequence == sequence
            && lease.holder == holder
        {
            lease.until = now + LEASE_TIME;
            return lease.terms;
        }
        let known = self.given_leases.get(&tenant);
        let is_known_exclusive =
            known.is_some_and(|lease| lease.rank == rank && lease.is_known_exclusive);
        let quiet_since = known
            .map_or(Duration::ZERO, |lease| lease.until)
            .max(view.unchanged_since(tenant))
            .max(self.started_at + LEASE_TIME)
            .max(self.paused_at);
        let quiet_since = quiet_since.max(
            self.holdings
                .get(&tenant)
                .map_or(Duration::ZERO, |holding| holding.lease_until),
        );
        let held = self.holdings.remove(&tenant);
        let level = held.and_then(|mut holding| {
            let is_recent = holding.lease_until + LEVEL_LIFETIME > now;
            holding.fill(OwnerContext { now, view, limits });
            holding.bucket.filter(|_| is_recent)
        });
        let terms = LeaseTerms {
            level: level.as_ref().map(|bucket| bucket.level() as f32),
            is_continuous: is_known_exclusive && level.is_none(),
            quiet_ms: u32::try_from(now.saturating_sub(quiet_since).as_millis())
                .unwrap_or(u32::MAX),
        };
        let lease = GivenLease {
            holder,
            rank,
            until: now + LEASE_TIME,
            sequence,
            terms,
            is_known_exclusive: true,
        };
        self.given_leases.insert(tenant, lease);
        terms
    }

    /// Handles the successor's lease.
    pub fn on_lease(
        &mut self,
        context: OwnerContext<'_>,
        tenant: TenantKey,
        sequence: u32,
        terms: LeaseTerms,
        output: &mut Vec<Outgoing>,
    ) {
        let now = context.now;
        let Some(holding) = self.holdings.get_mut(&tenant) else {
            return;
        };
        let claim = holding.claim.take_if(|claim| claim.sequence == sequence);
        let Some(claim) = claim else {
            return;
        };
        let lease = self.given_leases.get(&tenant);
        if lease.is_some_and(|lease| lease.until > now) {
            // A node that ranks before this one was given a lease meanwhile.
            return;
        }
        self.given_leases.remove(&tenant);
        let lease_until = claim.first_sent_at + LEASE_TIME - LEASE_MARGIN;
        if lease_until <= now {
            return;
        }
        let was_held = holding.lease_until > now;
        holding.alone_in_view = None;
        let quiet = Duration::from_millis(terms.quiet_ms.into());
        let source = match (terms.level, &mut holding.bucket) {
            (Some(level), bucket) => {
                let level = f64::from(level).clamp(0.0, context.limits.depth());
                *bucket = Some(TokenBucket::new(now, level));
                holding.slow_until = Duration::ZERO;
                Some("handed-over")
            }
            (None, Some(_)) if was_held || terms.is_continuous => None,
            _ => {
                holding.start(context, quiet);
                Some("unknown")
            }
        };
        if let Some(source) = source {
            self.hold_starts.push(HoldStart {
                tenant,
                source,
                level: holding.level(),
                quiet,
            });
        }
        holding.lease_until = lease_until;
        for pending in std::mem::take(&mut holding.pending) {
            if now.saturating_sub(pending.received_at) > PENDING_LIFETIME {
                continue;
            }
            let PendingRequest {
                from,
                sequence,
                request,
                ..
            } = pending;
            let message = holding.answer(context, tenant, from, sequence, request);
            output.push(Outgoing { to: from, message });
        }
    }

    /// Handles the refusal of a claim.
    pub fn on_claim_refused(&mut self, now: Duration, tenant: TenantKey, sequence: u32) {
        let Some(holding) = self.holdings.get_mut(&tenant) else {
            return;
        };
        let claim = holding.claim.take_if(|claim| claim.sequence == sequence);
        if claim.is_some() {
            holding.next_claim_at = now + CLAIM_PAUSE;
        }
    }

    /// Sends unanswered claims again.
    pub fn tick(&mut self, now: Duration, view: &MemberView, output: &mut Vec<Outgoing>) {
        for (tenant, holding) in &mut self.holdings {
            let Some(claim) = &mut holding.claim else {
                continue;
            };
            if now.saturating_sub(claim.sent_at) < RESEND_INTERVAL {
                continue;
            }
            if claim.send_count >= MAX_CLAIM_SENDS {
                holding.claim = None;
                holding.next_claim_at = now + CLAIM_PAUSE;
                continue;
            }
            claim.send_count += 1;
            claim.sent_at = now;
            output.push(claim_message(view, *tenant, claim));
        }
    }

    /// Whether a claim waits for its reply.
    pub fn has_claims(&self) -> bool {
        self.holdings
            .values()
            .any(|holding| holding.claim.is_some())
    }
}

fn claim_message(view: &MemberView, tenant: TenantKey, claim: &PendingClaim) -> Outgoing {
    let rank = view.own().rank(tenant);
    let message = QuotaMessage {
        tenant,
        sequence: claim.sequence,
        content: MessageContent::Claim { rank },
    };
    Outgoing {
        to: claim.to,
        message,
    }
}

impl Holding {
    fn level(&self) -> f64 {
        self.bucket.as_ref().map_or(0.0, TokenBucket::level)
    }

    /// Starts a bucket without knowing what was granted before the last `quiet` time, in
    /// which no other node has granted anything.
    fn start(&mut self, context: OwnerContext<'_>, quiet: Duration) {
        let OwnerContext { now, view, limits } = context;
        self.fill(context);
        let share = view.contact_share();
        let filled = limits.rate() * quiet.as_secs_f64();
        let level = ((limits.start_level() + filled) * share).min(limits.depth() * share);
        let known_level = self.bucket.as_ref().map_or(f64::MAX, TokenBucket::level);
        self.bucket = Some(TokenBucket::new(now, level.min(known_level)));
        // No other node spends without an owner if the quota is too small to be divided.
        let spends_elsewhere = limits.allows_floor(view.known_count());
        let slow_time = if spends_elsewhere && quiet < SLOW_START {
            SLOW_START
        } else {
            Duration::ZERO
        };
        self.slow_until = now + slow_time;
    }

    fn needs_lease(&self, now: Duration) -> bool {
        let time_left = self.lease_until.saturating_sub(now);
        let is_due = match self.alone_in_view {
            Some(_) => time_left.is_zero(),
            None => time_left < RENEWAL_TIME,
        };
        is_due && self.claim.is_none() && now >= self.next_claim_at
    }

    /// Rate at which this node grants.
    fn rate(&self, context: OwnerContext<'_>) -> f64 {
        let start_share = if context.now < self.slow_until {
            SLOW_START_SHARE
        } else {
            1.0
        };
        context.limits.rate() * context.view.contact_share() * start_share
    }

    fn fill(&mut self, context: OwnerContext<'_>) {
        let rate = self.rate(context);
        let depth = context.limits.depth() * context.view.contact_share();
        if let Some(bucket) = &mut self.bucket {
            bucket.fill(context.now, rate, depth);
        }
    }

    fn answer(
        &mut self,
        context: OwnerContext<'_>,
        tenant: TenantKey,
        from: SocketAddr,
        sequence: u32,
        request: TokenRequest,
    ) -> QuotaMessage {
        let grant = self.grant(context, from, sequence, request);
        QuotaMessage {
            tenant,
            sequence,
            content: MessageContent::Grant(grant),
        }
    }

    fn grant(
        &mut self,
        context: OwnerContext<'_>,
        from: SocketAddr,
        sequence: u32,
        request: TokenRequest,
    ) -> TokenGrant {
        let now = context.now;
        if let Some(record) = self.borrowers.get(&from)
            && record.sequence == sequence
        {
            return record.grant;
        }
        self.fill(context);
        let rate = self.rate(context).max(1e-3);
        let reserve = STOCK_RESERVE_SHARE * context.limits.depth();
        let Some(bucket) = &mut self.bucket else {
            return TokenGrant::default();
        };
        let for_waiting = bucket.take(request.waiting, 0.0);
        let for_stock = bucket.take(request.stock, reserve);
        let missing = (1.0 - bucket.level()).max(0.0);
        let is_short = for_waiting < request.waiting;
        self.borrowers.retain(|address, record| {
            *address == from || now.saturating_sub(record.asked_at) < BORROWER_MEMORY
        });
        let sharers = self.borrowers.len().max(1);
        let polls = rate.max(MIN_POLLS_PER_SECOND);
        let pause = if is_short {
            sharers as f64 / polls
        } else {
            0.0
        };
        let grant = TokenGrant {
            tokens: for_waiting.saturating_add(for_stock),
            wait_ms: to_millis(missing / rate),
            pause_ms: to_millis(pause),
            sharers: u16::try_from(sharers).unwrap_or(u16::MAX),
        };
        let record = BorrowerRecord {
            sequence,
            grant,
            asked_at: now,
        };
        self.borrowers.insert(from, record);
        grant
    }
}

fn to_millis(seconds: f64) -> u32 {
    (seconds * 1e3).ceil() as u32
}
