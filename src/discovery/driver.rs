//! Connects [`DiscoveryState`] to the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::sync::watch;

use super::state::{DiscoveryAction, DiscoveryEvent, DiscoveryState, FleetRole, NodeEntry};
use crate::ids::NodeId;
use crate::store::{ConfigStore, ListedValue, StoreError};

/// Start of the keys of entries.
const ENTRY_PREFIX: &str = "currantlift/nodes/";
/// Time after which the entry of a node that is gone is removed.
pub(super) const ENTRY_TTL: Duration = Duration::from_secs(10);

/// What the driver needs to know.
#[derive(Debug, Clone)]
pub struct DiscoverySettings {
    /// This node.
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Keeps the own entry and publishes the others' until nobody listens.
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
            log::info!(target: "discovery", key = state.own_entry().key.as_str(); "lease has lapsed");
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
            // Nodes that start together don't ask together.
            let delay = rand::rng().random_range(*delay / 2..=*delay);
            tokio::time::sleep(delay).await;
            DiscoveryEvent::WaitElapsed
        }
    })
}

/// An entry that can't be read names no node.
fn parse_entry(listed: ListedValue) -> Option<NodeEntry> {
    let text = std::str::from_utf8(&listed.stored.bytes).ok();
    let address = text.and_then(|text| text.parse().ok());
    if address.is_none() {
        log::warn!(target: "discovery", key = listed.key.as_str(); "entry can't be read");
    }
    Some(NodeEntry {
        key: listed.key,
        address: address?,
    })
}
