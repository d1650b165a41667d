//! Quotas of a node, shared by its ingress threads and the control thread.
//!
//! Each decision takes the lock once. Datagrams are sent from the thread that decided, on
//! a second handle to membership's socket, so that a waiting request doesn't also wait
//! for the control thread on the way out.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::limits::QuotaLimits;
use super::members::{MemberAddress, OtherMembers};
use super::state::{QuotaAction, QuotaState, TakeResult, WaitNumber};
use super::usage::{RefusalReason, UsageSummary};
use super::wire::TenantKey;
use crate::ids::TenantName;
use crate::options::QuotaTolerance;
use crate::routes::{RouteConfig, TenantDirectory};

/// Longest time that a request waits for the owner's answer.
const MAX_WAIT: Duration = Duration::from_millis(60);

/// Shared quotas of a node.
#[derive(Debug)]
pub struct QuotaHub {
    started_at: Instant,
    tolerance: QuotaTolerance,
    socket: Option<UdpSocket>,
    /// Lets calls skip the lock while no tenant has a quota.
    is_active: AtomicBool,
    shared: Mutex<SharedQuotas>,
}

#[derive(Debug)]
struct SharedQuotas {
    state: QuotaState,
    waits: BTreeMap<WaitNumber, oneshot::Sender<TakeResult>>,
}

/// Token of one request. Given back when it is dropped, unless the request is on its way.
#[derive(Debug)]
pub struct QuotaToken {
    hub: Arc<QuotaHub>,
    tenant: TenantKey,
    expires_at: Duration,
    is_spent: bool,
}

impl QuotaToken {
    /// Keeps the token from being given back, as the request is about to be offered.
    pub fn spend(&mut self) {
        self.is_spent = true;
    }

    /// Gives the token back, as the request has reached no backend server.
    pub fn give_back(mut self) {
        self.is_spent = false;
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        if !self.is_spent {
            let now = self.hub.now();
            let mut shared = self.hub.lock();
            shared.state.put_back(now, self.tenant, self.expires_at);
        }
    }
}

/// Refusal of a request for which there is no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which its caller should come again.
    pub retry_after: Duration,
}

impl QuotaHub {
    /// Quotas of a node without tenants. Without a socket it reaches no other node.
    pub fn new(
        started_at: Instant,
        own: MemberAddress,
        seed: u32,
        tolerance: QuotaTolerance,
        socket: Option<UdpSocket>,
    ) -> Self {
        let state = QuotaState::new(started_at.elapsed(), own, seed);
        Self {
            started_at,
            tolerance,
            socket,
            is_active: AtomicBool::new(false),
            shared: Mutex::new(SharedQuotas {
                state,
                waits: BTreeMap::new(),
            }),
        }
    }

    /// Quotas of a node that never gets tenants.
    pub fn without_peers(started_at: Instant) -> Self {
        let own = MemberAddress {
            node: 0,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
        };
        let tolerance = QuotaTolerance {
            window: Duration::from_secs(1),
            overage: 0.0,
            slack: 0.0,
        };
        Self::new(started_at, own, 0, tolerance, None)
    }

    fn lock(&self) -> MutexGuard<'_, SharedQuotas> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether any tenant has a quota.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// Applies the tenants of the configuration in force.
    pub fn set_config(&self, config: Option<&RouteConfig>) {
        let tenants = config.and_then(|config| config.tenants.as_ref());
        let tenants = tenants.into_iter().flat_map(TenantDirectory::iter);
        let quotas: Vec<(TenantName, QuotaLimits)> = tenants
            .filter_map(|tenant| {
                let limits = QuotaLimits::new(tenant.quota?, self.tolerance);
                Some((tenant.name.clone(), limits))
            })
            .collect();
        if quotas.is_empty() && !self.is_active() {
            return;
        }
        self.update(|state, _| state.set_quotas(quotas));
        let has_quotas = self.lock().state.has_quotas();
        self.is_active.store(has_quotas, Ordering::Relaxed);
    }

    /// Applies the members.
    pub fn set_members(&self, others: &OtherMembers) {
        self.update(|state, now| state.set_members(now, others));
    }

    /// Handles a datagram that starts with [`DATAGRAM_MARK`](super::DATAGRAM_MARK).
    pub fn on_datagram(&self, from: SocketAddr, payload: &[u8]) {
        if self.is_active() {
            self.update(|state, now| state.on_datagram(now, from, payload));
        }
    }

    /// Sends again what was not answered; true if an answer is expected.
    pub fn tick(&self) -> bool {
        self.update(QuotaState::tick);
        self.lock().state.is_waiting()
    }

