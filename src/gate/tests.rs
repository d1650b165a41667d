mod ranks;
mod succession;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use assert_matches::assert_matches;
use ntex::web::{self, App, HttpResponse, test};

use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::fields::DEFAULT_DIALECT;
use crate::ids::ConnectionCount;
use crate::link::endpoint::message_channel;
use crate::link::messages::{
    CallReference, CallResume, CancelReply, QuarantineRecord, QuarantineUpdate, ResumeState,
};
use crate::link::window::{INITIAL_WINDOW_BYTES, SendWindow};

/// Gate with a backend server of one slot, and an in-process link to it.
struct GateFixture {
    commands: UnboundedSender<GateCommand>,
    sender: LinkSender,
    receiver: LinkReceiver,
    runs: Arc<AtomicU32>,
    _backend: test::TestServer,
}

impl GateFixture {
    async fn start() -> Self {
        Self::start_with_polls(0.0).await
    }

    /// The backend server's health path says that it leaves; nothing else does.
    async fn start_with_polls(load_polls_per_second: f64) -> Self {
        Self::start_with_commands(load_polls_per_second, []).await
    }

    /// Gate whose zone is evacuated before its backend server is known.
    async fn start_evacuated(load_polls_per_second: f64) -> Self {
        let commands = [GateCommand::SetEvacuated(true)];
        Self::start_with_commands(load_polls_per_second, commands).await
    }

    async fn start_with_commands(
        load_polls_per_second: f64,
        first_commands: impl IntoIterator<Item = GateCommand>,
    ) -> Self {
        let runs = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&runs);
        let backend = test::server(async move || {
            let counter = Arc::clone(&counter);
            App::new().default_service(web::to(move |request: web::HttpRequest| {
                let counter = Arc::clone(&counter);
                async move {
                    if request.path() == "/health" {
                        return HttpResponse::Ok()
                            .header("currantlift-leaving", "1")
                            .finish();
                    }
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
            quarantine: Arc::default(),
            resource_limits: ResourceLimits::default(),
            queue_budget: Arc::default(),
            dialect: &DEFAULT_DIALECT,
            admission: AdmissionOptions::default(),
            load_polls_per_second,
            warm_up_tolerance: WarmUpTolerance {
                overage: 1.0,
                slack: 0.0,
            },
            metrics: Arc::default(),
        };
        ntex::rt::spawn(run_gate(incarnation, settings, receiver, status));
        for command in first_commands {
            commands.send(command).unwrap();
        }
        commands
            .send(GateCommand::SetBackend {
                warmup_left: Duration::ZERO,
                rate_limit: None,
                warm_up: None,
                target: BackendTarget {
                    id: "b1".parse().unwrap(),
                    key: 1.into(),
                    states_its_start: true,
                    service: "slotbook".parse().unwrap(),
                    address: backend.addr(),
                    slots: SlotCount::try_from(1).unwrap(),
                    max_connections: ConnectionCount::try_from(8).unwrap(),
                    health_path: Some("/health".to_string()),
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

    fn send_open(&self, sequence: u64, path: &str) {
        let open = open_message(sequence, path);
        self.sender.send(LinkMessage::Open(open));
    }

    fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

fn open_message(sequence: u64, path: &str) -> CallOpen {
    CallOpen {
        sequence,
        service: "slotbook".to_string(),
        method: "POST".to_string(),
        path: path.to_string(),
        time_left_us: 5_000_000,
        attempts_left: 1,
        is_body_complete: true,
        ..CallOpen::default()
    }
}

fn open_link(commands: &UnboundedSender<GateCommand>) -> (LinkSender, LinkReceiver) {
    let (sender, gate_receiver) = message_channel(&Arc::default());
    let (gate_sender, receiver) = message_channel(&Arc::default());
    let hello = LinkHello {
        incarnation: 1,
        ..LinkHello::default()
    };
    commands
        .send(GateCommand::AcceptLocalLink {
            sender: gate_sender,
            receiver: gate_receiver,
            hello,
        })
        .unwrap();
    (sender, receiver)
}

fn resume_message(sequence: u64) -> LinkMessage {
    LinkMessage::Resume(CallResume {
        sequence,
        has_head: false,
        response_bytes_received: 0,
    })
}

#[ntex::test]
async fn short_response_is_sent_in_one_frame_with_load() {
    let mut fixture = GateFixture::start().await;
    fixture.send_open(1, "/");
    let response = assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(response)) => response
    );
    assert_eq!((response.status, &response.body[..]), (200, &b"done"[..]));
    assert!(response.is_body_complete && response.load.is_some());
}

#[ntex::test]
async fn cancelled_queued_call_never_starts() {
    let mut fixture = GateFixture::start().await;
    fixture.send_open(1, "/slow");
    fixture.send_open(2, "/");
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
    // The open message arrives once more, as after a resend.
    fixture.send_open(2, "/");
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Refusal(_)));
    assert_eq!(fixture.runs(), 1);
}

#[ntex::test]
async fn cancelling_a_running_call_is_not_reported_as_not_run() {
    let mut fixture = GateFixture::start().await;
    fixture.send_open(1, "/slow");
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
async fn resume_before_open_rejects_the_late_open() {
    let mut fixture = GateFixture::start().await;
    fixture.sender.send(resume_message(1));
    let reply = assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResumeReply(reply)) => reply
    );
    assert_eq!(reply.state(), ResumeState::NeverSeen);
    fixture.send_open(1, "/");
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Refusal(_)));
    assert_eq!(fixture.runs(), 0);
}

#[ntex::test]
async fn resumed_call_gets_its_response_on_the_new_link_and_runs_once() {
    let mut fixture = GateFixture::start().await;
    fixture.send_open(1, "/slow");
    let (sender, mut receiver) = open_link(&fixture.commands);
    while fixture.runs() == 0 {
        ntex::time::sleep(ntex::time::Millis(1)).await;
    }
    sender.send(resume_message(1));
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResumeReply(_)));
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResponseStart(_)));
    // The response is kept until it is acknowledged.
    fixture.sender.send(resume_message(1));
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

