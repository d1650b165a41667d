//! Resolves a caller's request to a service and its limits, or rejects it
//! before anything is run.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use crate::error::ErrorKind;
use crate::fields::{HeaderDialect, end_to_end_fields};
use crate::http1::RequestHead;
use crate::http1::head::field_text;
use crate::ids::{RegionName, ServiceName, TenantName};
use crate::ingress::identity::{CallerIdentity, KEY_FIELD, strip_identity_fields};
use crate::link::messages::HeaderField;
use crate::quarantine::HeadDigest;
use crate::routes::{RequestKind, Route, RouteConfig, RouteTarget, SplitSelector};
use crate::routing::RegionLimit;
use crate::table::{RoutingTable, ServiceRule};

/// Longest time limit that a caller may state.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Length from which a body counts as large: far more than the messages of a
/// second offer.
pub const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// Request with the service and the limits that apply to it.
#[derive(Debug)]
pub struct ResolvedRequest {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Rule of the service in force.
    pub rule: ServiceRule,
    /// Matched route; `None` if requests are not matched against routes.
    pub route: Option<MatchedRoute>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end header fields, which are passed on.
    pub fields: Vec<HeaderField>,
    /// Caller's own identifier of the request.
    pub request_id: Option<String>,
    /// Time limit of the call.
    pub timeout: Duration,
    /// Time that the caller waits, if it stated that.
    pub requested_timeout: Option<Duration>,
    /// Target latency, within which a response is worth most; the time limit if there
    /// is none.
    pub target_latency: Duration,
    /// Priority among the requests of the service; 0 goes first.
    pub rank: u32,
    /// Maximum number of attempts.
    pub attempts_limit: u32,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Whether the request comes with a large body.
    pub has_large_body: bool,
    /// Length of the body in bytes, if the caller stated it.
    pub body_length: Option<u64>,
    /// Tenant of the caller; `None` if it needs none.
    pub tenant: Option<TenantName>,
    /// Regions in which the request may be processed; `None` for all.
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

/// Route that a request matched, for log lines.
#[derive(Debug, Clone)]
pub struct MatchedRoute {
    /// Name of the route.
    pub name: String,
    /// Version of the configuration that the route is from.
    pub version: u64,
}

/// State that a request is resolved against.
pub struct RequestResolver<'a, R> {
    /// Routing table in force.
    pub table: &'a RoutingTable,
    /// Header field names.
    pub dialect: &'a HeaderDialect,
    /// State of the weighted splits.
    pub traffic_splits: &'a mut SplitSelector,
    /// Random generator for new splits.
    pub rng: &'a mut R,
}

/// Service of a request and the rules that apply to it.
struct RequestRules {
    service: ServiceName,
    route: Option<MatchedRoute>,
    rule: ServiceRule,
    timeout: Duration,
    /// `None` without a route, as only routes have one.
    target_latency: Option<Duration>,
    rank: u32,
    is_idempotent: bool,
    is_upload: bool,
    body_limit: u64,
    identity: CallerIdentity,
}

