//! Execution of one request at the upstream beside the daemon, after the guard has admitted it.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{ClientConnection, ExchangeError, OutgoingRequest, Response};
use cornelvalve_kernel::{Clock, Mailbox};
use cornelvalve_model::{AnswerSignals, Moment, UpstreamSignals};
use cornelvalve_policy::LoadReport;
use http::HeaderMap;
use tokio::time::{Instant, timeout_at};

use crate::connector::{ConnectError, Connector};
use crate::hop::{HopHeaders, HopOutcome, HopRequest, HopResponse};
use crate::messages::{
    AdmissionDecision, AdmissionRequest, DEFAULT_RETRY_AFTER, GuardMessage, Permit, PermitOutcome,
    PermitReport, PoolMessage, work_key,
};
use crate::pool::Lease;
use crate::ports::{Cause, Dialect, ResponseOutcome, UpstreamLoad, UpstreamMetadata};

/// Requests with less time left until their deadline are not sent to the upstream.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Longest time from the admission of a request until it is sent. Connecting to the upstream on the
/// same VM takes less, unless the process is paused.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);

/// Runs requests at the upstream; clones use the same services and connection pool.
#[derive(Clone)]
pub(crate) struct Runner {
    pub(crate) guard: Mailbox<GuardMessage>,
    pub(crate) pool: Mailbox<PoolMessage<ClientConnection>>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) connector: Connector,
}

/// Outcome of a request, with the load of the upstream after it.
pub(crate) struct RunResult {
    pub(crate) outcome: HopOutcome,
    /// Load of the upstream; `None` if there is no upstream or the guard did not answer.
    pub(crate) load: Option<LoadReport>,
}

/// Result of an exchange with the upstream.
struct ExchangeResult {
    /// Outcome for the daemon that sent the request.
    outcome: HopOutcome,
    /// Outcome for the guard.
    permit_outcome: PermitOutcome,
    /// Load that the upstream reported in its response.
    load: Option<UpstreamLoad>,
    /// What the response says about the upstream; `None` if there was no valid response.
    signals: Option<UpstreamSignals>,
    /// Moment from which the request was sent; `None` if it was not sent.
    sent: Option<Moment>,
}

impl ExchangeResult {
    fn not_run(cause: Cause, permit_outcome: PermitOutcome, reached_upstream: bool) -> Self {
        Self {
            outcome: HopOutcome::NotRun {
                cause,
                reached_upstream,
                retry_after: DEFAULT_RETRY_AFTER,
            },
            permit_outcome,
            load: None,
            signals: None,
            sent: None,
        }
    }

    fn unknown(cause: Cause, permit_outcome: PermitOutcome) -> Self {
        Self {
            outcome: HopOutcome::Unknown { cause },
            permit_outcome,
            load: None,
            signals: None,
            sent: None,
        }
    }
}

/// Returns why a request that was admitted at `admitted` must not be sent at `now`; `None` if it may
/// be sent.
///
/// Between the two, the process may have been paused, and the upstream may have left or its failure
/// domain may have been taken out of service.
fn expired(admitted: Moment, deadline: Moment, now: Moment) -> Option<Cause> {
    if deadline.since(now) < MIN_TIME_LEFT {
        return Some(Cause::Deadline);
    }
    (now.since(admitted) > PERMIT_LIFETIME).then_some(Cause::Internal)
}

impl Runner {
    /// Runs a request and returns its outcome. Dropping the future cancels the request.
    pub(crate) async fn run(&self, request: &HopRequest) -> RunResult {
        let now = self.clock.now();
        let deadline = now + request.time_left;
        let call = AdmissionRequest {
            service: request.service.clone(),
            host: request.host().into(),
            target: request.target.clone(),
            version: request.version,
            home_regions: request.home_regions.clone(),
            work: work_key(&request.route),
            is_retry: request.is_retry,
            priority: request.priority,
            objective: now + request.objective_left,
            deadline,
            expected_elsewhere: request.expected_elsewhere,
            fingerprint: request.fingerprint(),
        };
        let decision = self.guard.ask(|reply| GuardMessage::Admit {
            call: Box::new(call),
            reply,
        });
        match decision.await {
            Ok(AdmissionDecision::Admitted(permit)) => {
                self.run_admitted(request, permit, deadline).await
            }
            Ok(AdmissionDecision::Refused {
                cause,
                retry_after,
                load,
            }) => {
                log::info!(event = "refused-here", request = request.attempt_id.as_deref(), cause:% = cause, wait_ms = retry_after.as_millis() as u64, running = load.map(|l| l.running), waiting = load.map(|l| l.waiting), slowdown = load.map(|l| l.slowdown), cold = load.map(|l| l.cold); "request refused by the guard");
                let outcome = HopOutcome::NotRun {
                    cause,
                    reached_upstream: false,
                    retry_after,
                };
                RunResult { outcome, load }
            }
            Err(e) => {
                log::warn!(event = "guard-unavailable", request = request.attempt_id.as_deref(); "guard did not answer, refusing the request: {e}");
                let outcome = HopOutcome::NotRun {
                    cause: Cause::Internal,
                    reached_upstream: false,
                    retry_after: DEFAULT_RETRY_AFTER,
                };
                RunResult {
                    outcome,
                    load: None,
                }
            }
        }
    }