/// Guards against a resume that requests body bytes which the ingress no longer
/// keeps: the gate had consumed them, and the link was lost before the response
/// arrived.
#[ntex::test]
async fn kept_response_is_resent_without_the_consumed_request_body() {
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
    sender.send(resume_message(1));
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
async fn draining_gate_notifies_links_and_refuses_new_calls() {
    let mut fixture = GateFixture::start().await;
    fixture.send_open(1, "/slow");
    while fixture.runs() == 0 {
        ntex::time::sleep(ntex::time::Millis(1)).await;
    }
    fixture.commands.send(GateCommand::Drain).unwrap();
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Leaving(_)));
    fixture.send_open(2, "/");
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

/// Guards against suspects of unknown outcome that only waited for a trial when their
/// gate's node stopped.
#[ntex::test]
async fn suspect_that_waits_for_its_trial_is_refused_when_the_gate_drains() {
    let mut fixture = GateFixture::start().await;
    let digest = bytes::Bytes::from_static(&[7; 16]);
    fixture
        .sender
        .send(LinkMessage::Quarantine(QuarantineUpdate {
            records: vec![QuarantineRecord {
                fingerprint: digest.clone(),
                head: digest.clone(),
                shared_crashes: vec![1],
                service: "slotbook".to_string(),
                ..QuarantineRecord::default()
            }],
        }));
    for sequence in 1..=2 {
        let mut open = open_message(sequence, "/slow");
        open.head_digest = digest.clone();
        open.fingerprint = digest.clone();
        fixture.sender.send(LinkMessage::Open(open));
    }
    while fixture.runs() == 0 {
        ntex::time::sleep(ntex::time::Millis(1)).await;
    }
    fixture.commands.send(GateCommand::Drain).unwrap();
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Leaving(_)));
    let refusal = assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::Refusal(refusal)) => refusal
    );
    let expected = (2, ErrorKind::Draining.code());
    assert_eq!((refusal.sequence, &refusal.kind[..]), expected);
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(_))
    );
    assert_eq!(fixture.runs(), 1);
}

