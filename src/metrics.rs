//! Counters and latency histograms of a node.
//!
//! All threads share one [`NodeMetrics`], whose counters are atomic. It is
//! served in the OpenMetrics text format on the address `--metrics-listen`. The
//! counters of the administration API's status reply can also be sent to a
//! statsd server.

mod serve;
mod statsd;

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::evacuation::EvacuationHub;
use crate::ids::TenantName;
use crate::quota::UsageSummary;
use crate::routes::ConfirmationHub;
use crate::zone_balancing::ServiceBalance;

pub use serve::start_metrics_server;
pub use statsd::publish_statsd_gauges;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "currantlift";
/// Upper bounds of the latency buckets: narrow in the range of the users' latency
/// targets, 0.08 to 2.5 s, and wide elsewhere.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.002, 0.01, 0.03, 0.08, 0.12, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0,
];

/// Label of the tenants that are not listed by name. It is no tenant's name.
const OTHER_TENANTS: &str = "(other)";
/// Buckets that are listed.
const MAX_LISTED_BUCKETS: usize = 20;

/// Names and values of a metric's labels.
type LabelSet = Vec<(&'static str, String)>;
type CounterFamily = Family<LabelSet, Counter>;
type FloatGaugeFamily = Family<LabelSet, Gauge<f64, AtomicU64>>;
type HistogramFamily = Family<LabelSet, Histogram, fn() -> Histogram>;

/// Counters and histograms of one node.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    calls: CounterFamily,
    call_seconds: HistogramFamily,
    attempts: CounterFamily,
    admissions: CounterFamily,
    rank_admissions: CounterFamily,
    runs: CounterFamily,
    incomplete_bodies: CounterFamily,
    run_seconds: HistogramFamily,
    load_polls: CounterFamily,
    config_version: Gauge,
    config_age: Gauge<f64, AtomicU64>,
    /// Source of the age, which is read when it is served.
    confirmation: OnceLock<Arc<ConfirmationHub>>,
    rate_limit: Gauge<f64, AtomicU64>,
    limited_refusals: Counter,
    statements: CounterFamily,
    backend_crashes: Counter,
    quarantine_refusals: Counter,
    held_requests: Gauge,
    cold: Gauge,
    cold_calls: CounterFamily,
    warm_up_readings: CounterFamily,
    evacuated_zones: Gauge,
    evacuation_revision: Gauge,
    evacuation_age: Gauge<f64, AtomicU64>,
    evacuation_refusals: Counter,
    /// Source of the evacuation's gauges, which are read when they are served.
    evacuation: OnceLock<Arc<EvacuationHub>>,
    quota_requests: Family<LabelSet, Gauge>,
    quota_tokens: Family<LabelSet, Gauge>,
    quota_buckets: Family<LabelSet, Gauge<f64, AtomicU64>>,
    cross_zone_share: FloatGaugeFamily,
    zone_wait_seconds: FloatGaugeFamily,
    cross_zone_body_bytes: CounterFamily,
    stops: CounterFamily,
    stop_leftovers: CounterFamily,
    caller_bytes: Gauge,
    caller_connections: Gauge,
    closed_callers: CounterFamily,
    link_bytes: Gauge,
    retained_bytes: Gauge,
}

fn clamp_gauge(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}

