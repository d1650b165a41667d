//! Request handlers of the stand-in.

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

/// Header with the service time in microseconds.
const SERVICE_TIME_HEADER: &str = "standin-work-us";
/// Header that asks for an answer without `content-length`.
const CHUNKED_RESPONSE_HEADER: &str = "standin-chunked";
/// Header that asks for the request's head as answer.
const ECHO_HEAD_HEADER: &str = "standin-echo-head";
/// Header that names a request; its runs are counted.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// Header with the name of the stand-in, in its answers.
const STANDIN_ID_HEADER: &str = "standin-id";
/// Body of an answer that is to be cut, where there is nothing to echo.
const TRUNCATED_RESPONSE_FILLER: &[u8] = b"an answer that is cut short";

/// Time for the first half of a cut answer to get out.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Head of a request, as the stand-in saw it.
#[derive(Debug, Serialize)]
struct EchoedHead {
    method: String,
    target: String,
    headers: BTreeMap<String, Vec<String>>,
}

/// Routes of the stand-in.
pub fn configure(config: &mut ServiceConfig) {
    config
        .service(web::resource("/standin/runs").route(web::get().to(show_runs)))
        .service(web::resource("/standin/faults").route(web::put().to(set_faults)))
        .service(web::resource("/{path}*").to(serve_request));
}

async fn show_runs(state: State<Arc<StandinState>>) -> HttpResponse {
    HttpResponse::Ok().json(&state.counts())
}

async fn set_faults(state: State<Arc<StandinState>>, faults: Json<FaultSettings>) -> HttpResponse {
    state.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

/// Text of a header, if there is one and it is ASCII.
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
    let begin = Instant::now();
    let mut active = state.track_request();
    let faults = state.faults();
    if faults.fail_fast {
        return HttpResponse::InternalServerError()
            .header(STANDIN_ID_HEADER, state.id.as_str())
            .body("fails fast");
    }
    // A request whose body never became whole is not run.
    let Ok(body) = read_body(payload).await else {
        return HttpResponse::BadRequest().finish();
    };
    let _permit = if faults.ignore_slots {
        None
    } else {
        state.slot_permits.clone().acquire_owned().await.ok()
    };
    active.record_run_start(header_text(request.headers(), REQUEST_ID_HEADER));
    work(&request, &state, &faults).await;
    let nested = make_nested_call(&request, &state, body.clone(), begin).await;
    if faults.silent {
        std::future::pending::<()>().await;
    }
    let (status, body) = nested.unwrap_or_else(|| (StatusCode::OK, echo_body(&request, body)));
    build_response(&request, &state, &faults, &mut active, (status, body))
}

async fn work(request: &HttpRequest, state: &StandinState, faults: &FaultSettings) {
    let asked =
        header_text(request.headers(), SERVICE_TIME_HEADER).and_then(|text| text.parse().ok());
    let work = asked.map_or(state.default_service_time, Duration::from_micros);
    let work = Duration::try_from_secs_f64(work.as_secs_f64() * faults.slowdown).unwrap_or(work);
    if !work.is_zero() {
        tokio::time::sleep(work).await;
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

fn build_response(
    request: &HttpRequest,
    state: &StandinState,
    faults: &FaultSettings,
    active: &mut ActiveRequest,
    (status, body): (StatusCode, Bytes),
) -> HttpResponse {
    let mut response = HttpResponse::build(status);
    response.header(STANDIN_ID_HEADER, state.id.as_str());
    if let Some(id) = request.headers().get(REQUEST_ID_HEADER) {
        response.header(REQUEST_ID_HEADER, id.clone());
    }
    let is_chunked = header_text(request.headers(), CHUNKED_RESPONSE_HEADER).is_some();
    if faults.cut {
        return truncated_response(request, &mut response, &body, is_chunked);
    }
    active.record_run_end();
    if is_chunked {
        let chunk: Result<Bytes, io::Error> = Ok(body);
        return response.streaming(stream::iter([chunk]));
    }
    response.body(body)
}

/// Answer that promises the whole body and breaks off after half of it.
///
/// An error from the stream would not do: the library then writes an answer of
/// its own after the first half, which can fill the promised length.
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
    let half: Result<Bytes, io::Error> = Ok(body.slice(..body.len() / 2));
    let io = request.io().cloned();
    let cut = stream::once(async move {
        // What was written has to reach the caller before the end does.
        tokio::time::sleep(FLUSH_DELAY).await;
        if let Some(io) = &io {
            io.terminate();
        }
        std::future::pending().await
    });
    if !is_chunked {
        let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
        response.no_chunking().content_length(length);
    }
    response.streaming(Box::pin(stream::iter([half]).chain(cut)))
}
