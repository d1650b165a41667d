use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ntex::time::sleep;
use ntex::web::{self, App, HttpResponse, test};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::admission::AdmissionOptions;
use crate::backend::BackendTarget;
use crate::fields::DEFAULT_DIALECT;
use crate::gate::{GateCommand, GateSettings, GateStatus, run_gate};
use crate::ids::{ConnectionCount, NodeIncarnation, SlotCount};
use crate::link::endpoint::{LinkReceiver, LinkSender, message_channel};
use crate::link::messages::{CallOpen, LinkHello, LinkMessage};
use crate::metrics::NodeMetrics;
use crate::options::WarmUpTolerance;
use crate::resources::ResourceLimits;
use crate::routes::WarmUpSettings;

const RATE: f64 = 20.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 8.0;
const SECOND: Duration = Duration::from_secs(1);
/// Pause after two calls; at most 400 calls per second, fewer on a busy machine.
const CALL_PAUSE: Duration = Duration::from_millis(5);
/// Calls that a test must have offered in a second to exceed the limit of 38 clearly.
const MIN_OFFERED: usize = 60;
const RUN_TIME_MS: u32 = 10;

/// Backend server that states its warm-up time on its health path.
#[derive(Default)]
struct Upstream {
    warm_up_left_ms: AtomicU64,
    is_health_silent: std::sync::atomic::AtomicBool,
    /// Times of all requests, health polls included.
    arrivals: Mutex<Vec<Instant>>,
    health_polls: AtomicU64,
}

impl Upstream {
    fn set_warm_up_left(&self, left_ms: u64) {
        self.warm_up_left_ms.store(left_ms, Ordering::SeqCst);
    }

    fn arrivals_since(&self, start: Instant) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().unwrap();
        let recent = arrivals.iter().filter(|at| **at >= start);
        recent.copied().collect()
    }

    fn most_in_a_second_since(&self, start: Instant) -> usize {
        let arrivals = self.arrivals_since(start);
        let in_window = |from: &Instant| {
            let window = *from..*from + SECOND;
            arrivals.iter().filter(|at| window.contains(at)).count()
        };
        arrivals.iter().map(in_window).max().unwrap_or_default()
    }

    fn assert_limit_is_kept_since(&self, start: Instant) {
        let most = self.most_in_a_second_since(start);
        let allowed = RATE * OVERAGE + SLACK;
        assert!(most as f64 <= allowed, "{most} in a second of {allowed}");
    }
}

struct Fixture {
    upstream: Arc<Upstream>,
    server: test::TestServer,
    metrics: Arc<NodeMetrics>,
}

/// One process of the gate, with a link to it.
struct RunningGate {
    commands: UnboundedSender<GateCommand>,
    sender: LinkSender,
    receiver: LinkReceiver,
}

impl Fixture {
    async fn start(warm_up_left_ms: u64) -> Self {
        let upstream = Arc::new(Upstream::default());
        upstream.set_warm_up_left(warm_up_left_ms);
        let shared = Arc::clone(&upstream);
        let server = test::server(async move || {
            let shared = Arc::clone(&shared);
            App::new().default_service(web::to(move |request: web::HttpRequest| {
                let shared = Arc::clone(&shared);
                async move {
                    shared.arrivals.lock().unwrap().push(Instant::now());
                    if request.path() != "/health" {
                        sleep(ntex::time::Millis(RUN_TIME_MS)).await;
                        return HttpResponse::Ok().body("done");
                    }
                    shared.health_polls.fetch_add(1, Ordering::SeqCst);
                    if shared.is_health_silent.load(Ordering::SeqCst) {
                        sleep(SECOND * 10).await;
                    }
                    let left_ms = shared.warm_up_left_ms.load(Ordering::SeqCst);
                    let mut response = HttpResponse::Ok();
                    if left_ms > 0 {
                        response.header("currantlift-warm-up-left-ms", left_ms.to_string());
                    }
                    response.finish()
                }
            }))
        })
        .await;
        Self {
            upstream,
            server,
            metrics: Arc::default(),
        }
    }

