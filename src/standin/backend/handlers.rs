//! HTTP handlers: run counts, faults, and the echo of all other requests.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use ntex::http::StatusCode;
use ntex::http::header::HeaderMap;
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::{Json, Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::Serialize;

use super::nest::make_nested_call;
use super::state::{ActiveRequest, FaultSettings, StandinState};

/// Request header with the service time in microseconds.
const SERVICE_TIME_HEADER: &str = "standin-work-us";
/// Request header that asks for a chunked response, without `content-length`.
const CHUNKED_RESPONSE_HEADER: &str = "standin-chunked";
/// Request header that asks for the request's head as response body.
const ECHO_HEAD_HEADER: &str = "standin-echo-head";
/// Header with the id by which the runs of a request are counted.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Response header with the name of the stand-in.
const STANDIN_ID_HEADER: &str = "standin-id";
/// Body of a truncated response if there is nothing to echo.
const TRUNCATED_RESPONSE_FILLER: &[u8] = b"an answer that is cut short";

/// Requests whose body contains this end the process while they run.
pub const CRASH_MARKER: &[u8] = b"standin-crash";
/// Time from the start of such a run to the end of the process.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Failure response that is written without the HTTP library.
const RAW_FAILURE: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nfails";
/// Start of a response head.
const PARTIAL_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-le";
/// Time for which nothing is read of a body after an early response, and for which the
/// connection stays open after the body.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Time for the first half of a truncated response to be sent.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Head of a request as received, sent as JSON.
#[derive(Debug, Serialize)]
struct EchoedHead {
    method: String,
    target: String,
    headers: BTreeMap<String, Vec<String>>,
}

/// Registers the routes.
pub fn configure(config: &mut ServiceConfig) {
    config
        .service(web::resource("/standin/runs").route(web::get().to(show_runs)))
        .service(web::resource("/standin/arrivals").route(web::get().to(show_arrivals)))
        .service(web::resource("/standin/faults").route(web::put().to(set_faults)))
        .service(web::resource("/{path}*").to(serve_request));
}

async fn show_runs(state: State<Arc<StandinState>>) -> HttpResponse {
    HttpResponse::Ok().json(&state.counts())
}

async fn show_arrivals(state: State<Arc<StandinState>>) -> HttpResponse {
    HttpResponse::Ok().json(&state.arrivals_ms())
}

async fn set_faults(state: State<Arc<StandinState>>, faults: Json<FaultSettings>) -> HttpResponse {
    state.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

/// Value of a header; `None` if it is missing or not visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn read_body(mut payload: Payload) -> io::Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        body.extend_from_slice(&chunk.map_err(io::Error::other)?);
    }
    Ok(body.freeze())
}

async fn serve_request(
    request: HttpRequest,
    payload: Payload,
    state: State<Arc<StandinState>>,
) -> HttpResponse {
    let received_at = Instant::now();
    let mut active_request = state.track_request();
    let faults = state.faults();
    if faults.fail_fast {
        let mut response = HttpResponse::InternalServerError();
        response.header(STANDIN_ID_HEADER, state.id.as_str());
        put_fault_fields(&mut response, &faults);
        return response.body("fails fast");
    }
    if faults.answer_early || faults.repeat_failure {
        return fail_at_head(&request, payload, &faults).await;
    }
    // A request with an incomplete body is not run.
    let Ok(body) = read_body(payload).await else {
        return HttpResponse::BadRequest().finish();
    };
    let _permit = if faults.ignore_slots {
        None
    } else {
        state.slot_permits.clone().acquire_owned().await.ok()
    };
    active_request.record_run_start(header_text(request.headers(), REQUEST_ID_HEADER));
    if contains_crash_marker(&body) {
        tokio::time::sleep(CRASH_DELAY).await;
        std::process::abort();
    }
    simulate_work(&request, &state, &faults).await;
    let nested = make_nested_call(&request, &state, body.clone(), received_at).await;
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if faults.cut_head {
        write_raw(&request, PARTIAL_HEAD);
        return close_after(&request, FLUSH_DELAY).await;
    }
    let (status, body) = nested.unwrap_or_else(|| (StatusCode::OK, echo_body(&request, body)));
    build_response(
        &request,
        &state,
        &faults,
        &mut active_request,
        (status, body),
    )
}