fn new_latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_SECONDS)
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(METRIC_PREFIX);
        let new_histogram: fn() -> Histogram = new_latency_histogram;
        let metrics = Self {
            calls: Family::default(),
            call_seconds: Family::new_with_constructor(new_histogram),
            attempts: Family::default(),
            admissions: Family::default(),
            rank_admissions: Family::default(),
            runs: Family::default(),
            incomplete_bodies: Family::default(),
            run_seconds: Family::new_with_constructor(new_histogram),
            load_polls: Family::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            confirmation: OnceLock::new(),
            rate_limit: Gauge::default(),
            limited_refusals: Counter::default(),
            statements: Family::default(),
            backend_crashes: Counter::default(),
            quarantine_refusals: Counter::default(),
            held_requests: Gauge::default(),
            cold: Gauge::default(),
            cold_calls: Family::default(),
            warm_up_readings: Family::default(),
            evacuated_zones: Gauge::default(),
            evacuation_revision: Gauge::default(),
            evacuation_age: Gauge::default(),
            evacuation_refusals: Counter::default(),
            evacuation: OnceLock::new(),
            quota_requests: Family::default(),
            quota_tokens: Family::default(),
            quota_buckets: Family::default(),
            cross_zone_share: Family::default(),
            zone_wait_seconds: Family::default(),
            cross_zone_body_bytes: Family::default(),
            stops: Family::default(),
            stop_leftovers: Family::default(),
            caller_bytes: Gauge::default(),
            caller_connections: Gauge::default(),
            closed_callers: Family::default(),
            link_bytes: Gauge::default(),
            retained_bytes: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register(
            "calls",
            "Callers' requests by service, error kind (none for an answer) and outcome",
            metrics.calls.clone(),
        );
        registry.register_with_unit(
            "call",
            "Time from a caller's request to the head of its answer",
            Unit::Seconds,
            metrics.call_seconds.clone(),
        );
        registry.register(
            "attempts",
            "Offers of calls to gates by service and result",
            metrics.attempts.clone(),
        );
        registry.register(
            "admissions",
            "Decisions of the gate by decision",
            metrics.admissions.clone(),
        );
        registry.register(
            "rank_admissions",
            "Decisions on calls where tenants compete, by rank (nested without a tenant) and result",
            metrics.rank_admissions.clone(),
        );
        registry.register(
            "runs",
            "Requests handed to the backend server by result",
            metrics.runs.clone(),
        );
        registry.register(
            "incomplete_bodies",
            "Runs at the backend server that ended before it was sent the whole request body",
            metrics.incomplete_bodies.clone(),
        );
        registry.register_with_unit(
            "run",
            "Time of whole runs at the backend server",
            Unit::Seconds,
            metrics.run_seconds.clone(),
        );
        registry.register(
            "readings",
            "Readings of the speed that the gate took by itself, by result",
            metrics.load_polls.clone(),
        );
        registry.register(
            "config_version",
            "Version of the route configuration in force; 0 before the first one",
            metrics.config_version.clone(),
        );
        registry.register_with_unit(
            "config_age",
            "Time since the store held no newer configuration than the one in force; +Inf if unknown",
            Unit::Seconds,
            metrics.config_age.clone(),
        );
        registry.register(
            "backend_crashes",
            "Ends of the own backend server while calls ran",
            metrics.backend_crashes.clone(),
        );
        registry.register(
            "quarantine_refusals",
            "Callers' requests refused as held",
            metrics.quarantine_refusals.clone(),
        );
        registry.register(
            "held_requests",
            "Requests that are held, as upstreams crashed while they ran them",
            metrics.held_requests.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Availability zones that this node knows to be evacuated",
            metrics.evacuated_zones.clone(),
        );
        registry.register(
            "evacuation_revision",
            "Store revision as of which the evacuated zones hold; 0 before the first evacuation",
            metrics.evacuation_revision.clone(),
        );
        registry.register_with_unit(
            "evacuation_age",
            "Time since the store or another node last stated the evacuated zones; +Inf if never",
            Unit::Seconds,
            metrics.evacuation_age.clone(),
        );
        registry.register(
            "evacuation_refusals",
            "Calls refused by the gate as its zone is evacuated",
            metrics.evacuation_refusals.clone(),
        );
        registry.register(
            "quota_requests",
            "Requests of tenants with a quota since the start, by tenant and result; small tenants together",
            metrics.quota_requests.clone(),
        );
        registry.register(
            "quota_tokens",
            "Borrowed tokens in stock by tenant; small tenants together",
            metrics.quota_tokens.clone(),
        );
        registry.register(
            "quota_bucket",
            "Tokens in the buckets that this node holds as their tenants' owner",
            metrics.quota_buckets.clone(),
        );
        registry.register(
            "cross_zone_share",
            "Share of a service's work that is offered to another zone first",
            metrics.cross_zone_share.clone(),
        );
        registry.register_with_unit(
            "zone_wait",
            "Expected wait for a slot by service and zone; the own zone is named 'own'",
            Unit::Seconds,
            metrics.zone_wait_seconds.clone(),
        );
        registry.register(
            "cross_zone_body_bytes",
            "Bytes of request and response bodies exchanged with other zones by service",
            metrics.cross_zone_body_bytes.clone(),
        );
        registry.register(
            "stops",
            "Planned stops that ended, by reason: idle or limit",
            metrics.stops.clone(),
        );
        registry.register(
            "stop_leftovers",
            "What was left when a planned stop ended, by kind",
            metrics.stop_leftovers.clone(),
        );
        registry.register(
            "caller_held_bytes",
            "Bytes held for callers: heads, bodies, and responses that they have not taken",
            metrics.caller_bytes.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            metrics.caller_connections.clone(),
        );
        registry.register(
            "closed_callers",
            "Connections of callers that were closed or turned away as a limit was met, by limit",
            metrics.closed_callers.clone(),
        );
        registry.register(
            "link_queue_bytes",
            "Bytes of bodies and fields in the queues of all links",
            metrics.link_bytes.clone(),
        );
        registry.register(
            "retained_response_bytes",
            "Bytes of complete responses that the gate keeps until they are acknowledged",
            metrics.retained_bytes.clone(),
        );
        metrics.set_rate_limit(None);
        registry.register(
            "rate_limit",
            "Requests per second that the own backend server named as its limit; +Inf for none",
            metrics.rate_limit.clone(),
        );
        registry.register(
            "limited_refusals",
            "Calls refused by the gate while its backend server named a limit",
            metrics.limited_refusals.clone(),
        );
        registry.register(
            "backend_statements",
            "Statements of the own backend server about itself by kind",
            metrics.statements.clone(),
        );
        registry.register(
            "cold_upstream",
            "1 while the own backend server is cold or its warm-up state is unknown, else 0",
            metrics.cold.clone(),
        );
        registry.register(
            "cold_calls",
            "Calls that were delayed or refused at the gate of a cold backend server, by result",
            metrics.cold_calls.clone(),
        );
        registry.register(
            "warm_up_readings",
            "Queries of the warm-up state that the gate made by itself, by result",
            metrics.warm_up_readings.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl NodeMetrics {
    /// Records the result and the latency of a caller's request.
    ///
    /// `kind` is the code of the error, or `none` for an answered request.
    pub fn record_call(&self, service: &str, kind: &str, outcome: &str, elapsed: Duration) {
        let service = ("service", service.to_string());
        let labels = vec![
            service.clone(),
            ("kind", kind.to_string()),
            ("outcome", outcome.to_string()),
        ];
        self.calls.get_or_create(&labels).inc();
        let seconds = elapsed.as_secs_f64();
        self.call_seconds
            .get_or_create(&vec![service])
            .observe(seconds);
    }

    /// Counts an attempt to place a call at a gate.
    ///
    /// `result` is `answered` or the code of the error.
    pub fn count_attempt(&self, service: &str, result: &str) {
        let labels = vec![
            ("service", service.to_string()),
            ("result", result.to_string()),
        ];
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts an admission decision of the gate.
    pub fn count_admission(&self, decision: &str) {
        let labels = vec![("decision", decision.to_string())];
        self.admissions.get_or_create(&labels).inc();
    }

    /// Counts a decision on a call where calls carry tenants; `rank` is `None` for a call
    /// without one, which is nested.
    pub fn count_rank_admission(&self, rank: Option<u32>, result: &str) {
        let rank = rank.map_or_else(|| "nested".to_string(), |rank| rank.to_string());
        let labels = vec![("rank", rank), ("result", result.to_string())];
        self.rank_admissions.get_or_create(&labels).inc();
    }

    /// Records a run of a request at the backend server; `elapsed` is `None`
    /// unless the run completed.
    pub fn record_run(&self, result: &str, elapsed: Option<Duration>) {
        let labels = vec![("result", result.to_string())];
        self.runs.get_or_create(&labels).inc();
        if let Some(elapsed) = elapsed {
            let seconds = elapsed.as_secs_f64();
            self.run_seconds.get_or_create(&Vec::new()).observe(seconds);
        }
    }

    /// Counts a load poll that the gate sent or had no budget for.
    pub fn count_load_poll(&self, result: &str) {
        let labels = vec![("result", result.to_string())];
        self.load_polls.get_or_create(&labels).inc();
    }

    /// Sets the version of the route configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the limit that the own backend server named, in requests per second.
    pub fn set_rate_limit(&self, rate: Option<f64>) {
        self.rate_limit.set(rate.unwrap_or(f64::INFINITY));
    }

    /// Counts a refusal of the gate while its backend server is limited.
    pub fn count_limited_refusal(&self) {
        self.limited_refusals.inc();
    }

    /// Counts a statement of the own backend server: `limit-named`, `limit-ended`,
    /// `unreadable` or `leaving`.
    pub fn count_statement(&self, kind: &str) {
        let labels = vec![("kind", kind.to_string())];
        self.statements.get_or_create(&labels).inc();
    }

    /// Counts an end of the own backend server while calls ran.
    pub fn count_backend_crash(&self) {
        self.backend_crashes.inc();
    }

    /// Counts a caller's request that was refused as held.
    pub fn count_quarantine_refusal(&self) {
        self.quarantine_refusals.inc();
    }

    /// Sets the number of requests that are held.
    pub fn set_held_requests(&self, count: usize) {
        self.held_requests
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets whether the own backend server is taken for cold.
    pub fn set_cold(&self, is_cold: bool) {
        self.cold.set(i64::from(is_cold));
    }

    /// Counts a call that was `delayed` or `refused` at the gate of a cold backend server.
    pub fn count_cold_call(&self, result: &str) {
        let labels = vec![("result", result.to_string())];
        self.cold_calls.get_or_create(&labels).inc();
    }

    /// Counts a query of the warm-up state: `warm`, `cold` or `failed`.
    pub fn count_warm_up_reading(&self, result: &str) {
        let labels = vec![("result", result.to_string())];
        self.warm_up_readings.get_or_create(&labels).inc();
    }

    /// Counts a call that the gate refused as its zone is evacuated.
    pub fn count_evacuation_refusal(&self) {
        self.evacuation_refusals.inc();
    }

    /// Calls that the gate has refused as its zone is evacuated.
    pub fn evacuation_refusal_count(&self) -> u64 {
        self.evacuation_refusals.get()
    }

    /// Sets the source of the configuration's age; only the first one counts.
    pub fn show_confirmation(&self, confirmation: Arc<ConfirmationHub>) {
        let _ = self.confirmation.set(confirmation);
    }

    /// Time since the configuration in force was known to be the newest, if ever.
    pub fn config_age(&self) -> Option<Duration> {
        self.confirmation.get()?.age()
    }

    fn update_config_age(&self) {
        let age = self.config_age();
        self.config_age
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    /// Sets the source of the evacuated zones; only the first one counts.
    pub fn show_evacuation(&self, evacuation: Arc<EvacuationHub>) {
        let _ = self.evacuation.set(evacuation);
    }

    fn update_evacuation(&self) {
        let Some(evacuation) = self.evacuation.get() else {
            return;
        };
        let to_gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        let current = evacuation.current();
        self.evacuated_zones
            .set(to_gauge(current.zones.len() as u64));
        self.evacuation_revision
            .set(to_gauge(current.revision.number));
        let age = evacuation.age();
        self.evacuation_age
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    /// Sets the usage of quotas, and the levels of the buckets that this node holds.
    pub fn set_quota_usage(&self, usage: &UsageSummary, buckets: &[(TenantName, f64)]) {
        for family in [&self.quota_requests, &self.quota_tokens] {
            family.clear();
        }
        self.quota_buckets.clear();
        for (tenant, level) in buckets.iter().take(MAX_LISTED_BUCKETS) {
            let labels = vec![("tenant", tenant.to_string())];
            self.quota_buckets.get_or_create(&labels).set(*level);
        }
        let listed = usage.listed.iter();
        let listed = listed.map(|(name, counts)| (name.as_str(), counts));
        for (tenant, (counts, stock)) in listed.chain([(OTHER_TENANTS, &usage.rest)]) {
            let tenant = ("tenant", tenant.to_string());
            let stock = i64::try_from(*stock).unwrap_or(i64::MAX);
            let tokens = self.quota_tokens.get_or_create(&vec![tenant.clone()]);
            tokens.set(stock);
            for (result, count) in [
                ("admitted", counts.admitted),
                ("returned", counts.returned),
                ("refused-limit", counts.refused_by_limit),
                ("refused-no-owner", counts.refused_without_owner),
            ] {
                let labels = vec![tenant.clone(), ("result", result.to_string())];
                let count = i64::try_from(count).unwrap_or(i64::MAX);
                self.quota_requests.get_or_create(&labels).set(count);
            }
        }
    }

    /// Sets the shares and expected waits of all services.
    pub fn set_zone_balances(&self, balances: &[ServiceBalance]) {
        // A zone that is gone must not keep its last share.
        self.cross_zone_share.clear();
        self.zone_wait_seconds.clear();
        for balance in balances {
            self.set_zone_balance(balance);
        }
    }

    fn set_zone_balance(&self, balance: &ServiceBalance) {
        let labels = |zone: &str| {
            vec![
                ("service", balance.service.to_string()),
                ("zone", zone.to_string()),
            ]
        };
        let waits = &self.zone_wait_seconds;
        let home_wait = balance.home_wait.as_secs_f64();
        waits.get_or_create(&labels("own")).set(home_wait);
        for zone in &balance.zones {
            let labels = labels(zone.zone.as_str());
            self.cross_zone_share.get_or_create(&labels).set(zone.share);
            let wait = zone.wait.map_or(f64::NAN, |wait| wait.as_secs_f64());
            waits.get_or_create(&labels).set(wait);
        }
    }

    /// Counts a run that ended before the whole request body was written.
    pub fn count_incomplete_body(&self, reason: String) {
        let labels = vec![("reason", reason)];
        self.incomplete_bodies.get_or_create(&labels).inc();
    }

    /// Counts body bytes sent to another zone or received from there.
    pub fn count_cross_zone_bytes(&self, service: &str, bytes: u64) {
        let labels = vec![("service", service.to_string())];
        let counter = self.cross_zone_body_bytes.get_or_create(&labels);
        counter.inc_by(bytes);
    }

    /// Records the end of a planned stop and what was left, by kind.
    pub fn record_stop_end(&self, reason: &str, leftovers: &[(&str, u64)]) {
        let labels = vec![("reason", reason.to_string())];
        self.stops.get_or_create(&labels).inc();
        for (kind, count) in leftovers {
            let labels = vec![("kind", (*kind).to_string())];
            self.stop_leftovers.get_or_create(&labels).inc_by(*count);
        }
    }

    /// Sets the bytes held for callers.
    pub fn set_caller_bytes(&self, bytes: u64) {
        self.caller_bytes.set(clamp_gauge(bytes));
    }

    /// Sets the number of callers' connections.
    pub fn set_caller_connections(&self, count: usize) {
        self.caller_connections.set(clamp_gauge(count));
    }

    /// Counts a caller's connection that was closed as a limit was met.
    pub fn count_closed_caller(&self, limit: &str) {
        let labels = vec![("limit", limit.to_string())];
        self.closed_callers.get_or_create(&labels).inc();
    }

    /// Sets the bytes in the queues of all links.
    pub fn set_link_bytes(&self, bytes: usize) {
        self.link_bytes.set(clamp_gauge(bytes));
    }

    /// Sets the bytes of responses that wait for their acknowledgement.
    pub fn set_retained_bytes(&self, bytes: usize) {
        self.retained_bytes.set(clamp_gauge(bytes));
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode_text(&self) -> String {
        self.update_evacuation();
        self.update_config_age();
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(target: "metrics", "metrics can't be encoded, the response is incomplete: {error}");
        }
        text
    }
}

#[cfg(test)]
mod tests;
