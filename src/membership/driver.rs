//! Task that runs [`MembershipState`] on a UDP socket, a timer and TCP requests
//! to peers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::action::{MembershipAction, MembershipEvent};
use super::record::BackendRecord;
use super::state::{MembershipState, TICK_INTERVAL};
use crate::discovery::FleetContact;
use crate::evacuation::EvacuatedZones;
use crate::exchange::{ControlRequest, ControlTopic, PeerHello, send_request};

/// Datagrams beyond this size are truncated.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Time without a datagram of a member after which others are not heard. A member that
/// misses a confirmation is pinged, and pings, several times within it.
const CONTACT_TIME: Duration = Duration::from_secs(1);

/// Receiver of datagrams that are not membership's own.
pub type DatagramHandler = Rc<dyn Fn(SocketAddr, &[u8])>;

/// Handler for the datagrams that start with a byte that none of membership starts with.
type ForeignRoute = Rc<RefCell<Option<(u8, DatagramHandler)>>>;

/// Access to the running membership task; the task ends with its last handle.
#[derive(Clone)]
pub struct MembershipHandle {
    foreign_route: ForeignRoute,
    state: Rc<RefCell<MembershipState>>,
    clock: Rc<dyn Fn() -> Duration>,
    actions_sender: mpsc::UnboundedSender<Vec<MembershipAction>>,
}

impl MembershipHandle {
    /// State, for reading only: changes must go through the handle's methods.
    pub fn state(&self) -> &Rc<RefCell<MembershipState>> {
        &self.state
    }

    /// Passes received datagrams that start with `first_byte` to `handler` instead of
    /// membership. They don't count against its byte budget.
    pub fn route_datagrams(&self, first_byte: u8, handler: DatagramHandler) {
        *self.foreign_route.borrow_mut() = Some((first_byte, handler));
    }

    /// See [`MembershipState::join`].
    pub fn join(&self, addresses: &[SocketAddr]) {
        self.perform(|state, now| state.join(now, addresses));
    }

    /// See [`MembershipState::announce`].
    pub fn announce(&self, backend: BackendRecord, ttl: Duration) {
        self.perform(|state, now| state.announce(now, backend, ttl));
    }

    /// See [`MembershipState::withdraw`].
    pub fn withdraw(&self) {
        self.perform(MembershipState::withdraw);
    }

    /// See [`MembershipState::leave`].
    pub fn leave(&self) {
        self.perform(MembershipState::leave);
    }

    /// See [`MembershipState::set_head_version`].
    pub fn set_head_version(&self, version: u64) {
        self.perform(|state, now| state.set_head_version(now, version));
    }

    /// See [`MembershipState::set_evacuated_zones`].
    pub fn set_evacuated_zones(&self, zones: EvacuatedZones) {
        self.perform(|state, now| state.set_evacuated_zones(now, zones));
    }

    /// Other nodes as this node perceives them now.
    pub fn contact(&self) -> FleetContact {
        let now = (self.clock)();
        let state = self.state.borrow();
        let heard_at = state.last_heard_at();
        FleetContact {
            live_nodes: state.live_count(),
            hears_others: heard_at.is_some_and(|at| now.saturating_sub(at) < CONTACT_TIME),
        }
    }

    /// See [`MembershipState::confirm_config`].
    pub fn confirm_config(&self, confirmed_at: Duration) {
        self.perform(|state, now| state.confirm_config(now, confirmed_at));
    }

    /// See [`MembershipState::handle_sync`].
    pub fn handle_sync(&self, request: &Bytes) -> Bytes {
        let now = (self.clock)();
        self.state.borrow_mut().handle_sync(now, request)
    }

    fn perform(
        &self,
        update: impl FnOnce(&mut MembershipState, Duration) -> Vec<MembershipAction>,
    ) {
        let now = (self.clock)();
        let actions = update(&mut self.state.borrow_mut(), now);
        // Sending fails only if the task has ended because its event receiver was closed.
        let _ = self.actions_sender.send(actions);
    }
}

