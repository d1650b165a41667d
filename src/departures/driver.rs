//! Task that writes departure records to the store and to peers, and reads them back after
//! a start.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::{join, join_all};
use futures_util::stream::FuturesUnordered;
use prost::Message;
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    DepartureRecord, HOLDER_COUNT, HeldDepartures, MAX_HEARTBEAT_DELAY, RECORD_TTL, WireDeparture,
    WireDepartures, is_history_complete,
};
use crate::exchange::{ControlRequest, ControlTopic, PeerHello, send_request};
use crate::ids::NodeId;
use crate::membership::driver::MembershipHandle;
use crate::store::{ConfigStore, LeaseId, ReadFreshness, StoreError};

/// Key prefix of the records, followed by the name of the node.
const RECORD_PREFIX: &str = "currantlift/departures/";
/// Time for which one lease serves for further records.
const LEASE_REUSE_TIME: Duration = Duration::from_secs(10);
/// Longest wait for a record to be written. A backend server waits a second for its
/// acknowledgement.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to write a record, each with another lease.
const MAX_WRITE_ATTEMPTS: u32 = 2;
/// Longest wait for the store when records are read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the replies of peers.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Peers that are asked for records. More than hold them, since a node that has just started
/// may not know all of its peers yet.
const ASKED_PEER_COUNT: usize = 4;
/// Time after its start within which a node learns its peers. Those that hold records may not
/// be the first that it knows.
const PEER_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Rounds without a reply of any peer after which a node serves without the records. Peers
/// of an older build know none.
const MAX_UNANSWERED_ROUNDS: u32 = 5;
/// Pause between two attempts to read the records.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a record that the store has not confirmed is written again.
const REWRITE_PAUSE: Duration = Duration::from_millis(500);

/// Identity of the node whose departures are recorded.
#[derive(Debug)]
pub struct DepartureSettings {
    /// Name of the node.
    pub node: NodeId,
    /// Hello of its connections to peers.
    pub hello: PeerHello,
    /// Start time of the process.
    pub started_at: Instant,
    /// Whether the whole fleet starts for the first time, so that there are no records.
    pub is_first_start: bool,
}

/// Access to the departure records; their task ends with the handle.
pub struct DepartureHandle {
    held: Rc<RefCell<HeldDepartures>>,
    started_at: Instant,
    is_first_start: bool,
    writes: mpsc::UnboundedSender<DepartureWrite>,
    recovered: watch::Receiver<Option<Vec<DepartureRecord>>>,
    is_complete: Rc<Cell<bool>>,
}

struct DepartureWrite {
    record: DepartureRecord,
    written: oneshot::Sender<()>,
}

struct DepartureDriver<S> {
    settings: DepartureSettings,
    store: Rc<S>,
    membership: MembershipHandle,
    lease: RefCell<Option<(LeaseId, Instant)>>,
    write_count: Cell<u64>,
    /// Whether all departures that earlier processes acknowledged are known.
    is_complete: Rc<Cell<bool>>,
}

/// What a peer holds for this node.
struct PeerReply {
    peer: SocketAddr,
    records: Vec<DepartureRecord>,
    held_for: Duration,
}

impl DepartureHandle {
    /// Handle of a node that has no store: nothing is recorded, nothing is recovered.
    pub fn disabled(started_at: Instant) -> Self {
        let (writes, _) = mpsc::unbounded_channel();
        let (_, recovered) = watch::channel(Some(Vec::new()));
        Self {
            held: Rc::default(),
            started_at,
            is_first_start: false,
            writes,
            recovered,
            is_complete: Rc::new(Cell::new(true)),
        }
    }

