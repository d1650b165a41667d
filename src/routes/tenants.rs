//! Tenants of the configuration: their API keys, priorities, quotas and regions.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{RegionName, TenantName};
use crate::rate_limit::StartRate;

/// Secret by which a caller proves which tenant it belongs to.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ApiKey(String);

impl From<String> for ApiKey {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl fmt::Debug for ApiKey {
    /// Hides the key, as debug output may end up in logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Requests that a tenant may send through all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TenantQuota {
    /// Requests per second.
    pub rate: StartRate,
    /// Requests beyond the rate that may follow a quiet time.
    pub burst: f64,
}

/// Settings of one tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant, which backend servers are told.
    pub name: TenantName,
    /// Keys in force.
    pub keys: BTreeSet<ApiKey>,
    /// Priority of its requests, in place of that of their routes; 0 goes first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Limit on its requests; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<TenantQuota>,
    /// Regions in which its requests may be processed; `None` for all.
    #[serde(rename = "regions", default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

/// All tenants of one configuration version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Tenant>", into = "Vec<Tenant>")]
pub struct TenantDirectory {
    tenants: BTreeMap<TenantName, Tenant>,
    names_by_key: BTreeMap<ApiKey, TenantName>,
}

impl From<Vec<Tenant>> for TenantDirectory {
    fn from(tenants: Vec<Tenant>) -> Self {
        let mut directory = Self::default();
        for tenant in tenants {
            let keys = tenant.keys.iter().cloned();
            let names = keys.map(|key| (key, tenant.name.clone()));
            directory.names_by_key.extend(names);
            directory.tenants.insert(tenant.name.clone(), tenant);
        }
        directory
    }
}

impl From<TenantDirectory> for Vec<Tenant> {
    fn from(directory: TenantDirectory) -> Self {
        directory.tenants.into_values().collect()
    }
}

impl TenantDirectory {
    /// Tenant that has this key.
    pub fn find_by_key(&self, key: &str) -> Option<&Tenant> {
        let name = self.names_by_key.get(&ApiKey(key.to_string()))?;
        self.tenants.get(name)
    }

    /// Tenant of this name.
    pub fn get(&self, name: &TenantName) -> Option<&Tenant> {
        self.tenants.get(name)
    }

    /// All tenants, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values()
    }
}
