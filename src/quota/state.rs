//! State machine of a node: owner of some tenants' buckets, and borrower for the requests
//! of its own callers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;

use super::borrower::{BorrowerContext, BorrowerState, Taken, Verdict};
use super::limits::QuotaLimits;
use super::members::{MemberAddress, MemberView, OtherMembers};
use super::owner::{Outgoing, OwnerContext, OwnerState};
use super::usage::{RefusalReason, UsageSummary};
use super::wire::{MessageContent, QuotaMessage, TenantKey};
use crate::ids::TenantName;

/// Gap between two calls of [`QuotaState::tick`] from which the node counts as paused.
const PAUSE_GAP: Duration = Duration::from_millis(400);

/// Number of a request that waits for a token.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitNumber(u64);

/// Result of taking a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeResult {
    /// The tenant has no quota.
    Unlimited,
    /// A token, which may be given back until this time.
    Token {
        /// End of its validity.
        expires_at: Duration,
    },
    /// The request waits; [`QuotaAction::Decide`] follows.
    Waiting(WaitNumber),
    /// There is no token.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Time after which its caller should come again.
        retry_after: Duration,
    },
}

/// Side effect for the driver to perform, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaAction {
    /// Send a datagram; it need not arrive.
    Send {
        /// Membership address of the receiver.
        to: SocketAddr,
        /// Encoded datagram.
        payload: Bytes,
    },
    /// Tell a waiting request its result, which is not `Waiting`.
    Decide(WaitNumber, TakeResult),
}

/// Datagrams of quotas since the start, without the headers of IP and UDP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuotaTraffic {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Their bytes.
    pub bytes_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Datagrams that can't be decoded.
    pub malformed: u64,
}

#[derive(Debug)]
struct TenantEntry {
    name: TenantName,
    limits: QuotaLimits,
    borrower: BorrowerState,
}

/// Quotas of one node as a state machine without I/O.
///
/// Times are durations on the caller's monotonic clock.
#[derive(Debug)]
pub struct QuotaState {
    view: MemberView,
    tenants: BTreeMap<TenantKey, TenantEntry>,
    owner: OwnerState,
    owner_cache: BTreeMap<TenantKey, (u64, SocketAddr)>,
    next_sequence: u32,
    next_wait: u64,
    last_tick_at: Duration,
    traffic: QuotaTraffic,
    local: VecDeque<QuotaMessage>,
    actions: Vec<QuotaAction>,
}

