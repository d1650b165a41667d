//! Counts of admitted and refused requests by tenant, for metrics.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::ids::TenantName;

/// Tenants that are listed by name.
const LISTED_TENANTS: usize = 20;

/// Why a request found no token.
#[derive(Debug, Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The owner has none.
    #[display("limit")]
    Limit,
    /// The owner didn't answer in time.
    #[display("no-owner")]
    NoOwner,
}

/// Requests of one tenant at this node since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TenantUsage {
    /// Requests that took a token.
    pub admitted: u64,
    /// Tokens given back.
    pub returned: u64,
    /// Requests refused as the owner had no token.
    pub refused_by_limit: u64,
    /// Requests refused as no owner answered.
    pub refused_without_owner: u64,
}

impl TenantUsage {
    /// Counts a refusal.
    pub fn count_refusal(&mut self, reason: RefusalReason) {
        match reason {
            RefusalReason::Limit => self.refused_by_limit += 1,
            RefusalReason::NoOwner => self.refused_without_owner += 1,
        }
    }

    fn requests(&self) -> u64 {
        self.admitted + self.refused_by_limit + self.refused_without_owner
    }

    fn add(&mut self, other: Self) {
        self.admitted += other.admitted;
        self.returned += other.returned;
        self.refused_by_limit += other.refused_by_limit;
        self.refused_without_owner += other.refused_without_owner;
    }
}

/// Usage of the busiest tenants by name, and of the rest together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageSummary {
    /// Busiest tenants, with the tokens in stock at this node.
    pub listed: BTreeMap<TenantName, (TenantUsage, u64)>,
    /// Sum of the others.
    pub rest: (TenantUsage, u64),
}

impl UsageSummary {
    /// Summary of all tenants.
    pub fn new(all: impl Iterator<Item = (TenantName, TenantUsage, u64)>) -> Self {
        let mut all: Vec<_> = all.collect();
        all.sort_by_key(|(_, usage, _)| std::cmp::Reverse(usage.requests()));
        let mut summary = Self::default();
        for (index, (name, usage, stock)) in all.into_iter().enumerate() {
            if index < LISTED_TENANTS {
                summary.listed.insert(name, (usage, stock));
            } else {
                summary.rest.0.add(usage);
                summary.rest.1 += stock;
            }
        }
        summary
    }
}
