//! Pool of an ingress's links: one per gate and worker thread.
//!
//! A watchdog pings a link with outstanding calls on which no messages arrive.
//! If the gate doesn't respond, the link is dropped and its calls are notified
//! and resume on a new link. New calls never wait for a dropped link.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Mutex, Notify};

use crate::exchange::{FramedPeerStream, PeerHello, frame_stream};
use crate::ids::{NodeId, NodeIncarnation};
use crate::link::call_link::{CallLink, UpstreamEvent, receive_local, receive_remote};
use crate::link::endpoint::{LinkReceiver, LinkSender, QueueBudget, message_channel, write_frames};
use crate::link::messages::{KnownBackendStatement, LinkHello, LinkWelcome};
use crate::quarantine::QuarantineHub;

/// Time limit for opening a link, including the wait for its [`LinkWelcome`].
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Steps in which [`CONNECT_TIMEOUT`] is counted.
const CONNECT_TIMEOUT_STEPS: u32 = 10;
/// Interval of the watchdog's checks while calls are outstanding.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(20);

/// Gate that a link is opened to.
#[derive(Debug, Clone)]
pub struct GateTarget {
    /// Identifier of the gate's node.
    pub node: NodeId,
    /// Address of the node's peer listener.
    pub address: SocketAddr,
}

/// Identity that a worker thread presents when it opens links.
#[derive(Debug, Clone)]
pub struct LinkIdentity {
    /// Identifier of this node.
    pub node: NodeId,
    /// Incarnation of this node.
    pub incarnation: NodeIncarnation,
    /// Index of the worker thread.
    pub worker: u32,
}

/// Returns what the ingress knows of a node's backend server.
pub type StatementLookup = Rc<dyn Fn(&NodeId) -> Option<KnownBackendStatement>>;

/// Opens an in-process link to the gate of this node.
pub type LocalConnector = Rc<dyn Fn(LinkSender, LinkReceiver, LinkHello)>;

#[derive(Debug, Default)]
struct PoolEntry {
    current: RefCell<Option<Rc<CallLink>>>,
    connect_lock: Mutex<()>,
    last_failure: Cell<Option<(Instant, io::ErrorKind)>>,
}

impl PoolEntry {
    /// Error of an attempt to open the link that failed at or after `requested_at`.
    fn failure_since(&self, requested_at: Instant) -> Option<io::Error> {
        let (failed_at, kind) = self.last_failure.get()?;
        (failed_at >= requested_at).then(|| kind.into())
    }
}

/// Links of one worker thread.
pub struct LinkPool {
    identity: LinkIdentity,
    local_connector: LocalConnector,
    statement_lookup: StatementLookup,
    quarantine: Arc<QuarantineHub>,
    queue_budget: Arc<QueueBudget>,
    entries: RefCell<BTreeMap<NodeId, Rc<PoolEntry>>>,
    generation: Cell<u64>,
    upstream_events: UnboundedSender<(NodeId, UpstreamEvent)>,
    call_registered: Rc<Notify>,
}

impl LinkPool {
    /// Creates a pool; the returned channel delivers events of upstreams.
    pub fn new(
        identity: LinkIdentity,
        local: LocalConnector,
        statement_lookup: StatementLookup,
        quarantine: Arc<QuarantineHub>,
        queue_budget: Arc<QueueBudget>,
    ) -> (Rc<Self>, UnboundedReceiver<(NodeId, UpstreamEvent)>) {
        let (upstream_events, receiver) = unbounded_channel();
        let pool = Rc::new(Self {
            identity,
            local_connector: local,
            statement_lookup,
            quarantine,
            queue_budget,
            entries: RefCell::new(BTreeMap::new()),
            generation: Cell::new(0),
            upstream_events,
            call_registered: Rc::new(Notify::new()),
        });
        ntex::rt::spawn(run_watchdog(Rc::downgrade(&pool)));
        (pool, receiver)
    }

    /// Returns the open link to a gate; opens one if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the gate can't be reached within 100 ms.
    pub async fn get_or_open(&self, target: &GateTarget) -> io::Result<Rc<CallLink>> {
        let entry = Rc::clone(
            self.entries
                .borrow_mut()
                .entry(target.node.clone())
                .or_default(),
        );
        if let Some(link) = current_link(&entry) {
            return Ok(link);
        }
        let requested_at = Instant::now();
        let _connect_guard = entry.connect_lock.lock().await;
        if let Some(link) = current_link(&entry) {
            return Ok(link);
        }
        // Calls that waited for the lock share the failure of the attempt. If each
        // made its own, they would wait for an unreachable gate one after another.
        if let Some(error) = entry.failure_since(requested_at) {
            return Err(error);
        }
        match self.open(target).await {
            Ok(link) => {
                *entry.current.borrow_mut() = Some(Rc::clone(&link));
                Ok(link)
            }
            Err(error) => {
                entry.last_failure.set(Some((Instant::now(), error.kind())));
                Err(error)
            }
        }
    }

    /// Requests a gate's load, which is delivered as an [`UpstreamEvent`].
    ///
    /// # Errors
    ///
    /// Fails if the gate can't be reached within 100 ms.
    pub async fn probe(&self, target: &GateTarget) -> io::Result<()> {
        let link = self.get_or_open(target).await?;
        link.send_ping();
        Ok(())
    }

