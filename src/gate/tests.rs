use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use assert_matches::assert_matches;
use ntex::web::{self, App, HttpResponse, test};

use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::fields::OWN_DIALECT;
use crate::ids::{ConnectionCount, SlotCount};
use crate::link::endpoint::message_channel;
use crate::link::messages::{CallReference, CallResume, CancelReply, ResumeState};
use crate::link::window::{INITIAL_WINDOW_BYTES, SendWindow};

/// Gate with a backend server of one slot, and a link to it in memory.
struct GateFixture {
    commands: UnboundedSender<GateCommand>,
    sender: LinkSender,
    receiver: LinkReceiver,
    runs: Arc<AtomicU32>,
    _backend: test::TestServer,
}

impl GateFixture {
    async fn start() -> Self {
        let runs = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&runs);
        let backend = test::server(async move || {
            let counter = Arc::clone(&counter);
            App::new().default_service(web::to(move |request: web::HttpRequest| {
                let counter = Arc::clone(&counter);
                async move {
                    counter.fetch_add(1, Ordering::SeqCst);
                    if request.path() == "/slow" {
                        ntex::time::sleep(ntex::time::Millis(200)).await;
                    }
                    HttpResponse::Ok().body("done")
                }
            }))
        })
        .await;
        let (commands, receiver) = unbounded_channel();
        let (status, _) = tokio::sync::watch::channel(GateStatus::default());
        let incarnation = NodeIncarnation::try_from(7).unwrap();
        let settings = GateSettings {
            dialect: &OWN_DIALECT,
            admission: AdmissionOptions::default(),
            readings_per_second: 0.0,
            metrics: Arc::default(),
        };
        ntex::rt::spawn(run_gate(incarnation, settings, receiver, status));
        commands
            .send(GateCommand::SetBackend {
                warmup_left: Duration::ZERO,
                target: BackendTarget {
                    id: "b1".parse().unwrap(),
                    service: "slotbook".parse().unwrap(),
                    address: backend.addr(),
                    slots: SlotCount::try_from(1).unwrap(),
                    connections: ConnectionCount::try_from(8).unwrap(),
                    health_path: None,
                },
            })
            .unwrap();
        let (sender, receiver) = open_link(&commands);
        Self {
            commands,
            sender,
            receiver,
            runs,
            _backend: backend,
        }
    }

    fn open(&self, sequence: u64, path: &str) {
        self.sender.send(LinkMessage::Open(CallOpen {
            sequence,
            service: "slotbook".to_string(),
            method: "POST".to_string(),
            path: path.to_string(),
            time_left_us: 5_000_000,
            attempts_left: 1,
            is_body_complete: true,
            ..CallOpen::default()
        }));
    }

    fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

fn open_link(commands: &UnboundedSender<GateCommand>) -> (LinkSender, LinkReceiver) {
    let (sender, gate_receiver) = message_channel();
    let (gate_sender, receiver) = message_channel();
    let hello = LinkHello {
        incarnation: 1,
        ..LinkHello::default()
    };
    commands
        .send(GateCommand::AcceptLocal {
            sender: gate_sender,
            receiver: gate_receiver,
            hello,
        })
        .unwrap();
    (sender, receiver)
}

fn resume(sequence: u64) -> LinkMessage {
    LinkMessage::Resume(CallResume {
        sequence,
        has_head: false,
        response_bytes_received: 0,
    })
}

#[ntex::test]
async fn short_answer_comes_in_one_frame_with_the_load() {
    let mut fixture = GateFixture::start().await;
    fixture.open(1, "/");
    let answer = assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(answer)) => answer
    );
    assert_eq!((answer.status, &answer.body[..]), (200, &b"done"[..]));
    assert!(answer.is_body_complete && answer.load.is_some());
}

#[ntex::test]
async fn cancelled_call_that_waited_never_starts() {
    let mut fixture = GateFixture::start().await;
    fixture.open(1, "/slow");
    fixture.open(2, "/");
    fixture
        .sender
        .send(LinkMessage::Cancel(CallReference { sequence: 2 }));
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::CancelReply(CancelReply {
            sequence: 2,
            is_not_run: true
        }))
    );
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(_))
    );
    // The original comes once more, as after a resend.
    fixture.open(2, "/");
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Refusal(_)));
    assert_eq!(fixture.runs(), 1);
}

