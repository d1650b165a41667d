//! Handle through which the rest of the node uses the change ticket tasks.
//!
//! A [`TicketsHandle`] can be cloned and used from any thread. When the last
//! clone is dropped, its channels close and the tasks end.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};

use super::answer::{RefusalReason, SubmitOutcome};
use super::body::ChangeTicket;
use super::driver::start_tasks;
use super::peers::encode_delta_reply;
use super::state::TicketState;
use super::view::{TicketView, local_view};
use crate::exchange::PeerHello;
use crate::ids::{NodeId, TicketNumber, ZoneName};
use crate::store::seeds::SeedPurpose;
use crate::store::{ConfigStore, StoreError};

/// Maximum number of commands that wait for the control thread.
const COMMAND_QUEUE_CAPACITY: usize = 256;

/// Settings of the node that the tasks use.
#[derive(Debug, Clone)]
pub struct TicketsSettings {
    /// First frame of every exchange with a peer.
    pub hello: PeerHello,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Address of the node's peer listener.
    pub peer_address: SocketAddr,
}

/// Command from a handle to the tasks.
#[derive(Debug)]
pub enum TicketsCommand {
    /// Submit a ticket.
    Submit(ChangeTicket, oneshot::Sender<SubmitOutcome>),
    /// Look up a ticket.
    Lookup(TicketNumber, oneshot::Sender<TicketView>),
    /// Read the addresses of nodes to join through from the store.
    ReadSeeds(
        SeedPurpose,
        oneshot::Sender<Result<Vec<SocketAddr>, StoreError>>,
    ),
    /// A peer has applied a head of this version.
    NewerPeerHead(SocketAddr, u64),
}

/// Handle to the change ticket tasks.
#[derive(Debug, Clone)]
pub struct TicketsHandle {
    commands: mpsc::Sender<TicketsCommand>,
    state: watch::Receiver<Arc<TicketState>>,
    zone_rank: watch::Sender<u32>,
}

impl TicketsHandle {
    /// Starts the tasks on the current thread's ntex runtime.
    pub fn start<S: ConfigStore + 'static>(settings: TicketsSettings, store: S) -> Self {
        let (commands, command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (state_sender, state) = watch::channel(Arc::default());
        let (zone_rank, rank_receiver) = watch::channel(0);
        start_tasks(
            settings,
            store,
            command_receiver,
            state_sender,
            rank_receiver,
        );
        Self {
            commands,
            state,
            zone_rank,
        }
    }

    /// Submits a ticket and waits at most 7.5 s for the outcome.
    pub async fn submit(&self, ticket: ChangeTicket) -> SubmitOutcome {
        let (reply_sender, reply) = oneshot::channel();
        let command = TicketsCommand::Submit(ticket, reply_sender);
        if self.commands.send(command).await.is_err() {
            let reason = "node is shutting down".to_string();
            return SubmitOutcome::Refused {
                reason: RefusalReason::StoreAway { reason },
            };
        }
        reply.await.unwrap_or_else(|_| SubmitOutcome::Unknown {
            reason: "node is shutting down".to_string(),
        })
    }

    /// Looks up a ticket at this node and in the store.
    pub async fn lookup(&self, number: TicketNumber) -> TicketView {
        let (reply_sender, reply) = oneshot::channel();
        let _ = self
            .commands
            .send(TicketsCommand::Lookup(number, reply_sender))
            .await;
        let local = || local_view(&self.state.borrow(), number);
        reply.await.unwrap_or_else(|_| local())
    }

    /// Reads the addresses of nodes to join through from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store is unreachable or the node is shutting down.
    pub async fn read_seeds(&self, purpose: SeedPurpose) -> Result<Vec<SocketAddr>, StoreError> {
        let (reply_sender, reply) = oneshot::channel();
        let command = TicketsCommand::ReadSeeds(purpose, reply_sender);
        let _ = self.commands.send(command).await;
        reply.await.unwrap_or_else(|_| {
            Err(StoreError::NoEffect {
                reason: "node is shutting down".to_string(),
            })
        })
    }

    /// Records the head version that a peer has announced by gossip.
    ///
    /// If it is newer, the changes are fetched from the peer. Cheap otherwise,
    /// so it can be called for every gossip message.
    pub fn on_peer_head(&self, _node: &NodeId, peer_address: SocketAddr, version: u64) {
        if version > self.head_version() {
            // A report that doesn't fit into the queue is lost; gossip repeats it.
            let _ = self
                .commands
                .try_send(TicketsCommand::NewerPeerHead(peer_address, version));
        }
    }

    /// Sets the number of live nodes in this node's zone that precede it by name.
    ///
    /// Only the few nodes of lowest rank compete for the zone's watch lease.
    pub fn set_zone_rank(&self, rank: u32) {
        self.zone_rank.send_if_modified(|current| {
            let is_changed = *current != rank;
            *current = rank;
            is_changed
        });
    }

    /// Returns the reply to a peer's request on
    /// [`ControlTopic::Tickets`](crate::exchange::ControlTopic).
    pub fn handle_peer_request(&self, request: Bytes) -> Bytes {
        encode_delta_reply(&self.state.borrow(), request)
    }

    /// Version of the head applied at this node, to be gossiped to peers.
    pub fn head_version(&self) -> u64 {
        self.state.borrow().head_version()
    }

    /// Returns a receiver of the configuration in force and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<TicketState>> {
        self.state.clone()
    }
}
