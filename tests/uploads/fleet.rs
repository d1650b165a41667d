//! Node processes around backend servers that the test itself serves: a node that serves
//! only as ingress, and one node beside each backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use currantlift::admin::{BackendAnnouncement, ServiceView, http_client};
use currantlift::table::UpstreamState;
use ntex::client::Client;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::process::{Process, RunsByRequest, logs_are_kept};

pub const SERVICE: &str = "tillpost";
const DEFAULT_SLOTS: u32 = 6;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";

#[derive(Clone, Copy, Deserialize)]
struct NodeAddresses {
    listen: SocketAddr,
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
}

pub struct Fleet {
    pub ingress: Process,
    pub ingress_address: SocketAddr,
    pub ingress_peer_address: SocketAddr,
    /// Addresses at which the nodes accept callers' connections, that of the ingress first.
    pub listen_addresses: Vec<SocketAddr>,
    pub admin_address: SocketAddr,
    client: Client,
    others: Vec<Process>,
}

/// Size of the machine that a node runs on; `None` where it states nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineSize {
    pub memory_mb: Option<u64>,
    pub descriptors: Option<u64>,
}

impl MachineSize {
    /// Command that starts a node with these limits.
    fn node_command(self) -> Command {
        let program = env!("CARGO_BIN_EXE_currantlift-node");
        let mut command = match self.descriptors {
            Some(count) => {
                let mut shell = Command::new("sh");
                let script = format!("ulimit -n {count} && exec \"$0\" \"$@\"");
                shell.args(["-c", &script, program]);
                shell
            }
            None => Command::new(program),
        };
        if let Some(memory_mb) = self.memory_mb {
            command.env("CURRANTLIFT_MEMORY_MB", memory_mb.to_string());
        }
        command
    }
}

fn start_node(
    name: &str,
    store_url: &str,
    peer: Option<SocketAddr>,
    machine: MachineSize,
) -> (Process, NodeAddresses) {
    let log_level = if logs_are_kept() { "info" } else { "off" };
    let mut command = machine.node_command();
    command
        .args(["--node-id", name, "--region", "oyo-west"])
        .args(["--zone", "ogbomoso-a", "--store", store_url])
        .args(["--listen", LOOPBACK_ANY_PORT, "--threads", "1"])
        .args(["--peer-listen", LOOPBACK_ANY_PORT])
        .args(["--admin-listen", LOOPBACK_ANY_PORT])
        .args(["--log-level", log_level])
        .args(["--asks", "3", "--slot-limit", "fixed"]);
    if let Some(peer) = peer {
        command.args(["--peer", &peer.to_string()]);
    }
    let process = Process::start(name, &mut command, &RunsByRequest::default());
    let addresses = serde_json::from_str(&process.next_line()).unwrap();
    (process, addresses)
}

impl Fleet {
    /// Starts a fleet of one service whose backend servers have the usual number of slots;
    /// see [`Self::start_with`].
    pub async fn start(backends: &[SocketAddr]) -> Self {
        let backends: Vec<_> = backends.iter().map(|it| (SERVICE, *it)).collect();
        Self::start_with(&backends, DEFAULT_SLOTS).await
    }

    /// Starts the nodes of backend servers, each with its service, and waits until all nodes
    /// can route to all backend servers.
    pub async fn start_with(backends: &[(&str, SocketAddr)], slots: u32) -> Self {
        Self::start_on(backends, slots, MachineSize::default()).await
    }

    /// Starts a fleet as [`Self::start_with`] does, on machines of a stated size.
    pub async fn start_on(
        backends: &[(&str, SocketAddr)],
        slots: u32,
        machine: MachineSize,
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-store"));
        command.args(["--listen", LOOPBACK_ANY_PORT]);
        let store = Process::start("store", &mut command, &RunsByRequest::default());
        let store_url = format!("http://{}", store.next_line());
        let (ingress, addresses) = start_node("edge-1", &store_url, None, machine);
        let client = http_client(Duration::from_secs(20)).await.unwrap();
        let mut others = vec![store];
        let mut nodes = vec![addresses];
        for (index, (service, backend)) in backends.iter().enumerate() {
            let name = format!("{service}-{}", index + 1);
            let peer = Some(addresses.peer_listen);
            let (gate, gate_addresses) = start_node(&name, &store_url, peer, machine);
            let admin_url = format!("http://{}/v1/backends/{name}", gate_addresses.admin_listen);
            announce(&client, admin_url, service, *backend, slots).await;
            others.push(gate);
            nodes.push(gate_addresses);
        }
        let fleet = Self {
            ingress,
            ingress_address: addresses.listen,
            ingress_peer_address: addresses.peer_listen,
            listen_addresses: nodes.iter().map(|node| node.listen).collect(),
            admin_address: addresses.admin_listen,
            client,
            others,
        };
        let services: Vec<&str> = backends.iter().map(|(service, _)| *service).collect();
        fleet.submit_ticket(&services).await;
        for node in nodes {
            fleet
                .wait_until_ready(node.admin_listen, backends.len())
                .await;
        }
        fleet
    }

    /// Peak memory of each process: the ingress, the store, the gates.
    pub fn peak_memory_bytes(&self) -> Vec<u64> {
        let processes = std::iter::once(&self.ingress).chain(&self.others);
        processes.map(Process::peak_memory_bytes).collect()
    }

    /// Open file descriptors of the ingress.
    pub fn ingress_descriptors(&self) -> usize {
        self.ingress.open_descriptors()
    }

    pub fn assert_all_run(&mut self) {
        let processes = std::iter::once(&mut self.ingress).chain(&mut self.others);
        assert!(processes.fold(true, |run, process| run & !process.has_exited()));
    }

    async fn submit_ticket(&self, services: &[&str]) {
        let rule = json!({ "method": "POST", "path": "/orders", "idempotent": false });
        let service = json!({ "timeout_ms": 5000, "attempts": 3, "requests": [rule] });
        let services: BTreeMap<&str, &Value> =
            services.iter().map(|name| (*name, &service)).collect();
        let ticket = json!({ "services": services });
        let url = format!("http://{}/v1/tickets/1", self.admin_address);
        let response = self.client.put(url).send_json(&ticket).await.unwrap();
        assert!(response.status().is_success());
    }

    async fn wait_until_ready(&self, admin: SocketAddr, count: usize) {
        let url = format!("http://{admin}/v1/services");
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let response = self.client.get(&url).send().await;
            let services: BTreeMap<String, ServiceView> = response.unwrap().json().await.unwrap();
            let upstreams = services.values().flat_map(|it| it.upstreams.values());
            let is_ready = |state| state == UpstreamState::Ready;
            let ready = upstreams.filter(|it| is_ready(it.state)).count();
            if ready == count {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "only {ready} upstreams are ready"
            );
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Announces a backend server to its node, now and then periodically.
async fn announce(client: &Client, url: String, service: &str, address: SocketAddr, slots: u32) {
    let announcement = BackendAnnouncement {
        service: service.parse().unwrap(),
        address,
        slots: slots.to_string().parse().unwrap(),
        connections: "100".parse().unwrap(),
        state: UpstreamState::Ready,
        order: None,
        warmup_left_ms: 0,
        rate_limit: None,
    };
    let response = client.put(&url).send_json(&announcement).await.unwrap();
    assert!(response.status().is_success());
    let client = client.clone();
    ntex::rt::spawn(async move {
        loop {
            ntex::time::sleep(HEARTBEAT_INTERVAL).await;
            // Fails once the node has ended with the test.
            let _ = client.put(&url).send_json(&announcement).await;
        }
    });
}
