//! Fleet of real processes for tests under load: a stand-in store, a node that
//! serves only as ingress, and upstreams behind relays.
//!
//! An upstream is a node with a stand-in backend server. Other nodes reach it
//! through its relay, which can delay, silence or close their connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use currantlift::admin::ServiceView;
use currantlift::table::UpstreamState;
use ntex::client::Client;
use ntex::http::Method;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::process::{Process, RunsByRequest, logs_are_kept};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Service that the upstreams serve.
pub const SERVICE: &str = "tillpost";
const SLOTS_PER_BACKEND: &str = "6";
pub const DEFAULT_WORK_MS: &str = "12";
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";

#[derive(Clone, Copy, Deserialize)]
struct NodeAddresses {
    listen: SocketAddr,
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
}

/// Size of a fleet and settings of its processes.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    pub upstream_count: usize,
    /// Flags of every node in addition to those that all fleets have.
    pub node_flags: &'static [&'static str],
    /// Service time of an order in milliseconds, as a flag's value.
    pub work_ms: &'static str,
}

/// Node with its backend server, which other nodes reach through a relay.
pub struct Upstream {
    name: String,
    join_address: SocketAddr,
    store_url: String,
    config: FleetConfig,
    runs: RunsByRequest,
    relay_address: String,
    node_addresses: NodeAddresses,
    pub relay: Process,
    pub node: Option<Process>,
    pub backend: Option<Process>,
    backend_address: String,
    backend_started_at: Instant,
}

impl Upstream {
    fn start(
        number: usize,
        join_address: SocketAddr,
        store_url: &str,
        config: FleetConfig,
        runs: &RunsByRequest,
    ) -> Self {
        let name = format!("{SERVICE}-{number}");
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-relay"));
        let mut relay = Process::start(&format!("{name}-relay"), &mut command, runs);
        let relay_address = relay.next_line();
        let extra_args = ["--peer-advertise", &relay_address];
        let mut command = node_command(&name, store_url, &[LOOPBACK_ANY_PORT; 3], &extra_args);
        command
            .args(["--peer", &join_address.to_string()])
            .args(config.node_flags);
        let node = Process::start(&name, &mut command, runs);
        let node_addresses: NodeAddresses = serde_json::from_str(&node.next_line()).unwrap();
        relay.send_command(&format!("target {}", node_addresses.peer_listen));
        let mut upstream = Self {
            name,
            join_address,
            store_url: store_url.to_string(),
            config,
            runs: runs.clone(),
            relay_address,
            node_addresses,
            relay,
            node: Some(node),
            backend: None,
            backend_address: String::new(),
            backend_started_at: Instant::now(),
        };
        upstream.start_backend();
        upstream
    }

    /// Address at which the node accepts callers' connections.
    pub fn listen_address(&self) -> SocketAddr {
        self.node_addresses.listen
    }

    /// Starts the node again, listening on its previous addresses.
    pub fn start_node(&mut self) {
        let addresses = self.node_addresses;
        let listen_addresses = [
            addresses.listen,
            addresses.peer_listen,
            addresses.admin_listen,
        ];
        let listen_addresses = listen_addresses.map(|address| address.to_string());
        let listen_addresses = [
            &*listen_addresses[0],
            &*listen_addresses[1],
            &*listen_addresses[2],
        ];
        let extra_args = ["--peer-advertise", &self.relay_address];
        let mut command = node_command(&self.name, &self.store_url, &listen_addresses, &extra_args);
        command
            .args(["--peer", &self.join_address.to_string()])
            .args(self.config.node_flags);
        let node = Process::start(&self.name, &mut command, &self.runs);
        node.next_line();
        self.node = Some(node);
    }

    /// Starts a backend server, listening on a new address.
    pub fn start_backend(&mut self) {
        self.start_backend_at(LOOPBACK_ANY_PORT);
    }

    /// Starts the backend server again, listening on its previous address.
    pub fn restart_backend(&mut self) {
        let address = self.backend_address.clone();
        self.backend = None;
        self.start_backend_at(&address);
    }

    /// Whether the backend server's process has exited.
    pub fn has_backend_exited(&mut self) -> bool {
        self.backend.as_mut().is_some_and(Process::has_exited)
    }

