//! Real node processes and a stand-in store for the ticket tests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use currantlift::admin::{ServiceView, TicketAnswer};
use currantlift::standin::store::CallCounts;
use ntex::client::Client;
use ntex::http::Method;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::process::{Process, RunsByRequest};

/// Users' bound from acceptance until a ticket is in force everywhere.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(5);
/// Longest wait for anything that has no stated bound.
pub const PATIENCE: Duration = Duration::from_secs(40);
/// Pause between two looks.
pub const LOOK_PAUSE: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
struct NodeAddresses {
    peer_listen: SocketAddr,
    admin_listen: SocketAddr,
}

/// One node process.
pub struct Node {
    pub process: Process,
    pub name: String,
    pub peer: SocketAddr,
    admin: SocketAddr,
}

/// Store, nodes, and the highest ticket seen at each node for each service.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub client: Client,
    pub store_url: String,
    _store: Process,
    seen: BTreeMap<(String, String), u64>,
}

impl Fleet {
    /// Starts a store and `count` nodes over `zones` zones.
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
            seen: BTreeMap::new(),
        };
        for slot in 0..count {
            fleet.add_node(&format!("zone-{}", slot % zones));
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

    /// Waits until every node knows all nodes.
    pub async fn wait_for_members(&self) {
        let end = Instant::now() + PATIENCE;
        for node in &self.nodes {
            loop {
                let url = format!("http://{}/v1/members", node.admin);
                let members = request(&self.client, Method::GET, &url, None).await;
                let known = members.and_then(|(_, body)| Some(body.as_object()?.clone()));
                if known.as_ref().map(Map::len) == Some(self.nodes.len()) {
                    break;
                }
                assert!(Instant::now() < end, "{} knows {known:?}", node.name);
                ntex::time::sleep(LOOK_PAUSE).await;
            }
        }
    }

    /// Switches the store's faults.
    pub async fn set_faults(&self, faults: Value) {
        let url = format!("{}/standin/faults", self.store_url);
        let answer = request(&self.client, Method::PUT, &url, Some(faults)).await;
        assert_eq!(answer.unwrap().0, 200);
    }

    /// Counts of the store's calls.
    pub async fn counts(&self) -> CallCounts {
        let url = format!("{}/standin/counts", self.store_url);
        let answer = request(&self.client, Method::GET, &url, None).await;
        serde_json::from_value(answer.unwrap().1).unwrap()
    }

    /// Sets the store's counts to zero.
    pub async fn reset_counts(&self) {
        let url = format!("{}/standin/counts", self.store_url);
        let answer = request(&self.client, Method::DELETE, &url, None).await;
        assert_eq!(answer.unwrap().0, 200);
    }

    /// Asserts that the platform's rates were kept.
    pub async fn assert_rates_kept(&self) {
        let counts = self.counts().await;
        assert_eq!(counts.over_rate, 0, "{counts:?}");
    }

    /// Position of the node that holds a zone's watch lease, if one does.
    pub async fn watcher_of(&self, zone: &str) -> Option<usize> {
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

    /// Waits for a watcher of the zone for which `is_wanted` holds.
    pub async fn wait_for_watcher(&self, zone: &str, is_wanted: impl Fn(usize) -> bool) -> usize {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(holder) = self.watcher_of(zone).await.filter(|slot| is_wanted(*slot)) {
                return holder;
            }
            assert!(Instant::now() < end, "no watcher for {zone}");
            ntex::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Way to submit tickets at a node, which can be moved into a task.
    pub fn submitter(&self, slot: usize) -> Submitter {
        Submitter {
            client: self.client.clone(),
            admin: self.nodes[slot].admin,
        }
    }

    /// Submits a ticket at a node.
    pub async fn submit(&self, slot: usize, number: u64, services: &[(&str, u64)]) -> TicketAnswer {
        let submitter = self.submitter(slot);
        submitter.submit(number, services).await.unwrap()
    }

    /// Submits a ticket that must be accepted.
    pub async fn accept(&self, slot: usize, number: u64, services: &[(&str, u64)]) {
        let answer = self.submit(slot, number, services).await;
        assert!(is_accepted(&answer), "{answer:?}");
    }

    /// Tickets in force at a node; `None` if it doesn't answer.
    ///
    /// Fails if a service has gone back to a lower ticket since the last look.
    pub async fn in_force(&mut self, slot: usize) -> Option<BTreeMap<String, u64>> {
        let node = &self.nodes[slot];
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
            let highest = self.seen.entry(key).or_default();
            assert!(ticket >= highest, "{} reverted {service}", node.name);
            *highest = *ticket;
        }
        Some(tickets)
    }

    /// Waits until every node in `slots` has exactly these tickets in force.
    pub async fn wait_in_force(
        &mut self,
        slots: &[usize],
        expected: &BTreeMap<String, u64>,
        limit: Duration,
    ) {
        let end = Instant::now() + limit;
        for slot in slots {
            loop {
                let in_force = self.in_force(*slot).await;
                if in_force.as_ref() == Some(expected) {
                    break;
                }
                let name = &self.nodes[*slot].name;
                assert!(
                    Instant::now() < end,
                    "{name} has {in_force:?}, expected {expected:?}"
                );
                ntex::time::sleep(LOOK_PAUSE).await;
            }
        }
    }

    /// Positions of all nodes.
    pub fn all(&self) -> Vec<usize> {
        (0..self.nodes.len()).collect()
    }
}

/// Access to one node's tickets.
pub struct Submitter {
    client: Client,
    admin: SocketAddr,
}

impl Submitter {
    /// Submits a ticket; `None` if no answer comes.
    pub async fn submit(&self, number: u64, services: &[(&str, u64)]) -> Option<TicketAnswer> {
        let rules = services.iter().map(|(name, timeout_ms)| {
            let rule = json!({ "timeout_ms": timeout_ms });
            ((*name).to_string(), rule)
        });
        let body = json!({ "services": rules.collect::<BTreeMap<_, _>>() });
        let url = format!("http://{}/v1/tickets/{number}", self.admin);
        let (_, answer) = request(&self.client, Method::PUT, &url, Some(body)).await?;
        Some(serde_json::from_value(answer.clone()).unwrap_or_else(|_| panic!("{answer}")))
    }
}

/// Whether a ticket was told to be accepted.
pub fn is_accepted(answer: &TicketAnswer) -> bool {
    matches!(answer, TicketAnswer::Accepted { .. })
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
