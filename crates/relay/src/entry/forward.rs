//! Forwarding of one request: resolves its route, makes attempts at upstreams and returns the
//! response.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{OutgoingResponse, Request};
use cornelvalve_model::{Moment, VmName};
use cornelvalve_policy::{AttemptResult, Attempts};
use http::header::HOST;
use tokio::time::{Instant, timeout_at};

use super::recorder::RequestRecorder;
use super::{EntryContext, refusal};
use crate::desired::IdempotencyLevel;
use crate::hop::{HopHeaders, HopOutcome, HopRequest, HopResponse};
use crate::messages::{
    DEFAULT_RETRY_AFTER, RequestOutcome, ResolvedRoute, RouterMessage, SelectedUpstream,
    SelectionQuery, ShutdownStage,
};
use crate::ports::{Cause, ErrorResponse};

/// Time limit of a request if the caller sent none; the timeout of the route applies as well.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time before the caller's time limit at which a request is answered, so that the response arrives
/// in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Time, in addition to the round trip, that is reserved for the reply of another daemon, so that
/// it can still report before the caller's deadline that it has not run the request.
const REPLY_ALLOWANCE: Duration = Duration::from_millis(10);

/// Time that must be left before a stopping daemon ends for it to serve a request, as a multiple of
/// the latency objective. Few requests take longer, and one that does is cut off.
const MIN_END_OBJECTIVES: f64 = 2.0;

/// Retry delay sent by a daemon that is stopping: the time after which it has usually been
/// restarted.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Retry delay if the service has no usable upstream: the time for a new upstream to check in and
/// become known to this daemon.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay if all upstreams of the service name limits that leave no start in time, and none has
/// said when it will.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Minimum retry delay, which gives the queue that refused the request time to shrink.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Maximum retry delay; the length of a queue does not predict the load further ahead.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Request that is being forwarded, with the state of its attempts.
pub(super) struct ForwardedRequest<'a> {
    pub(super) entry: &'a EntryContext,
    pub(super) request: &'a Request,
    pub(super) headers: HopHeaders,
    /// Identifier that the caller gave its request.
    pub(super) attempt_id: Option<Box<str>>,
    pub(super) resolved: Arc<ResolvedRoute>,
    pub(super) started: Moment,
    /// Moment by which the caller must be answered.
    pub(super) deadline: Moment,
    pub(super) attempts: Attempts,
    /// Whether an attempt is in progress.
    pub(super) in_progress: bool,
    /// Reason why the last attempt did not run the request.
    pub(super) last_refusal: Cause,
    /// Shortest retry delay that an attempt returned.
    pub(super) retry_after: Option<Duration>,
    /// Failure response of an upstream, returned if no other attempt succeeds.
    pub(super) fallback: Option<HopResponse>,
}

