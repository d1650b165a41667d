//! Fleet whose backend servers are ended by a request or by signals, and the count of
//! what other callers got meanwhile.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::client::Client;
use ntex::time::sleep;
use ntex::util::Bytes;

use crate::fleet::{Fleet, FleetConfig, SERVICE, Upstream};

pub const UPSTREAM_COUNT: usize = 5;
const NODE_FLAGS: &[&str] = &["--asks", "3", "--slot-limit", "fixed"];
const WORK_MS: &str = "40";
/// Time from a crash until the backend server is back.
const BACKEND_DOWN_TIME: Duration = Duration::from_secs(2);
/// Time within which all nodes have to know of the third crash.
const SPREAD_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause between two other requests.
const OTHERS_PAUSE: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT_MS: &str = "1000";
/// Marker that ends a stand-in backend server, and the start of its request ids.
const CRASH_MARKER: &str = "standin-crash";
const CRASH_REQUEST_ID: &str = "crashing";
const UPLOAD_BYTES: usize = 300_000;
/// Code in the response to a held request.
const QUARANTINE_CODE: &str = "request-quarantined";
/// Users' time from the third crash until the bound on further arrivals holds.
const USERS_SPREAD_TIME: Duration = Duration::from_secs(3);

/// Request that crashes the backend server that runs it.
#[derive(Debug, Clone, Copy)]
pub struct CrashingRequest {
    pause: Duration,
    body_bytes: usize,
    is_chunked: bool,
}

impl CrashingRequest {
    /// Idempotent request with a small body.
    pub fn small(pause_ms: u64) -> Self {
        Self {
            pause: Duration::from_millis(pause_ms),
            body_bytes: 0,
            is_chunked: false,
        }
    }

    /// Non-idempotent request with a large body.
    pub fn upload(pause_ms: u64, is_chunked: bool) -> Self {
        Self {
            body_bytes: UPLOAD_BYTES,
            is_chunked,
            ..Self::small(pause_ms)
        }
    }

    fn body(self) -> Bytes {
        let mut body = CRASH_MARKER.as_bytes().to_vec();
        body.resize(body.len().max(self.body_bytes), b'.');
        Bytes::from(body)
    }
}

/// Result of a drill.
#[derive(Debug, Default, Clone)]
pub struct DrillReport {
    /// Ends of backend servers.
    pub crashes: usize,
    /// Runs of the crashing request from [`SPREAD_TIME`] after the third crash on.
    pub late_arrivals: u32,
    /// Other requests, and those of them that were served.
    pub others: u32,
    pub served: u32,
    /// The same after the last crash, and the time until the server is back.
    others_after: u32,
    served_after: u32,
    /// Other requests that were refused as held.
    pub quarantined_others: u32,
    /// Responses to the crashing request by status.
    pub crashing_statuses: BTreeMap<u16, u32>,
}

impl DrillReport {
    /// Share of the other requests that was served.
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.others.max(1))
    }

    /// Share of the other requests that was served once the crashes had to be over.
    pub fn share_after(&self) -> f64 {
        f64::from(self.served_after) / f64::from(self.others_after.max(1))
    }
}

/// Running fleet.
pub struct CrashDrill {
    fleet: Fleet,
    popular_path: Option<&'static str>,
    next_number: u64,
    crash_count: usize,
    down_since: BTreeMap<usize, Instant>,
    faults: Vec<NodeFault>,
    spread_time: Duration,
}

/// Fault that leaves the open links to a node silent, without a signal.
pub const SILENCE_LINKS: &str = "silence";

/// Signal to a node and its end, as times since the start of a drill.
#[derive(Debug, Clone, Copy)]
pub struct NodeFault {
    pub index: usize,
    pub signal: &'static str,
    pub begin: Duration,
    pub end: Duration,
}

impl CrashDrill {
    pub async fn start() -> Self {
        let fleet = Fleet::start_with(FleetConfig {
            upstream_count: UPSTREAM_COUNT,
            node_flags: NODE_FLAGS,
            work_ms: WORK_MS,
        });
        Self {
            fleet: fleet.await,
            popular_path: None,
            next_number: 0,
            crash_count: 0,
            down_since: BTreeMap::new(),
            faults: Vec::new(),
            spread_time: SPREAD_TIME,
        }
    }

    /// Checks the fingerprints that a node lists as held, and clears them.
    pub async fn clear_held(&self) -> usize {
        let held = self.fleet.upstreams[0]
            .held_requests(&self.fleet.client)
            .await;
        for fingerprint in &held {
            let upstream = &self.fleet.upstreams[0];
            upstream
                .clear_request(&self.fleet.client, fingerprint)
                .await;
        }
        held.len()
    }

