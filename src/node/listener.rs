//! Listener for callers and the threads that serve them.

use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc::UnboundedSender;

use crate::control::state::NodeIdentity;
use crate::gate::GateCommand;
use crate::ingress::{
    IngressShared, IngressWorker, close_unused_links, follow_notices, serve_request,
};
use crate::link::pool::{LinkIdentity, LinkPool};
use crate::options::NodeOptions;

/// Most header fields of a request.
const MAX_HEADERS: usize = 96;
/// Most bytes of a request head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Starts the ingress on threads of its own.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub(super) fn start_ingress(
    options: &NodeOptions,
    identity: &NodeIdentity,
    listener: TcpListener,
    shared: &Arc<IngressShared>,
    gate: &UnboundedSender<GateCommand>,
) -> io::Result<Server> {
    let next_worker = Arc::new(AtomicU32::new(0));
    let (shared, gate) = (Arc::clone(shared), gate.clone());
    let identity = identity.clone();
    let factory = async move || {
        let link_identity = LinkIdentity {
            node: identity.node.clone(),
            incarnation: identity.incarnation,
            worker: next_worker.fetch_add(1, Ordering::Relaxed),
        };
        let worker = new_worker(&shared, &gate, link_identity);
        web::App::new()
            .state(worker)
            .default_service(web::to(serve_request))
    };
    let limits = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES);
    let stop_seconds = u16::try_from(options.drain_limit.as_secs()).unwrap_or(u16::MAX);
    let stop_limit = Seconds(stop_seconds);
    let server = web::HttpServer::new(factory)
        .workers(usize::try_from(options.threads.get()).unwrap_or(1))
        .config(SharedCfg::new("callers").add(limits))
        .disable_signals()
        .shutdown_timeout(stop_limit)
        .listen(listener)?
        .run();
    Ok(server)
}

fn new_worker(
    shared: &Arc<IngressShared>,
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
    ntex::rt::spawn(follow_notices(Arc::clone(shared), notices));
    ntex::rt::spawn(close_unused_links(Arc::clone(shared), Rc::clone(&pool)));
    Rc::new(IngressWorker {
        shared: Arc::clone(shared),
        pool,
        rng: RefCell::new(StdRng::from_os_rng()),
    })
}
