//! Task that executes the actions of a [`DiscoveryState`] against the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::sync::watch;

use super::role::FleetRole;
use super::state::{DiscoveryAction, DiscoveryEvent, DiscoveryState, NodeEntry};
use crate::ids::NodeId;
use crate::store::{ConfigStore, KeyValue, StoreError};

/// Key prefix of the entries.
const ENTRY_PREFIX: &str = "currantlift/nodes/";
/// Lease TTL, after which the store removes the entry of a stopped node.
pub(super) const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Settings of peer discovery.
#[derive(Debug, Clone)]
pub struct DiscoverySettings {
    /// Name of this node, part of its entry's key.
    pub node: NodeId,
    /// Peer address that the entry advertises.
    pub address: SocketAddr,
}

/// Maintains the node's own entry and publishes the addresses of the other nodes
/// until all receivers are dropped.
pub async fn run_discovery<S: ConfigStore>(
    settings: DiscoverySettings,
    store: Rc<S>,
    role: watch::Receiver<FleetRole>,
    found_addresses: watch::Sender<BTreeSet<SocketAddr>>,
) {
    let own_entry = NodeEntry {
        key: format!("{ENTRY_PREFIX}{}", settings.node),
        address: settings.address,
    };
    let mut state = DiscoveryState::new(own_entry);
    tokio::select! {
        () = found_addresses.closed() => {}
        () = run_actions(&mut state, &*store, &role, &found_addresses) => {}
    }
}

async fn run_actions<S: ConfigStore>(
    state: &mut DiscoveryState,
    store: &S,
    role: &watch::Receiver<FleetRole>,
    found_addresses: &watch::Sender<BTreeSet<SocketAddr>>,
) {
    let mut is_store_unavailable = false;
    let mut action = state.first_action();
    loop {
        let event = match execute_action(state, store, &action).await {
            Ok(event) => {
                if is_store_unavailable && event != DiscoveryEvent::WaitElapsed {
                    is_store_unavailable = false;
                    log::info!(target: "discovery", dependency = "store"; "dependency regained");
                }
                event
            }
            Err(error) => {
                if !is_store_unavailable {
                    is_store_unavailable = true;
                    log::warn!(
                        target: "discovery",
                        dependency = "store", reason:% = error;
                        "dependency lost"
                    );
                }
                DiscoveryEvent::CallFailed
            }
        };
        if event == DiscoveryEvent::RenewReply(false) {
            log::info!(
                target: "discovery", key = state.own_entry().key.as_str();
                "discovery lease has expired, requesting a new one"
            );
        }
        action = state.handle_event(event, *role.borrow());
        let other_addresses = state.other_addresses();
        found_addresses.send_if_modified(|published| {
            let is_changed = published != other_addresses;
            if is_changed {
                published.clone_from(other_addresses);
            }
            is_changed
        });
    }
}

async fn execute_action<S: ConfigStore>(
    state: &DiscoveryState,
    store: &S,
    action: &DiscoveryAction,
) -> Result<DiscoveryEvent, StoreError> {
    Ok(match action {
        DiscoveryAction::GrantLease => {
            DiscoveryEvent::LeaseGranted(store.grant_lease(ENTRY_TTL).await?)
        }
        DiscoveryAction::RegisterEntry(lease) => {
            let own_entry = state.own_entry();
            let value = Bytes::from(own_entry.address.to_string());
            DiscoveryEvent::RegisterReply(store.acquire(&own_entry.key, value, lease).await?)
        }
        DiscoveryAction::RenewLease(lease) => {
            DiscoveryEvent::RenewReply(store.renew_lease(lease).await?)
        }
        DiscoveryAction::ListEntries => {
            let listed = store.list(ENTRY_PREFIX).await?;
            DiscoveryEvent::EntriesListed(listed.into_iter().filter_map(parse_entry).collect())
        }
        DiscoveryAction::Wait(delay) => {
            // Keeps nodes that start together from calling the store together.
            let delay = rand::rng().random_range(*delay / 2..=*delay);
            tokio::time::sleep(delay).await;
            DiscoveryEvent::WaitElapsed
        }
        DiscoveryAction::WaitForElection(max_delay) => {
            let draws: [Duration; 2] =
                std::array::from_fn(|_| rand::rng().random_range(Duration::ZERO..*max_delay));
            tokio::time::sleep(draws[0].max(draws[1])).await;
            DiscoveryEvent::WaitElapsed
        }
    })
}

/// Parses a listed entry; logs and skips one without a valid address.
fn parse_entry(listed: KeyValue) -> Option<NodeEntry> {
    let text = std::str::from_utf8(&listed.value.bytes).ok();
    let address = text.and_then(|text| text.parse().ok());
    if address.is_none() {
        log::warn!(
            target: "discovery", key = listed.key.as_str();
            "discovery entry holds no valid address, skipping it"
        );
    }
    Some(NodeEntry {
        key: listed.key,
        address: address?,
    })
}
