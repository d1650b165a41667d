//! Nested calls: a stand-in calls another service through its node's ingress
//! while it works on a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpRequest;

use super::handlers::{REQUEST_ID_HEADER, header_text};
use super::state::StandinState;
use crate::admin::http_client;

/// Header with the number of levels of nested calls still to be made.
const NESTING_DEPTH_HEADER: &str = "standin-nest";
/// Header with the service of the nested calls; without it, they go to the
/// service or host of the request.
const NESTED_SERVICE_HEADER: &str = "standin-nest-service";
/// Header with the time limit of a call, in milliseconds.
const TIMEOUT_HEADER: &str = "currantlift-timeout-ms";
/// Header with the service that a call is routed to.
const SERVICE_HEADER: &str = "currantlift-service";
/// Prefixes of the headers that a backend server forwards to nested calls.
const FORWARDED_HEADER_PREFIXES: [&str; 2] = ["currantlift-", "standin-"];
/// Client timeout of a nested call.
const NESTED_CALL_TIMEOUT: Duration = Duration::from_secs(30);

thread_local! {
    static THREAD_CLIENT: std::cell::RefCell<Option<Client>> = const { std::cell::RefCell::new(None) };
}

async fn thread_client() -> Option<Client> {
    if let Some(client) = THREAD_CLIENT.with_borrow(Clone::clone) {
        return Some(client);
    }
    let client = http_client(NESTED_CALL_TIMEOUT).await.ok()?;
    THREAD_CLIENT.set(Some(client.clone()));
    Some(client)
}

fn nested_headers(
    request: &HttpRequest,
    depth: u32,
    received_at: Instant,
) -> Vec<(String, String)> {
    let headers = request.headers();
    let is_forwarded = |name: &str| {
        FORWARDED_HEADER_PREFIXES
            .iter()
            .any(|prefix| name.starts_with(prefix))
    };
    let mut forwarded: Vec<(String, String)> = headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .filter(|(name, _)| {
            ![NESTING_DEPTH_HEADER, TIMEOUT_HEADER, SERVICE_HEADER].contains(&name.as_str())
        })
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect();
    forwarded.push((NESTING_DEPTH_HEADER.to_string(), (depth - 1).to_string()));
    let service = [NESTED_SERVICE_HEADER, SERVICE_HEADER, "host"]
        .into_iter()
        .find_map(|name| header_text(headers, name));
    if let Some(service) = service {
        forwarded.push((SERVICE_HEADER.to_string(), service.to_string()));
    }
    // Each level has a distinct request id, so that its runs are counted separately.
    if let Some(id) = header_text(headers, REQUEST_ID_HEADER) {
        forwarded.push((REQUEST_ID_HEADER.to_string(), format!("{id}.{depth}")));
    }
    let timeout_ms = header_text(headers, TIMEOUT_HEADER).and_then(|text| text.parse::<u64>().ok());
    if let Some(timeout_ms) = timeout_ms {
        let elapsed_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let remaining_ms = timeout_ms.saturating_sub(elapsed_ms).max(1);
        forwarded.push((TIMEOUT_HEADER.to_string(), remaining_ms.to_string()));
    }
    forwarded
}

/// Makes the nested call that a request asks for and returns the response.
///
/// Returns `None` if the request asks for none or no ingress is set, and status
/// 502 if the call fails.
pub async fn make_nested_call(
    request: &HttpRequest,
    state: &Arc<StandinState>,
    body: Bytes,
    received_at: Instant,
) -> Option<(StatusCode, Bytes)> {
    let depth: u32 = header_text(request.headers(), NESTING_DEPTH_HEADER)?
        .parse()
        .ok()?;
    let ingress = state.nested_call_ingress.as_ref().filter(|_| depth > 0)?;
    let client = thread_client().await?;
    let target = ingress.join(&request.uri().to_string());
    let mut nested = client.request(request.method().clone(), target);
    for (name, value) in nested_headers(request, depth, received_at) {
        nested = nested.set_header(name.as_str(), value);
    }
    let bad_gateway = |error: String| (StatusCode::BAD_GATEWAY, Bytes::from(error));
    let response = match nested.send_body(body).await {
        Ok(response) => response,
        Err(error) => return Some(bad_gateway(error.to_string())),
    };
    let status = response.status();
    match response.body().await {
        Ok(body) => Some((status, body)),
        Err(error) => Some(bad_gateway(error.to_string())),
    }
}
