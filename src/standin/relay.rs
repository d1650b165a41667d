//! Stand-in for what lies between two nodes: forwards TCP and UDP to one
//! target and can lose track of connections.
//!
//! It is steered by lines on standard input and ends when that closes. A
//! steering line applies to the connections open at that moment; new ones pass,
//! as with a middlebox that has lost its table.

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

/// Tries to find a port that is free for both TCP and UDP.
const BIND_RETRIES: u32 = 16;
/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Runs the stand-in with the settings of this process.
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
        // The answer tells the test that the command is in force.
        println!("ok");
    }
    Ok(())
}

async fn bind_tcp_and_udp(listen: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut tries = BIND_RETRIES;
    loop {
        let listener = TcpListener::bind(listen).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if tries == 0 => return Err(error),
            Err(_) => tries -= 1,
        }
    }
}

/// Reads standard input on a thread of its own.
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

    /// A silent stream stays silent for good.
    fn set_flow_mode(&self, mode: FlowMode) {
        let mut streams = self.connection_modes.borrow_mut();
        streams.retain(|stream| !stream.is_closed());
        for stream in streams.iter() {
            stream.send_if_modified(|current| {
                let is_changed = *current != FlowMode::Discarding || mode == FlowMode::Closed;
                if is_changed {
                    *current = mode;
                }
                is_changed
            });
        }
    }
}

/// Accepts connections; while they are refused, nobody listens.
async fn serve_connections(relay: Rc<RelayState>, mut listener: TcpListener) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut refusing = relay.refuses_connections.subscribe();
    loop {
        tokio::select! {
            () = accept_connections(&relay, &listener) => return Ok(()),
            _ = refusing.wait_for(|is_refusing| *is_refusing) => {}
        }
        drop(listener);
        // The sender lives in the state that this task holds.
        let _ = refusing.wait_for(|is_refusing| !*is_refusing).await;
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
            if let Ok(callee) = TcpStream::connect(target).await {
                forward_connection(caller, callee, mode, delay).await;
            }
        });
    }
}

/// Forwards datagrams. Each sender gets a socket of its own towards the target,
/// on which the answers come back.
async fn forward_datagrams(relay: Rc<RelayState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut ways: BTreeMap<SocketAddr, Rc<UdpSocket>> = BTreeMap::new();
    loop {
        // A datagram that can't be received or sent counts as lost.
        let Ok((size, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(target) = relay.target.get() else {
            continue;
        };
        if let Entry::Vacant(entry) = ways.entry(sender)
            && let Ok(way) = UdpSocket::bind((local_ip(&socket), 0)).await
        {
            let way = Rc::new(way);
            ntex::rt::spawn(forward_reply_datagrams(
                Rc::clone(&way),
                Rc::clone(&socket),
                sender,
            ));
            entry.insert(way);
        }
        if let Some(way) = ways.get(&sender) {
            let _ = way.send_to(&buffer[..size], target).await;
        }
    }
}

fn local_ip(socket: &UdpSocket) -> IpAddr {
    let address = socket.local_addr();
    address.map_or(IpAddr::V4(Ipv4Addr::LOCALHOST), |address| address.ip())
}

async fn forward_reply_datagrams(way: Rc<UdpSocket>, socket: Rc<UdpSocket>, sender: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((size, _)) = way.recv_from(&mut buffer).await {
            let _ = socket.send_to(&buffer[..size], sender).await;
        }
    }
}