/// Writes bytes to the connection past the HTTP library.
fn write_raw(request: &HttpRequest, bytes: &[u8]) {
    if let Some(io) = request.io()
        && let Err(error) = io.encode_slice(bytes)
    {
        eprintln!("connection closed before a response was written: {error}");
    }
}

/// Closes the connection after a while; its handler ends with it.
async fn close_after(request: &HttpRequest, delay: Duration) -> HttpResponse {
    tokio::time::sleep(delay).await;
    if let Some(io) = request.io() {
        io.terminate();
    }
    std::future::pending().await
}

async fn fail_at_head(
    request: &HttpRequest,
    payload: Payload,
    faults: &FaultSettings,
) -> HttpResponse {
    let copies = if faults.repeat_failure { 2 } else { 1 };
    write_raw(request, &RAW_FAILURE.repeat(copies));
    tokio::time::sleep(READ_PAUSE).await;
    if let Err(error) = read_body(payload).await {
        eprintln!("request body after an early response not complete: {error}");
    }
    close_after(request, READ_PAUSE).await
}

fn contains_crash_marker(body: &[u8]) -> bool {
    body.windows(CRASH_MARKER.len())
        .any(|window| window == CRASH_MARKER)
}

async fn simulate_work(request: &HttpRequest, state: &StandinState, faults: &FaultSettings) {
    let requested_us =
        header_text(request.headers(), SERVICE_TIME_HEADER).and_then(|text| text.parse().ok());
    let service_time = requested_us.map_or(state.default_service_time, Duration::from_micros);
    let service_time = Duration::try_from_secs_f64(service_time.as_secs_f64() * faults.slowdown)
        .unwrap_or(service_time);
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
}

fn echo_body(request: &HttpRequest, body: Bytes) -> Bytes {
    if header_text(request.headers(), ECHO_HEAD_HEADER).is_none() {
        return body;
    }
    let mut headers: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (name, value) in request.headers() {
        let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
        headers.entry(name.to_string()).or_default().push(text);
    }
    let head = EchoedHead {
        method: request.method().to_string(),
        target: request.uri().to_string(),
        headers,
    };
    Bytes::from(serde_json::to_vec(&head).unwrap_or_default())
}

fn put_fault_fields(response: &mut web::HttpResponseBuilder, faults: &FaultSettings) {
    for (name, value) in &faults.response_fields {
        response.header(name.as_str(), value.as_str());
    }
}

fn build_response(
    request: &HttpRequest,
    state: &StandinState,
    faults: &FaultSettings,
    active_request: &mut ActiveRequest,
    (status, body): (StatusCode, Bytes),
) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    response.header(STANDIN_ID_HEADER, state.id.as_str());
    put_fault_fields(&mut response, faults);
    if let Some(id) = request.headers().get(REQUEST_ID_HEADER) {
        response.header(REQUEST_ID_HEADER, id.clone());
    }
    let is_chunked = header_text(request.headers(), CHUNKED_RESPONSE_HEADER).is_some();
    if faults.cut {
        return truncated_response(request, &mut response, &body, is_chunked);
    }
    active_request.record_run_end();
    if is_chunked {
        let chunk: Result<Bytes, io::Error> = Ok(body);
        return response.streaming(stream::iter([chunk]));
    }
    response.body(body)
}

/// Response that declares the whole body, but closes the connection after half
/// of it.
///
/// The body stream must not end with an error instead: the HTTP library then
/// writes an error response after the first half, which can fill the declared
/// length.
fn truncated_response(
    request: &HttpRequest,
    response: &mut web::HttpResponseBuilder,
    body: &Bytes,
    is_chunked: bool,
) -> HttpResponse {
    let body = if body.is_empty() {
        Bytes::from_static(TRUNCATED_RESPONSE_FILLER)
    } else {
        body.clone()
    };
    let first_half: Result<Bytes, io::Error> = Ok(body.slice(..body.len() / 2));
    let io = request.io().cloned();
    let close_connection = stream::once(async move {
        // The first half has to reach the caller before the connection closes.
        tokio::time::sleep(FLUSH_DELAY).await;
        if let Some(io) = &io {
            io.terminate();
        }
        std::future::pending().await
    });
    if !is_chunked {
        let declared_length = u64::try_from(body.len()).unwrap_or(u64::MAX);
        response.no_chunking().content_length(declared_length);
    }
    response.streaming(Box::pin(stream::iter([first_half]).chain(close_connection)))
}
