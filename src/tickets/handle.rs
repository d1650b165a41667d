//! Access to change tickets for the rest of the node.
//!
//! A [`ConfigHandle`] can be cloned and used from any thread. When the last
//! one is dropped, its channels close and the tasks end.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};

use super::answer::{RefusalReason, SubmitAnswer};
use super::body::ChangeTicket;
use super::driver::start_tasks;
use super::peers::answer_fetch;
use super::state::TicketState;
use super::view::{TicketView, local_view};
use crate::exchange::PeerHello;
use crate::ids::{NodeId, TicketNumber, ZoneName};
use crate::store::seeds::SeedPurpose;
use crate::store::{ConfigStore, StoreError};

/// Commands that wait for the control thread at one time.
const COMMAND_QUEUE: usize = 256;

/// What the tasks need to know of their node.
#[derive(Debug, Clone)]
pub struct ConfigSettings {
    /// First frame of exchanges with peers.
    pub hello: PeerHello,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the node's peer listener.
    pub peer_address: SocketAddr,
}

/// Command from a handle to the tasks.
#[derive(Debug)]
pub enum ConfigCommand {
    /// Submit a ticket.
    Submit(ChangeTicket, oneshot::Sender<SubmitAnswer>),
    /// Look a ticket up.
    Show(TicketNumber, oneshot::Sender<TicketView>),
    /// Read addresses to join through.
    ReadSeeds(
        SeedPurpose,
        oneshot::Sender<Result<Vec<SocketAddr>, StoreError>>,
    ),
    /// A peer has a head of this version.
    PeerHead(SocketAddr, u64),
}

/// Access to change tickets for the rest of the node.
#[derive(Debug, Clone)]
pub struct ConfigHandle {
    commands: mpsc::Sender<ConfigCommand>,
    state: watch::Receiver<Arc<TicketState>>,
    zone_rank: watch::Sender<u32>,
}

impl ConfigHandle {
    /// Starts the tasks on the present thread's ntex runtime.
    pub fn start<S: ConfigStore + 'static>(settings: ConfigSettings, store: S) -> Self {
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE);
        let (publisher, state) = watch::channel(Arc::default());
        let (zone_rank, rank) = watch::channel(0);
        start_tasks(settings, store, queue, publisher, rank);
        Self {
            commands,
            state,
            zone_rank,
        }
    }

    /// Submits a ticket and waits for its answer, at most 7.5 s.
    pub async fn submit(&self, ticket: ChangeTicket) -> SubmitAnswer {
        let (reply, answer) = oneshot::channel();
        let command = ConfigCommand::Submit(ticket, reply);
        if self.commands.send(command).await.is_err() {
            let reason = "node is shutting down".to_string();
            return SubmitAnswer::Refused {
                reason: RefusalReason::StoreAway { reason },
            };
        }
        answer.await.unwrap_or_else(|_| SubmitAnswer::Unknown {
            reason: "node is shutting down".to_string(),
        })
    }

    /// Looks up what is known of a ticket.
    pub async fn show(&self, number: TicketNumber) -> TicketView {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(ConfigCommand::Show(number, reply)).await;
        let local = || local_view(&self.state.borrow(), number);
        answer.await.unwrap_or_else(|_| local())
    }

    /// Reads addresses of nodes to join through from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached.
    pub async fn read_seeds(&self, look: SeedPurpose) -> Result<Vec<SocketAddr>, StoreError> {
        let (reply, answer) = oneshot::channel();
        let command = ConfigCommand::ReadSeeds(look, reply);
        let _ = self.commands.send(command).await;
        answer.await.unwrap_or_else(|_| {
            Err(StoreError::NoEffect {
                reason: "node is shutting down".to_string(),
            })
        })
    }

    /// Tells that a peer has a head of the given version.
    ///
    /// Cheap when the version isn't newer; call it for every report of a peer.
    pub fn on_peer_head(&self, _node: &NodeId, peer_address: SocketAddr, version: u64) {
        if version > self.head_version() {
            // A full queue loses the report; the next round of gossip repeats it.
            let _ = self
                .commands
                .try_send(ConfigCommand::PeerHead(peer_address, version));
        }
    }

    /// Tells how many live nodes of the own zone have a lower id than this one.
    ///
    /// Only the lowest few compete for the zone's watch lease.
    pub fn set_zone_rank(&self, rank: u32) {
        self.zone_rank.send_if_modified(|present| {
            let is_changed = *present != rank;
            *present = rank;
            is_changed
        });
    }

    /// Answers a peer's request on [`ControlTopic::Tickets`](crate::exchange::ControlTopic).
    pub fn handle_fetch(&self, request: Bytes) -> Bytes {
        answer_fetch(&self.state.borrow(), request)
    }

    /// Version of the head in force here, to be spread to peers.
    pub fn head_version(&self) -> u64 {
        self.state.borrow().head_version()
    }

    /// Configuration in force, and every later one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<TicketState>> {
        self.state.clone()
    }
}
