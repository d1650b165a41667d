//! Starts of backend servers that take each other's place at one gate.
//!
//! Fault: a backend server falls silent, and one of another service gets its address and
//! announces itself at the same node while calls wait. A call is admitted to one start of
//! one backend server: the queue ends with that start, and a slot runs a call only there.

use std::rc::Rc;

use tokio::sync::oneshot;

use crate::admission::{AdmissionQueue, WorkResult};
use crate::backend::{BackendClient, BackendTarget};
use crate::error::ErrorKind;
use crate::gate::Gate;
use crate::ids::{CallId, SlotCount};

/// Right to run one call at the start of the backend server that admitted it.
pub struct BackendSlot {
    client: Rc<BackendClient>,
}

impl BackendSlot {
    pub(super) fn new(client: Rc<BackendClient>) -> Self {
        Self { client }
    }

    /// Client of the backend server that runs the call.
    pub(super) fn into_client(self) -> Rc<BackendClient> {
        self.client
    }
}

/// Why the whole queue ended.
#[derive(Debug, Clone, Copy)]
pub enum QueueEnd {
    /// No start of this gate's backend server takes the calls.
    Refused(ErrorKind),
    /// Another start has taken the place of the one that admitted the calls.
    BackendReplaced,
}

/// Receives the slot of a queued call; fails if the call loses its place in the queue.
pub type SlotReceiver = oneshot::Receiver<Result<BackendSlot, QueueEnd>>;

/// Admission of a call by the gate.
pub enum CallAdmission {
    /// The call has a slot.
    Started(BackendSlot),
    /// The call waits for a slot.
    Queued(SlotReceiver),
}

impl Gate {
    /// Sets the start of the backend server that calls are sent to.
    pub(super) fn set_backend(self: &Rc<Self>, target: BackendTarget) {
        let current_client = self.backend_client();
        if (current_client.as_ref()).is_some_and(|client| *client.target() == target) {
            return;
        }
        log::info!(
            target: "gate",
            backend:% = target.id, service:% = target.service, address:% = target.address;
            "backend server set"
        );
        let is_other_start = current_client
            .as_ref()
            .is_none_or(|client| !client.target().is_same_start(&target));
        if let Some(earlier_client) = current_client.filter(|_| is_other_start) {
            self.record_unnoticed_end(&earlier_client);
        }
        let (key, slots) = (target.key, target.slots);
        let client = Rc::new(BackendClient::new(target, self.dialect));
        self.watch_connections(&client);
        *self.backend_client.borrow_mut() = Some(Rc::clone(&client));
        if is_other_start {
            self.end_queue(QueueEnd::BackendReplaced);
            self.begin_start(&client);
            self.forget_statements();
            self.adopt_known_statement(key);
        } else {
            self.update_slots(slots);
        }
        self.publish_status();
        self.spawn_first_load_poll();
    }

    /// Prepares the admission queue for a start at which no call runs.
    fn begin_start(&self, client: &BackendClient) {
        let target = client.target();
        let earlier_service = self.admitted_service.replace(Some(target.service.clone()));
        let is_same_service = earlier_service.as_ref() == Some(&target.service);
        let mut admission = self.admission.borrow_mut();
        let admission = admission
            .get_or_insert_with(|| AdmissionQueue::new(target.slots, self.admission_options));
        let earlier_runs = admission.begin_start(self.now(), target.slots, is_same_service);
        self.earlier_runs.borrow_mut().extend(earlier_runs);
    }

    fn update_slots(self: &Rc<Self>, slots: SlotCount) {
        let mut started_calls = Vec::new();
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.reset_speed_history();
            started_calls = admission.set_slots(self.now(), slots);
        }
        self.start_queued_calls(started_calls);
    }

    /// Whether the start that admitted the call is still the present one.
    pub(super) fn is_present(&self, slot: &BackendSlot) -> bool {
        self.is_present_start(&slot.client)
    }

    /// Whether the client's target is the present start of the backend server.
    pub(super) fn is_present_start(&self, client: &BackendClient) -> bool {
        self.backend_client()
            .is_some_and(|present| present.target().is_same_start(client.target()))
    }

    /// Takes all waiting calls out of the queue and tells them why.
    pub(super) fn end_queue(&self, reason: QueueEnd) {
        let waiting = std::mem::take(&mut *self.slot_grants.borrow_mut());
        if waiting.is_empty() {
            return;
        }
        log::info!(target: "admission", calls = waiting.len(), reason:?; "queue of the gate ended");
        let now = self.now();
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            for call in waiting.keys() {
                admission.withdraw(now, *call);
            }
        }
        for slot_grant in waiting.into_values() {
            // Fails if the call has ended at the same moment.
            let _ = slot_grant.send(Err(reason));
        }
        self.publish_status();
    }

    /// Grants slots to queued calls that start now.
    pub(super) fn start_queued_calls(self: &Rc<Self>, started_calls: Vec<CallId>) {
        for id in started_calls {
            log::info!(target: "admission", call:% = id; "queued call started");
            let slot_grant = self.slot_grants.borrow_mut().remove(&id);
            let slot = self.backend_client().map(BackendSlot::new);
            let is_granted = slot_grant
                .zip(slot)
                .is_some_and(|(slot_grant, slot)| slot_grant.send(Ok(slot)).is_ok());
            if !is_granted {
                self.finish_call(id, WorkResult::NotSent);
            }
        }
    }
}
