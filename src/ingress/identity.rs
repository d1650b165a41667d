//! Tenant of a request, from the API key that it carries.
//!
//! The key is judged by the same configuration version as the route. It is not passed
//! on: the backend server gets the name of the tenant in a field that callers can't set.

use std::collections::BTreeSet;

use crate::error::ErrorKind;
use crate::fields::HeaderDialect;
use crate::ids::{RegionName, TenantName};
use crate::link::messages::HeaderField;
use crate::routes::{Route, RouteConfig, Tenant};

/// Field that carries the key, in lower case.
pub const KEY_FIELD: &str = "authorization";
/// Authentication scheme of API keys (RFC 6750).
const KEY_SCHEME: &str = "bearer";

/// What the configuration says about the caller of a request.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Tenant of the caller; `None` if it needs none.
    pub tenant: Option<TenantName>,
    /// Priority of the tenant, in place of that of the route.
    pub rank: Option<u32>,
    /// Regions in which the request may be processed; `None` for all.
    pub allowed_regions: Option<BTreeSet<RegionName>>,
    /// Whether the configuration has tenants, so that keys are not passed on.
    has_tenants: bool,
}

impl CallerIdentity {
    /// Identifies the caller of a request on a route of the configuration.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownKey`] if the route needs a key and no tenant has the one that
    /// the request carries.
    pub fn of_request(
        config: &RouteConfig,
        route: &Route,
        fields: &[HeaderField],
    ) -> Result<Self, ErrorKind> {
        let Some(directory) = &config.tenants else {
            return Ok(Self {
                allowed_regions: route.allowed_regions.clone(),
                ..Self::default()
            });
        };
        let tenant = request_key(fields).and_then(|key| directory.find_by_key(key));
        if tenant.is_none() && !route.is_public {
            return Err(ErrorKind::UnknownKey);
        }
        Ok(Self {
            tenant: tenant.map(|tenant| tenant.name.clone()),
            rank: tenant.and_then(|tenant| tenant.rank),
            allowed_regions: common_regions(route, tenant),
            has_tenants: true,
        })
    }
}

/// API key of a request; `None` unless there is exactly one.
fn request_key(fields: &[HeaderField]) -> Option<&str> {
    let mut values = fields.iter().filter(|field| field.name == KEY_FIELD);
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    bearer_key(value)
}

fn bearer_key(field: &HeaderField) -> Option<&str> {
    let text = std::str::from_utf8(&field.value).ok()?;
    let (scheme, key) = text.trim().split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(KEY_SCHEME)
        .then_some(key.trim())
}

/// Regions that both the route and the tenant allow.
fn common_regions(route: &Route, tenant: Option<&Tenant>) -> Option<BTreeSet<RegionName>> {
    let tenant_regions = tenant.and_then(|tenant| tenant.allowed_regions.as_ref());
    match (&route.allowed_regions, tenant_regions) {
        (Some(of_route), Some(of_tenant)) => Some(of_route & of_tenant),
        (of_route, of_tenant) => of_route.as_ref().or(of_tenant).cloned(),
    }
}

/// Removes the caller's key and the field that names a tenant, if the configuration has
/// tenants. Other credentials are the backend server's own.
pub fn strip_identity_fields(
    fields: Vec<HeaderField>,
    dialect: &HeaderDialect,
    identity: &CallerIdentity,
) -> Vec<HeaderField> {
    if !identity.has_tenants {
        return fields;
    }
    let is_key = |field: &HeaderField| field.name == KEY_FIELD && bearer_key(field).is_some();
    let kept = fields
        .into_iter()
        .filter(|field| !is_key(field) && dialect.tenant != Some(field.name.as_str()));
    kept.collect()
}

#[cfg(test)]
mod tests;
