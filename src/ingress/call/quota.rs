//! Token of a call whose tenant has a quota.
//!
//! It is taken before the first offer. It is given back if the call was refused and no
//! backend server saw it: one that refuses a request has received it.

use super::CallDriver;
use crate::error::{ErrorKind, RunOutcome};
use crate::ingress::answer::CallFailure;
use crate::quota::{QuotaRefusal, QuotaToken};
use crate::retry::AttemptFailure;

/// Token of a call, and whether it may still be given back.
#[derive(Debug, Default)]
pub(super) struct QuotaUse {
    is_checked: bool,
    token: Option<QuotaToken>,
    has_reached_backend: bool,
}

impl QuotaUse {
    /// Marks the token as used, as the call is about to be offered.
    pub(super) fn spend(&mut self) {
        if let Some(token) = &mut self.token {
            token.spend();
        }
    }

    pub(super) fn record_failure(&mut self, failure: AttemptFailure) {
        self.has_reached_backend |= failure.kind() == ErrorKind::BackendRefused;
    }
}

impl CallDriver {
    /// Takes the call's token, once.
    pub(super) async fn take_quota_token(&mut self) -> Result<(), CallFailure> {
        if self.quota.is_checked {
            return Ok(());
        }
        self.quota.is_checked = true;
        let Some(tenant) = &self.request.tenant else {
            return Ok(());
        };
        let quotas = &self.worker.shared.quotas;
        match quotas.take(tenant).await {
            Ok(token) => {
                self.quota.token = token;
                Ok(())
            }
            Err(QuotaRefusal {
                reason,
                retry_after,
            }) => {
                let (known_nodes, contact_share) = quotas.contact();
                log::info!(
                    target: "quota",
                    call:% = self.id, request_id = self.request_id(), tenant:%, reason:%,
                    retry_after_ms = retry_after.as_millis() as u64, known_nodes, contact_share;
                    "request over the quota of its tenant"
                );
                Err(CallFailure {
                    retry_after,
                    ..self.failure(ErrorKind::QuotaExceeded)
                })
            }
        }
    }

    /// Gives the token back if the call failed before it reached a backend server.
    pub(super) fn return_quota_token(&mut self, failure: &CallFailure) {
        let is_unused = failure.outcome == RunOutcome::NotRun && !self.quota.has_reached_backend;
        if let Some(token) = self.quota.token.take().filter(|_| is_unused) {
            token.give_back();
        }
    }
}
