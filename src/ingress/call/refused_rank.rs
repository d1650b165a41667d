//! Refuses calls that no gate would admit, before any gate is asked.

use std::time::Duration;

use rand::Rng;

use super::CallDriver;
use crate::error::ErrorKind;
use crate::ingress::answer::CallFailure;
use crate::ingress::lock;
use crate::routing::RankRefusal;

/// Shortest `Retry-After` of such a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Range of the random factor that spreads the retries: calls refused by one report must
/// not return together.
const RETRY_AFTER_FACTORS: std::ops::Range<f64> = 1.0..3.0;

impl CallDriver {
    /// Fails a tenant's call whose rank every gate of the subset refuses at present.
    /// Nested calls have no tenant and are always offered: a run waits for them.
    pub(super) fn check_rank(&self) -> Result<(), CallFailure> {
        if self.request.tenant.is_none() || !self.tried_nodes.is_empty() {
            return Ok(());
        }
        let shared = &self.worker.shared;
        let rank = self.request.rank;
        let refusal = lock(&shared.router).rank_refusal(shared.now(), &self.request.service, rank);
        let Some(RankRefusal {
            time_to_capacity,
            report_age,
        }) = refusal
        else {
            return Ok(());
        };
        let factor = self
            .worker
            .rng
            .borrow_mut()
            .random_range(RETRY_AFTER_FACTORS);
        let retry_after = time_to_capacity.max(MIN_RETRY_AFTER).mul_f64(factor);
        shared
            .metrics
            .count_rank_admission(Some(rank), "refused-early");
        log::info!(
            target: "routing",
            call:% = self.id,
            request_id = self.request_id(),
            service:% = self.request.service,
            tenant = self.request.tenant_text(),
            rank,
            report_age_ms = report_age.as_millis() as u64,
            time_to_capacity_ms = time_to_capacity.as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64;
            "call refused, as all gates refuse its rank"
        );
        Err(CallFailure {
            retry_after,
            ..self.failure(ErrorKind::WaitTooLong)
        })
    }
}
