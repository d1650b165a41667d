//! Ingress side of one open link.
//!
//! Dispatches received messages to the calls they belong to, forwards load and
//! state changes of the upstream, and detects a link that no longer responds.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream::SplitStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::exchange::FramedPeerStream;
use crate::ids::{NodeId, NodeIncarnation};
use crate::ingress::callers::RequestUsage;
use crate::link::endpoint::{LinkReceiver, LinkSender, payload_bytes, read_frame};
use crate::link::messages::{LinkMessage, LinkPing, LoadSnapshot, ZoneLoadReport};
use crate::quarantine::LinkRegistration;

/// Time without messages after which a link with outstanding calls is pinged.
const PING_AFTER_SILENCE: Duration = Duration::from_millis(40);
/// Time without messages after a ping until the link counts as lost.
const PONG_TIMEOUT: Duration = Duration::from_millis(60);

/// Event on a link that concerns one call.
#[derive(Debug)]
pub enum CallEvent {
    /// The gate sent a message for the call.
    Message(Box<LinkMessage>),
    /// The link is lost; the call may be resumed on a new one.
    LinkLost,
}

/// Event on a link that concerns the upstream rather than one call.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamEvent {
    /// The gate of this incarnation reported its current load.
    Load(NodeIncarnation, LoadSnapshot),
    /// A node of the gate's zone reported the load of its service there.
    ZoneLoad(ZoneLoadReport),
    /// Time between a ping and its reply.
    RoundTrip(Duration),
    /// The upstream accepts no new calls.
    Leaving,
    /// The connection failed or was closed, or the gate stopped responding.
    LinkLost,
}

/// Call that receives events, and the account of what it holds for its caller.
#[derive(Debug)]
struct RegisteredCall {
    events: UnboundedSender<CallEvent>,
    usage: Arc<RequestUsage>,
}

/// Link of one worker thread to one gate.
#[derive(Debug)]
pub struct CallLink {
    gate: NodeId,
    incarnation: NodeIncarnation,
    sender: LinkSender,
    calls: RefCell<BTreeMap<u64, RegisteredCall>>,
    has_received: Cell<bool>,
    silent_for: Cell<Duration>,
    is_ping_sent: Cell<bool>,
    /// Time of the ping whose reply is awaited.
    pinged_at: Cell<Option<Instant>>,
    is_lost: Cell<bool>,
    lost: Notify,
    call_registered: Rc<Notify>,
}

impl CallLink {
    pub(super) fn new(
        gate: NodeId,
        incarnation: NodeIncarnation,
        sender: LinkSender,
        has_work: Rc<Notify>,
    ) -> Self {
        Self {
            gate,
            incarnation,
            sender,
            calls: RefCell::new(BTreeMap::new()),
            has_received: Cell::new(false),
            silent_for: Cell::new(Duration::ZERO),
            is_ping_sent: Cell::new(false),
            pinged_at: Cell::new(None),
            is_lost: Cell::new(false),
            lost: Notify::new(),
            call_registered: has_work,
        }
    }

    /// Identifier of the gate's node.
    pub fn gate(&self) -> &NodeId {
        &self.gate
    }

    /// Whether the link is lost; a lost link is not used again.
    pub fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Waits until the link is marked as lost.
    pub(super) async fn wait_until_lost(&self) {
        self.lost.notified().await;
        // Passes the notification on to the link's other tasks that wait here.
        self.lost.notify_one();
    }

    /// Incarnation of the gate's node when the link was opened.
    pub fn incarnation(&self) -> NodeIncarnation {
        self.incarnation
    }

    /// Queues a message for the gate.
    pub fn send(&self, message: LinkMessage) {
        self.sender.send(message);
    }

    /// Whether the link takes more of a body.
    pub fn has_room(&self) -> bool {
        self.sender.has_room()
    }

    /// Waits until the link takes more of a body.
    pub async fn wait_for_room(&self) {
        self.sender.wait_for_room().await;
    }

    /// Asks for the load of the gate, and measures the round trip.
    pub fn send_ping(&self) {
        if self.pinged_at.get().is_none() {
            self.pinged_at.set(Some(Instant::now()));
        }
        self.send(LinkMessage::Ping(LinkPing::default()));
    }

    /// Registers a call; its events are sent to the returned channel, and the bytes of its
    /// response are added to its usage.
    pub fn register_call(
        &self,
        sequence: u64,
        usage: Arc<RequestUsage>,
    ) -> UnboundedReceiver<CallEvent> {
        let (sender, receiver) = unbounded_channel();
        if self.is_lost.get() {
            // The receiver still exists, so this can't fail.
            let _ = sender.send(CallEvent::LinkLost);
        }
        let call = RegisteredCall {
            events: sender,
            usage,
        };
        self.calls.borrow_mut().insert(sequence, call);
        self.call_registered.notify_one();
        receiver
    }

    /// Removes a call; later messages for it are dropped.
    pub fn unregister_call(&self, sequence: u64) {
        self.calls.borrow_mut().remove(&sequence);
    }

