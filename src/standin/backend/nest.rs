//! Nested calls of the stand-in through its node's ingress.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpRequest;

use super::handlers::{REQUEST_ID_HEADER, header_text};
use super::state::StandinState;
use crate::admin::http_client;

/// Header with the count of calls that are still to be nested.
const NESTING_DEPTH_HEADER: &str = "standin-nest";
/// Header with the service of the nested calls, where it is another one.
const NESTED_SERVICE_HEADER: &str = "standin-nest-service";
/// Header with the time left, in milliseconds.
const TIMEOUT_HEADER: &str = "currantlift-timeout-ms";
/// Header that names the service.
const SERVICE_HEADER: &str = "currantlift-service";
/// Start of the names of headers that a backend server passes on.
const FORWARDED_HEADER_PREFIXES: [&str; 2] = ["currantlift-", "standin-"];
/// Time limit of a nested call without time left of its own.
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

fn nested_headers(request: &HttpRequest, depth: u32, begin: Instant) -> Vec<(String, String)> {
    let headers = request.headers();
    let is_passed = |name: &str| {
        FORWARDED_HEADER_PREFIXES
            .iter()
            .any(|start| name.starts_with(start))
    };
    let mut passed: Vec<(String, String)> = headers
        .iter()
        .filter(|(name, _)| is_passed(name.as_str()))
        .filter(|(name, _)| {
            ![NESTING_DEPTH_HEADER, TIMEOUT_HEADER, SERVICE_HEADER].contains(&name.as_str())
        })
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect();
    passed.push((NESTING_DEPTH_HEADER.to_string(), (depth - 1).to_string()));
    let service = [NESTED_SERVICE_HEADER, SERVICE_HEADER, "host"]
        .into_iter()
        .find_map(|name| header_text(headers, name));
    if let Some(service) = service {
        passed.push((SERVICE_HEADER.to_string(), service.to_string()));
    }
    // Each level counts its runs under an id of its own.
    if let Some(id) = header_text(headers, REQUEST_ID_HEADER) {
        passed.push((REQUEST_ID_HEADER.to_string(), format!("{id}.{depth}")));
    }
    let time_left = header_text(headers, TIMEOUT_HEADER).and_then(|text| text.parse::<u64>().ok());
    if let Some(left) = time_left {
        let spent = u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX);
        let left = left.saturating_sub(spent).max(1);
        passed.push((TIMEOUT_HEADER.to_string(), left.to_string()));
    }
    passed
}

/// Makes the nested call that the request asks for.
///
/// Gives nothing if the request asks for none; 502 if the call has no answer.
pub async fn make_nested_call(
    request: &HttpRequest,
    state: &Arc<StandinState>,
    body: Bytes,
    begin: Instant,
) -> Option<(StatusCode, Bytes)> {
    let depth: u32 = header_text(request.headers(), NESTING_DEPTH_HEADER)?
        .parse()
        .ok()?;
    let via = state.nested_call_ingress.as_ref().filter(|_| depth > 0)?;
    let client = thread_client().await?;
    let target = via.join(&request.uri().to_string());
    let mut nested = client.request(request.method().clone(), target);
    for (name, value) in nested_headers(request, depth, begin) {
        nested = nested.set_header(name.as_str(), value);
    }
    let failed = |error: String| (StatusCode::BAD_GATEWAY, Bytes::from(error));
    let response = match nested.send_body(body).await {
        Ok(response) => response,
        Err(error) => return Some(failed(error.to_string())),
    };
    let status = response.status();
    match response.body().await {
        Ok(body) => Some((status, body)),
        Err(error) => Some(failed(error.to_string())),
    }
}
