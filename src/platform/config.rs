//! Decoding of the operator's configuration from the platform's JSON format.
//!
//! Routes and services are tables: a list of column names, then rows of values
//! in the same order, with `null` for an omitted value. All times are in seconds.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::ids::{ConnectionCount, ServiceName};
use crate::routes::driver::ConfigError;
use crate::routes::{
    CallerLimits, ConfigVersion, RequestKind, Route, RouteConfig, RouteTarget, ServiceSettings,
    WeightedService,
};

/// Store key of the latest configuration.
pub(super) const CONFIG_KEY: &str = "op/config";

#[derive(Debug, Deserialize)]
struct RawConfig {
    /// Version number as eight hexadecimal digits.
    version: String,
    routes: RawTable,
    services: RawTable,
    limits: RawLimits,
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
    let services: BTreeMap<ServiceName, ServiceSettings> = raw
        .services
        .deserialize_rows::<RawService>()?
        .into_iter()
        .map(|service| {
            let settings = ServiceSettings {
                max_connections: service.max_connections,
                health_path: service.health_check_path,
            };
            (service.name, settings)
        })
        .collect();
    let limits = CallerLimits::try_from(raw.limits)?;
    Ok(RouteConfig::new(
        ConfigVersion(version),
        routes?,
        services,
        limits,
    ))
}
