//! Runs one request at the upstream beside the daemon, once the guard has admitted it.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{ClientConnection, ExchangeError, OutgoingRequest, Response};
use cornelvalve_kernel::{Clock, Mailbox};
use cornelvalve_model::Moment;
use cornelvalve_policy::LoadReport;
use http::HeaderMap;
use tokio::time::{Instant, timeout_at};

use crate::connector::Connector;
use crate::hop::{HopAnswer, HopHeaders, HopOutcome, HopRequest};
use crate::messages::{
    AdmissionDecision, AdmissionRequest, DEFAULT_RETRY_AFTER, GuardMessage, Permit, PermitOutcome,
    PermitReport, PoolMessage, work_key,
};
use crate::ports::{Cause, Dialect, ResponseOutcome, UpstreamLoad, UpstreamMetadata};

/// Least time for which a request is still worth sending to the upstream.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(5);

/// Way to the upstream; clones share the services behind it.
#[derive(Clone)]
pub(crate) struct Runner {
    pub(crate) guard: Mailbox<GuardMessage>,
    pub(crate) pool: Mailbox<PoolMessage<ClientConnection>>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) links: Connector,
}

/// Outcome of a request with the load of the upstream after it.
pub(crate) struct RunResult {
    pub(crate) outcome: HopOutcome,
    pub(crate) load: Option<LoadReport>,
}

/// What an exchange with the upstream brought.
struct Exchanged {
    outcome: HopOutcome,
    end: PermitOutcome,
    load: Option<UpstreamLoad>,
}

impl Exchanged {
    fn not_run(cause: Cause, end: PermitOutcome, arrived: bool) -> Self {
        Self {
            outcome: HopOutcome::NotRun {
                cause,
                arrived,
                wait: DEFAULT_RETRY_AFTER,
            },
            end,
            load: None,
        }
    }

    fn unknown(cause: Cause, end: PermitOutcome) -> Self {
        Self {
            outcome: HopOutcome::Unknown { cause },
            end,
            load: None,
        }
    }
}

impl Runner {
    /// Runs a request. Dropping the future cancels it.
    pub(crate) async fn run(&self, request: &HopRequest) -> RunResult {
        let now = self.clock.now();
        let deadline = now + request.time_left;
        let call = AdmissionRequest {
            service: request.service.clone(),
            home_regions: request.home_regions.clone(),
            work: work_key(&request.route),
            is_retry: request.is_retry,
            priority: request.priority,
            objective: now + request.objective_left,
            deadline,
            expected_elsewhere: request.expected_elsewhere,
            fingerprint: request.fingerprint(),
        };
        let asked = self.guard.ask(|reply| GuardMessage::Admit {
            call: Box::new(call),
            reply,
        });
        match asked.await {
            Ok(AdmissionDecision::Admitted(permit)) => {
                self.run_permitted(request, permit, deadline).await
            }
            Ok(AdmissionDecision::Refused {
                cause,
                retry_after: wait,
                load,
            }) => {
                log::info!(event = "refused-here", request = request.attempt.as_deref(), cause:% = cause, wait_ms = wait.as_millis() as u64, running = load.map(|l| l.running), waiting = load.map(|l| l.waiting), slowdown = load.map(|l| l.slowdown), cold = load.map(|l| l.cold); "guard refused");
                let outcome = HopOutcome::NotRun {
                    cause,
                    arrived: false,
                    wait,
                };
                RunResult { outcome, load }
            }
            Err(e) => {
                log::warn!(event = "guard-unavailable", request = request.attempt.as_deref(); "{e}");
                let outcome = HopOutcome::NotRun {
                    cause: Cause::Internal,
                    arrived: false,
                    wait: DEFAULT_RETRY_AFTER,
                };
                RunResult {
                    outcome,
                    load: None,
                }
            }
        }
    }

    async fn run_permitted(
        &self,
        request: &HopRequest,
        permit: Permit,
        deadline: Moment,
    ) -> RunResult {
        let started = self.clock.now();
        let exchanged = self.exchange(request, &permit, deadline).await;
        let held = self.clock.now().since(started);
        let mut outcome = exchanged.outcome;
        let slowdown = exchanged.load.and_then(|l| l.slowdown);
        log::info!(event = "upstream-ended", request = request.attempt.as_deref(), instance = permit.instance.as_deref(), end:? = exchanged.end, held_ms = held.as_millis() as u64, slowdown_before = permit.slowdown, slowdown = slowdown; "exchange with the upstream ended");
        permit.report.finish(PermitReport {
            id: permit.id,
            outcome: exchanged.end,
            load: exchanged.load,
        });
        let work = work_key(&request.route);
        let asked = self.guard.ask(|reply| GuardMessage::Load { work, reply });
        let (load, usual) = asked.await.unwrap_or_default();
        if let HopOutcome::Answered(answer) = &mut outcome {
            answer.usual = usual;
        }
        RunResult { outcome, load }
    }

