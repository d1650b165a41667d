//! HTTP API of the stand-in store: Consul's keys and sessions, counts and faults.
//! The platform's calls to the same data are added by its adapter.

use std::io;
use std::net::TcpListener;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ntex::util::Bytes;
use ntex::web::types::{Json, Path, PayloadConfig, Query, State};
use ntex::web::{self, App, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::json;

use super::StandinOptions;
use super::faults::StoreFaults;
use super::rates::CallKind;
use super::state::{CallRejection, StandinState, copy_bytes};
use crate::platform::add_platform_routes;
use crate::store::{KeyRevision, MAX_VALUE_BYTES};

/// Longest wait of a watch whose request sets none.
const DEFAULT_WATCH_WAIT: Duration = Duration::from_secs(300);
/// Time to live of a lease whose request sets none.
const DEFAULT_LEASE_TTL: Duration = Duration::from_secs(10);
/// Excess over the value limit up to which a body is read, so that a value that
/// is too large gets a response that says so.
const BODY_SIZE_MARGIN_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
struct KeyQuery {
    cas: Option<u64>,
    acquire: Option<String>,
    index: Option<u64>,
    wait: Option<String>,
}

#[derive(Deserialize)]
struct SessionBody {
    #[serde(rename = "TTL")]
    ttl: Option<String>,
}

/// Serves the store on a listener until the process receives a stop signal.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub async fn serve(listener: TcpListener, options: &StandinOptions) -> io::Result<()> {
    let state = StandinState::new(options);
    let app = async move || {
        App::new()
            .state(state.clone())
            .state(PayloadConfig::new(MAX_VALUE_BYTES + BODY_SIZE_MARGIN_BYTES))
            .route("/v1/kv/{key}*", web::get().to(get_key))
            .route("/v1/kv/{key}*", web::put().to(put_key))
            .route("/v1/kv/{key}*", web::delete().to(delete_key))
            .route("/v1/session/create", web::put().to(create_session))
            .route("/v1/session/renew/{id}", web::put().to(renew_session))
            .route("/v1/session/destroy/{id}", web::put().to(destroy_session))
            .route("/standin/counts", web::get().to(show_counts))
            .route("/standin/counts", web::delete().to(reset_counts))
            .route("/standin/faults", web::put().to(set_faults))
            .route("/standin/copy", web::put().to(take_copy))
            .route("/standin/restore", web::put().to(restore_copy))
            .configure(add_platform_routes)
    };
    HttpServer::new(app)
        .workers(1)
        .listen(listener)?
        .run()
        .await
}

pub(crate) fn rejection_response(rejection: CallRejection) -> HttpResponse {
    match rejection {
        CallRejection::Unavailable => HttpResponse::ServiceUnavailable().body("store is away"),
        CallRejection::RateExceeded => HttpResponse::TooManyRequests().body("rate passed"),
    }
}

