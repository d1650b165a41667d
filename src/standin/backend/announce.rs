//! Announces the stand-in to its node, until it is stopped and has drained.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::http::Method;
use tokio::signal::unix::{SignalKind, signal};

use super::options::StandinOptions;
use super::state::StandinState;
use crate::admin::{AdminClient, BackendAnnouncement};
use crate::table::UpstreamState;

/// Time between two announcements.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without any request after which a drain is complete. The node may have
/// sent a request just before it learned of the drain.
const DRAIN_IDLE_TIME: Duration = Duration::from_millis(500);
/// Longest wait for active requests to end; the stand-in then withdraws anyway.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between checks for active requests during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Announces the stand-in periodically and when its state changes.
#[derive(Debug)]
pub struct Announcer {
    client: Option<AdminClient>,
    admin_path: String,
    announcement: BackendAnnouncement,
}

impl Announcer {
    /// Announcer for a stand-in that listens on `address`. It announces nothing
    /// if no administration API is set.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn build(options: &StandinOptions, address: SocketAddr) -> io::Result<Self> {
        let client = match options.admin.clone() {
            Some(admin) => {
                let client = AdminClient::connect(admin, options.token.clone()).await;
                Some(client.map_err(io::Error::other)?)
            }
            None => None,
        };
        Ok(Self {
            client,
            admin_path: format!("/v1/backends/{}", options.id),
            announcement: BackendAnnouncement {
                service: options.service.clone(),
                address,
                slots: options.slots,
                connections: options.connections,
                state: UpstreamState::Ready,
                order: None,
                warmup_left_ms: 0,
                rate_limit: None,
            },
        })
    }

    /// Announces until SIGTERM or SIGINT, then drains and withdraws.
    ///
    /// # Errors
    ///
    /// Fails if no handler can be installed for these signals.
    pub async fn run_until_stopped(&mut self, state: &StandinState) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                _ = heartbeat.tick() => self.announce(state).await,
                () = state.announcement_due.notified() => self.announce(state).await,
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
            }
        }
        self.send_state(UpstreamState::Draining).await;
        wait_until_idle(state).await;
        self.send(Method::DELETE, None).await;
        Ok(())
    }

    async fn announce(&mut self, state: &StandinState) {
        let upstream_state = if state.faults().draining {
            UpstreamState::Draining
        } else {
            UpstreamState::Ready
        };
        self.send_state(upstream_state).await;
    }

    async fn send_state(&mut self, upstream_state: UpstreamState) {
        self.announcement.state = upstream_state;
        match serde_json::to_string(&self.announcement) {
            Ok(body) => self.send(Method::PUT, Some(body)).await,
            Err(error) => eprintln!("standin-backend: announcement not encoded: {error}"),
        }
    }

    async fn send(&self, method: Method, body: Option<String>) {
        let Some(client) = &self.client else { return };
        match client.request(method, &self.admin_path, body).await {
            Ok(response) if response.status == 200 => {}
            Ok(response) => eprintln!(
                "standin-backend: announcement request rejected with status {}: {}",
                response.status, response.body
            ),
            Err(error) => eprintln!("standin-backend: announcement request failed: {error}"),
        }
    }
}

async fn wait_until_idle(state: &StandinState) {
    let drain_start = Instant::now();
    let mut idle_since = drain_start;
    while drain_start.elapsed() < DRAIN_TIMEOUT {
        if state.counts().active > 0 {
            idle_since = Instant::now();
        } else if idle_since.elapsed() >= DRAIN_IDLE_TIME {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