impl<R: Rng> RequestResolver<'_, R> {
    /// Resolves a request against the services and routes in force.
    ///
    /// # Errors
    ///
    /// The error kind of the rejection; nothing was run.
    pub fn resolve(&mut self, head: RequestHead) -> Result<ResolvedRequest, ErrorKind> {
        if head.method == "CONNECT" || !head.target.starts_with(['/', '*']) {
            return Err(ErrorKind::BadRequest);
        }
        let rules = match self.table.routes.clone() {
            Some(config) => self.route_rules(&head, &config)?,
            None => self.service_rules(&head)?,
        };
        let body_length = head.framing.length().filter(|length| *length > 0);
        let body_length = body_length.or_else(|| explicit_zero_length(&head));
        if body_length.is_some_and(|length| length > rules.body_limit) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let requested_timeout = self.parse_requested_timeout(&head)?;
        let timeout = match (&rules.route, requested_timeout) {
            // The operator's limit also holds for a caller that would wait longer.
            (Some(_), Some(requested_timeout)) => requested_timeout.min(rules.timeout),
            (None, Some(requested_timeout)) => requested_timeout,
            (_, None) => rules.timeout,
        };
        let attempts_limit = self.attempts_limit(&head, rules.rule.attempts)?;
        let id = self.dialect.request_id;
        let request_id = id.and_then(|name| field_text(&head.fields, name));
        Ok(ResolvedRequest {
            timeout,
            requested_timeout,
            target_latency: rules.target_latency.unwrap_or(timeout),
            attempts_limit,
            request_id: request_id.map(ToString::to_string),
            service: rules.service,
            route: rules.route,
            rank: rules.rank,
            is_idempotent: rules.is_idempotent,
            has_large_body: rules.is_upload
                || body_length.is_some_and(|length| length >= LARGE_BODY_BYTES),
            rule: rules.rule,
            method: head.method,
            path: head.target,
            fields: strip_identity_fields(
                end_to_end_fields(head.fields),
                self.dialect,
                &rules.identity,
            ),
            body_length,
            tenant: rules.identity.tenant,
            allowed_regions: rules.identity.allowed_regions,
        })
    }

    fn service_rules(&mut self, head: &RequestHead) -> Result<RequestRules, ErrorKind> {
        let service = self.service_name(head)?;
        let entry = self.table.services.get(&service);
        let rule = entry.ok_or(ErrorKind::UnknownService)?.rule.clone();
        let path = head.target.split('?').next().unwrap_or_default();
        let timeout = rule.timeout(&head.method, path);
        Ok(RequestRules {
            service,
            route: None,
            timeout,
            target_latency: None,
            rank: 0,
            is_idempotent: rule.is_idempotent(&head.method, path),
            is_upload: false,
            body_limit: rule.body_limit,
            identity: CallerIdentity::default(),
            rule,
        })
    }

    fn route_rules(
        &mut self,
        head: &RequestHead,
        config: &RouteConfig,
    ) -> Result<RequestRules, ErrorKind> {
        let host = head.host.as_deref().ok_or(ErrorKind::BadRequest)?;
        let route = config.find_route(host, &head.target);
        let route = route.ok_or(ErrorKind::UnknownRoute)?;
        let identity = CallerIdentity::of_request(config, route, &head.fields)?;
        let service = self.target_service(route)?;
        let rule = match self.table.services.get(&service) {
            Some(entry) => entry.rule.clone(),
            None => ServiceRule::default(),
        };
        Ok(RequestRules {
            route: Some(MatchedRoute {
                name: route.name.clone(),
                version: config.version.0,
            }),
            timeout: route.timeout(),
            target_latency: Some(route.target_latency()),
            rank: identity.rank.unwrap_or(route.rank),
            is_idempotent: route.kind.is_idempotent(),
            is_upload: route.kind == RequestKind::Upload,
            body_limit: config.caller_limits.max_body_bytes,
            identity,
            rule: ServiceRule {
                attempts: route.max_attempts,
                ..rule
            },
            service,
        })
    }

    fn target_service(&mut self, route: &Route) -> Result<ServiceName, ErrorKind> {
        match &route.target {
            RouteTarget::Service(service) => Ok(service.clone()),
            RouteTarget::Split(split_parts) => {
                let chosen = self
                    .traffic_splits
                    .select_service(&route.name, split_parts, self.rng);
                chosen.ok_or(ErrorKind::NoUpstream)
            }
        }
    }

    fn service_name(&self, head: &RequestHead) -> Result<ServiceName, ErrorKind> {
        let name = self.dialect.service;
        let named = name.and_then(|name| field_text(&head.fields, name));
        let text = match named {
            Some(text) => text,
            None => {
                let host = head.host.as_deref().ok_or(ErrorKind::BadRequest)?;
                host.split(':').next().unwrap_or(host)
            }
        };
        text.parse().map_err(|_| ErrorKind::UnknownService)
    }

    fn parse_requested_timeout(&self, head: &RequestHead) -> Result<Option<Duration>, ErrorKind> {
        let field = head
            .fields
            .iter()
            .find(|field| field.name == self.dialect.timeout);
        let Some(field) = field else {
            return Ok(None);
        };
        let timeout_text = std::str::from_utf8(&field.value).map_err(|_| ErrorKind::BadTimeout)?;
        let timeout_ms: u64 = timeout_text
            .trim()
            .parse()
            .map_err(|_| ErrorKind::BadTimeout)?;
        if !(1..=MAX_TIMEOUT_MS).contains(&timeout_ms) {
            return Err(ErrorKind::BadTimeout);
        }
        Ok(Some(Duration::from_millis(timeout_ms)))
    }

    /// Maximum number of attempts of this call: a nested call gets no more than
    /// its caller has left.
    fn attempts_limit(&self, head: &RequestHead, own_limit: u32) -> Result<u32, ErrorKind> {
        let name = self.dialect.attempts;
        let Some(text) = name.and_then(|name| field_text(&head.fields, name)) else {
            return Ok(own_limit);
        };
        let attempts_left: u32 = text.parse().map_err(|_| ErrorKind::BadRequest)?;
        Ok(attempts_left.clamp(1, own_limit.max(1)))
    }
}

/// A body length of zero that the caller stated; it is repeated to the backend
/// server.
fn explicit_zero_length(head: &RequestHead) -> Option<u64> {
    field_text(&head.fields, "content-length").map(|_| 0)
}

impl ResolvedRequest {
    /// Digest by which the request is known in all its attempts.
    pub fn head_digest(&self) -> HeadDigest {
        // Without routes the host may name a node.
        let host = match &self.route {
            Some(_) => field_text(&self.fields, "host").unwrap_or_default(),
            None => self.service.as_str(),
        };
        let Some(tenant) = &self.tenant else {
            return HeadDigest::new(host, &self.method, &self.path, &self.fields);
        };
        // The tenant stands for its keys, which are not passed on.
        let mut fields = self.fields.clone();
        fields.push(HeaderField {
            name: KEY_FIELD.to_string(),
            value: Bytes::from(tenant.to_string()),
        });
        HeadDigest::new(host, &self.method, &self.path, &fields)
    }

    /// Regions in which the request may be processed.
    pub fn region_limit(&self) -> RegionLimit<'_> {
        self.allowed_regions.as_ref().into()
    }

    /// Name of the caller's tenant; empty if there is none.
    pub fn tenant_text(&self) -> &str {
        self.tenant.as_ref().map_or("", TenantName::as_str)
    }

    /// Class of requests with similar latency: the route, or an empty name
    /// without one.
    pub fn class(&self) -> String {
        self.route
            .as_ref()
            .map(|route| route.name.clone())
            .unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
