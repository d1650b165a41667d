//! One open link, seen from the ingress.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::SplitStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::exchange::PeerFramed;
use crate::ids::{NodeId, NodeIncarnation};
use crate::link::endpoint::{LinkReceiver, LinkSender, read_frame};
use crate::link::messages::{LinkMessage, LinkPing, LoadSnapshot};

/// Silence after which a link with outstanding calls is pinged.
const PING_AFTER_SILENCE: Duration = Duration::from_millis(40);
/// Silence after a ping until the link is given up.
const PONG_TIMEOUT: Duration = Duration::from_millis(60);

/// What happens to a call on its link.
#[derive(Debug)]
pub enum CallEvent {
    /// A message for the call.
    Message(Box<LinkMessage>),
    /// The link is lost; the call may be resumed on another.
    LinkLost,
}

/// Something a link tells about its upstream rather than about one call.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamEvent {
    /// Fresh load.
    Load(LoadSnapshot),
    /// The upstream takes no new work.
    Leaving,
    /// The link fell silent or broke.
    LinkLost,
}

/// Open link to one gate.
#[derive(Debug)]
pub struct CallLink {
    gate: NodeId,
    incarnation: NodeIncarnation,
    sender: LinkSender,
    calls: RefCell<BTreeMap<u64, UnboundedSender<CallEvent>>>,
    has_received: Cell<bool>,
    silent_for: Cell<Duration>,
    is_ping_sent: Cell<bool>,
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
            is_lost: Cell::new(false),
            lost: Notify::new(),
            call_registered: has_work,
        }
    }

    /// Node of the gate.
    pub fn gate(&self) -> &NodeId {
        &self.gate
    }

    /// Whether the link has been given up.
    pub fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Waits until the link is given up.
    pub(super) async fn wait_until_lost(&self) {
        self.lost.notified().await;
        // Each of the link's tasks waits here.
        self.lost.notify_one();
    }

    /// Incarnation of the gate's node.
    pub fn incarnation(&self) -> NodeIncarnation {
        self.incarnation
    }

    /// Queues a message.
    pub fn send(&self, message: LinkMessage) {
        self.sender.send(message);
    }

    /// Routes a call's messages from this link to the returned channel.
    pub fn register_call(&self, sequence: u64) -> UnboundedReceiver<CallEvent> {
        let (sender, receiver) = unbounded_channel();
        if self.is_lost.get() {
            // The receiver is fresh, so this can't fail.
            let _ = sender.send(CallEvent::LinkLost);
        }
        self.calls.borrow_mut().insert(sequence, sender);
        self.call_registered.notify_one();
        receiver
    }

    /// Ends the routing of a call's messages.
    pub fn unregister_call(&self, sequence: u64) {
        self.calls.borrow_mut().remove(&sequence);
    }

    /// Whether calls are outstanding.
    pub(super) fn has_calls(&self) -> bool {
        !self.calls.borrow().is_empty()
    }

    fn deliver(&self, sequence: u64, message: LinkMessage) {
        if let Some(call) = self.calls.borrow().get(&sequence) {
            // A call that ended meanwhile needs the message no more.
            let _ = call.send(CallEvent::Message(Box::new(message)));
        }
    }

    /// Gives the link up and tells its calls.
    pub(super) fn mark_lost(&self) {
        if self.is_lost.replace(true) {
            return;
        }
        for call in self.calls.borrow().values() {
            let _ = call.send(CallEvent::LinkLost);
        }
        self.lost.notify_one();
    }

    /// Counts one look of the watchdog; returns whether the link has just been
    /// given up.
    ///
    /// A look counts as `interval` however late it comes. A thread that was
    /// held up itself has not read what came, and must not take its own delay
    /// for the peer's silence.
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
            self.send(LinkMessage::Ping(LinkPing { load: None }));
        }
        silent_for >= PING_AFTER_SILENCE + PONG_TIMEOUT
    }
}

/// Delivers what comes over an in-process link until it closes.
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

/// Delivers what comes over a connection until it ends or the link is given up.
pub(super) async fn receive_remote(
    link: Rc<CallLink>,
    mut stream: SplitStream<PeerFramed>,
    upstream_events: UnboundedSender<(NodeId, UpstreamEvent)>,
) {
    loop {
        let frame = tokio::select! {
            frame = read_frame(&mut stream) => frame,
            () = link.wait_until_lost() => break,
        };
        let Ok(Some(message)) = frame else {
            break;
        };
        handle_message(&link, message, &upstream_events);
    }
    link.mark_lost();
    // The pool may be gone already.
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
        LinkMessage::Pong(pong) => (None, pong.load),
        LinkMessage::Leaving(_) => {
            let _ = upstream_events.send((link.gate.clone(), UpstreamEvent::Leaving));
            (None, None)
        }
        // Messages that only an ingress sends.
        LinkMessage::Open(_)
        | LinkMessage::RequestChunk(_)
        | LinkMessage::Cancel(_)
        | LinkMessage::Resume(_)
        | LinkMessage::Acknowledge(_)
        | LinkMessage::Ping(_) => (None, None),
    };
    if let Some(load) = load {
        let _ = upstream_events.send((link.gate.clone(), UpstreamEvent::Load(load)));
    }
    if let Some(sequence) = sequence {
        link.deliver(sequence, message);
    }
}
