//! Era of the store's data.
//!
//! A store that is restored from an older copy loses its last changes and assigns
//! their revisions and lease numbers again, so neither may be compared with those
//! from before. Such a store states an era in its responses, which increases with
//! each restore.

use std::rc::Rc;

use derive_more::{Display, FromStr};
use tokio::sync::watch;

use super::StoreError;
use super::http::unknown_effect;

/// Number of times that the store was restored; 0 if the store states no era.
#[derive(Debug, Clone, Copy, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreEra(pub u64);

/// Latest era in the responses of one store; clones share it.
#[derive(Debug, Clone, Default)]
pub struct EraTracker {
    latest: Rc<watch::Sender<StoreEra>>,
}

impl EraTracker {
    /// Latest era that a response has stated.
    pub fn latest(&self) -> StoreEra {
        *self.latest.borrow()
    }

    /// Waits for a response of another era than `era`.
    pub async fn changed_from(&self, era: StoreEra) {
        let mut latest = self.latest.subscribe();
        // The sender is dropped with this tracker, so there is always a result.
        let _ = latest.wait_for(|latest| *latest != era).await;
    }

    /// Records the era that a response states, and returns the era of the response.
    /// One that states none belongs to the latest era.
    ///
    /// # Errors
    ///
    /// Fails with an unknown effect if a response of a later era has arrived: what
    /// this one reports may have been lost since.
    pub fn observe(&self, stated: Option<StoreEra>) -> Result<StoreEra, StoreError> {
        let latest = self.latest();
        let era = stated.unwrap_or(latest);
        if era < latest {
            let reason = format!("response of era {era}, the store is in era {latest}");
            return Err(unknown_effect(&reason));
        }
        if era > latest {
            self.latest.send_replace(era);
            if latest != StoreEra::default() {
                log::warn!(
                    target: "store", era = era.0, previous = latest.0;
                    "store was restored from an older copy"
                );
            }
        }
        Ok(era)
    }
}
