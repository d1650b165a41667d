//! What follows from a tenant's quota and its tolerance for bucket and loans.
//!
//! In any window, the requests sent are at most the tokens granted in it or within the
//! validity of a token before it. With a bucket of depth D that fills at the rate R and
//! tokens valid for V, these are D + R x (window + V). The tolerance is divided between
//! depth, validity, changes of the owner and nodes that reach no owner; the shares of the
//! slack below add up to 0.95, those of the overage to 0.8 of it (the overage of the burst
//! is all in the depth).

use std::time::Duration;

use crate::options::QuotaTolerance;
use crate::routes::TenantQuota;

/// Share of the overage, as a fraction of the window, by which tokens may be older.
const VALIDITY_OVERAGE_SHARE: f64 = 0.4;
/// Share of the slack that may be out as tokens.
const VALIDITY_SLACK_SHARE: f64 = 0.2;
/// Share of the slack by which the bucket is deeper than the burst, so that a tenant below
/// its rate is not refused for the unevenness of its arrivals. With a quarter of the slack,
/// a tenant with 80% of 10 requests per second, at random times, was refused 2.4%.
const DEPTH_SLACK_SHARE: f64 = 0.55;
/// Share of the slack with which an owner starts that knows no level.
const START_SLACK_SHARE: f64 = 0.2;
/// Share of the overage that nodes without an owner may use for their first tokens.
const FLOOR_OVERAGE_SHARE: f64 = 0.4;
/// Shortest validity, enough for the way to the borrower, if there is no tolerance.
const MIN_VALIDITY: Duration = Duration::from_millis(20);
/// Longest validity; a longer one would waste tokens of callers that have moved.
const MAX_VALIDITY: Duration = Duration::from_secs(1);

/// Quota of one tenant with its tolerance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimits {
    quota: TenantQuota,
    tolerance: QuotaTolerance,
}

impl QuotaLimits {
    /// Limits of a tenant.
    pub fn new(quota: TenantQuota, tolerance: QuotaTolerance) -> Self {
        Self { quota, tolerance }
    }

    /// Tokens per second.
    pub fn rate(&self) -> f64 {
        self.quota.rate.per_second()
    }

    /// Quota as configured.
    pub fn quota(&self) -> TenantQuota {
        self.quota
    }

    /// Most tokens that the bucket holds.
    pub fn depth(&self) -> f64 {
        let burst = self.quota.burst * (1.0 + self.tolerance.overage);
        (burst + DEPTH_SLACK_SHARE * self.tolerance.slack).max(1.0)
    }

    /// Tokens of an owner that doesn't know what was granted before.
    pub fn start_level(&self) -> f64 {
        (START_SLACK_SHARE * self.tolerance.slack).min(self.depth())
    }

    /// Time for which a token may be spent after it was asked for.
    pub fn validity(&self) -> Duration {
        let window = self.tolerance.window.as_secs_f64();
        let by_overage = VALIDITY_OVERAGE_SHARE * self.tolerance.overage * window;
        let by_slack = VALIDITY_SLACK_SHARE * self.tolerance.slack / self.rate().max(1e-9);
        Duration::try_from_secs_f64(by_overage + by_slack)
            .unwrap_or(MAX_VALIDITY)
            .clamp(MIN_VALIDITY, MAX_VALIDITY)
    }

    /// Whether each of `nodes` may spend a token without an owner.
    pub fn allows_floor(&self, nodes: usize) -> bool {
        let window = self.tolerance.window.as_secs_f64();
        nodes as f64 <= FLOOR_OVERAGE_SHARE * self.tolerance.overage * self.rate() * window
    }

    /// Requests that may be sent in `window`.
    pub fn bound(&self, window: Duration) -> f64 {
        let granted = self.rate() * window.as_secs_f64() + self.quota.burst;
        granted * (1.0 + self.tolerance.overage) + self.tolerance.slack
    }

    /// Length of the window in which the bound holds.
    pub fn window(&self) -> Duration {
        self.tolerance.window
    }
}
