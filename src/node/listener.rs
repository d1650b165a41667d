//! Threads that serve callers, and the gate on the first of them.

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
use crate::ingress::{IngressState, IngressWorker, apply_upstream_notices, close_unused_links};
use crate::link::pool::{LinkIdentity, LinkPool};

/// Pause after the listener failed, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What the traffic threads are started with.
pub(super) struct TrafficSettings {
    /// This node.
    pub(super) node: NodeId,
    /// Its incarnation.
    pub(super) incarnation: NodeIncarnation,
    /// Callers' listener.
    pub(super) listener: StdTcpListener,
    /// State that the threads share.
    pub(super) shared: Arc<IngressState>,
    /// Orders to the gate.
    pub(super) gate: UnboundedSender<GateCommand>,
}

/// Has an ingress serve callers on each of the threads.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub(super) fn start_ingress(settings: &TrafficSettings, threads: &[Arbiter]) -> io::Result<()> {
    settings.listener.set_nonblocking(true)?;
    for (number, thread) in (0..).zip(threads) {
        let listener = settings.listener.try_clone()?;
        let identity = LinkIdentity {
            node: settings.node.clone(),
            incarnation: settings.incarnation,
            worker: number,
        };
        let (shared, gate) = (Arc::clone(&settings.shared), settings.gate.clone());
        thread.handle().spawn(async move {
            let worker = new_worker(&shared, &gate, identity);
            ntex::rt::spawn(async move {
                if let Err(error) = accept_callers(worker, listener).await {
                    log::error!(target: "ingress", "callers' listener lost: {error}");
                }
            });
        });
    }
    Ok(())
}

/// Accepts callers until a planned stop closes the ingress.
async fn accept_callers(worker: Rc<IngressWorker>, listener: StdTcpListener) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = worker.shared.wait_until_closed() => return Ok(()),
        };
        match accepted {
            Ok((stream, _)) => {
                ntex::rt::spawn(serve_connection(Rc::clone(&worker), stream));
            }
            Err(error) => {
                log::warn!(target: "ingress", "caller not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn new_worker(
    shared: &Arc<IngressState>,
    gate: &UnboundedSender<GateCommand>,
    identity: LinkIdentity,
) -> Rc<IngressWorker> {
    let gate = gate.clone();
    let local = Rc::new(move |sender, receiver, hello| {
        // A gate that has ended drops the link, which the ingress notices.
        let _ = gate.send(GateCommand::AcceptLocal {
            sender,
            receiver,
            hello,
        });
    });
    let (pool, notices) = LinkPool::new(identity, local);
    ntex::rt::spawn(apply_upstream_notices(Arc::clone(shared), notices));
    ntex::rt::spawn(close_unused_links(Arc::clone(shared), Rc::clone(&pool)));
    Rc::new(IngressWorker {
        shared: Arc::clone(shared),
        pool,
        rng: RefCell::new(StdRng::from_os_rng()),
    })
}
