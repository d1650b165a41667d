//! Accepts the connections of callers on each worker thread.
//!
//! Each thread has an ingress worker with links of its own; all of them accept
//! from the same listening socket.

use std::cell::RefCell;
use std::io;
use std::net::TcpListener as StdTcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::rt::Arbiter;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;

use crate::gate::GateCommand;
use crate::ids::{NodeId, NodeIncarnation};
use crate::ingress::connection::serve_connection;
use crate::ingress::{
    IngressState, IngressWorker, apply_upstream_notices, close_unused_links,
    known_backend_statement,
};
use crate::link::endpoint::QueueBudget;
use crate::link::pool::{LinkIdentity, LinkPool};

/// Keeps a lasting failure, such as a lack of file descriptors, from causing a
/// busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of the worker threads, except for the index of each.
pub(super) struct WorkerSettings {
    pub(super) node_id: NodeId,
    pub(super) incarnation: NodeIncarnation,
    pub(super) caller_listener: StdTcpListener,
    /// State of the ingress that the threads share.
    pub(super) shared: Arc<IngressState>,
    pub(super) gate_commands: UnboundedSender<GateCommand>,
    /// Budget of the queues of all links.
    pub(super) queue_budget: Arc<QueueBudget>,
}

/// Starts an ingress worker on each of the threads, with the listener of each.
///
/// Takes the listening socket, so that it is closed once all threads have ended their
/// accept loops and connections in its queue are reset rather than left to hang.
///
/// # Errors
///
/// Fails if the listener can't be made non-blocking or duplicated.
pub(super) fn start_ingress(settings: WorkerSettings, threads: &[Arbiter]) -> io::Result<()> {
    let WorkerSettings {
        node_id,
        incarnation,
        caller_listener,
        shared,
        gate_commands,
        queue_budget,
    } = settings;
    caller_listener.set_nonblocking(true)?;
    for (worker_index, thread) in (0..).zip(threads) {
        let listener = caller_listener.try_clone()?;
        let identity = LinkIdentity {
            node: node_id.clone(),
            incarnation,
            worker: worker_index,
        };
        let (shared, gate_commands) = (Arc::clone(&shared), gate_commands.clone());
        let queue_budget = Arc::clone(&queue_budget);
        thread.handle().spawn(async move {
            let worker = new_worker(&shared, &gate_commands, identity, queue_budget);
            ntex::rt::spawn(async move {
                if let Err(error) = accept_connections(worker, listener).await {
                    log::error!(target: "ingress", "listener for callers failed; this thread accepts no connections: {error}");
                }
            });
        });
    }
    Ok(())
}

/// Accepts connections until a graceful shutdown closes the ingress; those that
/// wait to be accepted by then are still served.
async fn accept_connections(worker: Rc<IngressWorker>, listener: StdTcpListener) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = worker.shared.wait_until_closed() => return Ok(()),
        };
        match accepted {
            Ok((stream, _)) => {
                // Dropped without an answer, so that the caller knows that nothing was read.
                let Some(entry) = worker.shared.callers.enter().await else {
                    continue;
                };
                // Counted from here on, so that a stop waits for it before its task runs.
                let guard = worker.shared.track_connection();
                ntex::rt::spawn(serve_connection(Rc::clone(&worker), stream, entry, guard));
            }
            Err(error) => {
                log::warn!(target: "ingress", "failed to accept a connection of a caller; retrying: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn new_worker(
    shared: &Arc<IngressState>,
    gate_commands: &UnboundedSender<GateCommand>,
    identity: LinkIdentity,
    queue_budget: Arc<QueueBudget>,
) -> Rc<IngressWorker> {
    let gate_commands = gate_commands.clone();
    let connect_local = Rc::new(move |sender, receiver, hello| {
        // If the gate has ended, this drops the link; the ingress treats it as lost.
        let _ = gate_commands.send(GateCommand::AcceptLocalLink {
            sender,
            receiver,
            hello,
        });
    });
    let statements_source = Arc::clone(shared);
    let statement_lookup =
        Rc::new(move |node: &NodeId| known_backend_statement(&statements_source, node));
    let (pool, notices) = LinkPool::new(
        identity,
        connect_local,
        statement_lookup,
        Arc::clone(&shared.quarantine),
        queue_budget,
    );
    ntex::rt::spawn(apply_upstream_notices(Arc::clone(shared), notices));
    ntex::rt::spawn(close_unused_links(Arc::clone(shared), Rc::clone(&pool)));
    Rc::new(IngressWorker {
        shared: Arc::clone(shared),
        pool,
        rng: RefCell::new(StdRng::from_os_rng()),
    })
}
