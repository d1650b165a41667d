//! Connects [`DiscoveryState`] to the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::sync::watch;

use super::state::{DiscoveryAction, DiscoveryEvent, DiscoveryState, FleetRole, FoundEntry};
use crate::ids::NodeId;
use crate::store::{ConfigStore, KeyValue, StoreError};

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
pub async fn follow_entries<S: ConfigStore>(
    settings: DiscoverySettings,
    store: Rc<S>,
    role: watch::Receiver<FleetRole>,
    found: watch::Sender<BTreeSet<SocketAddr>>,
) {
    let own = FoundEntry {
        key: format!("{ENTRY_PREFIX}{}", settings.node),
        address: settings.address,
    };
    let mut state = DiscoveryState::new(own);
    tokio::select! {
        () = found.closed() => {}
        () = run_steps(&mut state, &*store, &role, &found) => {}
    }
}

async fn run_steps<S: ConfigStore>(
    state: &mut DiscoveryState,
    store: &S,
    role: &watch::Receiver<FleetRole>,
    found: &watch::Sender<BTreeSet<SocketAddr>>,
) {
    let mut is_away = false;
    let mut action = state.start();
    loop {
        let event = match run_step(state, store, &action).await {
            Ok(event) => {
                if is_away && event != DiscoveryEvent::Waited {
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
                DiscoveryEvent::Failed
            }
        };
        if event == DiscoveryEvent::Renewed(false) {
            log::info!(target: "discovery", key = state.own().key.as_str(); "lease has lapsed");
        }
        action = state.next(event, *role.borrow());
        let others = state.others();
        found.send_if_modified(|present| {
            let is_changed = present != others;
            if is_changed {
                present.clone_from(others);
            }
            is_changed
        });
    }
}

async fn run_step<S: ConfigStore>(
    state: &DiscoveryState,
    store: &S,
    action: &DiscoveryAction,
) -> Result<DiscoveryEvent, StoreError> {
    Ok(match action {
        DiscoveryAction::Grant => DiscoveryEvent::Granted(store.grant_lease(ENTRY_TTL).await?),
        DiscoveryAction::Register(lease) => {
            let own = state.own();
            let value = Bytes::from(own.address.to_string());
            DiscoveryEvent::Registered(store.acquire(&own.key, value, lease).await?)
        }
        DiscoveryAction::Renew(lease) => DiscoveryEvent::Renewed(store.renew_lease(lease).await?),
        DiscoveryAction::List => {
            let listed = store.list(ENTRY_PREFIX).await?;
            DiscoveryEvent::Listed(listed.into_iter().filter_map(parse_entry).collect())
        }
        DiscoveryAction::Wait(pause) => {
            // Nodes that start together don't ask together.
            let pause = rand::rng().random_range(*pause / 2..=*pause);
            tokio::time::sleep(pause).await;
            DiscoveryEvent::Waited
        }
    })
}

/// An entry that can't be read names no node.
fn parse_entry(listed: KeyValue) -> Option<FoundEntry> {
    let text = std::str::from_utf8(&listed.value.bytes).ok();
    let address = text.and_then(|text| text.parse().ok());
    if address.is_none() {
        log::warn!(target: "discovery", key = listed.key.as_str(); "entry can't be read");
    }
    Some(FoundEntry {
        key: listed.key,
        address: address?,
    })
}