/// Serves a request of a caller and returns the response.
pub(super) async fn serve(entry: &EntryContext, request: Request) -> OutgoingResponse {
    let started = entry.clock.now();
    let mut record = RequestRecorder::begin(entry, started);
    let metadata = entry.dialect.caller_metadata(&request.headers);
    if *entry.stage.borrow() >= ShutdownStage::Refusing {
        log::info!(event = "request-refused", request = metadata.attempt.as_deref(), cause:% = Cause::Leaving; "request refused: daemon is stopping");
        record.end(RequestOutcome::Refused(Cause::Leaving), None);
        return entry.error_reply(&ErrorResponse {
            retry_after: Some(STOPPING_RETRY_AFTER),
            ..refusal(Cause::Leaving)
        });
    }
    let resolved = match resolve_route(entry, &request).await {
        Ok(Ok(resolved)) => resolved,
        Ok(Err(cause)) => {
            log::info!(event = "request-refused", request = metadata.attempt.as_deref(), cause:% = cause, target = request.target.as_ref(); "request could not be routed");
            record.end(RequestOutcome::Refused(cause), None);
            return entry.error_reply(&ErrorResponse {
                retry_after: (cause == Cause::StaleConfiguration).then_some(DEFAULT_RETRY_AFTER),
                ..refusal(cause)
            });
        }
        Err(e) => {
            log::warn!(event = "router-unavailable", request = metadata.attempt.as_deref(); "router did not answer, refusing the request: {e}");
            record.end(RequestOutcome::Refused(Cause::Internal), None);
            return entry.error_reply(&refusal(Cause::Internal));
        }
    };
    let mut time_limit = metadata
        .time_left
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(resolved.route.timeout);
    if let Some(rest) = entry.time_until_end() {
        let objective = resolved.route.latency_objective;
        if rest < objective.mul_f64(MIN_END_OBJECTIVES) {
            log::info!(event = "request-refused", request = metadata.attempt.as_deref(), cause:% = Cause::Leaving, rest_ms = rest.as_millis() as u64; "request refused: it may not end before the daemon does");
            record.end(RequestOutcome::Refused(Cause::Leaving), None);
            return entry.error_reply(&ErrorResponse {
                retry_after: Some(STOPPING_RETRY_AFTER),
                ..refusal(Cause::Leaving)
            });
        }
        time_limit = time_limit.min(rest);
    }
    let mut headers = request.headers.clone();
    entry.dialect.strip_headers(&mut headers);
    let mut forwarded = ForwardedRequest {
        entry,
        request: &request,
        headers: HopHeaders::from_map(&headers),
        attempt_id: metadata.attempt,
        attempts: Attempts::new(
            resolved.route.max_attempts,
            resolved.route.idempotency == IdempotencyLevel::Idempotent,
        ),
        resolved,
        started,
        deadline: started + time_limit.saturating_sub(RESPONSE_MARGIN),
        in_progress: false,
        last_refusal: Cause::NoUpstream,
        retry_after: None,
        fallback: None,
    };
    let end = Instant::now() + forwarded.time_left();
    let mut stage = entry.stage.clone();
    let result = tokio::select! {
        outcome = timeout_at(end, forwarded.run()) => outcome.map_err(|_| Cause::Deadline),
        // `wait_for` fails only when the sender is dropped, which also means that the daemon stops.
        _ = stage.wait_for(|s| *s == ShutdownStage::Terminating) => Err(Cause::Leaving),
    };
    let result = result.unwrap_or_else(|cause| forwarded.give_up(cause));
    forwarded.finish(result, &mut record)
}

/// Asks the router for the route of a request.
async fn resolve_route(
    entry: &EntryContext,
    request: &Request,
) -> cornelvalve_kernel::Result<Result<Arc<ResolvedRoute>, Cause>> {
    let host = request.headers.get(HOST).and_then(|h| h.to_str().ok());
    let answer = entry.router.ask(|reply| RouterMessage::ResolveRoute {
        host: host.unwrap_or_default().into(),
        target: request.target.clone(),
        reply,
    });
    answer.await
}

impl EntryContext {
    /// Returns the time until a stopping daemon must have answered all requests; `None` if it is not
    /// stopping.
    fn time_until_end(&self) -> Option<Duration> {
        match *self.stage.borrow() {
            ShutdownStage::Ending(by) => Some(by.saturating_duration_since(Instant::now())),
            _ => None,
        }
    }
}

/// Final result of a request.
enum ForwardResult {
    /// Response of an upstream.
    Response(HopResponse),
    /// Error of the daemon itself.
    Error(ErrorResponse),
}