    /// Starts to read the records of earlier processes, and to write new ones.
    pub fn start<S: ConfigStore + 'static>(
        settings: DepartureSettings,
        store: Rc<S>,
        membership: MembershipHandle,
    ) -> Self {
        let (writes, write_receiver) = mpsc::unbounded_channel();
        let (recovered_sender, recovered) = watch::channel(None);
        let handle = Self {
            held: Rc::default(),
            started_at: settings.started_at,
            is_first_start: settings.is_first_start,
            writes,
            recovered,
            is_complete: Rc::new(Cell::new(settings.is_first_start)),
        };
        let driver = Rc::new(DepartureDriver {
            settings,
            store,
            membership,
            lease: RefCell::default(),
            write_count: Cell::new(0),
            is_complete: Rc::clone(&handle.is_complete),
        });
        ntex::rt::spawn(serve_writes(Rc::clone(&driver), write_receiver));
        ntex::rt::spawn(async move {
            tokio::select! {
                () = recovered_sender.closed() => {}
                () = driver.recover(&recovered_sender) => {}
            }
        });
        handle
    }

    /// Writes a record. Returns once it is written, or when the time for that has passed.
    pub async fn record(&self, record: DepartureRecord) {
        let (written, waiter) = oneshot::channel();
        if self.writes.send(DepartureWrite { record, written }).is_ok() {
            // Fails if the write ended without a result, which it has logged.
            let _ = waiter.await;
        }
    }

    /// Records of earlier processes of this node; `None` until the store or a peer has told
    /// them. Those that peers alone hold may follow.
    pub fn recovered(&self) -> watch::Receiver<Option<Vec<DepartureRecord>>> {
        self.recovered.clone()
    }

    /// Whether no departure that an earlier process of this node acknowledged can be
    /// missing in [`recovered`](Self::recovered).
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Time for which this process has held the records of other nodes; longest if there
    /// were none before it.
    fn held_for(&self) -> Duration {
        if self.is_first_start {
            MAX_HEARTBEAT_DELAY.max(self.started_at.elapsed())
        } else {
            self.started_at.elapsed()
        }
    }

    /// Holds the records of a peer and returns all that are held for it.
    pub fn handle_peer_request(&self, payload: Bytes) -> Bytes {
        let request = WireDepartures::decode(payload).unwrap_or_default();
        let Ok(node) = request.node.parse::<NodeId>() else {
            return Bytes::new();
        };
        let now = self.started_at.elapsed();
        let mut held = self.held.borrow_mut();
        for record in decode_records(request.records) {
            held.hold(now, &node, record);
        }
        let records = held.records_of(now, &node);
        let reply = WireDepartures {
            node: request.node,
            records: records.iter().map(WireDeparture::from).collect(),
            is_reply: true,
            held_for_ms: u64::try_from(self.held_for().as_millis()).unwrap_or(u64::MAX),
        };
        Bytes::from(reply.encode_to_vec())
    }
}

fn publish(recovered: &watch::Sender<Option<Vec<DepartureRecord>>>, records: Vec<DepartureRecord>) {
    recovered.send_modify(|known| known.get_or_insert_default().extend(records));
}

fn decode_records(records: Vec<WireDeparture>) -> Vec<DepartureRecord> {
    let decoded = records.into_iter().filter_map(|wire| {
        DepartureRecord::try_from(wire)
            .inspect_err(|error| {
                log::warn!(target: "control", "departure record not readable, skipping it: {error}");
            })
            .ok()
    });
    decoded.collect()
}

async fn serve_writes<S: ConfigStore + 'static>(
    driver: Rc<DepartureDriver<S>>,
    mut writes: mpsc::UnboundedReceiver<DepartureWrite>,
) {
    let mut writing = FuturesUnordered::new();
    loop {
        tokio::select! {
            write = writes.recv() => match write {
                Some(write) => writing.push(driver.write_until_stored(write)),
                None => return,
            },
            Some(()) = writing.next() => {}
        }
    }
}

impl<S: ConfigStore> DepartureDriver<S> {
    /// Writes a record and reports that; goes on writing it until the store has it, since
    /// all peers that hold it may be killed.
    async fn write_until_stored(&self, write: DepartureWrite) {
        let mut is_stored = self.write(&write.record).await;
        // Fails if nobody waits for the write any more.
        let _ = write.written.send(());
        let first_written_at = Instant::now();
        while !is_stored && first_written_at.elapsed() < RECORD_TTL {
            tokio::time::sleep(REWRITE_PAUSE).await;
            is_stored = self.write(&write.record).await;
        }
    }

    /// Writes a record to the store and to peers; returns whether the store has it.
    async fn write(&self, record: &DepartureRecord) -> bool {
        let to_store = tokio::time::timeout(WRITE_TIMEOUT, self.write_to_store(record));
        let peers = self.peer_addresses(HOLDER_COUNT);
        let (stored, replies) = join(to_store, self.exchange_with_peers(&peers, &[record])).await;
        let is_stored = matches!(stored, Ok(Ok(())));
        if is_stored && !replies.is_empty() {
            return true;
        }
        let error = match stored {
            Ok(Ok(())) => String::new(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_string(),
        };
        log::warn!(
            target: "control",
            backend:% = record.backend, is_stored, error, holders = replies.len();
            "departure recorded with fewer copies than usual"
        );
        is_stored
    }

    async fn write_to_store(&self, record: &DepartureRecord) -> Result<(), StoreError> {
        let value = serde_json::to_vec(record).map_err(|error| StoreError::NoEffect {
            reason: error.to_string(),
        })?;
        let value = Bytes::from(value);
        let mut last_error = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let lease = self.current_lease().await?;
            let key = self.next_key();
            match self.store.acquire(&key, value.clone(), &lease).await {
                Ok(true) => return Ok(()),
                // The store has ended the lease before its time.
                Ok(false) => {}
                Err(error) => last_error = Some(error),
            }
            self.lease.borrow_mut().take();
        }
        Err(last_error.unwrap_or_else(|| StoreError::NoEffect {
            reason: "lease ended".to_string(),
        }))
    }

    /// Key that no other record has, so that no other lease holds it.
    fn next_key(&self) -> String {
        let number = self.write_count.get();
        self.write_count.set(number + 1);
        let DepartureSettings { node, hello, .. } = &self.settings;
        format!("{RECORD_PREFIX}{node}/{}-{number}", hello.incarnation)
    }

