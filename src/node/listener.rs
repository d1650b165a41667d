//! Listener for callers and the threads that serve them.

use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use ntex::SharedCfg;
use ntex::http::error::{DecodeError, ResponseError};
use ntex::http::h1::control::Reason;
use ntex::http::h1::{Control, ControlAck, ProtocolError};
use ntex::http::{HttpService, HttpServiceConfig};
use ntex::io::Filter;
use ntex::server::{Config, Server};

use ntex::time::Seconds;
use ntex::web;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::mpsc::UnboundedSender;

use crate::control::state::NodeIdentity;
use crate::error::ErrorKind;
use crate::gate::GateCommand;
use crate::ingress::answer::failure_response;
use crate::ingress::{
    IngressShared, IngressWorker, close_unused_links, follow_notices, serve_request,
};
use crate::link::pool::{LinkIdentity, LinkPool};
use crate::options::NodeOptions;

/// Name of the listener in the library's log lines.
const LISTENER_NAME: &str = "callers";
/// Most header fields of a request.
const MAX_HEADERS: usize = 96;
/// Time for a caller to send a request's head.
///
/// A phone on a bad network needs seconds, and in a burst the thread may come
/// to a head that has long arrived only after a second.
const HEAD_TIMEOUT: Seconds = Seconds(10);
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
        .set_client_timeout(HEAD_TIMEOUT)
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEAD_BYTES);
    let stop_seconds = u16::try_from(options.drain_limit.as_secs()).unwrap_or(u16::MAX);
    let stop_limit = Seconds(stop_seconds);
    let config: SharedCfg = SharedCfg::new(LISTENER_NAME).add(limits).into();
    let server = ntex::server::build()
        .workers(usize::try_from(options.threads.get()).unwrap_or(1))
        .disable_signals()
        .shutdown_timeout(stop_limit)
        .listen(LISTENER_NAME, listener, async move |server: Config| {
            server.config(config.clone());
            HttpService::new(factory().await).h1_control(answer_control)
        })?
        .run();
    Ok(server)
}

/// Answers requests that the library finds malformed from the closed table.
async fn answer_control<F: Filter, E: ResponseError>(
    control: Control<F, E>,
) -> io::Result<ControlAck<F>> {
    let Control::Disconnect(Reason::ProtocolError(error)) = control else {
        return Ok(control.ack());
    };
    let kind = match error.err() {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            ErrorKind::HeadTooLarge
        }
        ProtocolError::Decode(_)
        | ProtocolError::SlowRequestTimeout
        | ProtocolError::SlowPayloadTimeout => ErrorKind::BadRequest,
        ProtocolError::Encode(_) | ProtocolError::ResponsePayload(_) => ErrorKind::Internal,
    };
    Ok(error.fail_with(failure_response(&kind.into())))
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