#[ntex::test]
async fn cancel_after_refusal_gets_a_not_run_reply() {
    let mut fixture = GateFixture::start().await;
    fixture.commands.send(GateCommand::Drain).unwrap();
    assert_matches!(fixture.receiver.recv().await, Some(LinkMessage::Leaving(_)));
    fixture.send_open(1, "/");
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
async fn credit_is_resent_to_a_resumed_call() {
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
    sender.send(resume_message(1));
    assert_matches!(receiver.recv().await, Some(LinkMessage::ResumeReply(_)));
    // Without the credit, the call would wait until its time limit and be
    // aborted.
    assert_matches!(receiver.recv().await, Some(LinkMessage::Credit(_)));
}

/// A gate that was paused reads calls and their cancellations at the same moment.
#[ntex::test]
async fn call_cancelled_before_the_gate_read_it_does_not_run() {
    let mut fixture = GateFixture::start().await;
    fixture.send_open(1, "/");
    fixture
        .sender
        .send(LinkMessage::Cancel(CallReference { sequence: 1 }));
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::CancelReply(CancelReply {
            sequence: 1,
            is_not_run: true
        }))
    );
    ntex::time::sleep(ntex::time::Millis(50)).await;
    assert_eq!(fixture.runs(), 0);
}

#[test]
fn stated_slots_bound_the_calls_up_to_those_announced() {
    let slots = |count: u64| SlotCount::try_from(count).unwrap();
    for (announced, stated, expected) in [(6, 4, 4), (6, 9, 6), (6, 0, 6), (6, 6, 6)] {
        assert_eq!(usable_slots(slots(announced), stated), slots(expected));
    }
}

/// A gate that has restarted has forgotten that its backend server left, and a late
/// heartbeat calls it ready. The first load poll tells.
#[ntex::test]
async fn backend_server_that_left_before_the_gate_started_gets_no_call() {
    let mut fixture = GateFixture::start_with_polls(30.0).await;
    let notice = tokio::time::timeout(Duration::from_secs(5), fixture.receiver.recv()).await;
    assert_matches!(notice, Ok(Some(LinkMessage::Leaving(_))));
    fixture.send_open(1, "/");
    let refusal = assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::Refusal(refusal)) => refusal
    );
    assert_eq!(refusal.kind, ErrorKind::Draining.code());
    assert_eq!(fixture.runs(), 0);
}

async fn next_refusal(fixture: &mut GateFixture) -> crate::link::messages::CallRefusal {
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::Refusal(refusal)) => refusal
    )
}

/// A zone that is evacuated must lose neither the runs in progress nor the calls that
/// wait: those can still be served in another zone.
#[ntex::test]
async fn gate_of_an_evacuated_zone_refuses_new_and_queued_calls_and_ends_runs() {
    let mut fixture = GateFixture::start().await;
    fixture.send_open(1, "/slow");
    while fixture.runs() == 0 {
        ntex::time::sleep(ntex::time::Millis(1)).await;
    }
    fixture.send_open(2, "/");
    ntex::time::sleep(ntex::time::Millis(20)).await;
    let evacuate = |is_evacuated| GateCommand::SetEvacuated(is_evacuated);
    fixture.commands.send(evacuate(true)).unwrap();
    let queued = next_refusal(&mut fixture).await;
    assert_eq!((queued.sequence, &*queued.kind), (2, "zone-evacuated"));
    fixture.send_open(3, "/");
    let new = next_refusal(&mut fixture).await;
    assert_eq!((new.sequence, &*new.kind), (3, "zone-evacuated"));
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(head)) if head.sequence == 1 && head.status == 200
    );
    assert_eq!(fixture.runs(), 1);
    fixture.commands.send(evacuate(false)).unwrap();
    fixture.send_open(4, "/");
    assert_matches!(
        fixture.receiver.recv().await,
        Some(LinkMessage::ResponseStart(head)) if head.sequence == 4
    );
}

/// A status check is a request, too, and may count against the limit of a cold server.
#[ntex::test]
async fn backend_server_in_an_evacuated_zone_gets_no_load_poll() {
    let mut fixture = GateFixture::start_evacuated(30.0).await;
    let notice = tokio::time::timeout(Duration::from_millis(400), fixture.receiver.recv()).await;
    assert!(notice.is_err(), "polled: {notice:?}");
    (fixture.commands)
        .send(GateCommand::SetEvacuated(false))
        .unwrap();
    // The health path says that the backend server leaves.
    let notice = tokio::time::timeout(Duration::from_secs(5), fixture.receiver.recv()).await;
    assert_matches!(notice, Ok(Some(LinkMessage::Leaving(_))));
}