    /// Closes idle links to gates for which `is_wanted` returns false.
    pub fn retain(&self, is_wanted: impl Fn(&NodeId) -> bool) {
        self.entries.borrow_mut().retain(|node, entry| {
            let link = entry.current.borrow().clone();
            let is_busy = link.as_ref().is_some_and(|link| link.has_calls());
            let should_keep = is_busy || is_wanted(node);
            if !should_keep && let Some(link) = link {
                link.mark_lost();
            }
            should_keep
        });
    }

    /// Number of links that are not lost.
    pub fn open_link_count(&self) -> usize {
        let entries = self.entries.borrow();
        entries
            .values()
            .filter(|entry| current_link(entry).is_some())
            .count()
    }

    async fn open(&self, target: &GateTarget) -> io::Result<Rc<CallLink>> {
        self.generation.set(self.generation.get() + 1);
        let hello = LinkHello {
            node: self.identity.node.to_string(),
            incarnation: self.identity.incarnation.get(),
            worker: self.identity.worker,
            generation: self.generation.get(),
            known: (self.statement_lookup)(&target.node),
        };
        if target.node == self.identity.node {
            return Ok(self.open_local(hello));
        }
        tokio::select! {
            biased;
            link = self.open_remote(target, hello) => link,
            () = connect_timeout() => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn open_local(&self, hello: LinkHello) -> Rc<CallLink> {
        let (to_gate, gate_receiver) = message_channel(&self.queue_budget);
        let (to_ingress, receiver) = message_channel(&self.queue_budget);
        (self.local_connector)(to_ingress, gate_receiver, hello);
        let gate = self.identity.node.clone();
        let link = Rc::new(CallLink::new(
            gate,
            self.identity.incarnation,
            to_gate,
            Rc::clone(&self.call_registered),
        ));
        ntex::rt::spawn(receive_local(
            Rc::clone(&link),
            receiver,
            self.upstream_events.clone(),
        ));
        link
    }

    async fn open_remote(&self, target: &GateTarget, hello: LinkHello) -> io::Result<Rc<CallLink>> {
        let stream = TcpStream::connect(target.address).await?;
        stream.set_nodelay(true)?;
        let mut framed = frame_stream(stream);
        let peer_hello = PeerHello {
            node: hello.node.clone(),
            incarnation: hello.incarnation,
            is_call_link: true,
        };
        framed.feed(Bytes::from(peer_hello.encode_to_vec())).await?;
        framed.send(Bytes::from(hello.encode_to_vec())).await?;
        let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        let welcome = LinkWelcome::decode(frame).map_err(io::Error::other)?;
        let incarnation = NodeIncarnation::try_from(welcome.incarnation)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        Ok(self.start_remote(target.node.clone(), incarnation, framed))
    }

    fn start_remote(
        &self,
        gate: NodeId,
        incarnation: NodeIncarnation,
        framed: FramedPeerStream,
    ) -> Rc<CallLink> {
        let (sink, stream) = framed.split();
        let (sender, outgoing) = message_channel(&self.queue_budget);
        let registration = self.quarantine.register_link(&sender);
        let link = Rc::new(CallLink::new(
            gate,
            incarnation,
            sender,
            Rc::clone(&self.call_registered),
        ));
        ntex::rt::spawn(receive_remote(
            Rc::clone(&link),
            stream,
            self.upstream_events.clone(),
            registration,
        ));
        let written_link = Rc::clone(&link);
        ntex::rt::spawn(async move {
            tokio::select! {
                _ = write_frames(sink, outgoing, std::future::pending()) => written_link.mark_lost(),
                () = written_link.wait_until_lost() => {}
            }
        });
        link
    }
}

/// Completes after the time limit for opening a link.
///
/// The limit is counted in steps that each take at least one iteration of the
/// thread's event loop. A burst that blocks the thread for longer than the limit
/// therefore doesn't fail a link that the gate is answering in time.
async fn connect_timeout() {
    for _ in 0..CONNECT_TIMEOUT_STEPS {
        tokio::time::sleep(CONNECT_TIMEOUT / CONNECT_TIMEOUT_STEPS).await;
    }
}

fn current_link(entry: &PoolEntry) -> Option<Rc<CallLink>> {
    let current = entry.current.borrow();
    current.as_ref().filter(|link| !link.is_lost()).cloned()
}

async fn run_watchdog(pool: std::rc::Weak<LinkPool>) {
    loop {
        let Some(pool) = pool.upgrade() else {
            return;
        };
        let links: Vec<Rc<CallLink>> = {
            let entries = pool.entries.borrow();
            entries
                .values()
                .filter_map(|entry| current_link(entry))
                .collect()
        };
        let mut is_busy = false;
        for link in links {
            is_busy |= link.has_calls();
            if link.check_silence(WATCHDOG_INTERVAL) {
                log::warn!(target: "link", "link to {} fell silent, dropped", link.gate());
                link.mark_lost();
            }
        }
        if !is_busy {
            // Avoids waking an idle thread every 20 ms.
            pool.call_registered.notified().await;
        }
        drop(pool);
        tokio::time::sleep(WATCHDOG_INTERVAL).await;
    }
}