    /// Runs an admitted request and reports its outcome to the guard.
    async fn run_admitted(
        &self,
        request: &HopRequest,
        permit: Permit,
        deadline: Moment,
    ) -> RunResult {
        let started = self.clock.now();
        let result = self.exchange(request, &permit, deadline).await;
        let held = self.clock.now().since(started);
        let mut outcome = result.outcome;
        let slowdown = result.load.and_then(|l| l.slowdown);
        let sent_ms = result
            .sent
            .map(|s| s.since(permit.admitted).as_millis() as u64);
        log::info!(event = "upstream-ended", request = request.attempt_id.as_deref(), instance = permit.instance.as_deref(), end:? = result.permit_outcome, held_ms = held.as_millis() as u64, sent_ms = sent_ms, cold = permit.cold, recent_starts = permit.recent_starts, slowdown_before = permit.slowdown, slowdown = slowdown; "exchange with the upstream ended");
        permit.report.finish(PermitReport {
            id: permit.id,
            outcome: result.permit_outcome,
            load: result.load,
            signals: result
                .sent
                .zip(result.signals)
                .map(|(sent, signals)| AnswerSignals { sent, signals }),
        });
        let work = work_key(&request.route);
        let answer = self.guard.ask(|reply| GuardMessage::Load { work, reply });
        let (load, baseline) = answer.await.unwrap_or_default();
        if let HopOutcome::Answered(response) = &mut outcome {
            response.baseline = baseline;
        }
        RunResult { outcome, load }
    }

    /// Sends the request to the upstream and returns the result.
    ///
    /// If a connection from the pool failed before any byte of the request was sent, another
    /// connection is used, up to three in total.
    async fn exchange(
        &self,
        request: &HopRequest,
        permit: &Permit,
        deadline: Moment,
    ) -> ExchangeResult {
        let mut tries = 0;
        loop {
            tries += 1;
            let now = self.clock.now();
            if let Some(cause) = expired(permit.admitted, deadline, now) {
                return ExchangeResult::not_run(cause, PermitOutcome::Cancelled, false);
            }
            let end = Instant::now() + deadline.since(now);
            let opened = timeout_at(
                end,
                self.connector.connect_upstream(&self.pool, permit.addr),
            )
            .await;
            let (connection, reused) = match opened {
                Ok(Ok(opened)) => opened,
                Ok(Err(ConnectError::TooMany)) => {
                    return ExchangeResult::not_run(
                        Cause::Overloaded,
                        PermitOutcome::Cancelled,
                        false,
                    );
                }
                Ok(Err(e)) => {
                    log::info!(event = "upstream-unreachable", request = request.attempt_id.as_deref(); "cannot connect to the upstream: {e}");
                    return ExchangeResult::not_run(
                        Cause::Unreachable,
                        PermitOutcome::Unreachable,
                        false,
                    );
                }
                Err(_) => {
                    return ExchangeResult::not_run(
                        Cause::Deadline,
                        PermitOutcome::Cancelled,
                        false,
                    );
                }
            };
            // The process may have been paused while the connection was opened.
            let now = self.clock.now();
            if let Some(cause) = expired(permit.admitted, deadline, now) {
                return ExchangeResult::not_run(cause, PermitOutcome::Cancelled, false);
            }
            let sent = Some(now);
            if let Err(e) = self.guard.try_send(GuardMessage::Sent(permit.id)) {
                log::debug!(
                    "sending was not reported: {e}; the request counts as unsent until it ends"
                );
            }
            let result = match self.send(request, permit, connection, end).await {
                Err(ExchangeError::NotSent(_)) if reused && tries < 3 => continue,
                Err(e @ ExchangeError::NotSent(_)) => return failed_exchange(&e, request),
                Err(e) => failed_exchange(&e, request),
                Ok(result) => result,
            };
            return ExchangeResult { sent, ..result };
        }
    }