    /// Whether calls are registered.
    pub(super) fn has_calls(&self) -> bool {
        !self.calls.borrow().is_empty()
    }

    fn deliver(&self, sequence: u64, message: LinkMessage) {
        if let Some(call) = self.calls.borrow().get(&sequence) {
            call.usage.add(payload_bytes(&message) as u64);
            // A call that has ended in the meantime doesn't need the message.
            let _ = call.events.send(CallEvent::Message(Box::new(message)));
        }
    }

    /// Marks the link as lost and notifies its calls.
    pub(super) fn mark_lost(&self) {
        if self.is_lost.replace(true) {
            return;
        }
        for call in self.calls.borrow().values() {
            let _ = call.events.send(CallEvent::LinkLost);
        }
        self.lost.notify_one();
    }

    /// Runs one watchdog check; returns whether the link has timed out. Sends a
    /// ping first.
    ///
    /// A check counts as `interval` however late it runs: a thread that was itself
    /// delayed has not read its messages yet and must not mistake its own delay
    /// for an unresponsive peer.
    pub(super) fn check_silence(&self, interval: Duration) -> bool {
        let received_message = self.has_received.take();
        if received_message || !self.has_calls() || self.is_lost.get() {
            self.silent_for.set(Duration::ZERO);
            self.is_ping_sent.set(false);
            return false;
        }
        let silent_for = self.silent_for.get() + interval;
        self.silent_for.set(silent_for);
        if silent_for >= PING_AFTER_SILENCE && !self.is_ping_sent.replace(true) {
            self.send_ping();
        }
        silent_for >= PING_AFTER_SILENCE + PONG_TIMEOUT
    }
}

/// Dispatches messages from an in-process link until it is closed.
pub(super) async fn receive_local(
    link: Rc<CallLink>,
    mut receiver: LinkReceiver,
    upstream_events: UnboundedSender<(NodeId, UpstreamEvent)>,
) {
    while let Some(message) = receiver.recv().await {
        handle_message(&link, message, &upstream_events);
    }
    link.mark_lost();
}

/// Dispatches messages from a connection until it ends or the link is lost.
pub(super) async fn receive_remote(
    link: Rc<CallLink>,
    mut stream: SplitStream<FramedPeerStream>,
    upstream_events: UnboundedSender<(NodeId, UpstreamEvent)>,
    registration: LinkRegistration,
) {
    loop {
        let frame = tokio::select! {
            frame = read_frame(&mut stream) => frame,
            () = link.wait_until_lost() => break,
        };
        let Ok(Some(message)) = frame else {
            break;
        };
        if let LinkMessage::Quarantine(update) = &message {
            // Before the calls hear of the crash behind it.
            registration.hub().merge(update);
        }
        handle_message(&link, message, &upstream_events);
    }
    link.mark_lost();
    // The receiver may have been dropped with the pool.
    let _ = upstream_events.send((link.gate.clone(), UpstreamEvent::LinkLost));
}

fn handle_message(
    link: &CallLink,
    message: LinkMessage,
    upstream_events: &UnboundedSender<(NodeId, UpstreamEvent)>,
) {
    link.has_received.set(true);
    let (sequence, load) = match &message {
        LinkMessage::Refusal(refusal) => (Some(refusal.sequence), refusal.load),
        LinkMessage::ResponseStart(head) => (Some(head.sequence), head.load),
        LinkMessage::ResponseChunk(chunk) => (Some(chunk.sequence), chunk.load),
        LinkMessage::Abort(abort) => (Some(abort.sequence), abort.load),
        LinkMessage::CancelReply(reply) => (Some(reply.sequence), None),
        LinkMessage::ResumeReply(reply) => (Some(reply.sequence), None),
        LinkMessage::Credit(credit) => (Some(credit.sequence), None),
        LinkMessage::Pong(pong) => {
            if let Some(pinged_at) = link.pinged_at.take() {
                let event = UpstreamEvent::RoundTrip(pinged_at.elapsed());
                let _ = upstream_events.send((link.gate.clone(), event));
            }
            if let Some(zone) = pong.zone {
                let event = UpstreamEvent::ZoneLoad(zone);
                let _ = upstream_events.send((link.gate.clone(), event));
            }
            (None, pong.load)
        }
        LinkMessage::Leaving(leaving) => {
            let _ = upstream_events.send((link.gate.clone(), UpstreamEvent::Leaving));
            (None, leaving.load)
        }
        // Sent by ingresses only; ignored here.
        LinkMessage::Open(_)
        | LinkMessage::RequestChunk(_)
        | LinkMessage::Cancel(_)
        | LinkMessage::Resume(_)
        | LinkMessage::Acknowledge(_)
        | LinkMessage::Ping(_) => (None, None),
        LinkMessage::Quarantine(_) => (None, None),
    };
    if let Some(load) = load {
        let event = UpstreamEvent::Load(link.incarnation, load);
        let _ = upstream_events.send((link.gate.clone(), event));
    }
    if let Some(sequence) = sequence {
        link.deliver(sequence, message);
    }
}