impl QuotaState {
    /// State of a node that knows only itself. `seed` differs between the processes of a
    /// node, so that none takes an answer to an earlier one for its own.
    pub fn new(now: Duration, own: MemberAddress, seed: u32) -> Self {
        Self {
            view: MemberView::new(now, own),
            tenants: BTreeMap::new(),
            owner: OwnerState::new(now, seed),
            owner_cache: BTreeMap::new(),
            next_sequence: seed,
            next_wait: 0,
            last_tick_at: now,
            traffic: QuotaTraffic::default(),
            local: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Whether any tenant has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Members as this node sees them.
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// Datagrams so far.
    pub fn traffic(&self) -> QuotaTraffic {
        self.traffic
    }

    /// Replaces the quotas by those of a new configuration.
    pub fn set_quotas(&mut self, quotas: impl IntoIterator<Item = (TenantName, QuotaLimits)>) {
        let mut previous = std::mem::take(&mut self.tenants);
        for (name, limits) in quotas {
            let key = TenantKey::new(&name);
            let entry = previous.remove(&key).unwrap_or_else(|| TenantEntry {
                name,
                limits,
                borrower: BorrowerState::default(),
            });
            self.tenants.insert(key, TenantEntry { limits, ..entry });
        }
        for entry in previous.values_mut() {
            for number in entry.borrower.take_waiters() {
                let decision = QuotaAction::Decide(number, TakeResult::Unlimited);
                self.actions.push(decision);
            }
        }
        let tenants = &self.tenants;
        self.owner.retain(|tenant| tenants.contains_key(&tenant));
        self.owner_cache
            .retain(|tenant, _| tenants.contains_key(tenant));
    }

    /// Replaces the other members.
    pub fn set_members(&mut self, now: Duration, others: &OtherMembers) {
        self.view.update(now, others);
    }

    /// Takes a token for a request of `tenant`.
    pub fn take(&mut self, now: Duration, tenant: TenantKey) -> TakeResult {
        let number = WaitNumber(self.next_wait);
        let taken = self.with_borrower(now, tenant, |borrower, context| {
            borrower.take(context, number)
        });
        let result = match taken {
            None => return TakeResult::Unlimited,
            Some(Taken::Verdict(verdict)) => self.count(tenant, verdict),
            Some(Taken::Waiting) => {
                self.next_wait += 1;
                TakeResult::Waiting(number)
            }
        };
        self.ask_owner(now, tenant);
        self.deliver_local(now);
        result
    }

    /// Gives back the token of a request that was refused or never sent.
    pub fn put_back(&mut self, now: Duration, tenant: TenantKey, expires_at: Duration) {
        if let Some(entry) = self.tenants.get_mut(&tenant) {
            entry.borrower.put_back(now, expires_at);
        }
    }

    /// Refuses a request that has waited long enough; `None` if it has been decided.
    pub fn give_up(
        &mut self,
        now: Duration,
        tenant: TenantKey,
        number: WaitNumber,
    ) -> Option<TakeResult> {
        let verdict = self.with_borrower(now, tenant, |borrower, context| {
            borrower.give_up(context, number)
        })??;
        Some(self.count(tenant, verdict))
    }

    /// Handles a datagram from the address `from`.
    pub fn on_datagram(&mut self, now: Duration, from: SocketAddr, payload: &[u8]) {
        self.traffic.datagrams_received += 1;
        match QuotaMessage::decode(payload) {
            Ok(message) => {
                self.handle(now, from, message);
                self.deliver_local(now);
            }
            Err(_) => self.traffic.malformed += 1,
        }
    }

    /// Sends again what was not answered. To be called about every 10 ms while
    /// [`is_waiting`](Self::is_waiting), and at least every 100 ms.
    pub fn tick(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick_at) > PAUSE_GAP {
            self.owner.on_pause(now);
        }
        self.last_tick_at = now;
        let mut output = Vec::new();
        self.owner.tick(now, &self.view, &mut output);
        self.send_all(output);
        let busy = self.tenants.iter();
        let busy = busy.filter(|(_, entry)| !entry.borrower.is_idle());
        let busy: Vec<TenantKey> = busy.map(|(tenant, _)| *tenant).collect();
        for tenant in busy {
            let result = self.with_borrower(now, tenant, |borrower, context| {
                let (is_resend_due, verdicts) = borrower.tick(context);
                let resend = is_resend_due.then(|| open_message(tenant, borrower));
                (resend.flatten(), verdicts)
            });
            let Some((resend, verdicts)) = result else {
                continue;
            };
            self.send_all(resend.into_iter().collect());
            self.decide(tenant, verdicts);
            self.ask_owner(now, tenant);
        }
        self.deliver_local(now);
    }

    /// Whether an answer is expected.
    pub fn is_waiting(&self) -> bool {
        let mut entries = self.tenants.values();
        self.owner.has_claims() || entries.any(|entry| !entry.borrower.is_idle())
    }

    /// Buckets that this node has begun to hold since the last call, for the log: tenant,
    /// source and level, and the time for which nobody held it.
    pub fn take_hold_starts(&mut self) -> Vec<(TenantName, &'static str, f64, Duration)> {
        let starts = self.owner.take_hold_starts().into_iter();
        let named = starts.filter_map(|start| {
            let entry = self.tenants.get(&start.tenant)?;
            Some((entry.name.clone(), start.source, start.level, start.quiet))
        });
        named.collect()
    }

    /// Side effects since the last call.
    pub fn take_actions(&mut self) -> Vec<QuotaAction> {
        std::mem::take(&mut self.actions)
    }

    /// Usage of all tenants by this node's callers.
    pub fn summary(&self, now: Duration) -> UsageSummary {
        UsageSummary::new(self.tenants.values().map(|entry| {
            let stock = u64::from(entry.borrower.stock_size(now));
            (entry.name.clone(), entry.borrower.usage, stock)
        }))
    }

    /// Buckets that this node holds, with their levels.
    pub fn held_buckets(&self, now: Duration) -> Vec<(TenantName, f64)> {
        let entries = self.tenants.iter();
        let held = entries.filter_map(|(tenant, entry)| {
            let level = self.owner.level(now, *tenant)?;
            Some((entry.name.clone(), level))
        });
        held.collect()
    }

    /// Address of a tenant's owner in this node's view.
    pub fn owner_address(&mut self, tenant: TenantKey) -> SocketAddr {
        let version = self.view.version();
        if let Some((cached_version, address)) = self.owner_cache.get(&tenant)
            && *cached_version == version
        {
            return *address;
        }
        let address = self.view.owner(tenant).address;
        self.owner_cache.insert(tenant, (version, address));
        address
    }

    fn with_borrower<T>(
        &mut self,
        now: Duration,
        tenant: TenantKey,
        decide: impl FnOnce(&mut BorrowerState, BorrowerContext<'_>) -> T,
    ) -> Option<T> {
        if !self.tenants.contains_key(&tenant) {
            return None;
        }
        let owner = self.owner_address(tenant);
        let entry = self.tenants.get_mut(&tenant)?;
        let context = BorrowerContext {
            now,
            limits: &entry.limits,
            owner,
            known_count: self.view.known_count(),
            phase: self.view.own().rank(tenant) as f64 / u64::MAX as f64,
        };
        Some(decide(&mut entry.borrower, context))
    }

    fn ask_owner(&mut self, now: Duration, tenant: TenantKey) {
        let sequence = self.next_sequence.wrapping_add(1);
        let asked = self.with_borrower(now, tenant, |borrower, context| {
            borrower.next_request(context, || sequence).is_some()
        });
        if asked == Some(true) {
            self.next_sequence = sequence;
            let entry = self.tenants.get(&tenant);
            let message = entry.and_then(|entry| open_message(tenant, &entry.borrower));
            self.send_all(message.into_iter().collect());
        }
    }

    fn handle(&mut self, now: Duration, from: SocketAddr, message: QuotaMessage) {
        let QuotaMessage {
            tenant,
            sequence,
            content,
        } = message;
        let Some(entry) = self.tenants.get(&tenant) else {
            return;
        };
        let context = OwnerContext {
            now,
            view: &self.view,
            limits: &entry.limits,
        };
        let mut output = Vec::new();
        match content {
            MessageContent::Request(request) => {
                self.owner
                    .on_request(context, tenant, from, sequence, request, &mut output);
            }
            MessageContent::Claim { rank } => {
                self.owner
                    .on_claim(context, tenant, from, sequence, rank, &mut output);
            }
            MessageContent::Lease(terms) => {
                self.owner
                    .on_lease(context, tenant, sequence, terms, &mut output);
            }
            MessageContent::ClaimRefused => self.owner.on_claim_refused(now, tenant, sequence),
            MessageContent::Grant(grant) => {
                let verdicts = self.with_borrower(now, tenant, |borrower, context| {
                    borrower.on_grant(context, sequence, grant)
                });
                self.decide(tenant, verdicts.unwrap_or_default());
                self.ask_owner(now, tenant);
            }
            MessageContent::Moved(owner) => {
                let resend = self.with_borrower(now, tenant, |borrower, _| {
                    let is_moved = borrower.on_moved(now, sequence, owner);
                    is_moved.then(|| open_message(tenant, borrower)).flatten()
                });
                output.extend(resend.flatten());
            }
        }
        self.send_all(output);
    }

    /// Handles the messages that this node sent to itself.
    fn deliver_local(&mut self, now: Duration) {
        let own = self.view.own().address;
        while let Some(message) = self.local.pop_front() {
            self.handle(now, own, message);
        }
    }

    fn send_all(&mut self, output: Vec<Outgoing>) {
        for Outgoing { to, message } in output {
            if to == self.view.own().address {
                self.local.push_back(message);
                continue;
            }
            let payload = message.encode();
            self.traffic.datagrams_sent += 1;
            self.traffic.bytes_sent += payload.len() as u64;
            self.actions.push(QuotaAction::Send { to, payload });
        }
    }

    fn decide(&mut self, tenant: TenantKey, verdicts: Vec<(WaitNumber, Verdict)>) {
        for (number, verdict) in verdicts {
            let result = self.count(tenant, verdict);
            self.actions.push(QuotaAction::Decide(number, result));
        }
    }

    fn count(&mut self, tenant: TenantKey, verdict: Verdict) -> TakeResult {
        let entry = self.tenants.get_mut(&tenant);
        let usage = entry.map(|entry| &mut entry.borrower.usage);
        match verdict {
            Verdict::Token(expires_at) => {
                if let Some(usage) = usage {
                    usage.admitted += 1;
                }
                TakeResult::Token { expires_at }
            }
            Verdict::Refused(reason, retry_after) => {
                if let Some(usage) = usage {
                    usage.count_refusal(reason);
                }
                TakeResult::Refused {
                    reason,
                    retry_after,
                }
            }
        }
    }
}

fn open_message(tenant: TenantKey, borrower: &BorrowerState) -> Option<Outgoing> {
    let open = borrower.open_request()?;
    let message = QuotaMessage {
        tenant,
        sequence: open.sequence,
        content: MessageContent::Request(open.request),
    };
    Some(Outgoing {
        to: open.to,
        message,
    })
}
