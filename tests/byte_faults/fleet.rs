//! Real nodes with the flags of the deployment, each beside a scripted upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use currantlift::admin::{ServiceView, http_client};
use currantlift::table::UpstreamState;
use ntex::client::Client;
use ntex::time::sleep;
use serde::Deserialize;
use serde_json::json;

use crate::process::{Process, RunsByRequest, logs_are_kept};
use crate::upstream::{RunLog, ScriptedUpstream};

pub const HOST: &str = "shop.example";
const SERVICE: &str = "slotbook";
const SLOTS: u32 = 8;
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
/// Flags as in `deploy/system.toml`.
const DEPLOYED_FLAGS: &str = "--threads 1 --drain-seconds 5 --leave-seconds 3 \
    --backend-ttl-seconds 8 --asks 3 --slot-limit fixed --readings 30 --retry-burst 3";
/// Time limit of all routes if a test sets no other.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Deserialize)]
struct NodeAddresses {
    listen: SocketAddr,
    admin_listen: SocketAddr,
}

/// Store, nodes and their upstreams.
pub struct ScriptedFleet {
    /// Addresses at which the nodes accept callers' connections.
    pub listen_addresses: Vec<SocketAddr>,
    pub upstreams: Vec<Rc<ScriptedUpstream>>,
    pub nodes: Vec<Process>,
    _store: Process,
}

fn config_value(route_timeout: Duration) -> String {
    let timeout_s = route_timeout.as_secs_f64();
    let route = |name: &str, kind: &str| {
        let prefix = format!("/{name}/");
        json!([name, HOST, prefix, kind, timeout_s, 0.5, 1, 3, SERVICE])
    };
    let config = json!({
        "version": "00000001",
        "routes": {
            "columns": ["name", "hostname", "prefix", "kind", "timeoutS", "targetLatencyS",
                "priority", "maxAttempts", "service"],
            "rows": [
                route("uploads", "upload"),
                route("orders", "non_idempotent"),
                route("stock", "idempotent"),
            ],
        },
        "services": {
            "columns": ["name", "healthCheckPath", "maxConnections"],
            "rows": [[SERVICE, "/healthz", 260]],
        },
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864,
            "headerTimeoutS": 3, "idleTimeoutS": 15.5 },
    });
    STANDARD.encode(config.to_string())
}

fn start_node(number: usize, store_address: &str, flags: &[&str]) -> (Process, NodeAddresses) {
    let name = format!("node-{number}");
    let log_level = if logs_are_kept() { "info" } else { "off" };
    let mut command = Command::new(env!("CARGO_BIN_EXE_currantlift-node"));
    command
        .args(["--node-id", &name, "--region", "r", "--zone", "z"])
        .args(["--service", SERVICE, "--platform", store_address])
        .args(["--listen", LOOPBACK_ANY_PORT])
        .args(["--peer-listen", LOOPBACK_ANY_PORT])
        .args(["--admin-listen", LOOPBACK_ANY_PORT])
        .args(["--log-level", log_level])
        .args(DEPLOYED_FLAGS.split(' ').filter(|flag| !flag.is_empty()))
        .args(flags);
    let process = Process::start(&name, &mut command, &RunsByRequest::default());
    let addresses = serde_json::from_str(&process.next_line()).unwrap();
    (process, addresses)
}

/// Sends heartbeats of an upstream to its node until the test ends.
async fn send_heartbeats(client: Client, admin: SocketAddr, upstream: Rc<ScriptedUpstream>) {
    for sequence in 1.. {
        let heartbeat = json!({
            "address": upstream.address,
            "info": { "service": SERVICE, "version": "v1", "zone": "z", "slots": SLOTS },
            "status": { "state": "ready", "sequence": sequence, "warmupLeftS": 0 },
            "born": 1,
        });
        let url = format!("http://{admin}/v1/backends/{}", upstream.name);
        // Fails once the node has ended.
        let _ = client.put(url).send_json(&heartbeat).await;
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

impl ScriptedFleet {
    /// Starts a fleet with the flags of the deployment; see [`Self::start_with`].
    pub async fn start(node_count: usize, log: &Rc<RunLog>) -> Self {
        Self::start_with(node_count, &[], ROUTE_TIMEOUT, log).await
    }

    /// Starts a fleet whose nodes have further flags and whose routes have this time limit, and
    /// waits until every node can route to every upstream.
    pub async fn start_with(
        node_count: usize,
        flags: &[&str],
        route_timeout: Duration,
        log: &Rc<RunLog>,
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-store"));
        command.args(["--listen", LOOPBACK_ANY_PORT]);
        let store = Process::start("store", &mut command, &RunsByRequest::default());
        let store_address = store.next_line();
        let client = http_client(CLIENT_TIMEOUT).await.unwrap();
        let url = format!("http://{store_address}/api/kv-txn");
        let config =
            json!({ "puts": [{ "key": "op/config", "value": config_value(route_timeout) }] });
        let response = client.post(url).send_json(&config).await.unwrap();
        assert!(response.status().is_success());
        let (mut nodes, mut addresses, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
        for number in 1..=node_count {
            let (node, node_addresses) = start_node(number, &store_address, flags);
            let upstream = ScriptedUpstream::start(&format!("i-{number}"), log).await;
            ntex::rt::spawn(send_heartbeats(
                client.clone(),
                node_addresses.admin_listen,
                Rc::clone(&upstream),
            ));
            nodes.push(node);
            addresses.push(node_addresses);
            upstreams.push(upstream);
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        for node in &addresses {
            while ready_upstream_count(&client, node.admin_listen).await < node_count {
                assert!(Instant::now() < deadline, "upstreams not ready in time");
                sleep(POLL_INTERVAL).await;
            }
        }
        Self {
            listen_addresses: addresses.iter().map(|node| node.listen).collect(),
            upstreams,
            nodes,
            _store: store,
        }
    }
}

async fn ready_upstream_count(client: &Client, admin: SocketAddr) -> usize {
    let url = format!("http://{admin}/v1/services");
    let response = client.get(url).send().await.unwrap();
    let services: BTreeMap<String, ServiceView> = response.json().await.unwrap();
    let upstreams = services
        .get(SERVICE)
        .map(|service| service.upstreams.values());
    let ready = upstreams
        .into_iter()
        .flatten()
        .filter(|upstream| upstream.state == UpstreamState::Ready);
    ready.count()
}