    fn start_gate(&self, has_limit: bool) -> RunningGate {
        let (commands, receiver) = unbounded_channel();
        let (status, _) = tokio::sync::watch::channel(GateStatus::default());
        let settings = GateSettings {
            quarantine: Arc::default(),
            resource_limits: ResourceLimits::default(),
            queue_budget: Arc::default(),
            dialect: &DEFAULT_DIALECT,
            admission: AdmissionOptions {
                is_adaptive: false,
                ..AdmissionOptions::default()
            },
            load_polls_per_second: 0.0,
            warm_up_tolerance: WarmUpTolerance {
                overage: OVERAGE,
                slack: SLACK,
            },
            metrics: Arc::clone(&self.metrics),
        };
        let incarnation = NodeIncarnation::try_from(7).unwrap();
        ntex::rt::spawn(run_gate(incarnation, settings, receiver, status));
        let (sender, gate_receiver) = message_channel(&Arc::default());
        let (gate_sender, receiver) = message_channel(&Arc::default());
        let gate = RunningGate {
            commands,
            sender,
            receiver,
        };
        self.send_heartbeat(&gate, has_limit);
        let hello = LinkHello {
            incarnation: 1,
            ..LinkHello::default()
        };
        let accept = GateCommand::AcceptLocalLink {
            sender: gate_sender,
            receiver: gate_receiver,
            hello,
        };
        assert!(gate.commands.send(accept).is_ok());
        gate
    }

    /// Heartbeat that says warm, whatever the backend server's state is.
    fn send_heartbeat(&self, gate: &RunningGate, has_limit: bool) {
        let heartbeat = GateCommand::SetBackend {
            warmup_left: Duration::ZERO,
            rate_limit: None,
            warm_up: has_limit.then(|| WarmUpSettings {
                duration_ms: 5_000,
                rate: RATE.try_into().unwrap(),
            }),
            target: BackendTarget {
                id: "b1".parse().unwrap(),
                key: 1.into(),
                states_its_start: true,
                service: "slotbook".parse().unwrap(),
                address: self.server.addr(),
                slots: SlotCount::try_from(8).unwrap(),
                max_connections: ConnectionCount::try_from(8).unwrap(),
                health_path: Some("/health".to_string()),
            },
        };
        assert!(gate.commands.send(heartbeat).is_ok());
    }

    fn metric(&self, line_start: &str) -> Option<String> {
        let text = self.metrics.encode_text();
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with(line_start))?;
        line.rsplit(' ').next().map(str::to_string)
    }
}

impl RunningGate {
    /// Offers calls at a steady rate for this time; returns their number.
    async fn offer_calls(&self, first_sequence: u64, time: Duration) -> usize {
        let end = Instant::now() + time;
        let mut sequence = first_sequence;
        while Instant::now() < end {
            for _ in 0..2 {
                self.sender.send(LinkMessage::Open(CallOpen {
                    sequence,
                    service: "slotbook".to_string(),
                    method: "GET".to_string(),
                    path: "/".to_string(),
                    time_left_us: 400_000,
                    attempts_left: 1,
                    is_body_complete: true,
                    ..CallOpen::default()
                }));
                sequence += 1;
            }
            sleep(CALL_PAUSE).await;
        }
        usize::try_from(sequence - first_sequence).unwrap()
    }
}

/// Guards against a gate that takes the first heartbeat's word after its start, and against
/// one that leaves a warm upstream limited.
#[ntex::test]
async fn upstream_is_limited_until_it_states_that_it_is_warm() {
    let fixture = Fixture::start(60_000).await;
    let started_at = Instant::now();
    let gate = fixture.start_gate(true);
    let offered = gate.offer_calls(1, Duration::from_millis(2_500)).await;
    assert!(offered >= MIN_OFFERED * 2, "{offered}");
    fixture.upstream.assert_limit_is_kept_since(started_at);
    let count = fixture.upstream.arrivals_since(started_at).len();
    assert!(count >= 40, "{count} requests in 2.5 s at 30 per second");
    assert_eq!(
        fixture.metric("currantlift_cold_upstream").as_deref(),
        Some("1")
    );
    assert_eq!(fixture.upstream.health_polls.load(Ordering::SeqCst), 1);

    // The heartbeat of a later start would tell; a health response does as well.
    fixture.upstream.set_warm_up_left(0);
    assert!(gate.commands.send(GateCommand::ClearBackend).is_ok());
    fixture.send_heartbeat(&gate, true);
    sleep(Duration::from_millis(100)).await;
    let warm_since = Instant::now();
    let offered = gate.offer_calls(10_000, SECOND).await;
    let count = fixture.upstream.arrivals_since(warm_since).len();
    assert!(
        offered >= MIN_OFFERED && count * 10 >= offered * 9,
        "{count} of {offered}"
    );
    assert_eq!(
        fixture.metric("currantlift_cold_upstream").as_deref(),
        Some("0")
    );
}

