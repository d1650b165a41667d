//! Stand-in for the network between two nodes: forwards TCP connections and UDP
//! datagrams to one target and simulates faults of the path.
//!
//! It reads commands from standard input, one a line, and exits when that is
//! closed. `silence`, `hold`, `release` and `cut` apply to the connections open
//! at that moment; new ones are forwarded, as by a middlebox that has lost its
//! connection table.

mod command;
mod options;
mod stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::io::{self, BufRead};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::watch;

use crate::options::options_from_process;
use command::RelayCommand;
use options::{RELAY_COMMAND, RelayOptions};
use stream::{FlowMode, forward_connection};

/// Retries if the assigned TCP port is in use for UDP.
const BIND_RETRIES: u32 = 16;
/// Size of a receive buffer, enough for any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Runs `standin-relay` with the flags and environment of this process.
pub fn main() -> ExitCode {
    let options = match options_from_process::<RelayOptions>(&RELAY_COMMAND) {
        Ok(options) => options,
        Err(code) => return code,
    };
    let system = ntex::rt::System::new("standin-relay", ntex::rt::DefaultRuntime);
    match system.block_on(run(options.listen)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-relay: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(listen: SocketAddr) -> io::Result<()> {
    let (listener, socket) = bind_tcp_and_udp(listen).await?;
    println!("{}", listener.local_addr()?);
    let relay = Rc::new(RelayState::default());
    ntex::rt::spawn(serve_connections(Rc::clone(&relay), listener));
    ntex::rt::spawn(forward_datagrams(Rc::clone(&relay), Rc::new(socket)));
    let mut commands = read_commands();
    while let Some(command) = commands.recv().await {
        relay.apply_command(command);
        // Confirms to the test that the command is in effect.
        println!("ok");
    }
    Ok(())
}

async fn bind_tcp_and_udp(listen: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut retries_left = BIND_RETRIES;
    loop {
        let listener = TcpListener::bind(listen).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if retries_left == 0 => return Err(error),
            Err(_) => retries_left -= 1,
        }
    }
}

/// Reads commands from standard input on a separate thread, as these reads block.
/// The channel closes with standard input.
fn read_commands() -> UnboundedReceiver<RelayCommand> {
    let (sender, receiver) = unbounded_channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines() {
            let Ok(line) = line else {
                return;
            };
            match line.parse() {
                Ok(command) if sender.send(command).is_err() => return,
                Ok(_) => {}
                Err(error) => eprintln!("standin-relay: {error}"),
            }
        }
    });
    receiver
}

#[derive(Debug, Default)]
struct RelayState {
    target: Cell<Option<SocketAddr>>,
    delay: Cell<Duration>,
    connection_modes: RefCell<Vec<watch::Sender<FlowMode>>>,
    refuses_connections: watch::Sender<bool>,
}

impl RelayState {
    fn apply_command(&self, command: RelayCommand) {
        match command {
            RelayCommand::Target(target) => self.target.set(Some(target)),
            RelayCommand::Delay(delay) => self.delay.set(delay),
            RelayCommand::Silence => self.set_flow_mode(FlowMode::Discarding),
            RelayCommand::Hold => self.set_flow_mode(FlowMode::Paused),
            RelayCommand::Release => self.set_flow_mode(FlowMode::Forwarding),
            RelayCommand::Cut => self.set_flow_mode(FlowMode::Closed),
            RelayCommand::Refuse => _ = self.refuses_connections.send_replace(true),
            RelayCommand::Accept => _ = self.refuses_connections.send_replace(false),
        }
    }

    /// Sets the mode of all open connections. One that discards its bytes keeps
    /// doing so until it is closed.
    fn set_flow_mode(&self, mode: FlowMode) {
        let mut mode_senders = self.connection_modes.borrow_mut();
        mode_senders.retain(|mode_sender| !mode_sender.is_closed());
        for mode_sender in mode_senders.iter() {
            mode_sender.send_if_modified(|current| {
                let is_changed = *current != FlowMode::Discarding || mode == FlowMode::Closed;
                if is_changed {
                    *current = mode;
                }
                is_changed
            });
        }
    }
}

/// Accepts connections. While they are to be refused, the listener is closed,
/// and bound to the same address again afterwards.
async fn serve_connections(relay: Rc<RelayState>, mut listener: TcpListener) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut refusal_changes = relay.refuses_connections.subscribe();
    loop {
        tokio::select! {
            () = accept_connections(&relay, &listener) => return Ok(()),
            _ = refusal_changes.wait_for(|is_refusing| *is_refusing) => {}
        }
        drop(listener);
        // Can't fail: `relay` keeps the sender alive.
        let _ = refusal_changes.wait_for(|is_refusing| !*is_refusing).await;
        listener = TcpListener::bind(address).await?;
    }
}

async fn accept_connections(relay: &RelayState, listener: &TcpListener) {
    while let Ok((caller, _)) = listener.accept().await {
        let Some(target) = relay.target.get() else {
            continue;
        };
        let (sender, mode) = watch::channel(FlowMode::Forwarding);
        relay.connection_modes.borrow_mut().push(sender);
        let delay = relay.delay.get();
        ntex::rt::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                forward_connection(caller, server, mode, delay).await;
            }
        });
    }
}

/// Forwards datagrams to the target. Each sender has a separate socket, so that
/// the target's replies can be told apart and returned to it.
async fn forward_datagrams(relay: Rc<RelayState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut target_sockets: BTreeMap<SocketAddr, Rc<UdpSocket>> = BTreeMap::new();
    loop {
        // A datagram that can't be received or sent is lost, as on a network.
        let Ok((size, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(target) = relay.target.get() else {
            continue;
        };
        if let Entry::Vacant(entry) = target_sockets.entry(sender)
            && let Ok(target_socket) = UdpSocket::bind((local_ip(&socket), 0)).await
        {
            let target_socket = Rc::new(target_socket);
            ntex::rt::spawn(forward_reply_datagrams(
                Rc::clone(&target_socket),
                Rc::clone(&socket),
                sender,
            ));
            entry.insert(target_socket);
        }
        if let Some(target_socket) = target_sockets.get(&sender) {
            let _ = target_socket.send_to(&buffer[..size], target).await;
        }
    }
}

/// Local address of a socket; loopback if it can't be read.
fn local_ip(socket: &UdpSocket) -> IpAddr {
    let address = socket.local_addr();
    address.map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |address| address.ip())
}

async fn forward_reply_datagrams(
    target_socket: Rc<UdpSocket>,
    socket: Rc<UdpSocket>,
    sender: SocketAddr,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((size, _)) = target_socket.recv_from(&mut buffer).await {
            let _ = socket.send_to(&buffer[..size], sender).await;
        }
    }
}
