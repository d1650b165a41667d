//! Log lines and metrics of a call.

use super::CallDriver;
use crate::error::ErrorKind;
use crate::ingress::answer::{CallFailure, CallResponse};
use crate::routing::RouteChoice;

impl CallDriver {
    pub(super) fn log_choice(&self, choice: &Result<RouteChoice, ErrorKind>) {
        let (call, service, attempt) = (self.id, &self.request.service, self.offer_count + 1);
        let request_id = self.request_id();
        let target_left_ms = self.target_left().as_millis() as u64;
        match choice {
            Ok(choice) => log::info!(
                target: "routing",
                call:%, request_id, service:%, attempt, target_left_ms,
                chosen:% = choice.node,
                reason:% = choice.reason,
                candidates:serde = choice.candidates;
                "upstream chosen"
            ),
            Err(kind) => log::info!(
                target: "routing",
                call:%, request_id, service:%, attempt, target_left_ms, reason:% = kind;
                "no upstream chosen"
            ),
        }
    }

    /// Counts a finished call and writes its one log line.
    pub(super) fn log_result(&self, result: &Result<CallResponse, CallFailure>) {
        let route = self.request.route.as_ref();
        let route_name = route.map_or("", |route| route.name.as_str());
        let config_version = route.map_or(0, |route| route.version);
        let (call, service) = (self.id, &self.request.service);
        let (request_id, path) = (self.request_id(), self.request.path.as_str());
        let elapsed_ms = self.started_at.elapsed().as_millis() as u64;
        let (placements, attempts) = (self.offer_count, self.attempt_count());
        let (kind, outcome) = match result {
            Ok(_) => ("none", "answered".to_string()),
            Err(failure) => (failure.kind.code(), failure.outcome.to_string()),
        };
        let since_signal = self.worker.shared.time_since_signal(self.started_at);
        let metrics = &self.worker.shared.metrics;
        metrics.record_call(service.as_str(), kind, &outcome, self.started_at.elapsed());
        match result {
            Ok(response) => log::info!(
                target: "ingress",
                call:%, request_id, path, route = route_name, config_version, service:%,
                status:% = response.head.status, upstream:% = response.upstream,
                elapsed_ms, placements, attempts;
                "call answered"
            ),
            Err(failure) => log::warn!(
                target: "ingress",
                call:%, request_id, path, route = route_name, config_version, service:%,
                kind = failure.kind.code(), outcome:% = failure.outcome,
                status:% = failure.kind.response_for(failure.outcome).status,
                retry_after_ms = failure.retry_after.as_millis() as u64,
                time_limit_ms = self.request.timeout.as_millis() as u64,
                accepted_after_signal_ms = since_signal.as_millis() as u64,
                elapsed_ms, placements, attempts;
                "call refused or failed"
            ),
        }
    }
}
