//! Processes on the path of a call: node A as ingress, and node B as gate with
//! the backend server. Both nodes use one stand-in store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use currantlift::admin::{AdminResponse, ServiceView, http_client};
use currantlift::standin::backend::RunCounts;
use currantlift::table::UpstreamState;
use ntex::client::Client;
use ntex::client::error::ClientError;
use ntex::http::Method;
use ntex::util::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::process::{Process, RunsByRequest};

/// Longest wait for a state that no requirement sets a bound for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";

#[derive(Deserialize)]
struct NodeAddresses {
    listen: SocketAddr,
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
}

/// Complete response to a caller.
#[derive(Debug)]
pub struct CallResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Bytes,
}

/// Running processes, with an HTTP client for callers and administration.
pub struct TwoNodeFleet {
    pub ingress_address: SocketAddr,
    ingress_admin_address: SocketAddr,
    backend_address: String,
    client: Client,
    gate_node: Process,
    _others: [Process; 3],
}

fn start_node(name: &str, store_url: &str, peer: Option<SocketAddr>) -> (Process, NodeAddresses) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_currantlift-node"));
    command
        .args(["--node-id", name, "--region", "r", "--zone", name])
        .args([
            "--listen",
            LOOPBACK_ANY_PORT,
            "--peer-listen",
            LOOPBACK_ANY_PORT,
        ])
        .args(["--admin-listen", LOOPBACK_ANY_PORT, "--store", store_url]);
    if let Some(peer) = peer {
        command.args(["--peer", &peer.to_string()]);
    }
    let process = Process::start(name, &mut command, &RunsByRequest::default());
    let addresses = serde_json::from_str(&process.next_line()).unwrap();
    (process, addresses)
}

impl TwoNodeFleet {
    /// Starts the processes, the backend server with additional flags, and waits
    /// until node A can route to it.
    pub async fn start(backend_flags: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-store"));
        command.args(["--listen", LOOPBACK_ANY_PORT]);
        let store = Process::start("store", &mut command, &RunsByRequest::default());
        let store_url = format!("http://{}", store.next_line());
        let (node_a, a_addresses) = start_node("a", &store_url, None);
        let (node_b, b_addresses) = start_node("b", &store_url, Some(a_addresses.peer_listen));
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-backend"));
        command
            .args(["--id", "b1", "--service", "slotbook"])
            .args(["--admin", &format!("http://{}", b_addresses.admin_listen)])
            .args(["--via", &format!("http://{}", a_addresses.listen)])
            .args(backend_flags);
        let backend_process = Process::start("backend", &mut command, &RunsByRequest::default());
        let backend_address = backend_process.next_line();
        let fleet = Self {
            ingress_address: a_addresses.listen,
            ingress_admin_address: a_addresses.admin_listen,
            backend_address,
            client: http_client(Duration::from_secs(70)).await.unwrap(),
            gate_node: node_b,
            _others: [node_a, backend_process, store],
        };
        fleet.submit_ticket().await;
        fleet.wait_until_ready().await;
        fleet
    }

    async fn send_admin_request(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> AdminResponse {
        let request = self.client.request(
            method,
            format!("http://{}{path}", self.ingress_admin_address),
        );
        let response = match body {
            Some(body) => request.send_json(body).await,
            None => request.send().await,
        };
        let response = response.unwrap();
        let body = response.body().await.unwrap();
        AdminResponse {
            status: response.status().as_u16(),
            body: String::from_utf8(body.to_vec()).unwrap(),
        }
    }

    async fn submit_ticket(&self) {
        let service = json!({ "timeout_ms": 10_000, "attempts": 3 });
        let ticket = json!({ "services": { "slotbook": service } });
        let response = self
            .send_admin_request(Method::PUT, "/v1/tickets/1", Some(&ticket))
            .await;
        assert_eq!(response.status, 200, "{}", response.body);
    }

    async fn wait_until_ready(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let response = self
                .send_admin_request(Method::GET, "/v1/services", None)
                .await;
            let services: BTreeMap<String, ServiceView> =
                serde_json::from_str(&response.body).unwrap();
            let service = services.get("slotbook");
            let upstream = service.and_then(|service| service.upstreams.values().next());
            if upstream.is_some_and(|upstream| upstream.state == UpstreamState::Ready) {
                return;
            }
            assert!(Instant::now() < deadline, "{}", response.body);
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn build_request(
        &self,
        method: Method,
        target: &str,
        headers: &[(&str, &str)],
    ) -> ntex::client::ClientRequest {
        let url = format!("http://{}{target}", self.ingress_address);
        let mut request = self.client.request(method, url);
        request = request.set_header("currantlift-service", "slotbook");
        for (name, value) in headers {
            request = request.set_header(*name, *value);
        }
        request
    }

    /// Sends a call to node A and reads the response.
    pub async fn send(
        &self,
        method: Method,
        target: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<CallResponse, ClientError> {
        let response = self
            .build_request(method, target, headers)
            .send_body(body)
            .await?;
        let lossy_text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        let headers = response.headers().iter();
        let headers = headers
            .map(|(name, value)| (name.to_string(), lossy_text(value.as_bytes())))
            .collect();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        Ok(CallResponse {
            status: response.status().as_u16(),
            headers,
            body: body.unwrap(),
        })
    }

    /// Sends a call to node A and disconnects soon, without waiting for the
    /// response.
    pub async fn send_and_disconnect(&self, headers: &[(&str, &str)], body: Bytes) {
        let response = self
            .build_request(Method::POST, "/", headers)
            .send_body(body);
        let _ = tokio::time::timeout(POLL_INTERVAL, response).await;
    }

    /// Sends small orders one after the other and checks that each is echoed.
    pub async fn send_and_check_orders(&self, count: usize) {
        for number in 0..count {
            let body = Bytes::from(format!("{number:0>1024}").into_bytes());
            let response = self.send(Method::POST, "/orders", &[], body.clone()).await;
            let response = response.unwrap();
            assert_eq!((response.status, response.body), (200, body));
        }
    }

    /// Pauses the process of node B for a while; the backend server continues.
    pub async fn pause_gate(&self, pause: Duration) {
        self.gate_node.signal("STOP");
        ntex::time::sleep(pause).await;
        self.gate_node.signal("CONT");
    }

    /// Replaces the faults of the backend server.
    pub async fn set_backend_faults(&self, faults: &Value) {
        let url = format!("http://{}/standin/faults", self.backend_address);
        let result = self.client.put(url).send_json(faults).await;
        assert!(result.unwrap().status().is_success());
    }

    /// Fetches the run counts of the backend server.
    pub async fn run_counts(&self) -> RunCounts {
        let url = format!("http://{}/standin/runs", self.backend_address);
        let response = self.client.get(url).send().await.unwrap();
        response.json().limit(MAX_RESPONSE_BYTES).await.unwrap()
    }

    /// Waits until the run counts of the backend server meet a condition.
    pub async fn wait_for_run_counts(&self, condition: impl Fn(&RunCounts) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let counts = self.run_counts().await;
            if condition(&counts) {
                return;
            }
            assert!(Instant::now() < deadline, "{counts:?}");
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }
}
