//! Decoding of the operator's configuration from the platform's JSON format.
//!
//! Routes and services are tables: a list of column names, then rows of values
//! in the same order, with `null` for an omitted value. All times are in seconds.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::ids::{ConnectionCount, RegionName, ServiceName, TenantName, ZoneName};
use crate::rate_limit::StartRate;
use crate::routes::driver::ConfigError;
use crate::routes::{
    ApiKey, CallerLimits, ConfigVersion, RequestKind, Route, RouteConfig, RouteTarget,
    ServiceSettings, Tenant, TenantDirectory, TenantQuota, WarmUpSettings, WeightedService,
};

/// Prefix of the keys that the operator writes.
pub(super) const OPERATOR_PREFIX: &str = "op/";
/// Store key of the latest configuration.
pub(super) const CONFIG_KEY: &str = "op/config";
/// Prefix of the keys that exist while the zone of that name is evacuated.
const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Zone that a key declares evacuated; `None` for other keys.
pub(super) fn evacuated_zone(key: &str) -> Option<ZoneName> {
    let name = key.strip_prefix(EVACUATION_PREFIX)?;
    let zone = name.parse();
    zone.inspect_err(|error| {
        log::warn!(target: "evacuation", "zone of a key in the store can't be read: {error}");
    })
    .ok()
}

#[derive(Debug, Deserialize)]
struct RawConfig {
    /// Version number as eight hexadecimal digits.
    version: String,
    routes: RawTable,
    services: RawTable,
    limits: RawLimits,
    /// Absent if requests need no API key.
    tenants: Option<RawTable>,
}