    fn start_backend_at(&mut self, listen_address: &str) {
        let name = format!("{}-backend", self.name);
        let admin_url = format!("http://{}", self.node_addresses.admin_listen);
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-backend"));
        command
            .args(["--admin", &admin_url, "--id", &name, "--service", SERVICE])
            .args([
                "--slots",
                SLOTS_PER_BACKEND,
                "--work-ms",
                self.config.work_ms,
                "--print-runs",
                "--listen",
                listen_address,
            ]);
        let backend = Process::start(&name, &mut command, &self.runs);
        self.backend_address = backend.next_line();
        self.backend_started_at = Instant::now();
        self.backend = Some(backend);
    }

    /// Sends a signal to the node, if there is one.
    pub fn signal_node(&self, name: &str) {
        if let Some(node) = &self.node {
            node.signal(name);
        }
    }

    /// Sends a signal to the backend server, if there is one.
    pub fn signal_backend(&self, name: &str) {
        if let Some(backend) = &self.backend {
            backend.signal(name);
        }
    }

    /// Number of runs that the backend server has started.
    pub async fn started_run_count(&self, client: &Client) -> u64 {
        let url = format!("http://{}/standin/runs", self.backend_address);
        let counts: Value = client.get(url).send().await.unwrap().json().await.unwrap();
        counts["started"].as_u64().unwrap()
    }