#[ntex::test]
async fn cancelled_call_at_work_is_not_called_not_run() {
    let mut fixture = GateFixture::start().await;
    fixture.open(1, "/slow");
    while fixture.runs() == 0 {
        ntex::time::sleep(ntex::time::Millis(1)).await;
    }
    fixture
        .sender
        .send(LinkMessage::Cancel(CallReference { sequence: 1 }));
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::CancelReply(CancelReply {
            is_not_run: false,
            ..
        }))
    );
}

#[ntex::test]
async fn resume_before_the_original_bars_it() {
    let mut fixture = GateFixture::start().await;
    fixture.sender.send(resume(1));
    let reply = assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResumeReply(reply)) => reply
    );
    assert_eq!(reply.state(), ResumeState::NeverSeen);
    fixture.open(1, "/");
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Refusal(_)));
    assert_eq!(fixture.runs(), 0);
}

#[ntex::test]
async fn resumed_call_gets_its_answer_on_the_new_link_and_runs_once() {
    let mut fixture = GateFixture::start().await;
    fixture.open(1, "/slow");
    let (sender, mut receiver) = open_link(&fixture.commands);
    while fixture.runs() == 0 {
        ntex::time::sleep(ntex::time::Millis(1)).await;
    }
    sender.send(resume(1));
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResumeReply(_)));
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResponseStart(_)));
    // The answer is kept until it is acknowledged.
    fixture.sender.send(resume(1));
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResumeReply(_))
    );
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(_))
    );
    assert_eq!(fixture.runs(), 1);
}

/// Request's body that the gate had consumed and the ingress thus no longer
/// keeps, when the link was lost before the answer came.
#[ntex::test]
async fn kept_answer_is_sent_again_without_the_consumed_request() {
    let mut fixture = GateFixture::start().await;
    let body = bytes::Bytes::from_static(b"order");
    fixture.sender.send(LinkMessage::Open(CallOpen {
        sequence: 1,
        service: "slotbook".to_string(),
        method: "POST".to_string(),
        path: "/".to_string(),
        time_left_us: 5_000_000,
        attempts_left: 1,
        body: body.clone(),
        is_body_complete: true,
        ..CallOpen::default()
    }));
    while !matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(_))
    ) {}
    let mut window = SendWindow::new(INITIAL_WINDOW_BYTES);
    window.record_sent(body.clone(), true);
    window.apply_credit(body.len() as u64);

    let (sender, mut receiver) = open_link(&fixture.commands);
    sender.send(resume(1));
    let reply = assert_matches!(
        receiver.recv().await,
        Some(LinkMessage::ResumeReply(reply)) => reply
    );
    assert_eq!(reply.state(), ResumeState::Known);
    assert_eq!(
        window.resend_from(reply.request_bytes_received),
        Some(Vec::new())
    );
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResponseStart(_)));
}

#[ntex::test]
async fn draining_gate_tells_links_and_refuses_new_calls() {
    let mut fixture = GateFixture::start().await;
    fixture.open(1, "/slow");
    while fixture.runs() == 0 {
        ntex::time::sleep(ntex::time::Millis(1)).await;
    }
    fixture.commands.send(GateCommand::Drain).unwrap();
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Leaving(_)));
    fixture.open(2, "/");
    let refusal = assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::Refusal(refusal)) => refusal
    );
    assert_eq!(refusal.kind, ErrorKind::Draining.code());
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(_))
    );
    assert_eq!(fixture.runs(), 1);
}

#[ntex::test]
async fn cancel_that_meets_a_refusal_is_answered_not_run() {
    let mut fixture = GateFixture::start().await;
    fixture.commands.send(GateCommand::Drain).unwrap();
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Leaving(_)));
    fixture.open(1, "/");
    fixture
        .sender
        .send(LinkMessage::Cancel(CallReference { sequence: 1 }));
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Refusal(_)));
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::CancelReply(CancelReply {
            is_not_run: true,
            ..
        }))
    );
}

#[ntex::test]
async fn resumed_call_gets_its_credit_again() {
    let mut fixture = GateFixture::start().await;
    let open = CallOpen {
        sequence: 1,
        service: "slotbook".to_string(),
        method: "POST".to_string(),
        path: "/".to_string(),
        time_left_us: 300_000,
        body_length: Some(1_000_000),
        ..CallOpen::default()
    };
    fixture.sender.send(LinkMessage::Open(open));
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Credit(_)));
    let (sender, mut receiver) = open_link(&fixture.commands);
    sender.send(resume(1));
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResumeReply(_)));
    // Without it the call would wait for its time limit and be aborted.
    assert_matches!(receiver.recv().await, Some(LinkMessage::Credit(_)));
}