/// Response to a write, with whether it was applied; `None` if a fault loses it.
fn write_response(result: Option<bool>) -> HttpResponse {
    match result {
        Some(is_applied) => HttpResponse::Ok().body(is_applied.to_string()),
        None => HttpResponse::InternalServerError().body("answer lost"),
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    humantime::parse_duration(text).ok()
}

async fn get_key(
    state: State<StandinState>,
    key: Path<String>,
    query: Query<KeyQuery>,
) -> HttpResponse {
    let index = query.index.unwrap_or(0);
    let kind = if index > 0 {
        CallKind::Watch
    } else {
        CallKind::Read
    };
    if let Err(refusal) = state.admit(kind).await {
        return rejection_response(refusal);
    }
    if index > 0 {
        let wait = query.wait.as_deref().and_then(parse_duration);
        let wait = wait.unwrap_or(DEFAULT_WATCH_WAIT);
        if !state.wait_for_change(&key, index, wait).await {
            return rejection_response(CallRejection::Unavailable);
        }
    }
    let key_index = state.key_index(&key);
    let Some(value) = state.with_table(|table, _| table.get(&key)) else {
        return HttpResponse::NotFound()
            .header("x-consul-index", key_index.to_string())
            .finish();
    };
    state.record_bytes_read(value.bytes.len());
    let entry = json!([{
        "Key": key.as_str(),
        "Value": STANDARD.encode(&value.bytes),
        "ModifyIndex": value.revision.0,
    }]);
    HttpResponse::Ok()
        .header("x-consul-index", key_index.to_string())
        .json(&entry)
}

async fn put_key(
    state: State<StandinState>,
    key: Path<String>,
    query: Query<KeyQuery>,
    body: Bytes,
) -> HttpResponse {
    let kind = if query.acquire.is_some() {
        CallKind::Lease
    } else {
        CallKind::Write
    };
    if let Err(refusal) = state.admit(kind).await {
        return rejection_response(refusal);
    }
    if body.len() > MAX_VALUE_BYTES {
        return HttpResponse::PayloadTooLarge().body("value larger than 1 MiB");
    }
    let value = copy_bytes(&body);
    let key = key.into_inner();
    if let Some(lease) = &query.acquire {
        return match state.with_table(|table, _| table.acquire(&key, value, lease)) {
            Some(is_acquired) => write_response(Some(is_acquired)),
            None => HttpResponse::BadRequest().body("no such session"),
        };
    }
    let expected = query.cas.map(KeyRevision);
    let size = value.len();
    write_response(state.write_key(size, move |table| table.put(&key, value, expected)))
}

async fn delete_key(state: State<StandinState>, key: Path<String>) -> HttpResponse {
    if let Err(refusal) = state.admit(CallKind::Write).await {
        return rejection_response(refusal);
    }
    let key = key.into_inner();
    let removal = move |table: &mut crate::store::memory::MemoryTable| {
        table.remove(&key);
        true
    };
    write_response(state.write_key(0, removal))
}

async fn create_session(state: State<StandinState>, body: Bytes) -> HttpResponse {
    if let Err(refusal) = state.admit(CallKind::Lease).await {
        return rejection_response(refusal);
    }
    // Consul's API requires no content type, so the JSON extractor can't be used.
    let Ok(body) = serde_json::from_slice::<SessionBody>(&body) else {
        return HttpResponse::BadRequest().body("malformed session");
    };
    let ttl = body.ttl.as_deref().and_then(parse_duration);
    let ttl = ttl.unwrap_or(DEFAULT_LEASE_TTL);
    let id = state.with_table(|table, now| table.grant_lease(ttl, now));
    HttpResponse::Ok().json(&json!({ "ID": id }))
}

async fn renew_session(state: State<StandinState>, id: Path<String>) -> HttpResponse {
    if let Err(refusal) = state.admit(CallKind::Lease).await {
        return rejection_response(refusal);
    }
    if state.with_table(|table, now| table.renew_lease(&id, now)) {
        HttpResponse::Ok().json(&json!([{ "ID": id.as_str() }]))
    } else {
        HttpResponse::NotFound().finish()
    }
}

async fn destroy_session(state: State<StandinState>, id: Path<String>) -> HttpResponse {
    if let Err(refusal) = state.admit(CallKind::Lease).await {
        return rejection_response(refusal);
    }
    state.with_table(|table, _| table.revoke_lease(&id));
    HttpResponse::Ok().body("true")
}

async fn show_counts(state: State<StandinState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.counts())
}

async fn reset_counts(state: State<StandinState>) -> HttpResponse {
    state.reset_counts();
    HttpResponse::Ok().finish()
}

async fn set_faults(state: State<StandinState>, faults: Json<StoreFaults>) -> HttpResponse {
    state.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

// The connection is closed early if a handler doesn't read the body of its request.
async fn take_copy(state: State<StandinState>, _body: Bytes) -> HttpResponse {
    state.take_copy();
    HttpResponse::Ok().finish()
}

async fn restore_copy(state: State<StandinState>, _body: Bytes) -> HttpResponse {
    state.restore_copy();
    HttpResponse::Ok().finish()
}
