//! Limits each service to its share of an ingress's requests in flight.

use std::rc::Rc;

use super::CallDriver;
use crate::admission::{CapacityShare, ShareOwner};
use crate::error::ErrorKind;
use crate::ingress::answer::CallFailure;
use crate::ingress::{IngressWorker, lock};

/// Requests in flight at one ingress that count as 100 percent.
const FULL_SHARE_REQUESTS: u32 = 1_000;

/// Releases a request's shares when it has ended.
pub(super) struct ShareGuard {
    worker: Rc<IngressWorker>,
    shares: Vec<CapacityShare>,
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        lock(&self.worker.shared.in_flight_shares).release(&self.shares);
    }
}

impl CallDriver {
    pub(super) fn reserve_shares(&self) -> Result<ShareGuard, CallFailure> {
        let shares = self.work_shares();
        let mut table = lock(&self.worker.shared.in_flight_shares);
        if !table.has_capacity(&shares, FULL_SHARE_REQUESTS) {
            return Err(self.failure(ErrorKind::ShareExceeded));
        }
        table.acquire(&shares);
        drop(table);
        Ok(ShareGuard {
            worker: Rc::clone(&self.worker),
            shares,
        })
    }

    fn work_shares(&self) -> Vec<CapacityShare> {
        let Some(percent) = self.request.rule.share_percent else {
            return Vec::new();
        };
        vec![CapacityShare {
            owner: ShareOwner::Service(self.request.service.clone()),
            percent,
        }]
    }
}