/// Spawns the membership task on the current thread.
///
/// It must be called within a tokio `LocalSet` or an ntex system. The task runs
/// until all its handles are dropped or the receiver of `events` is closed.
pub fn spawn_membership(
    state: Rc<RefCell<MembershipState>>,
    socket: UdpSocket,
    clock: impl Fn() -> Duration + 'static,
    events: mpsc::Sender<MembershipEvent>,
) -> MembershipHandle {
    let clock: Rc<dyn Fn() -> Duration> = Rc::new(clock);
    let (actions_sender, actions) = mpsc::unbounded_channel();
    let (replies_sender, replies) = mpsc::unbounded_channel();
    let hello = peer_hello(&state.borrow());
    let foreign_route = ForeignRoute::default();
    let driver = MembershipDriver {
        foreign_route: Rc::clone(&foreign_route),
        state: Rc::clone(&state),
        socket,
        clock: Rc::clone(&clock),
        events,
        replies_sender,
        hello,
    };
    tokio::task::spawn_local(driver.run(actions, replies));
    MembershipHandle {
        foreign_route,
        state,
        clock,
        actions_sender,
    }
}

fn peer_hello(state: &MembershipState) -> PeerHello {
    let own = state.own_record();
    PeerHello {
        node: own.node.to_string(),
        incarnation: own.incarnation.get(),
        is_call_link: false,
    }
}

struct MembershipDriver {
    foreign_route: ForeignRoute,
    state: Rc<RefCell<MembershipState>>,
    socket: UdpSocket,
    clock: Rc<dyn Fn() -> Duration>,
    events: mpsc::Sender<MembershipEvent>,
    replies_sender: mpsc::UnboundedSender<Option<Bytes>>,
    hello: PeerHello,
}

impl MembershipDriver {
    async fn run(
        self,
        mut actions: mpsc::UnboundedReceiver<Vec<MembershipAction>>,
        mut replies: mpsc::UnboundedReceiver<Option<Bytes>>,
    ) {
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            let next_actions = tokio::select! {
                _ = ticker.tick() => self.update_state(MembershipState::tick),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, from)) => self.handle_datagram(from, &buffer[..size]),
                    // Reports a peer's unreachable port; its probes will time out.
                    Err(_) => Vec::new(),
                },
                reply = replies.recv() => match reply.flatten() {
                    Some(reply) => self.update_state(|state, now| state.on_sync_reply(now, &reply)),
                    None => self.update_state(MembershipState::on_sync_failure),
                },
                requested = actions.recv() => match requested {
                    Some(requested) => requested,
                    None => return,
                },
            };
            if self.perform(next_actions).await.is_err() {
                return;
            }
        }
    }

    fn handle_datagram(&self, from: SocketAddr, payload: &[u8]) -> Vec<MembershipAction> {
        if let Some((first_byte, handler)) = &*self.foreign_route.borrow()
            && payload.first() == Some(first_byte)
        {
            handler(from, payload);
            return Vec::new();
        }
        self.update_state(|state, now| state.on_datagram(now, from, payload))
    }

    fn update_state(
        &self,
        update: impl FnOnce(&mut MembershipState, Duration) -> Vec<MembershipAction>,
    ) -> Vec<MembershipAction> {
        let now = (self.clock)();
        update(&mut self.state.borrow_mut(), now)
    }

    async fn perform(
        &self,
        actions: Vec<MembershipAction>,
    ) -> Result<(), mpsc::error::SendError<MembershipEvent>> {
        for action in actions {
            match action {
                MembershipAction::SendDatagram { to, payload } => {
                    // A datagram that can't be sent is treated as lost.
                    let _ = self.socket.send_to(&payload, to).await;
                }
                MembershipAction::RequestSync { peer, request } => self.request_sync(peer, request),
                MembershipAction::Notify(event) => self.events.send(event).await?,
            }
        }
        Ok(())
    }

    fn request_sync(&self, peer: SocketAddr, payload: Bytes) {
        let hello = self.hello.clone();
        let replies_sender = self.replies_sender.clone();
        tokio::task::spawn_local(async move {
            let request = ControlRequest {
                forward_to: Vec::new(),
                payload,
                topic: ControlTopic::Membership.into(),
                evacuated_zones: None,
            };
            let reply = send_request(peer, &hello, &request).await;
            // Sending fails only if the driver has ended.
            let _ = replies_sender.send(reply.ok().map(|reply| reply.payload));
        });
    }
}