    /// Begins and ends the faults of nodes that are due.
    fn poll_faults(&mut self, elapsed: Duration, begun: &mut [bool]) {
        let faults = self.faults.clone();
        for (fault, is_begun) in faults.iter().zip(begun.iter_mut()) {
            let upstream = &mut self.fleet.upstreams[fault.index];
            if !*is_begun && elapsed >= fault.begin {
                *is_begun = true;
                if fault.signal == SILENCE_LINKS {
                    upstream.relay.send_command("silence");
                } else {
                    upstream.signal_node(fault.signal);
                }
                if fault.signal == "KILL" {
                    upstream.node = None;
                }
            }
        }
        let ended = faults
            .iter()
            .zip(begun.iter())
            .filter(|(fault, is_begun)| **is_begun && elapsed >= fault.end);
        for (fault, _) in ended {
            let upstream = &mut self.fleet.upstreams[fault.index];
            if fault.signal == SILENCE_LINKS {
                // Connections that are open stay silent.
            } else if fault.signal == "STOP" {
                upstream.signal_node("CONT");
            } else if upstream
                .node
                .as_mut()
                .is_none_or(crate::process::Process::has_exited)
            {
                upstream.node = None;
                upstream.start_node();
            }
        }
    }

    /// Sends every second other request to one path.
    pub fn set_popular_path(&mut self, path: &'static str) {
        self.popular_path = Some(path);
    }

    pub fn crash_count(&self) -> usize {
        self.crash_count
    }

    pub async fn restart_node(&mut self, index: usize) {
        let upstream = &mut self.fleet.upstreams[index];
        upstream.signal_node("KILL");
        upstream.node = None;
        upstream.start_node();
        self.fleet.wait_until_ready().await;
    }

    /// Sends the crashing request and others for some time.
    pub async fn run(&mut self, time: Duration, crashing: CrashingRequest) -> DrillReport {
        self.run_drill(time, Some(crashing), 0).await
    }

    /// Sends the crashing request and others while faults of nodes come in series.
    pub async fn run_with_faults(
        &mut self,
        time: Duration,
        crashing: CrashingRequest,
        faults: Vec<NodeFault>,
    ) -> DrillReport {
        self.faults = faults;
        self.spread_time = USERS_SPREAD_TIME;
        self.run_drill(time, Some(crashing), 0).await
    }

    /// Kills backend servers at even intervals while others send requests.
    pub async fn run_with_kills(&mut self, time: Duration, kill_count: u32) -> DrillReport {
        self.run_drill(time, None, kill_count).await
    }

    async fn run_drill(
        &mut self,
        time: Duration,
        crashing: Option<CrashingRequest>,
        kill_count: u32,
    ) -> DrillReport {
        let report = Rc::new(RefCell::new(DrillReport::default()));
        let started_at = Instant::now();
        let crashes_before = self.crash_count;
        let (mut next_other, mut next_crashing) = (started_at, started_at);
        let mut kills = 0;
        let mut begun = vec![false; self.faults.len()];
        // Runs of the crashing request when the third crash has to be known.
        let mut third_crash: Option<(Instant, Option<u32>)> = None;
        while started_at.elapsed() < time {
            let now = Instant::now();
            self.poll_backends(now);
            self.poll_faults(started_at.elapsed(), &mut begun);
            let crashes = self.crash_count - crashes_before;
            let is_third_known = crashes >= 3;
            let (third_at, runs_at_bound) = third_crash.get_or_insert((now, None));
            if !is_third_known {
                third_crash = None;
            } else if runs_at_bound.is_none() && now >= *third_at + self.spread_time {
                *runs_at_bound = Some(self.crashing_runs());
            }
            let is_after = third_crash.is_some_and(|(at, _)| now >= at + 2 * BACKEND_DOWN_TIME);
            if now >= next_other {
                next_other += OTHERS_PAUSE;
                self.send_other(&report, is_after);
            }
            if let Some(crashing) = crashing.filter(|_| now >= next_crashing) {
                next_crashing += crashing.pause;
                self.send_crashing(crashing, &report);
            }
            if kills < kill_count && started_at.elapsed() >= time / (kill_count + 1) * (kills + 1) {
                let index = kills as usize % UPSTREAM_COUNT;
                self.fleet.upstreams[index].signal_backend("KILL");
                kills += 1;
            }
            sleep(POLL_INTERVAL).await;
        }
        // A soak may end in the middle of a fault.
        self.poll_faults(Duration::MAX, &mut begun);
        // Calls of the last moments.
        sleep(Duration::from_millis(1_500)).await;
        let mut report = report.borrow().clone();
        report.crashes = self.crash_count - crashes_before;
        let runs_at_bound = third_crash.and_then(|(_, runs)| runs);
        report.late_arrivals = runs_at_bound.map_or(0, |runs| self.crashing_runs() - runs);
        println!("{report:?} share {:.3}", report.share());
        report
    }