    async fn current_lease(&self) -> Result<LeaseId, StoreError> {
        let known = self.lease.borrow().clone();
        if let Some((lease, granted_at)) = known
            && granted_at.elapsed() < LEASE_REUSE_TIME
        {
            return Ok(lease);
        }
        let granted_at = Instant::now();
        let lease = self
            .store
            .grant_lease(RECORD_TTL + LEASE_REUSE_TIME)
            .await?;
        *self.lease.borrow_mut() = Some((lease.clone(), granted_at));
        Ok(lease)
    }

    /// Reads the records of earlier processes from the store and from peers, and publishes
    /// them as they are told. A node that reaches neither belongs to no fleet yet, and waits.
    async fn recover(&self, recovered: &watch::Sender<Option<Vec<DepartureRecord>>>) {
        let mut is_stored = false;
        let mut told_by = BTreeSet::new();
        let mut unanswered_rounds = 0;
        loop {
            if !is_stored && let Some(records) = self.read_from_store().await {
                publish(recovered, records);
                is_stored = true;
            }
            let mut peers = self.peer_addresses(ASKED_PEER_COUNT);
            let holders = peers.clone();
            peers.retain(|peer| !told_by.contains(peer));
            let replies = self.exchange_with_peers(&peers, &[]).await;
            unanswered_rounds += u32::from(!peers.is_empty() && replies.is_empty());
            for reply in replies {
                let rank = holders.iter().position(|peer| *peer == reply.peer);
                if rank.is_some_and(|rank| is_history_complete(rank, reply.held_for)) {
                    self.is_complete.set(true);
                }
                told_by.insert(reply.peer);
                publish(recovered, reply.records);
            }
            let is_over = unanswered_rounds == MAX_UNANSWERED_ROUNDS;
            if is_over && recovered.borrow().is_none() {
                log::warn!(target: "control", "no peer knows departure records, serving without them");
                publish(recovered, Vec::new());
            }
            let has_settled = self.settings.started_at.elapsed() >= PEER_SETTLE_TIME;
            if is_over || (has_settled && peers.is_empty() && !told_by.is_empty()) {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Records in the store; `None` if it can't be read.
    async fn read_from_store(&self) -> Option<Vec<DepartureRecord>> {
        match tokio::time::timeout(READ_TIMEOUT, self.list_records()).await {
            Ok(Ok(records)) => Some(records),
            Ok(Err(error)) => {
                log::debug!(target: "control", "departure records not read from the store: {error}");
                None
            }
            Err(_) => None,
        }
    }

    async fn list_records(&self) -> Result<Vec<DepartureRecord>, StoreError> {
        let prefix = format!("{RECORD_PREFIX}{}/", self.settings.node);
        let listed = self
            .store
            .list_state(&prefix, ReadFreshness::Current)
            .await?;
        let records = listed.changes.into_iter().filter_map(|change| {
            serde_json::from_slice(&change.value?.bytes)
                .inspect_err(|error| {
                    log::warn!(
                        target: "control", key = change.key.as_str();
                        "departure record not readable, skipping it: {error}"
                    );
                })
                .ok()
        });
        Ok(records.collect())
    }

    /// Addresses of the live members that follow this node by name.
    fn peer_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let state = self.membership.state().borrow();
        let members = state.members();
        let following = members.range(self.settings.node.clone()..);
        let preceding = members.range(..self.settings.node.clone());
        following
            .chain(preceding)
            .filter(|(node, member)| **node != self.settings.node && member.is_live())
            .map(|(_, member)| member.peer_address)
            .take(count)
            .collect()
    }

    /// Sends records to peers; returns what each peer that replied holds for this node.
    async fn exchange_with_peers(
        &self,
        peers: &[SocketAddr],
        records: &[&DepartureRecord],
    ) -> Vec<PeerReply> {
        let message = WireDepartures {
            node: self.settings.node.to_string(),
            records: records.iter().copied().map(WireDeparture::from).collect(),
            is_reply: false,
            held_for_ms: 0,
        };
        let request = ControlRequest {
            payload: Bytes::from(message.encode_to_vec()),
            topic: ControlTopic::Departures.into(),
            forward_to: Vec::new(),
            evacuated_zones: None,
        };
        let exchanges = peers.iter().map(|peer| {
            let exchange = send_request(*peer, &self.settings.hello, &request);
            tokio::time::timeout(PEER_TIMEOUT, exchange)
        });
        let replies = join_all(exchanges).await.into_iter();
        let replies = peers.iter().zip(replies).filter_map(|(peer, reply)| {
            let reply = WireDepartures::decode(reply.ok()?.ok()?.payload).ok()?;
            reply.is_reply.then(|| PeerReply {
                peer: *peer,
                records: decode_records(reply.records),
                held_for: Duration::from_millis(reply.held_for_ms),
            })
        });
        replies.collect()
    }
}