    /// Sends the request on one connection, which is returned to the pool if it stays usable.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] if no complete response was received.
    async fn send(
        &self,
        request: &HopRequest,
        permit: &Permit,
        mut connection: Lease<ClientConnection>,
        end: Instant,
    ) -> Result<ExchangeResult, ExchangeError> {
        connection.limit_body(permit.response_bytes);
        let mut headers: HeaderMap = request.headers.to_map();
        let metadata = UpstreamMetadata {
            caller: &request.caller,
            instance: permit.instance.as_deref(),
            time_left: end.saturating_duration_since(Instant::now()),
        };
        self.dialect.set_upstream_metadata(&mut headers, metadata);
        let attempt_id = request.attempt_id.as_deref();
        let outgoing = OutgoingRequest {
            method: &request.method(),
            target: &request.target,
            headers: &headers,
            body: &request.body,
        };
        let exchange =
            connection.exchange(outgoing, |r| self.dialect.matches_attempt(r, attempt_id));
        let Ok(result) = timeout_at(end, exchange).await else {
            return Ok(ExchangeResult::unknown(
                Cause::Deadline,
                PermitOutcome::Cancelled,
            ));
        };
        let response = result?;
        let keep_alive = self.dialect.keep_alive(&response.headers);
        let reusable = response.keep_alive;
        let result = self.classify(response, attempt_id);
        // A faulty upstream may write an earlier response once more. A refusal would then be taken
        // for that of a later request, because not all refusals name the request.
        if reusable && matches!(result.outcome, HopOutcome::Answered(_)) {
            self.connector
                .return_upstream(&self.pool, permit.addr, connection, keep_alive);
        }
        Ok(result)
    }

    /// Returns what a response says about the request and about the upstream.
    fn classify(&self, response: Response, attempt_id: Option<&str>) -> ExchangeResult {
        let load = self.dialect.load(&response.headers);
        let signals = self.dialect.signals(&response.headers);
        let result = match self.dialect.classify_response(&response, attempt_id) {
            ResponseOutcome::Answer { failed } => ExchangeResult {
                outcome: HopOutcome::Answered(self.hop_response(response, failed)),
                permit_outcome: if failed {
                    PermitOutcome::Failed
                } else {
                    PermitOutcome::Answered
                },
                load: None,
                signals: None,
                sent: None,
            },
            ResponseOutcome::NotRun => {
                ExchangeResult::not_run(Cause::UpstreamRefused, PermitOutcome::Refused, true)
            }
            // The expected process has left: another one uses its address.
            ResponseOutcome::OtherInstance => {
                ExchangeResult::not_run(Cause::Leaving, PermitOutcome::OtherInstance, false)
            }
            ResponseOutcome::Invalid => {
                ExchangeResult::unknown(Cause::SpoiledAnswer, PermitOutcome::Lost)
            }
        };
        // A response of another process, or one that is not the upstream's, says nothing about it.
        let valid = !matches!(
            result.permit_outcome,
            PermitOutcome::OtherInstance | PermitOutcome::Lost
        );
        ExchangeResult {
            load,
            signals: valid.then_some(signals),
            ..result
        }
    }

    /// Returns the response in the form that is sent to the other daemon.
    fn hop_response(&self, response: Response, failed: bool) -> HopResponse {
        let mut headers = response.headers;
        self.dialect.strip_headers(&mut headers);
        HopResponse {
            status: response.status.as_u16(),
            failed,
            headers: HopHeaders::from_map(&headers),
            body: response.body,
            // `run_admitted` sets the value that the guard returns after the exchange.
            baseline: Duration::ZERO,
        }
    }
}

/// Logs an exchange that failed before a complete response was received, and returns its result.
fn failed_exchange(error: &ExchangeError, request: &HopRequest) -> ExchangeResult {
    log::info!(event = "upstream-exchange-failed", request = request.attempt_id.as_deref(); "exchange with the upstream failed: {error}");
    match error {
        ExchangeError::NotSent(_) => {
            ExchangeResult::not_run(Cause::Unreachable, PermitOutcome::Unreachable, false)
        }
        ExchangeError::Lost(_) => {
            ExchangeResult::unknown(Cause::ConnectionLost, PermitOutcome::Lost)
        }
        ExchangeError::InvalidResponse(cornelvalve_http1::Error::NoMemory) => {
            ExchangeResult::unknown(Cause::Internal, PermitOutcome::Cancelled)
        }
        ExchangeError::InvalidResponse(_) => {
            ExchangeResult::unknown(Cause::SpoiledAnswer, PermitOutcome::Lost)
        }
    }
}

#[cfg(test)]
mod tests;