/// Guards against an end of the cold time that is noticed only by the next heartbeat.
#[ntex::test]
async fn limit_ends_with_the_cold_time_and_ingresses_are_told() {
    let fixture = Fixture::start(1_500).await;
    let mut gate = fixture.start_gate(true);
    let started_at = Instant::now();
    sleep(Duration::from_millis(1_700)).await;
    let mut rates = Vec::new();
    while let Ok(Some(message)) =
        tokio::time::timeout(Duration::from_millis(10), gate.receiver.recv()).await
    {
        if let LinkMessage::Pong(ping) = message {
            rates.push(ping.load.unwrap().start_rate);
        }
    }
    assert_eq!(
        rates,
        [Some(30.0), None],
        "after {:?}",
        started_at.elapsed()
    );
}

/// Guards against a full rate to an upstream that becomes cold without notice.
#[ntex::test]
async fn upstream_that_becomes_cold_under_load_is_noticed() {
    let fixture = Fixture::start(0).await;
    let gate = fixture.start_gate(true);
    gate.offer_calls(1, SECOND).await;
    let polls = fixture.upstream.health_polls.load(Ordering::SeqCst);
    assert!((2..=20).contains(&polls), "{polls} polls in a second");
    fixture.upstream.set_warm_up_left(60_000);
    let cold_since = Instant::now();
    let offered = gate.offer_calls(10_000, Duration::from_millis(2_500)).await;
    assert!(offered >= MIN_OFFERED * 2, "{offered}");
    fixture.upstream.assert_limit_is_kept_since(cold_since);
    let count = fixture.upstream.arrivals_since(cold_since).len();
    assert!(count > 40, "{count} requests in 2.5 s");
}

/// Guards against a second burst of a gate that is killed and started in the middle of a
/// second.
#[ntex::test]
async fn restarted_gate_keeps_the_limit() {
    let fixture = Fixture::start(60_000).await;
    let started_at = Instant::now();
    for restart in 0..4 {
        let gate = fixture.start_gate(true);
        gate.offer_calls(1 + restart * 1_000, Duration::from_millis(600))
            .await;
        // Its tasks outlive the closed command channel, unlike those of a killed process.
        assert!(gate.commands.send(GateCommand::ClearBackend).is_ok());
    }
    fixture.upstream.assert_limit_is_kept_since(started_at);
}

/// Guards against an upstream that stays limited, or is asked without pause, while its
/// health path does not respond.
#[ntex::test]
async fn silent_health_path_is_asked_again_at_a_low_rate() {
    let fixture = Fixture::start(0).await;
    fixture
        .upstream
        .is_health_silent
        .store(true, Ordering::SeqCst);
    let started_at = Instant::now();
    let gate = fixture.start_gate(true);
    gate.offer_calls(1, SECOND).await;
    fixture.upstream.assert_limit_is_kept_since(started_at);
    let polls = fixture.upstream.health_polls.load(Ordering::SeqCst);
    assert!((3..=10).contains(&polls), "{polls} polls in a second");
    fixture
        .upstream
        .is_health_silent
        .store(false, Ordering::SeqCst);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        fixture.metric("currantlift_cold_upstream").as_deref(),
        Some("0")
    );
}

/// Guards against any effect on services without warm-up settings.
#[ntex::test]
async fn service_without_settings_is_neither_limited_nor_asked() {
    let fixture = Fixture::start(60_000).await;
    let started_at = Instant::now();
    let gate = fixture.start_gate(false);
    let offered = gate.offer_calls(1, SECOND).await;
    let count = fixture.upstream.arrivals_since(started_at).len();
    assert!(
        offered >= MIN_OFFERED && count * 10 >= offered * 9,
        "{count} of {offered}"
    );
    assert_eq!(fixture.upstream.health_polls.load(Ordering::SeqCst), 0);
    assert_eq!(fixture.metric("currantlift_warm_up_readings"), None);
}
