//! Limits each service to its share of an ingress's requests in flight.

use std::rc::Rc;

use super::CallDriver;
use crate::admission::{ShareKey, WorkShare};
use crate::error::ErrorKind;
use crate::ingress::answer::CallFailure;
use crate::ingress::{IngressWorker, lock};

/// Requests in flight at one ingress that count as 100 percent.
const FULL_SHARE_REQUESTS: u32 = 1_000;

/// Releases a request's shares when it has ended.
pub(super) struct ShareGuard {
    worker: Rc<IngressWorker>,
    shares: Vec<WorkShare>,
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        lock(&self.worker.shared.in_flight_shares).give_back(&self.shares);
    }
}

impl CallDriver {
    pub(super) fn reserve_shares(&self) -> Result<ShareGuard, CallFailure> {
        let shares = self.work_shares();
        let mut table = lock(&self.worker.shared.in_flight_shares);
        if !table.has_room(&shares, FULL_SHARE_REQUESTS) {
            return Err(self.failure(ErrorKind::ShareExceeded));
        }
        table.take(&shares);
        drop(table);
        Ok(ShareGuard {
            worker: Rc::clone(&self.worker),
            shares,
        })
    }

    fn work_shares(&self) -> Vec<WorkShare> {
        let Some(percent) = self.request.rule.share_percent else {
            return Vec::new();
        };
        vec![WorkShare {
            key: ShareKey::Service(self.request.service.clone()),
            percent,
        }]
    }
}