    /// Arrivals of requests at the backend server, in milliseconds since its start.
    pub async fn arrivals_ms(&self, client: &Client) -> Vec<u64> {
        let url = format!("http://{}/standin/arrivals", self.backend_address);
        client.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// Time since the start of the backend server.
    pub fn backend_uptime(&self) -> Duration {
        self.backend_started_at.elapsed()
    }

    /// Status of the node, as its administration API tells it.
    pub async fn status(&self, client: &Client) -> Value {
        let url = format!("http://{}/v1/status", self.node_addresses.admin_listen);
        client.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// Fingerprints of the requests that the node lists as held.
    pub async fn held_requests(&self, client: &Client) -> Vec<String> {
        let url = format!("http://{}/v1/quarantine", self.node_addresses.admin_listen);
        let response = client.get(url).send().await.unwrap();
        let suspects: BTreeMap<String, Value> = response.json().await.unwrap();
        let held = suspects.into_iter();
        held.filter(|(_, view)| view["standing"] == "held")
            .map(|(fingerprint, _)| fingerprint)
            .collect()
    }

    /// Clears a request through the node's administration API.
    pub async fn clear_request(&self, client: &Client, fingerprint: &str) {
        let address = self.node_addresses.admin_listen;
        let url = format!("http://{address}/v1/quarantine/{fingerprint}");
        let response = client.delete(url).send().await.unwrap();
        assert!(response.status().is_success());
    }

    /// Replaces the faults of the backend server.
    pub async fn set_backend_faults(&self, client: &Client, faults: &Value) {
        let url = format!("http://{}/standin/faults", self.backend_address);
        let result = client.put(url).send_json(faults).await;
        assert!(result.unwrap().status().is_success());
    }
}

fn node_command(
    name: &str,
    store_url: &str,
    listen_addresses: &[&str; 3],
    extra_args: &[&str],
) -> Command {
    let log_level = if logs_are_kept() { "info" } else { "off" };
    let mut command = Command::new(env!("CARGO_BIN_EXE_currantlift-node"));
    command
        .args(["--node-id", name, "--region", "oyo-west"])
        .args(["--zone", "ogbomoso-a", "--store", store_url])
        .args([
            "--listen",
            listen_addresses[0],
            "--peer-listen",
            listen_addresses[1],
        ])
        .args(["--admin-listen", listen_addresses[2], "--threads", "1"])
        .args(["--log-level", log_level])
        .args(extra_args);
    command
}

/// All processes of one test. Callers send their orders to the ingress.
pub struct Fleet {
    pub upstreams: Vec<Upstream>,
    pub runs: RunsByRequest,
    pub client: Client,
    pub ingress_url: String,
    pub ingress_address: SocketAddr,
    ingress: Process,
    ingress_admin_address: SocketAddr,
    store_url: String,
    _store: Process,
}

impl Fleet {
    /// Starts a fleet with default settings; see [`Self::start_with`].
    pub async fn start(upstream_count: usize) -> Self {
        let config = FleetConfig {
            upstream_count,
            node_flags: &[],
            work_ms: DEFAULT_WORK_MS,
        };
        Self::start_with(config).await
    }

    /// Starts a fleet, submits ticket 1, and waits until the ingress can route
    /// to every upstream.
    pub async fn start_with(config: FleetConfig) -> Self {
        let runs = RunsByRequest::default();
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-store"));
        command.args(["--listen", LOOPBACK_ANY_PORT]);
        let store = Process::start("store", &mut command, &runs);
        let store_url = format!("http://{}", store.next_line());
        let mut command = node_command(
            "edge-1",
            &store_url,
            &[LOOPBACK_ANY_PORT; 3],
            config.node_flags,
        );
        let ingress = Process::start("edge-1", &mut command, &runs);
        let ingress_addresses: NodeAddresses = serde_json::from_str(&ingress.next_line()).unwrap();
        let upstreams = (1..=config.upstream_count)
            .map(|number| {
                Upstream::start(
                    number,
                    ingress_addresses.peer_listen,
                    &store_url,
                    config,
                    &runs,
                )
            })
            .collect();
        let client = currantlift::admin::http_client(Duration::from_secs(20)).await;
        let fleet = Self {
            upstreams,
            runs,
            client: client.unwrap(),
            ingress_url: format!("http://{}", ingress_addresses.listen),
            ingress_address: ingress_addresses.listen,
            ingress,
            ingress_admin_address: ingress_addresses.admin_listen,
            store_url,
            _store: store,
        };
        assert!(fleet.submit_ticket(1).await);
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts a backend server at the node that otherwise serves only as ingress. Other
    /// nodes reach it without a relay.
    pub fn start_ingress_backend(&self) -> Process {
        let admin_url = format!("http://{}", self.ingress_admin_address);
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-backend"));
        command
            .args(["--admin", &admin_url, "--id", "edge-1-backend"])
            .args(["--service", SERVICE, "--slots", SLOTS_PER_BACKEND]);
        Process::start("edge-1-backend", &mut command, &self.runs)
    }

    /// Peak memory of the ingress.
    pub fn ingress_peak_memory_bytes(&self) -> u64 {
        self.ingress.peak_memory_bytes()
    }

    /// Sends a signal to the ingress.
    pub fn signal_ingress(&self, name: &str) {
        self.ingress.signal(name);
    }

    /// Waits for the ingress to exit; `None` if a signal ended it.
    pub async fn wait_for_ingress_exit(&mut self) -> Option<i32> {
        self.ingress.wait_for_exit().await
    }

    /// Submits a ticket; returns whether it was accepted.
    pub async fn submit_ticket(&self, number: u64) -> bool {
        let url = format!("http://{}/v1/tickets/{number}", self.ingress_admin_address);
        let rule = json!({ "method": "POST", "path": "/orders", "idempotent": false });
        let service = json!({ "timeout_ms": 1000, "attempts": 3, "requests": [rule] });
        let ticket = json!({ "services": { SERVICE: service } });
        let result = self.client.put(url).send_json(&ticket).await;
        result.is_ok_and(|response| response.status().is_success())
    }

    /// Number of the ticket that is in force at the ingress.
    pub async fn ticket_in_force(&self) -> u64 {
        let url = format!("http://{}/v1/services", self.ingress_admin_address);
        let response = self.client.get(url).send().await.unwrap();
        let services: BTreeMap<String, ServiceView> = response.json().await.unwrap();
        services[SERVICE].ticket.get()
    }

    /// Replaces the faults of the store.
    pub async fn set_store_faults(&self, faults: &Value) {
        let url = format!("{}/standin/faults", self.store_url);
        let result = self.client.put(url).send_json(faults).await;
        assert!(result.unwrap().status().is_success());
    }

    /// Waits until the ingress can route to every upstream.
    pub async fn wait_until_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let ready_count = self.ready_upstream_count().await;
            if ready_count == self.upstreams.len() {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "only {ready_count} upstreams became ready in time"
            );
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Number of upstreams that the ingress can route to. Counted from its
    /// routing table, as members get there with a delay.
    pub async fn ready_upstream_count(&self) -> usize {
        let url = format!("http://{}/v1/services", self.ingress_admin_address);
        let response = self.client.request(Method::GET, url).send().await;
        let services: BTreeMap<String, ServiceView> = response.unwrap().json().await.unwrap();
        let Some(service) = services.get(SERVICE) else {
            return 0;
        };
        let upstreams = service.upstreams.values();
        upstreams
            .filter(|upstream| upstream.state == UpstreamState::Ready && !upstream.is_suspect)
            .count()
    }

    /// Kills all processes and returns the complete counts of runs.
    pub fn shut_down(mut self) -> RunsByRequest {
        assert!(
            !self.ingress.has_exited(),
            "the ingress exited during the test"
        );
        self.upstreams.clear();
        self.runs
    }
}