#[derive(Debug, Deserialize)]
struct RawTable {
    columns: Vec<String>,
    rows: Vec<Vec<Value>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawRoute {
    name: String,
    hostname: String,
    prefix: String,
    kind: RawRequestKind,
    /// Time limit of a request.
    timeout_s: f64,
    /// Latency up to which a response gets full credit.
    target_latency_s: f64,
    /// 0 is the highest priority.
    #[serde(default)]
    priority: u32,
    /// Most upstreams to which one attempt of the caller may be sent.
    max_attempts: u32,
    service: Option<ServiceName>,
    traffic_split: Option<Vec<WeightedService>>,
    /// Whether requests carry no API key.
    #[serde(default)]
    public: bool,
    allowed_regions: Option<BTreeSet<RegionName>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawRequestKind {
    Idempotent,
    NonIdempotent,
    Upload,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawService {
    name: ServiceName,
    max_connections: ConnectionCount,
    health_check_path: Option<String>,
    /// Time after a start for which an upstream is cold.
    warmup_s: Option<f64>,
    /// Requests per second that a cold upstream takes; 0 or absent for no limit.
    warmup_per_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawTenant {
    name: TenantName,
    #[serde(default)]
    api_keys: Vec<String>,
    /// Replaces the priority of the route; 0 is the highest.
    priority: Option<u32>,
    /// Quota in requests per second; 0 or absent for no limit.
    #[serde(default)]
    rate_per_s: f64,
    /// Requests beyond the rate that may follow a quiet time.
    #[serde(default)]
    burst: f64,
    allowed_regions: Option<BTreeSet<RegionName>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawLimits {
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

fn config_error(reason: &impl ToString) -> ConfigError {
    ConfigError {
        reason: reason.to_string(),
    }
}

/// Converts a time in seconds, rounded to whole milliseconds.
fn seconds_to_millis(seconds: f64) -> Result<u64, ConfigError> {
    if (0.0..=1e9).contains(&seconds) {
        Ok((seconds * 1_000.0).round() as u64)
    } else {
        Err(config_error(&format!(
            "time of {seconds} s is out of range, expected 0 to 1000000000 s"
        )))
    }
}

impl RawTable {
    fn deserialize_rows<T: DeserializeOwned>(self) -> Result<Vec<T>, ConfigError> {
        let columns = self.columns;
        let rows = self.rows.into_iter().map(|row| {
            let cells = columns.iter().cloned().zip(row);
            let fields: Map<String, Value> = cells.filter(|(_, cell)| !cell.is_null()).collect();
            serde_json::from_value(Value::Object(fields)).map_err(|error| config_error(&error))
        });
        rows.collect()
    }
}

impl TryFrom<RawRoute> for Route {
    type Error = ConfigError;

    fn try_from(raw: RawRoute) -> Result<Self, ConfigError> {
        let target = match (raw.service, raw.traffic_split) {
            (Some(service), None) => RouteTarget::Service(service),
            (None, Some(split)) if !split.is_empty() => RouteTarget::Split(split),
            _ => {
                let reason = format!(
                    "route {}: expected either service or a non-empty trafficSplit",
                    raw.name
                );
                return Err(config_error(&reason));
            }
        };
        Ok(Self {
            timeout_ms: seconds_to_millis(raw.timeout_s)?,
            target_latency_ms: seconds_to_millis(raw.target_latency_s)?,
            name: raw.name,
            host: raw.hostname,
            prefix: raw.prefix,
            kind: match raw.kind {
                RawRequestKind::Idempotent => RequestKind::Idempotent,
                RawRequestKind::NonIdempotent => RequestKind::NonIdempotent,
                RawRequestKind::Upload => RequestKind::Upload,
            },
            rank: raw.priority,
            max_attempts: raw.max_attempts.max(1),
            target,
            is_public: raw.public,
            allowed_regions: raw.allowed_regions,
        })
    }
}

impl TryFrom<RawTenant> for Tenant {
    type Error = ConfigError;

    fn try_from(raw: RawTenant) -> Result<Self, ConfigError> {
        let rate = StartRate::try_from(raw.rate_per_s).map_err(|error| config_error(&error))?;
        let quota = TenantQuota {
            rate,
            burst: raw.burst.max(0.0),
        };
        Ok(Self {
            name: raw.name,
            keys: raw.api_keys.into_iter().map(ApiKey::from).collect(),
            rank: raw.priority,
            quota: (raw.rate_per_s > 0.0).then_some(quota),
            allowed_regions: raw.allowed_regions,
        })
    }
}

impl TryFrom<RawService> for ServiceSettings {
    type Error = ConfigError;

    fn try_from(raw: RawService) -> Result<Self, ConfigError> {
        let warm_up = match raw.warmup_per_s.filter(|per_second| *per_second > 0.0) {
            Some(per_second) => Some(WarmUpSettings {
                duration_ms: seconds_to_millis(raw.warmup_s.unwrap_or_default())?,
                rate: StartRate::try_from(per_second).map_err(|error| config_error(&error))?,
            }),
            None => None,
        };
        Ok(Self {
            max_connections: raw.max_connections,
            health_path: raw.health_check_path,
            warm_up,
        })
    }
}

impl TryFrom<RawLimits> for CallerLimits {
    type Error = ConfigError;

    fn try_from(raw: RawLimits) -> Result<Self, ConfigError> {
        Ok(Self {
            max_head_bytes: raw.max_header_bytes,
            max_body_bytes: raw.max_body_bytes,
            head_timeout_ms: seconds_to_millis(raw.header_timeout_s)?,
            idle_timeout_ms: seconds_to_millis(raw.idle_timeout_s)?,
        })
    }
}

/// Decodes one version of the configuration.
pub(super) fn decode_config(bytes: &[u8]) -> Result<RouteConfig, ConfigError> {
    let raw: RawConfig = serde_json::from_slice(bytes).map_err(|error| config_error(&error))?;
    let version = u64::from_str_radix(&raw.version, 16).map_err(|error| config_error(&error))?;
    let routes = raw.routes.deserialize_rows::<RawRoute>()?.into_iter();
    let routes: Result<Vec<Route>, ConfigError> = routes.map(Route::try_from).collect();
    let mut services = BTreeMap::new();
    for service in raw.services.deserialize_rows::<RawService>()? {
        services.insert(service.name.clone(), ServiceSettings::try_from(service)?);
    }
    let tenants = raw.tenants.map(decode_tenants).transpose()?;
    let limits = CallerLimits::try_from(raw.limits)?;
    let config = RouteConfig::new(ConfigVersion(version), routes?, services, limits);
    Ok(config.with_tenants(tenants))
}

fn decode_tenants(table: RawTable) -> Result<TenantDirectory, ConfigError> {
    let rows = table.deserialize_rows::<RawTenant>()?.into_iter();
    let tenants: Result<Vec<Tenant>, ConfigError> = rows.map(Tenant::try_from).collect();
    tenants.map(TenantDirectory::from)
}
