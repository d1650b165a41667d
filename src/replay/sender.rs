//! Sender thread: executes the jobs that the pacer dispatches to it and checks
//! that each response belongs to its request.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::client::error::ClientError;
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::Method;
use ntex::http::header::CONTENT_TYPE;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::body::generate_body;
use super::job::{
    FaultChange, PlannedRequest, ReplayJob, RequestOutcome, RequestResult, ScheduledJob,
};
use crate::admin::http_client_with_max_connections;
use crate::error::RunOutcome;

/// Longest wait for a response, above every service's time limit.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Excess over the size of the request body up to which a response body is
/// read; reading a longer one fails.
const RESPONSE_SIZE_MARGIN_BYTES: usize = 64 * 1024;

/// Settings of a sender thread.
#[derive(Debug, Clone, Copy)]
pub struct SenderSettings {
    /// Part of each request id, so that requests of two replays differ.
    pub replay_id: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

impl SenderSettings {
    /// Value of the `request-id` header, by which stand-ins count runs.
    pub fn request_id(&self, id: u64) -> String {
        format!("{:x}-{id}", self.replay_id)
    }
}

/// Executes jobs with one HTTP client.
#[derive(Debug)]
pub struct JobSender {
    replay_start: Instant,
    settings: SenderSettings,
    client: Client,
}

impl JobSender {
    /// Sender whose scheduled times count from `replay_start`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn build(replay_start: Instant, settings: SenderSettings) -> io::Result<Self> {
        let client =
            http_client_with_max_connections(RESPONSE_TIMEOUT, settings.max_connections).await;
        Ok(Self {
            replay_start,
            settings,
            client: client.map_err(io::Error::other)?,
        })
    }

    /// Executes jobs as they arrive, without waiting for earlier ones. Returns
    /// the results once the channel is closed and all jobs have ended.
    pub async fn run(self, mut jobs: UnboundedReceiver<ScheduledJob>) -> Vec<RequestResult> {
        let sender = Rc::new(self);
        let (results_sender, mut results) = unbounded_channel();
        while let Some(job) = jobs.recv().await {
            let (sender, results) = (sender.clone(), results_sender.clone());
            ntex::rt::spawn(async move { sender.execute_job(job, &results).await });
        }
        drop(results_sender);
        let mut collected = Vec::new();
        while let Some(result) = results.recv().await {
            collected.push(result);
        }
        collected
    }

    async fn execute_job(&self, job: ScheduledJob, results: &UnboundedSender<RequestResult>) {
        match job.job {
            ReplayJob::SetFaults(change) => self.set_faults(&change).await,
            ReplayJob::SendRequest(request) => {
                let result = self.send_request(job.scheduled_offset, request).await;
                // Fails only if the whole replay, and with it the receiver, was dropped.
                let _ = results.send(result);
            }
        }
    }

    async fn set_faults(&self, change: &FaultChange) {
        let url = change.url.join("/standin/faults");
        let request = self
            .client
            .put(url)
            .set_header(CONTENT_TYPE, "application/json");
        if let Err(error) = request.send_body(change.faults_json.clone()).await {
            eprintln!(
                "currantlift-replay: can't set faults of stand-in {}, replay continues: {error}",
                change.url
            );
        }
    }

    async fn send_request(
        &self,
        scheduled_offset: Duration,
        request: Box<PlannedRequest>,
    ) -> RequestResult {
        let scheduled_at = self.replay_start + scheduled_offset;
        let send_delay = Instant::now().saturating_duration_since(scheduled_at);
        let id = self.settings.request_id(request.id);
        let body = generate_body(request.id, request.body_bytes);
        let (outcome, error_detail) = match self.send_and_verify(&request, &id, &body).await {
            Ok(checked) => checked,
            Err(error) => (RequestOutcome::Broken, Some(error.to_string())),
        };
        RequestResult {
            scheduled_offset,
            latency: scheduled_at.elapsed(),
            send_delay,
            outcome,
            error_detail,
            request,
        }
    }

    async fn send_and_verify(
        &self,
        request: &PlannedRequest,
        id: &str,
        body: &bytes::Bytes,
    ) -> Result<(RequestOutcome, Option<String>), ClientError> {
        let http_request = self.build_http_request(request, id);
        let response = if body.is_empty() {
            http_request.send().await?
        } else {
            let body = ntex::util::Bytes::copy_from_slice(body);
            http_request.send_body(body).await?
        };
        let status = response.status();
        if let Some(outcome) = reported_run_outcome(&response) {
            let _ = response.body().await;
            return Ok((RequestOutcome::Refused(outcome), None));
        }
        let id_matches = response
            .header("request-id")
            .map(|value| value.as_bytes() == id.as_bytes());
        let response_body = match response
            .body()
            .limit(body.len() + RESPONSE_SIZE_MARGIN_BYTES)
            .await
        {
            Ok(response_body) => response_body,
            Err(error) => return Ok((RequestOutcome::Broken, Some(error.to_string()))),
        };
        if id_matches == Some(false) {
            return Ok((
                RequestOutcome::WrongAnswer,
                Some("response has another request's id".to_string()),
            ));
        }
        if !status.is_success() {
            return Ok((RequestOutcome::Failed, Some(status.to_string())));
        }
        let is_echo = request.method == "HEAD" || response_body[..] == body[..];
        if is_echo {
            Ok((RequestOutcome::Answered, None))
        } else {
            let detail = format!(
                "response body of {} bytes differs from the request body of {} bytes",
                response_body.len(),
                body.len()
            );
            Ok((RequestOutcome::WrongAnswer, Some(detail)))
        }
    }

    fn build_http_request(&self, request: &PlannedRequest, id: &str) -> ClientRequest {
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
        let mut http_request = self
            .client
            .request(method, request.url.join(&request.path))
            .set_header("currantlift-service", request.service.as_str())
            .set_header("request-id", id)
            .set_header("standin-work-us", request.service_time_us.to_string());
        if let Some(timeout_ms) = request.timeout_ms {
            http_request =
                http_request.set_header("currantlift-timeout-ms", timeout_ms.to_string());
        }
        if request.nesting_depth > 0 {
            http_request =
                http_request.set_header("standin-nest", request.nesting_depth.to_string());
        }
        http_request
    }
}

/// Run outcome that a node reports in place of a backend server's response;
/// `None` if the response is a backend server's.
fn reported_run_outcome(response: &ClientResponse) -> Option<RunOutcome> {
    let value = response.header("currantlift-outcome")?;
    let is_not_run = value.as_bytes() == RunOutcome::NotRun.to_string().as_bytes();
    Some(if is_not_run {
        RunOutcome::NotRun
    } else {
        RunOutcome::Unknown
    })
}
