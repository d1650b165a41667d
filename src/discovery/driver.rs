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
    found: watch::Sender<BTreeSet<SocketAddr>>,
) {
    let own = NodeEntry {
        key: format!("{ENTRY_PREFIX}{}", settings.node),
        address: settings.address,
    };
    let mut state = DiscoveryState::new(own);
    tokio::select! {
        () = found.closed() => {}
        () = run_actions(&mut state, &*store, &role, &found) => {}
    }
}

async fn run_actions<S: ConfigStore>(
    state: &mut DiscoveryState,
    store: &S,
    role: &watch::Receiver<FleetRole>,
    found: &watch::Sender<BTreeSet<SocketAddr>>,
) {
    let mut is_away = false;
    let mut action = state.first_action();
    loop {
        let event = match execute_action(state, store, &action).await {
            Ok(event) => {
                if is_away && event != DiscoveryEvent::WaitElapsed {
                    is_away = false;
                    log::info!(target: "discovery", dependency = "store"; "dependency regained");
                }
                event
            }
            Err(error) => {
                if !is_away {
                    is_away = true;
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
        let others = state.other_addresses();
        found.send_if_modified(|present| {
            let is_changed = present != others;
            if is_changed {
                present.clone_from(others);
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
            let own = state.own_entry();
            let value = Bytes::from(own.address.to_string());
            DiscoveryEvent::RegisterReply(store.acquire(&own.key, value, lease).await?)
        }
        DiscoveryAction::RenewLease(lease) => {
            DiscoveryEvent::RenewReply(store.renew_lease(lease).await?)
        }
        DiscoveryAction::ListEntries => {
            let listed = store.list(ENTRY_PREFIX).await?;
            DiscoveryEvent::EntriesListed(listed.into_iter().filter_map(parse_entry).collect())
        }
        DiscoveryAction::Wait(pause) => {
            // Nodes that start together don't ask together.
            let pause = rand::rng().random_range(*pause / 2..=*pause);
            tokio::time::sleep(pause).await;
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