    /// Counts backend servers that ended, and starts them again in time.
    fn poll_backends(&mut self, now: Instant) {
        for (index, upstream) in self.fleet.upstreams.iter_mut().enumerate() {
            match self.down_since.get(&index) {
                None if upstream.has_backend_exited() => {
                    self.crash_count += 1;
                    self.down_since.insert(index, now);
                }
                Some(since) if now >= *since + BACKEND_DOWN_TIME => {
                    upstream.restart_backend();
                    self.down_since.remove(&index);
                }
                _ => {}
            }
        }
    }

    fn crashing_runs(&self) -> u32 {
        let runs = self.fleet.runs.lock().unwrap();
        let crashing = runs
            .iter()
            .filter(|(id, _)| id.starts_with(CRASH_REQUEST_ID));
        crashing.map(|(_, count)| count).sum()
    }

    /// Node to which the next request is sent, by turns.
    fn next_ingress(&mut self) -> (u64, String) {
        self.next_number += 1;
        let upstreams: &[Upstream] = &self.fleet.upstreams;
        let index = self.next_number as usize % (upstreams.len() + 1);
        let url = upstreams.get(index).map_or_else(
            || self.fleet.ingress_url.clone(),
            |upstream| format!("http://{}", upstream.listen_address()),
        );
        (self.next_number, url)
    }

    fn send_other(&mut self, report: &Rc<RefCell<DrillReport>>, is_after: bool) {
        let (number, url) = self.next_ingress();
        let popular = self.popular_path.filter(|_| number.is_multiple_of(2));
        let path = popular.map_or_else(|| format!("/stock/{number}"), ToString::to_string);
        let request = (self.fleet.client)
            .get(format!("{url}{path}"))
            .header("currantlift-service", SERVICE)
            .header("currantlift-timeout-ms", REQUEST_TIMEOUT_MS);
        let report = Rc::clone(report);
        ntex::rt::spawn(async move {
            let result = request.send().await;
            let is_served = (result.as_ref()).is_ok_and(|response| response.status() == 200);
            let body = match result {
                Ok(response) => response.body().await.unwrap_or_default(),
                Err(_) => Bytes::new(),
            };
            let is_quarantined = String::from_utf8_lossy(&body).contains(QUARANTINE_CODE);
            let mut report = report.borrow_mut();
            report.others += 1;
            report.served += u32::from(is_served);
            report.others_after += u32::from(is_after);
            report.served_after += u32::from(is_after && is_served);
            report.quarantined_others += u32::from(is_quarantined);
        });
    }

    fn send_crashing(&mut self, crashing: CrashingRequest, report: &Rc<RefCell<DrillReport>>) {
        let (number, url) = self.next_ingress();
        let client: Client = self.fleet.client.clone();
        let report = Rc::clone(report);
        ntex::rt::spawn(async move {
            // Orders are not idempotent.
            let is_upload = crashing.body_bytes > 0;
            let path = if is_upload { "/orders" } else { "/stock/crash" };
            let url = format!("{url}{path}");
            let request = if is_upload {
                client.post(url)
            } else {
                client.put(url)
            };
            let request = request
                .header("currantlift-service", SERVICE)
                .header("currantlift-timeout-ms", REQUEST_TIMEOUT_MS)
                .header("request-id", format!("{CRASH_REQUEST_ID}-{number}"));
            let body = crashing.body();
            let result = if crashing.is_chunked {
                let chunks = body.chunks(50_000).map(Bytes::copy_from_slice);
                let chunks: Vec<_> = chunks.map(Ok::<_, std::io::Error>).collect();
                request
                    .send_stream(futures_util::stream::iter(chunks))
                    .await
            } else {
                request.send_body(body).await
            };
            let status = result.map_or(0, |response| response.status().as_u16());
            *(report.borrow_mut().crashing_statuses.entry(status)).or_default() += 1;
        });
    }
}
