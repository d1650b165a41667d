//! Real node processes and a simulated store for the ticket tests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use currantlift::admin::{ServiceView, TicketOutcome};
use currantlift::standin::store::CallCounts;
use ntex::client::Client;
use ntex::http::Method;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::process::{Process, RunsByRequest};

/// Required limit from the acceptance of a ticket until it is in force everywhere.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Timeout of waits for which there is no required limit.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval at which conditions are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct NodeAddresses {
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
}

/// Node process.
pub struct Node {
    pub process: Process,
    pub name: String,
    pub peer: SocketAddr,
    admin: SocketAddr,
}

/// Store and nodes, with the highest ticket seen for each node and service.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub client: Client,
    pub store_url: String,
    _store: Process,
    highest_seen: BTreeMap<(String, String), u64>,
}

impl Fleet {
    /// Starts a store and `count` nodes, distributed over `zones` zones.
    pub async fn start(count: usize, zones: usize) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin-store"));
        command.args(["--listen", "127.0.0.1:0"]);
        let store = Process::start("store", &mut command, &RunsByRequest::default());
        let address = store.next_line();
        let client = currantlift::admin::http_client(Duration::from_secs(10)).await;
        let mut fleet = Self {
            nodes: Vec::new(),
            client: client.unwrap(),
            store_url: format!("http://{address}"),
            _store: store,
            highest_seen: BTreeMap::new(),
        };
        for index in 0..count {
            fleet.add_node(&format!("zone-{}", index % zones));
        }
        fleet.wait_for_members().await;
        fleet
    }

    /// Starts one more node, which joins through the first two.
    pub fn add_node(&mut self, zone: &str) {
        let peers = self.nodes.iter().take(2);
        let peers: Vec<SocketAddr> = peers.map(|node| node.peer).collect();
        self.add_node_with(zone, &peers);
    }

    /// Starts one more node, which joins through the given peers.
    pub fn add_node_with(&mut self, zone: &str, peers: &[SocketAddr]) {
        let name = format!("node-{:03}", self.nodes.len());
        let mut command = Command::new(env!("CARGO_BIN_EXE_currantlift-node"));
        command
            .args(["--node-id", &name, "--region", "r", "--zone", zone])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--admin-listen", "127.0.0.1:0", "--threads", "1"])
            .args(["--store", &self.store_url]);
        for peer in peers {
            command.args(["--peer", &peer.to_string()]);
        }
        let process = Process::start(&name, &mut command, &RunsByRequest::default());
        let addresses: NodeAddresses = serde_json::from_str(&process.next_line()).unwrap();
        self.nodes.push(Node {
            process,
            name,
            peer: addresses.peer_listen,
            admin: addresses.admin_listen,
        });
    }

    /// Waits until every node lists all nodes as members.
    pub async fn wait_for_members(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        for node in &self.nodes {
            loop {
                let url = format!("http://{}/v1/members", node.admin);
                let response = request(&self.client, Method::GET, &url, None).await;
                let members = response.and_then(|(_, body)| Some(body.as_object()?.clone()));
                if members.as_ref().map(Map::len) == Some(self.nodes.len()) {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "{} lists members {members:?}",
                    node.name
                );
                ntex::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Sets the faults that the store injects; an empty object ends all.
    pub async fn set_faults(&self, faults: Value) {
        let url = format!("{}/standin/faults", self.store_url);
        let response = request(&self.client, Method::PUT, &url, Some(faults)).await;
        assert_eq!(response.unwrap().0, 200);
    }

    /// Numbers of calls that the store has received, by kind.
    pub async fn counts(&self) -> CallCounts {
        let url = format!("{}/standin/counts", self.store_url);
        let response = request(&self.client, Method::GET, &url, None).await;
        serde_json::from_value(response.unwrap().1).unwrap()
    }

    /// Resets the store's call counts to zero.
    pub async fn reset_counts(&self) {
        let url = format!("{}/standin/counts", self.store_url);
        let response = request(&self.client, Method::DELETE, &url, None).await;
        assert_eq!(response.unwrap().0, 200);
    }

    /// Asserts that no call exceeded the rate limits of the platform's store.
    pub async fn assert_rates_kept(&self) {
        let counts = self.counts().await;
        assert_eq!(counts.over_rate, 0, "{counts:?}");
    }

    /// Index of the node that holds a zone's watch lease, if any.
    pub async fn watcher_index(&self, zone: &str) -> Option<usize> {
        let url = format!("{}/v1/kv/currantlift/zones/{zone}", self.store_url);
        let (status, body) = request(&self.client, Method::GET, &url, None).await?;
        if status != 200 {
            return None;
        }
        use base64::Engine;
        let value = body[0]["Value"].as_str()?;
        let bytes = base64::engine::general_purpose::STANDARD.decode(value);
        let address = String::from_utf8(bytes.ok()?).ok()?;
        let is_holder = |node: &Node| node.peer.to_string() == address;
        self.nodes.iter().position(is_holder)
    }

    /// Waits until a node for which `is_wanted` holds has the watch lease of the zone.
    pub async fn wait_for_watcher(&self, zone: &str, is_wanted: impl Fn(usize) -> bool) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(holder) = self
                .watcher_index(zone)
                .await
                .filter(|index| is_wanted(*index))
            {
                return holder;
            }
            assert!(
                Instant::now() < deadline,
                "no expected watcher for {zone} in time"
            );
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns a client that submits tickets at a node and can be moved into a task.
    pub fn submitter(&self, index: usize) -> Submitter {
        Submitter {
            client: self.client.clone(),
            admin: self.nodes[index].admin,
        }
    }

    /// Submits a ticket at a node.
    pub async fn submit(
        &self,
        index: usize,
        number: u64,
        services: &[(&str, u64)],
    ) -> TicketOutcome {
        let submitter = self.submitter(index);
        submitter.submit(number, services).await.unwrap()
    }

    /// Submits a ticket that must be accepted.
    pub async fn accept(&self, index: usize, number: u64, services: &[(&str, u64)]) {
        let answer = self.submit(index, number, services).await;
        assert!(is_accepted(&answer), "{answer:?}");
    }

    /// Tickets in force at a node; `None` if it doesn't respond.
    ///
    /// Panics if a service has returned to a lower ticket since the last call.
    pub async fn in_force(&mut self, index: usize) -> Option<BTreeMap<String, u64>> {
        let node = &self.nodes[index];
        let url = format!("http://{}/v1/services", node.admin);
        let (status, body) = request(&self.client, Method::GET, &url, None).await?;
        assert_eq!(status, 200);
        let views: BTreeMap<String, ServiceView> = serde_json::from_value(body).unwrap();
        let tickets = views.into_iter();
        let tickets: BTreeMap<_, _> = tickets
            .map(|(service, view)| (service, view.ticket.get()))
            .collect();
        for (service, ticket) in &tickets {
            let key = (node.name.clone(), service.clone());
            let highest = self.highest_seen.entry(key).or_default();
            assert!(
                ticket >= highest,
                "{} returned to a lower ticket for {service}",
                node.name
            );
            *highest = *ticket;
        }
        Some(tickets)
    }

    /// Waits until each of these nodes has exactly the expected tickets in force.
    pub async fn wait_in_force(
        &mut self,
        indices: &[usize],
        expected: &BTreeMap<String, u64>,
        limit: Duration,
    ) {
        let deadline = Instant::now() + limit;
        for index in indices {
            loop {
                let in_force = self.in_force(*index).await;
                if in_force.as_ref() == Some(expected) {
                    break;
                }
                let name = &self.nodes[*index].name;
                assert!(
                    Instant::now() < deadline,
                    "{name} has {in_force:?}, expected {expected:?}"
                );
                ntex::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Indices of all nodes.
    pub fn node_indices(&self) -> Vec<usize> {
        (0..self.nodes.len()).collect()
    }
}

/// Client that submits tickets at one node.
pub struct Submitter {
    client: Client,
    admin: SocketAddr,
}

impl Submitter {
    /// Submits a ticket; `None` if the node doesn't respond.
    pub async fn submit(&self, number: u64, services: &[(&str, u64)]) -> Option<TicketOutcome> {
        let rules = services.iter().map(|(name, timeout_ms)| {
            let rule = json!({ "timeout_ms": timeout_ms });
            ((*name).to_string(), rule)
        });
        let body = json!({ "services": rules.collect::<BTreeMap<_, _>>() });
        let url = format!("http://{}/v1/tickets/{number}", self.admin);
        let (_, reply) = request(&self.client, Method::PUT, &url, Some(body)).await?;
        Some(serde_json::from_value(reply.clone()).unwrap_or_else(|_| panic!("{reply}")))
    }
}

/// Whether the node reported the ticket as accepted.
pub fn is_accepted(answer: &TicketOutcome) -> bool {
    matches!(answer, TicketOutcome::Accepted { .. })
}

/// Tickets in force, by service.
pub fn tickets(tickets: &[(&str, u64)]) -> BTreeMap<String, u64> {
    let tickets = tickets.iter();
    tickets
        .map(|(service, number)| ((*service).to_string(), *number))
        .collect()
}

async fn request(
    client: &Client,
    method: Method,
    url: &str,
    body: Option<Value>,
) -> Option<(u16, Value)> {
    let request = client.request(method, url).force_close();
    let response = match body {
        Some(body) => request.send_json(&body).await,
        None => request.send().await,
    };
    let response = response.ok()?;
    let body = response.body().await.ok()?;
    let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some((response.status().as_u16(), value))
}