    /// Sends the request to the upstream; once more if a kept connection turned out to be closed.
    async fn exchange(&self, request: &HopRequest, permit: &Permit, deadline: Moment) -> Exchanged {
        let mut tries = 0;
        loop {
            tries += 1;
            let now = self.clock.now();
            let time_left = deadline.since(now);
            if time_left < LEAST_TIME_LEFT {
                return Exchanged::not_run(Cause::Deadline, PermitOutcome::Cancelled, false);
            }
            let end = Instant::now() + time_left;
            let opened =
                timeout_at(end, self.links.connect_upstream(&self.pool, permit.addr)).await;
            let (connection, reused) = match opened {
                Ok(Ok(opened)) => opened,
                Ok(Err(e)) => {
                    log::info!(event = "upstream-unreachable", request = request.attempt.as_deref(); "{e}");
                    return Exchanged::not_run(
                        Cause::Unreachable,
                        PermitOutcome::Unreachable,
                        false,
                    );
                }
                Err(_) => {
                    return Exchanged::not_run(Cause::Deadline, PermitOutcome::Cancelled, false);
                }
            };
            let sent = self.send(request, permit, connection, end).await;
            match sent {
                Err(ExchangeError::NotSent(_)) if reused && tries < 3 => {}
                Err(e) => return failure(&e, request),
                Ok(exchanged) => return exchanged,
            }
        }
    }

    async fn send(
        &self,
        request: &HopRequest,
        permit: &Permit,
        mut connection: ClientConnection,
        end: Instant,
    ) -> Result<Exchanged, ExchangeError> {
        let mut headers: HeaderMap = request.headers.to_map();
        let head = UpstreamMetadata {
            caller: &request.caller,
            instance: permit.instance.as_deref(),
            time_left: end.saturating_duration_since(Instant::now()),
        };
        self.dialect.set_upstream_metadata(&mut headers, head);
        let attempt = request.attempt.as_deref();
        let outgoing = OutgoingRequest {
            method: &request.method(),
            target: &request.target,
            headers: &headers,
            body: &request.body,
        };
        let exchange = connection.exchange(outgoing, |r| self.dialect.matches_attempt(r, attempt));
        let Ok(result) = timeout_at(end, exchange).await else {
            return Ok(Exchanged::unknown(
                Cause::Deadline,
                PermitOutcome::Cancelled,
            ));
        };
        let response = result?;
        let idle_for = self.dialect.keep_alive(&response.headers);
        if response.keep_alive {
            self.links
                .return_upstream(&self.pool, permit.addr, connection, idle_for);
        }
        Ok(self.judge(response, attempt))
    }

    fn judge(&self, response: Response, attempt: Option<&str>) -> Exchanged {
        let load = self.dialect.load(&response.headers);
        let exchanged = match self.dialect.classify_response(&response, attempt) {
            ResponseOutcome::Answer { failed } => Exchanged {
                outcome: HopOutcome::Answered(self.answer(response, failed)),
                end: if failed {
                    PermitOutcome::Failed
                } else {
                    PermitOutcome::Answered
                },
                load: None,
            },
            ResponseOutcome::NotRun => {
                Exchanged::not_run(Cause::UpstreamRefused, PermitOutcome::Refused, true)
            }
            ResponseOutcome::OtherInstance => {
                Exchanged::not_run(Cause::Leaving, PermitOutcome::OtherInstance, false)
            }
            ResponseOutcome::Invalid => {
                Exchanged::unknown(Cause::SpoiledAnswer, PermitOutcome::Lost)
            }
        };
        Exchanged { load, ..exchanged }
    }

    fn answer(&self, response: Response, failed: bool) -> HopAnswer {
        let mut headers = response.headers;
        self.dialect.strip_headers(&mut headers);
        HopAnswer {
            status: response.status.as_u16(),
            failed,
            headers: HopHeaders::of(&headers),
            body: response.body,
            usual: Duration::ZERO,
        }
    }
}

fn failure(error: &ExchangeError, request: &HopRequest) -> Exchanged {
    log::info!(event = "upstream-exchange-failed", request = request.attempt.as_deref(); "{error}");
    match error {
        ExchangeError::NotSent(_) => {
            Exchanged::not_run(Cause::Unreachable, PermitOutcome::Unreachable, false)
        }
        ExchangeError::Lost(_) => Exchanged::unknown(Cause::ConnectionLost, PermitOutcome::Lost),
        ExchangeError::InvalidResponse(_) => {
            Exchanged::unknown(Cause::SpoiledAnswer, PermitOutcome::Lost)
        }
    }
}
