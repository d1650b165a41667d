//! One sending thread: HTTP requests, and the check of each answer.

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
use crate::admin::http_client_with_limit;
use crate::error::RunOutcome;

/// Longest wait for an answer, above every service's time limit.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that an answer may have beyond its request's body before it is cut off.
const RESPONSE_SIZE_MARGIN_BYTES: usize = 64 * 1024;

/// Settings of a sending thread.
#[derive(Debug, Clone, Copy)]
pub struct SenderSettings {
    /// Tells this replay's requests from those of another.
    pub replay_id: u64,
    /// Most connections.
    pub max_connections: usize,
}

impl SenderSettings {
    /// Id that the stand-in counts a request's runs under.
    pub fn request_id(&self, id: u64) -> String {
        format!("{:x}-{id}", self.replay_id)
    }
}

/// Sends jobs and gathers results.
#[derive(Debug)]
pub struct JobSender {
    replay_start: Instant,
    settings: SenderSettings,
    client: Client,
}

impl JobSender {
    /// Sender whose jobs count their time from `begin`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn build(begin: Instant, settings: SenderSettings) -> io::Result<Self> {
        let client = http_client_with_limit(RESPONSE_TIMEOUT, settings.max_connections).await;
        Ok(Self {
            replay_start: begin,
            settings,
            client: client.map_err(io::Error::other)?,
        })
    }

    /// Does every job until the channel is closed and all have ended.
    pub async fn run(self, mut jobs: UnboundedReceiver<ScheduledJob>) -> Vec<RequestResult> {
        let sender = Rc::new(self);
        let (results_sender, mut results) = unbounded_channel();
        while let Some(job) = jobs.recv().await {
            let (sender, results) = (sender.clone(), results_sender.clone());
            ntex::rt::spawn(async move { sender.execute_job(job, &results).await });
        }
        drop(results_sender);
        let mut gathered = Vec::new();
        while let Some(result) = results.recv().await {
            gathered.push(result);
        }
        gathered
    }

    async fn execute_job(&self, job: ScheduledJob, results: &UnboundedSender<RequestResult>) {
        match job.job {
            ReplayJob::SetFaults(fault) => self.set_faults(&fault).await,
            ReplayJob::SendRequest(request) => {
                let result = self.send_request(job.scheduled_offset, request).await;
                // The receiver is only gone when the whole replay is.
                let _ = results.send(result);
            }
        }
    }

    async fn set_faults(&self, fault: &FaultChange) {
        let url = fault.url.join("/standin/faults");
        let request = self
            .client
            .put(url)
            .set_header(CONTENT_TYPE, "application/json");
        if let Err(error) = request.send_body(fault.faults_json.clone()).await {
            eprintln!("currantlift-replay: faults of {}: {error}", fault.url);
        }
    }

    async fn send_request(&self, at: Duration, request: Box<PlannedRequest>) -> RequestResult {
        let intended = self.replay_start + at;
        let lag = Instant::now().saturating_duration_since(intended);
        let id = self.settings.request_id(request.id);
        let body = generate_body(request.id, request.body_bytes);
        let (end, note) = match self.send_and_verify(&request, &id, &body).await {
            Ok(end) => end,
            Err(error) => (RequestOutcome::Broken, Some(error.to_string())),
        };
        RequestResult {
            scheduled_offset: at,
            latency: intended.elapsed(),
            send_delay: lag,
            outcome: end,
            error_detail: note,
            request,
        }
    }

    async fn send_and_verify(
        &self,
        request: &PlannedRequest,
        id: &str,
        body: &bytes::Bytes,
    ) -> Result<(RequestOutcome, Option<String>), ClientError> {
        let http = self.build_http_request(request, id);
        let response = if body.is_empty() {
            http.send().await?
        } else {
            let body = ntex::util::Bytes::copy_from_slice(body);
            http.send_body(body).await?
        };
        let status = response.status();
        if let Some(outcome) = reported_run_outcome(&response) {
            let _ = response.body().await;
            return Ok((RequestOutcome::Refused(outcome), None));
        }
        let answered_id = response
            .header("request-id")
            .map(|value| value.as_bytes() == id.as_bytes());
        let answer = match response
            .body()
            .limit(body.len() + RESPONSE_SIZE_MARGIN_BYTES)
            .await
        {
            Ok(answer) => answer,
            Err(error) => return Ok((RequestOutcome::Broken, Some(error.to_string()))),
        };
        if answered_id == Some(false) {
            return Ok((
                RequestOutcome::WrongAnswer,
                Some("another request's id".to_string()),
            ));
        }
        if !status.is_success() {
            return Ok((RequestOutcome::Failed, Some(status.to_string())));
        }
        let is_own = request.method == "HEAD" || answer[..] == body[..];
        if is_own {
            Ok((RequestOutcome::Answered, None))
        } else {
            let note = format!("{} bytes in place of {}", answer.len(), body.len());
            Ok((RequestOutcome::WrongAnswer, Some(note)))
        }
    }

    fn build_http_request(&self, request: &PlannedRequest, id: &str) -> ClientRequest {
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
        let mut http = self
            .client
            .request(method, request.url.join(&request.path))
            .set_header("currantlift-service", request.service.as_str())
            .set_header("request-id", id)
            .set_header("standin-work-us", request.service_time_us.to_string());
        if let Some(timeout) = request.timeout_ms {
            http = http.set_header("currantlift-timeout-ms", timeout.to_string());
        }
        if request.nesting_depth > 0 {
            http = http.set_header("standin-nest", request.nesting_depth.to_string());
        }
        http
    }
}

/// What the system says about the run; nothing if a backend server answered.
fn reported_run_outcome(response: &ClientResponse) -> Option<RunOutcome> {
    let value = response.header("currantlift-outcome")?;
    let is_not_run = value.as_bytes() == RunOutcome::NotRun.to_string().as_bytes();
    Some(if is_not_run {
        RunOutcome::NotRun
    } else {
        RunOutcome::Unknown
    })
}