    /// Takes a token for a request of `tenant`; `None` if it has no quota.
    ///
    /// # Errors
    ///
    /// Fails if there is none, at once or after the answer of the owner.
    pub async fn take(
        self: &Arc<Self>,
        tenant: &TenantName,
    ) -> Result<Option<QuotaToken>, QuotaRefusal> {
        if !self.is_active() {
            return Ok(None);
        }
        let tenant = TenantKey::new(tenant);
        let mut receiver = None;
        let taken = self.update_with(|shared, now| {
            let taken = shared.state.take(now, tenant);
            if let TakeResult::Waiting(number) = taken {
                let (sender, decision) = oneshot::channel();
                shared.waits.insert(number, sender);
                receiver = Some(decision);
            }
            taken
        });
        let result = match (taken, receiver) {
            (TakeResult::Waiting(number), Some(decision)) => {
                let wait = WaitGuard {
                    hub: Arc::clone(self),
                    tenant,
                    number,
                    decision,
                };
                wait.finish().await
            }
            (taken, _) => taken,
        };
        match result {
            TakeResult::Unlimited => Ok(None),
            TakeResult::Token { expires_at } => Ok(Some(self.token(tenant, expires_at))),
            TakeResult::Refused {
                reason,
                retry_after,
            } => Err(QuotaRefusal {
                reason,
                retry_after,
            }),
            TakeResult::Waiting(_) => Err(QuotaRefusal {
                reason: RefusalReason::NoOwner,
                retry_after: Duration::from_secs(1),
            }),
        }
    }

    fn token(self: &Arc<Self>, tenant: TenantKey, expires_at: Duration) -> QuotaToken {
        QuotaToken {
            hub: Arc::clone(self),
            tenant,
            expires_at,
            is_spent: false,
        }
    }

    /// Usage by tenant, for metrics.
    pub fn summary(&self) -> UsageSummary {
        self.lock().state.summary(self.now())
    }

    /// Buckets held by this node.
    pub fn held_buckets(&self) -> Vec<(TenantName, f64)> {
        self.lock().state.held_buckets(self.now())
    }

    /// Counters and gauges by name; none while no tenant has a quota.
    pub fn counters(&self) -> Vec<(&'static str, u64)> {
        if !self.is_active() {
            return Vec::new();
        }
        let now = self.now();
        let shared = self.lock();
        let traffic = shared.state.traffic();
        let held = shared.state.held_buckets(now).len();
        vec![
            ("quota.datagrams_sent", traffic.datagrams_sent),
            ("quota.datagrams_received", traffic.datagrams_received),
            ("quota.bytes_sent", traffic.bytes_sent),
            ("quota.malformed", traffic.malformed),
            (
                "quota.known_nodes",
                shared.state.view().known_count() as u64,
            ),
            ("quota.held_buckets", held as u64),
        ]
    }

    /// Members that may be part of the fleet, and the share of them in contact.
    pub fn contact(&self) -> (usize, f64) {
        let shared = self.lock();
        let view = shared.state.view();
        (view.known_count(), view.contact_share())
    }

    fn update(&self, change: impl FnOnce(&mut QuotaState, Duration)) {
        self.update_with(|shared, now| change(&mut shared.state, now));
    }

    fn update_with<T>(&self, change: impl FnOnce(&mut SharedQuotas, Duration) -> T) -> T {
        let mut shared = self.lock();
        let result = change(&mut shared, self.now());
        let actions = shared.state.take_actions();
        let hold_starts = shared.state.take_hold_starts();
        let view = shared.state.view();
        let (known_nodes, contact_share) = (view.known_count(), view.contact_share());
        let mut datagrams = Vec::new();
        for action in actions {
            match action {
                QuotaAction::Send { to, payload } => datagrams.push((to, payload)),
                QuotaAction::Decide(number, decision) => {
                    if let Some(sender) = shared.waits.remove(&number) {
                        // The receiver takes back what it can't use when it is dropped.
                        let _ = sender.send(decision);
                    }
                }
            }
        }
        drop(shared);
        for (tenant, source, level, quiet) in hold_starts {
            log::info!(
                target: "quota",
                tenant:%, source, level, quiet_ms = quiet.as_millis() as u64, known_nodes,
                contact_share;
                "bucket of a tenant held by this node"
            );
        }
        if let Some(socket) = &self.socket {
            for (to, payload) in datagrams {
                // A datagram that can't be sent is treated as lost.
                let _ = socket.send_to(&payload, to);
            }
        }
        result
    }
}

/// Wait of one request. If the request is dropped meanwhile, its token is given back.
struct WaitGuard {
    hub: Arc<QuotaHub>,
    tenant: TenantKey,
    number: WaitNumber,
    decision: oneshot::Receiver<TakeResult>,
}

impl WaitGuard {
    async fn finish(mut self) -> TakeResult {
        let decision = tokio::time::timeout(MAX_WAIT, &mut self.decision).await;
        match decision {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => self.give_up(),
        }
    }

    fn give_up(&mut self) -> TakeResult {
        let now = self.hub.now();
        let mut shared = self.hub.lock();
        shared.waits.remove(&self.number);
        let given_up = shared.state.give_up(now, self.tenant, self.number);
        drop(shared);
        let decided = given_up.or_else(|| self.decision.try_recv().ok());
        decided.unwrap_or(TakeResult::Refused {
            reason: RefusalReason::NoOwner,
            retry_after: Duration::from_secs(1),
        })
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.decision.is_terminated() {
            return;
        }
        if let TakeResult::Token { expires_at } = self.give_up() {
            drop(self.hub.token(self.tenant, expires_at));
        }
    }
}
