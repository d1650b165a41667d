//! One sending thread: HTTP requests, and the check of each answer.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::client::error::ClientError;
use ntex::client::{Client, ClientRequest, ClientResponse};
use ntex::http::Method;
use ntex::http::header::CONTENT_TYPE;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::body::distinct_body;
use super::job::{PlannedFault, PlannedRequest, ReplayJob, RequestEnd, RequestResult, TimedJob};
use crate::admin::http_client_with_max_connections;
use crate::error::RunOutcome;

/// Longest wait for an answer, above every service's time limit.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that an answer may have beyond its request's body before it is cut off.
const ANSWER_SLACK: usize = 64 * 1024;

/// Settings of a sending thread.
#[derive(Debug, Clone, Copy)]
pub struct SenderSettings {
    /// Tells this replay's requests from those of another.
    pub run_tag: u64,
    /// Most connections.
    pub connections: usize,
}

impl SenderSettings {
    /// Id that the stand-in counts a request's runs under.
    pub fn request_id(&self, id: u64) -> String {
        format!("{:x}-{id}", self.run_tag)
    }
}

/// Sends jobs and gathers results.
#[derive(Debug)]
pub struct JobSender {
    begin: Instant,
    settings: SenderSettings,
    client: Client,
}

impl JobSender {
    /// Sender whose jobs count their time from `begin`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub async fn connect(begin: Instant, settings: SenderSettings) -> io::Result<Self> {
        let client = http_client_with_max_connections(ANSWER_TIMEOUT, settings.connections).await;
        Ok(Self {
            begin,
            settings,
            client: client.map_err(io::Error::other)?,
        })
    }

    /// Does every job until the channel is closed and all have ended.
    pub async fn run(self, mut jobs: UnboundedReceiver<TimedJob>) -> Vec<RequestResult> {
        let sender = Rc::new(self);
        let (results_sender, mut results) = unbounded_channel();
        while let Some(job) = jobs.recv().await {
            let (sender, results) = (sender.clone(), results_sender.clone());
            ntex::rt::spawn(async move { sender.do_job(job, &results).await });
        }
        drop(results_sender);
        let mut gathered = Vec::new();
        while let Some(result) = results.recv().await {
            gathered.push(result);
        }
        gathered
    }

    async fn do_job(&self, job: TimedJob, results: &UnboundedSender<RequestResult>) {
        match job.job {
            ReplayJob::Fault(fault) => self.set_faults(&fault).await,
            ReplayJob::Request(request) => {
                let result = self.send_request(job.at, request).await;
                // The receiver is only gone when the whole replay is.
                let _ = results.send(result);
            }
        }
    }

    async fn set_faults(&self, fault: &PlannedFault) {
        let url = fault.url.join("/standin/faults");
        let request = self
            .client
            .put(url)
            .set_header(CONTENT_TYPE, "application/json");
        if let Err(error) = request.send_body(fault.faults.clone()).await {
            eprintln!("currantlift-replay: faults of {}: {error}", fault.url);
        }
    }

    async fn send_request(&self, at: Duration, request: Box<PlannedRequest>) -> RequestResult {
        let intended = self.begin + at;
        let lag = Instant::now().saturating_duration_since(intended);
        let id = self.settings.request_id(request.id);
        let body = distinct_body(request.id, request.body_bytes);
        let (end, note) = match self.exchange(&request, &id, &body).await {
            Ok(end) => end,
            Err(error) => (RequestEnd::Broken, Some(error.to_string())),
        };
        RequestResult {
            at,
            latency: intended.elapsed(),
            lag,
            end,
            note,
            request,
        }
    }

    async fn exchange(
        &self,
        request: &PlannedRequest,
        id: &str,
        body: &bytes::Bytes,
    ) -> Result<(RequestEnd, Option<String>), ClientError> {
        let http = self.http_request(request, id);
        let response = if body.is_empty() {
            http.send().await?
        } else {
            let body = ntex::util::Bytes::copy_from_slice(body);
            http.send_body(body).await?
        };
        let status = response.status();
        if let Some(outcome) = stated_outcome(&response) {
            let _ = response.body().await;
            return Ok((RequestEnd::Refused(outcome), None));
        }
        let answered_id = response
            .header("request-id")
            .map(|value| value.as_bytes() == id.as_bytes());
        let answer = match response.body().limit(body.len() + ANSWER_SLACK).await {
            Ok(answer) => answer,
            Err(error) => return Ok((RequestEnd::Broken, Some(error.to_string()))),
        };
        if answered_id == Some(false) {
            return Ok((
                RequestEnd::WrongAnswer,
                Some("another request's id".to_string()),
            ));
        }
        if !status.is_success() {
            return Ok((RequestEnd::Failed, Some(status.to_string())));
        }
        let is_own = request.method == "HEAD" || answer[..] == body[..];
        if is_own {
            Ok((RequestEnd::Answered, None))
        } else {
            let note = format!("{} bytes in place of {}", answer.len(), body.len());
            Ok((RequestEnd::WrongAnswer, Some(note)))
        }
    }

    fn http_request(&self, request: &PlannedRequest, id: &str) -> ClientRequest {
        let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST);
        let mut http = self
            .client
            .request(method, request.url.join(&request.path))
            .set_header("currantlift-service", request.service.as_str())
            .set_header("request-id", id)
            .set_header("standin-work-us", request.work_us.to_string());
        if let Some(timeout) = request.timeout_ms {
            http = http.set_header("currantlift-timeout-ms", timeout.to_string());
        }
        if request.depth > 0 {
            http = http.set_header("standin-nest", request.depth.to_string());
        }
        http
    }
}

/// What the system says about the run; nothing if a backend server answered.
fn stated_outcome(response: &ClientResponse) -> Option<RunOutcome> {
    let value = response.header("currantlift-outcome")?;
    let is_not_run = value.as_bytes() == RunOutcome::NotRun.to_string().as_bytes();
    Some(if is_not_run {
        RunOutcome::NotRun
    } else {
        RunOutcome::Unknown
    })
}
