//! Checks of a caller's request before anything is done with it.

use std::time::Duration;

use rand::Rng;

use crate::error::ErrorKind;
use crate::fields::{CallDialect, end_to_end_fields};
use crate::http1::RequestHead;
use crate::http1::head::field_text;
use crate::ids::ServiceName;
use crate::link::messages::HeaderField;
use crate::routes::{RequestKind, Route, RouteConfig, RouteTarget, SplitSelector};
use crate::table::{RoutingTable, ServiceRule};

/// Longest time limit that a caller may ask for, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Length from which a body counts as large: far more than the messages of a
/// second ask.
const LARGE_BODY_BYTES: u64 = 16 * 1024;

/// What the system needs to know about a request.
#[derive(Debug)]
pub struct RequestFacts {
    /// Service that is asked for.
    pub service: ServiceName,
    /// Its rule in force.
    pub rule: ServiceRule,
    /// Route that was chosen, with the version of the configuration.
    pub route: Option<RouteFacts>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header fields that travel on.
    pub fields: Vec<HeaderField>,
    /// Caller's identifier of the request.
    pub request_id: Option<String>,
    /// Time limit.
    pub timeout: Duration,
    /// Time that the caller waits, if it stated that.
    pub stated_timeout: Option<Duration>,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank among the requests of the service; 0 goes first.
    pub rank: u32,
    /// Most attempts.
    pub attempts_limit: u32,
    /// Whether a second run does no harm.
    pub is_idempotent: bool,
    /// Whether a large body comes with it.
    pub has_large_body: bool,
    /// Length of the body, if the caller stated it.
    pub body_length: Option<u64>,
}

/// Route of a request, for log lines.
#[derive(Debug, Clone)]
pub struct RouteFacts {
    /// Name of the route.
    pub name: String,
    /// Version of the configuration that it is from.
    pub version: u64,
}

/// What a request is checked against.
pub struct RequestCheck<'a, R> {
    /// Table in force.
    pub table: &'a RoutingTable,
    /// Names of the fields.
    pub dialect: &'a CallDialect,
    /// State of the weighted splits.
    pub splits: &'a mut SplitSelector,
    /// Generator for new splits.
    pub rng: &'a mut R,
}

/// Service and rules that a request falls under.
struct RequestRules {
    service: ServiceName,
    route: Option<RouteFacts>,
    rule: ServiceRule,
    timeout: Duration,
    target_latency: Duration,
    rank: u32,
    is_idempotent: bool,
    is_upload: bool,
    body_limit: u64,
}

impl<R: Rng> RequestCheck<'_, R> {
    /// Checks a request against the services and routes in force.
    ///
    /// # Errors
    ///
    /// The error kind of the refusal; nothing was run.
    pub fn check(&mut self, head: RequestHead) -> Result<RequestFacts, ErrorKind> {
        if head.method == "CONNECT" || !head.target.starts_with(['/', '*']) {
            return Err(ErrorKind::BadRequest);
        }
        let rules = match self.table.routes.clone() {
            Some(config) => self.rules_of_route(&head, &config)?,
            None => self.rules_of_service(&head)?,
        };
        let body_length = head.framing.length().filter(|length| *length > 0);
        let body_length = body_length.or_else(|| stated_zero(&head));
        if body_length.is_some_and(|length| length > rules.body_limit) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let asked = self.asked_timeout(&head)?;
        let id = self.dialect.request_id;
        let request_id = id.and_then(|name| field_text(&head.fields, name));
        Ok(RequestFacts {
            timeout: match (&rules.route, asked) {
                // An operator's limit holds also for a caller that would wait longer.
                (Some(_), Some(asked)) => asked.min(rules.timeout),
                (None, Some(asked)) => asked,
                (_, None) => rules.timeout,
            },
            stated_timeout: asked,
            target_latency: rules.target_latency,
            attempts_limit: self.attempts_limit(&head, rules.rule.attempts)?,
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
            fields: end_to_end_fields(head.fields),
            body_length,
        })
    }

    fn rules_of_service(&mut self, head: &RequestHead) -> Result<RequestRules, ErrorKind> {
        let service = self.service_name(head)?;
        let entry = self.table.services.get(&service);
        let rule = entry.ok_or(ErrorKind::UnknownService)?.rule.clone();
        let path = head.target.split('?').next().unwrap_or_default();
        let timeout = rule.timeout(&head.method, path);
        Ok(RequestRules {
            service,
            route: None,
            timeout,
            target_latency: timeout,
            rank: 0,
            is_idempotent: rule.is_idempotent(&head.method, path),
            is_upload: false,
            body_limit: rule.body_limit,
            rule,
        })
    }

    fn rules_of_route(
        &mut self,
        head: &RequestHead,
        config: &RouteConfig,
    ) -> Result<RequestRules, ErrorKind> {
        let host = head.host.as_deref().ok_or(ErrorKind::BadRequest)?;
        let route = config.find_route(host, &head.target);
        let route = route.ok_or(ErrorKind::UnknownRoute)?;
        let service = self.target_service(route)?;
        let rule = match self.table.services.get(&service) {
            Some(entry) => entry.rule.clone(),
            None => ServiceRule::default(),
        };
        Ok(RequestRules {
            route: Some(RouteFacts {
                name: route.name.clone(),
                version: config.version.0,
            }),
            timeout: route.timeout(),
            target_latency: route.target_latency(),
            rank: route.rank,
            is_idempotent: route.kind.is_idempotent(),
            is_upload: route.kind == RequestKind::Upload,
            body_limit: config.caller_limits.max_body_bytes,
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
            RouteTarget::Split(parts) => {
                let chosen = self.splits.select_service(&route.name, parts, self.rng);
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

    fn asked_timeout(&self, head: &RequestHead) -> Result<Option<Duration>, ErrorKind> {
        let field = head
            .fields
            .iter()
            .find(|field| field.name == self.dialect.time_left);
        let Some(field) = field else {
            return Ok(None);
        };
        let text = std::str::from_utf8(&field.value).map_err(|_| ErrorKind::BadTimeout)?;
        let timeout_ms: u64 = text.trim().parse().map_err(|_| ErrorKind::BadTimeout)?;
        if !(1..=MAX_TIMEOUT_MS).contains(&timeout_ms) {
            return Err(ErrorKind::BadTimeout);
        }
        Ok(Some(Duration::from_millis(timeout_ms)))
    }

    /// Attempts that this call may use: a nested call can't use more than its
    /// caller has left.
    fn attempts_limit(&self, head: &RequestHead, own_limit: u32) -> Result<u32, ErrorKind> {
        let name = self.dialect.attempts;
        let Some(text) = name.and_then(|name| field_text(&head.fields, name)) else {
            return Ok(own_limit);
        };
        let left: u32 = text.parse().map_err(|_| ErrorKind::BadRequest)?;
        Ok(left.clamp(1, own_limit.max(1)))
    }
}

/// A stated length of zero is repeated to the backend server.
fn stated_zero(head: &RequestHead) -> Option<u64> {
    field_text(&head.fields, "content-length").map(|_| 0)
}

impl RequestFacts {
    /// Class of requests that take about the same time.
    pub fn class(&self) -> String {
        self.route
            .as_ref()
            .map(|route| route.name.clone())
            .unwrap_or_default()
    }
}