impl ForwardedRequest<'_> {
    /// Returns the time left until the caller must be answered.
    fn time_left(&self) -> Duration {
        self.deadline.since(self.entry.clock.now())
    }

    /// Returns the time within which the daemon beside the selected upstream must finish the
    /// request, so that its reply arrives in time.
    fn time_left_at(&self, selected: &SelectedUpstream) -> Duration {
        let left = self.time_left();
        left.saturating_sub(selected.round_trip + REPLY_ALLOWANCE)
    }

    /// Returns the time left until the response misses the latency objective; zero if it is missed.
    pub(super) fn objective_left(&self) -> Duration {
        let elapsed = self.entry.clock.now().since(self.started);
        self.resolved
            .route
            .latency_objective
            .saturating_sub(elapsed)
    }

    /// Makes attempts until one succeeds or no further attempt is allowed.
    async fn run(&mut self) -> ForwardResult {
        loop {
            let selected = match self.select_upstream().await {
                Ok(selected) => selected,
                Err(cause) => return self.give_up(cause),
            };
            // Not even the round trip fits into the time left, so no attempt is made.
            if self.time_left_at(&selected).is_zero() {
                return self.give_up(Cause::Overloaded);
            }
            self.in_progress = true;
            let (vm, outcome) = self.attempt(selected).await;
            self.in_progress = false;
            let cause = match outcome {
                HopOutcome::Answered(response) if !response.failed => {
                    return ForwardResult::Response(response);
                }
                HopOutcome::Answered(response) => {
                    self.fallback = Some(response);
                    // `record` returns whether a further attempt is allowed. If not, the fallback
                    // is returned and the cause is not used.
                    if !self.attempts.record(vm, AttemptResult::MayHaveRun) {
                        return self.give_up(Cause::UpstreamRefused);
                    }
                    continue;
                }
                // The daemon there has a later version, which this one may have got meanwhile.
                HopOutcome::NotRun {
                    cause: Cause::StaleConfiguration,
                    ..
                } if self.follow_later_version().await => continue,
                HopOutcome::NotRun {
                    cause,
                    reached_upstream,
                    retry_after,
                } => {
                    log::info!(event = "not-run", request = self.attempt_id.as_deref(), vm = vm.as_str(), cause:% = cause, wait_ms = retry_after.as_millis() as u64; "request was not run by this VM");
                    if !self.record_not_run(vm, cause, reached_upstream, retry_after) {
                        return self.give_up(cause);
                    }
                    continue;
                }
                HopOutcome::Unknown { cause } => cause,
            };
            if !self.attempts.record(vm, AttemptResult::MayHaveRun) {
                return self.give_up(cause);
            }
        }
    }

    /// Takes the route from the configuration in force if that is later than the one it was taken
    /// from; returns whether it is.
    async fn follow_later_version(&mut self) -> bool {
        let resolved = resolve_route(self.entry, self.request).await;
        let resolved = resolved.ok().and_then(Result::ok);
        let Some(resolved) = resolved.filter(|r| r.version > self.resolved.version) else {
            return false;
        };
        self.resolved = resolved;
        true
    }

    /// Records that an attempt did not run the request; returns whether a further attempt is
    /// allowed.
    fn record_not_run(
        &mut self,
        vm: VmName,
        cause: Cause,
        reached_upstream: bool,
        retry_after: Duration,
    ) -> bool {
        if matches!(
            cause,
            Cause::Overloaded | Cause::StaleConfiguration | Cause::UpstreamLimit
        ) || reached_upstream
        {
            let least = self.retry_after.map_or(retry_after, |r| r.min(retry_after));
            self.retry_after = Some(least);
        }
        self.last_refusal = cause;
        let result = match cause {
            // Every other daemon would refuse it as well, or will soon.
            Cause::CrashSuspect | Cause::StaleConfiguration => AttemptResult::RefusedPermanently,
            _ if reached_upstream => AttemptResult::RefusedByUpstream,
            Cause::Elsewhere => AttemptResult::HandedBack,
            _ => AttemptResult::RefusedByDaemon,
        };
        self.attempts.record(vm, result)
    }

    /// Returns the query for the next attempt.
    pub(super) fn selection_query(&self) -> SelectionQuery {
        let attempts = &self.attempts;
        SelectionQuery {
            resolved: Arc::clone(&self.resolved),
            tried: attempts.tried().into(),
            handed_back: attempts.handed_back().into(),
            is_retry: attempts.upstream_attempts() > 0,
            hedge_within: None,
            must_queue: attempts.hand_back_limit_reached(),
            body_bytes: self.request.body.len(),
            time_left: self.time_left(),
        }
    }

    /// Selects the upstream of the next attempt.
    async fn select_upstream(&self) -> Result<SelectedUpstream, Cause> {
        let query = self.selection_query();
        let any_tried = !query.tried.is_empty();
        let mut selected = self.query_router(query.clone()).await;
        if matches!(selected, Err(Cause::NoUpstream)) && !query.handed_back.is_empty() {
            // All upstreams that are left handed the request back, so the best one has to queue it.
            let query = SelectionQuery {
                must_queue: true,
                ..query
            };
            selected = self.query_router(query).await;
        }
        match selected {
            // The service has upstreams, but all of them have been tried.
            Err(Cause::NoUpstream) if any_tried => Err(self.last_refusal),
            selected => selected,
        }
    }

    /// Sends a query to the router and returns the upstream that it selected.
    pub(super) async fn query_router(
        &self,
        query: SelectionQuery,
    ) -> Result<SelectedUpstream, Cause> {
        let query = Box::new(query);
        let answer = self
            .entry
            .router
            .ask(|reply| RouterMessage::SelectUpstream { query, reply });
        answer.await.unwrap_or_else(|e| {
            log::warn!(event = "router-unavailable", request = self.attempt_id.as_deref(); "router did not answer, no upstream selected: {e}");
            Err(Cause::Internal)
        })
    }

    /// Returns the request as it is sent to the selected upstream or to the daemon beside it.
    pub(super) fn hop_request(
        &self,
        selected: &SelectedUpstream,
        expected_elsewhere: Option<Duration>,
    ) -> HopRequest {
        let ResolvedRoute {
            route,
            service,
            version,
            ..
        } = &*self.resolved;
        HopRequest {
            attempt_id: self.attempt_id.clone(),
            service: service.clone(),
            caller: self.entry.own_service.clone(),
            route: route.name.clone(),
            version: *version,
            is_retry: self.attempts.upstream_attempts() > 0,
            home_regions: route.home_regions.clone(),
            priority: route.priority,
            objective_left: self.objective_left(),
            time_left: self.time_left_at(selected),
            expected_elsewhere,
            method: self.request.method.as_str().into(),
            target: self.request.target.clone(),
            headers: self.headers.clone(),
            body: self.request.body.clone(),
        }
    }

    /// Returns the result of a request for which no further attempt is made: the last failure
    /// response of an upstream, or an error.
    fn give_up(&mut self, cause: Cause) -> ForwardResult {
        if let Some(response) = self.fallback.take() {
            return ForwardResult::Response(response);
        }
        let not_run = !self.in_progress && !self.attempts.may_have_run();
        let retry_after = match cause {
            Cause::NoUpstream => NO_UPSTREAM_RETRY_AFTER,
            Cause::UpstreamLimit => self.retry_after.unwrap_or(LIMIT_RETRY_AFTER),
            _ => self.retry_after.unwrap_or(MIN_RETRY_AFTER),
        };
        ForwardResult::Error(ErrorResponse {
            cause,
            not_run,
            retry_after: not_run.then(|| retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
        })
    }

    /// Logs and counts the result of the request and returns the HTTP response for the caller.
    fn finish(&self, result: ForwardResult, record: &mut RequestRecorder<'_>) -> OutgoingResponse {
        let latency = self.entry.clock.now().since(self.started);
        let route = self.resolved.route.name.as_ref();
        match result {
            ForwardResult::Response(response) => {
                let outcome = if response.failed {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Answered
                };
                log::info!(event = "request-answered", request = self.attempt_id.as_deref(), route = route, status = response.status, took_ms = latency.as_millis() as u64, arrivals = self.attempts.upstream_attempts(), hand_backs = self.attempts.handed_back().len(); "request answered by an upstream");
                record.end(outcome, Some(&self.attempts));
                OutgoingResponse {
                    status: response.status(),
                    headers: response.headers.to_map(),
                    body: response.body,
                    close: false,
                }
            }
            ForwardResult::Error(error) => {
                let outcome = if error.not_run {
                    RequestOutcome::Refused(error.cause)
                } else {
                    RequestOutcome::Unknown(error.cause)
                };
                log::info!(event = "request-refused", request = self.attempt_id.as_deref(), route = route, service = self.resolved.service.as_str(), version = self.resolved.version.0, cause:% = error.cause, not_run = error.not_run, took_ms = latency.as_millis() as u64, arrivals = self.attempts.upstream_attempts(), hand_backs = self.attempts.handed_back().len(); "request answered with an error of the daemon");
                record.end(outcome, Some(&self.attempts));
                self.entry.error_reply(&error)
            }
        }
    }
}
