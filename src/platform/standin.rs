//! Calls of the platform's store, answered by the stand-in store.
//!
//! The data, faults and call counts are those of [`StandinState`]. A watch returns
//! the last change of each key instead of all of them, and any caller may write any
//! key, so that tests can act as the operator.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use ntex::http::StatusCode;
use ntex::web::types::{Json, Path, Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::Deserialize;
use serde_json::{Value, json};

use super::store::{ERA_HEADER, STATUS_CONDITION_FAILED, STATUS_WATCH_HISTORY_GONE};
use crate::standin::store::rates::CallKind;
use crate::standin::store::service::rejection_response;
use crate::standin::store::state::{CallRejection, StandinState};
use crate::store::memory::MemoryTable;
use crate::store::{KeyRevision, StoredValue};

/// Text before the number in the name of a lease of the table.
const LEASE_NAME_PREFIX: &str = "lease-";

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected: Vec<Condition>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    deletes: Vec<String>,
}

#[derive(Deserialize)]
struct Condition {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LeaseRequest {
    ttl_s: f64,
}

/// Adds the platform's calls to the stand-in store.
pub fn add_platform_routes(config: &mut ServiceConfig) {
    config
        .route("/api/kv-key", web::get().to(get_key))
        .route("/api/kv-range", web::get().to(get_range))
        .route("/api/kv-watch", web::get().to(watch_prefix))
        .route("/api/kv-txn", web::post().to(run_transaction))
        .route("/api/kv-lease", web::post().to(grant_lease))
        .route("/api/kv-keep/{id}", web::post().to(renew_lease))
        .route("/api/kv-lease-end/{id}", web::delete().to(end_lease));
}

fn respond(state: &StandinState, status: u16, body: &Value) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status)
        .header(ERA_HEADER, state.era().to_string())
        .json(body)
}

fn reject(state: &StandinState, rejection: CallRejection) -> HttpResponse {
    let status = rejection_response(rejection).status();
    respond(state, status.as_u16(), &Value::Null)
}

fn encode_item(key: &str, value: &StoredValue) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&value.bytes),
        "revision": value.revision.0,
    })
}

fn lease_name(number: u64) -> String {
    format!("{LEASE_NAME_PREFIX}{number}")
}

async fn get_key(state: State<StandinState>, query: Query<KeyQuery>) -> HttpResponse {
    if let Err(rejection) = state.admit(CallKind::Read).await {
        return reject(&state, rejection);
    }
    let (value, as_of) = state.with_table(|table, _| (table.get(&query.key), table.index()));
    let Some(value) = value else {
        return respond(&state, 404, &json!({ "asOf": as_of }));
    };
    state.record_bytes_read(value.bytes.len());
    let mut body = encode_item(&query.key, &value);
    body["asOf"] = json!(as_of);
    respond(&state, 200, &body)
}

async fn get_range(state: State<StandinState>, query: Query<RangeQuery>) -> HttpResponse {
    if let Err(rejection) = state.admit(CallKind::Read).await {
        return reject(&state, rejection);
    }
    let (listed, as_of) = state.with_table(|table, _| (table.list(&query.prefix), table.index()));
    let items: Vec<Value> = listed
        .iter()
        .filter(|entry| entry.key > query.after)
        .map(|entry| encode_item(&entry.key, &entry.value))
        .collect();
    let body = json!({ "items": items, "hasMore": false, "asOf": as_of });
    respond(&state, 200, &body)
}

async fn watch_prefix(state: State<StandinState>, query: Query<WatchQuery>) -> HttpResponse {
    if let Err(rejection) = state.admit(CallKind::Watch).await {
        return reject(&state, rejection);
    }
    if query.after > state.with_table(|table, _| table.index()) {
        return respond(&state, STATUS_WATCH_HISTORY_GONE, &Value::Null);
    }
    let has_changed =
        |table: &MemoryTable| !table.changes_since(&query.prefix, query.after).is_empty();
    let max_wait = Duration::from_millis(query.wait_ms);
    if !state.wait_until(max_wait, has_changed).await {
        return reject(&state, CallRejection::Unavailable);
    }
    let (changes, as_of) = state.with_table(|table, _| {
        (
            table.changes_since(&query.prefix, query.after),
            table.index(),
        )
    });
    let events: Vec<Value> = changes
        .iter()
        .map(|change| match &change.value {
            Some(value) => encode_item(&change.key, value),
            None => json!({ "key": change.key, "revision": change.index, "tombstone": true }),
        })
        .collect();
    respond(&state, 200, &json!({ "events": events, "asOf": as_of }))
}

/// Runs a transaction on the table; returns the status of the response.
fn apply_transaction(table: &mut MemoryTable, transaction: &Transaction) -> u16 {
    let revision_of = |key: &str| table.get(key).map_or(KeyRevision::ABSENT, |it| it.revision);
    let mut conditions = transaction.expected.iter();
    if conditions.any(|condition| revision_of(&condition.key).0 != condition.revision) {
        return STATUS_CONDITION_FAILED;
    }
    for put in &transaction.puts {
        let Ok(value) = STANDARD.decode(&put.value) else {
            return 400;
        };
        let lease = (put.lease > 0).then(|| lease_name(put.lease));
        if !table.put_under_lease(&put.key, Bytes::from(value), lease.as_deref()) {
            return 404;
        }
    }
    for key in &transaction.deletes {
        table.remove(key);
    }
    200
}

async fn run_transaction(
    state: State<StandinState>,
    transaction: Json<Transaction>,
) -> HttpResponse {
    if let Err(rejection) = state.admit(CallKind::Write).await {
        return reject(&state, rejection);
    }
    let transaction = transaction.into_inner();
    let size = transaction.puts.iter().map(|put| put.value.len()).sum();
    let applied = state.write_key(size, move |table| {
        (apply_transaction(table, &transaction), table.index())
    });
    match applied {
        Some((status, revision)) => respond(&state, status, &json!({ "revision": revision })),
        None => respond(&state, 500, &Value::Null),
    }
}

async fn grant_lease(state: State<StandinState>, request: Json<LeaseRequest>) -> HttpResponse {
    if let Err(rejection) = state.admit(CallKind::Lease).await {
        return reject(&state, rejection);
    }
    let Ok(ttl) = Duration::try_from_secs_f64(request.ttl_s) else {
        return respond(&state, 400, &Value::Null);
    };
    let name = state.with_table(|table, now| table.grant_lease(ttl, now));
    let number: Option<u64> = name
        .strip_prefix(LEASE_NAME_PREFIX)
        .and_then(|number| number.parse().ok());
    respond(
        &state,
        200,
        &json!({ "lease": number, "ttlS": request.ttl_s }),
    )
}

async fn renew_lease(state: State<StandinState>, id: Path<u64>) -> HttpResponse {
    if let Err(rejection) = state.admit(CallKind::Lease).await {
        return reject(&state, rejection);
    }
    let lease = lease_name(*id);
    let is_renewed = state.with_table(|table, now| table.renew_lease(&lease, now));
    respond(&state, if is_renewed { 200 } else { 404 }, &json!({}))
}

async fn end_lease(state: State<StandinState>, id: Path<u64>) -> HttpResponse {
    if let Err(rejection) = state.admit(CallKind::Lease).await {
        return reject(&state, rejection);
    }
    state.with_table(|table, _| table.revoke_lease(&lease_name(*id)));
    respond(&state, 200, &json!({}))
}
