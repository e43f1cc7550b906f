//! The way of one request: plan, places, attempts, final answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{OutgoingResponse, Request};
use cornelvalve_model::{Moment, VmName};
use cornelvalve_policy::{AttemptResult, Attempts};
use http::header::HOST;
use smallvec::SmallVec;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::{EntryHandler, refusal};
use crate::desired::IdempotencyLevel;
use crate::hop::{HopAnswer, HopHeaders, HopOutcome, HopRequest};
use crate::messages::{
    PlaceQuery, Placed, Plan, RequestOutcome, RequestRecord, RouterMessage, StatsMessage, StopStage,
};
use crate::ports::{Cause, ErrorResponse};

/// Longest wait of a request whose caller and route state none.
const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// Time before the end of the wait at which a request is answered, so that the answer is in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Time, beyond the round trip, that is kept for the answer of a place. A place that has not run the
/// request must be able to say so before the caller is answered.
const RETURN_ALLOWANCE: Duration = Duration::from_millis(10);

/// Time kept for a hedge, in multiples of the usual work.
const HEDGE_WORK: f64 = 1.5;

/// Earliest time of a hedge, in multiples of the usual work.
const MIN_HEDGE_WORK: f64 = 2.0;

/// Time within which a hedge must be expected to end if the objective is already missed.
const MIN_HEDGE_TIME: Duration = Duration::from_millis(150);

/// Time after which a daemon that stops has been started again.
const RESTART_TIME: Duration = Duration::from_millis(800);

/// Time in which an upstream that a service lacks may have come: a check-in and its way here.
const MISSING_UPSTREAM_TIME: Duration = Duration::from_secs(1);

/// Shortest Retry-After, so that a caller does not return into the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest Retry-After; what is known of the queue now says little of later.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Request on its way with all that its attempts need.
struct Forwarding<'a> {
    entry: &'a EntryHandler,
    request: &'a Request,
    headers: HopHeaders,
    attempt: Option<Box<str>>,
    plan: Arc<Plan>,
    started: Moment,
    deadline: Moment,
    attempts: Attempts,
    /// Whether an attempt is under way.
    offered: bool,
    /// Why the last place did not run it.
    refused_for: Cause,
    /// Shortest wait for room that a place named.
    wait: Option<Duration>,
    /// Failure that an upstream answered, kept while another one is asked.
    fallback: Option<HopAnswer>,
}

/// Serves a request of a caller.
pub(super) async fn serve(entry: &EntryHandler, request: Request) -> OutgoingResponse {
    let started = entry.clock.now();
    let mut record = Recorded::begin(entry, started);
    let head = entry.dialect.caller_metadata(&request.headers);
    let host = request.headers.get(HOST).and_then(|h| h.to_str().ok());
    if *entry.stage.borrow() >= StopStage::Refusing {
        log::info!(event = "request-refused", request = head.attempt.as_deref(), cause:% = Cause::Leaving; "daemon stops");
        record.end(RequestOutcome::Refused(Cause::Leaving), None);
        return entry.refuse(&ErrorResponse {
            retry_after: Some(RESTART_TIME),
            ..refusal(Cause::Leaving)
        });
    }
    let asked = entry.router.ask(|reply| RouterMessage::Plan {
        host: host.unwrap_or_default().into(),
        target: request.target.clone(),
        reply,
    });
    let plan = match asked.await {
        Ok(Ok(plan)) => plan,
        Ok(Err(cause)) => {
            log::info!(event = "request-refused", request = head.attempt.as_deref(), cause:% = cause, target = request.target.as_ref(); "no route");
            record.end(RequestOutcome::Refused(cause), None);
            return entry.refuse(&refusal(cause));
        }
        Err(e) => {
            log::warn!(event = "router-unavailable", request = head.attempt.as_deref(); "{e}");
            record.end(RequestOutcome::Refused(Cause::Internal), None);
            return entry.refuse(&refusal(Cause::Internal));
        }
    };
    let time = head
        .time_left
        .unwrap_or(DEFAULT_TIME)
        .min(plan.route.timeout);
    let mut headers = request.headers.clone();
    entry.dialect.strip_headers(&mut headers);
    let mut forwarding = Forwarding {
        entry,
        request: &request,
        headers: HopHeaders::of(&headers),
        attempt: head.attempt,
        attempts: Attempts::new(
            plan.route.max_attempts,
            plan.route.idempotency == IdempotencyLevel::Idempotent,
        ),
        plan,
        started,
        deadline: started + time.saturating_sub(ANSWER_MARGIN),
        offered: false,
        refused_for: Cause::NoUpstream,
        wait: None,
        fallback: None,
    };
    let end = Instant::now() + forwarding.time_left();
    let mut stage = entry.stage.clone();
    let conclusion = tokio::select! {
        outcome = timeout_at(end, forwarding.run()) => outcome.map_err(|_| Cause::Deadline),
        // An error means that the daemon ends, too.
        _ = stage.wait_for(|s| *s == StopStage::Ending) => Err(Cause::Leaving),
    };
    let conclusion = conclusion.unwrap_or_else(|cause| forwarding.give_up(cause));
    forwarding.conclude(conclusion, &mut record)
}

/// Why a second place is tried while the first has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    /// The request takes long there.
    Hedge,
    /// Nothing was heard of the daemon there.
    NoSign,
}

/// How a request ended.
enum Conclusion {
    Answer(HopAnswer),
    Refusal(ErrorResponse),
}

impl Forwarding<'_> {
    fn time_left(&self) -> Duration {
        self.deadline.since(self.entry.clock.now())
    }

    /// Returns the time within which a place must answer, so that the answer is back in time.
    fn time_at(&self, placed: &Placed) -> Duration {
        let left = self.time_left();
        left.saturating_sub(placed.round_trip + RETURN_ALLOWANCE)
    }

    fn objective_left(&self) -> Duration {
        let elapsed = self.entry.clock.now().since(self.started);
        self.plan.route.latency_objective.saturating_sub(elapsed)
    }

    /// Tries places until one answers or no further attempt is allowed.
    async fn run(&mut self) -> Conclusion {
        loop {
            let placed = match self.place().await {
                Ok(placed) => placed,
                Err(cause) => return self.give_up(cause),
            };
            if self.time_at(&placed).is_zero() {
                return self.give_up(Cause::Overloaded);
            }
            self.offered = true;
            let (vm, outcome) = self.attempt(placed).await;
            self.offered = false;
            let cause = match outcome {
                HopOutcome::Answered(answer) if !answer.failed => {
                    return Conclusion::Answer(answer);
                }
                HopOutcome::Answered(answer) => {
                    self.fallback = Some(answer);
                    if !self.attempts.record(vm, AttemptResult::MayHaveRun) {
                        return self.give_up(Cause::UpstreamRefused);
                    }
                    continue;
                }
                HopOutcome::NotRun {
                    cause,
                    arrived,
                    wait,
                } => {
                    log::info!(event = "not-run", request = self.attempt.as_deref(), vm = vm.as_str(), cause:% = cause, wait_ms = wait.as_millis() as u64; "not run there");
                    if !self.not_run(vm, cause, arrived, wait) {
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

    /// Offers the request to a place and, if it takes long there or nothing is heard and it may be
    /// repeated, to a second one as well. Returns the first success, or what became of the last one.
    async fn attempt(&mut self, placed: Placed) -> (VmName, HopOutcome) {
        let vm = placed.vm.clone();
        log::info!(event = "placed", request = self.attempt.as_deref(), vm = vm.as_str(), expected_ms = placed.expected.as_millis() as u64, arrivals = self.attempts.upstream_attempts(); "attempt");
        let begun = Instant::now();
        let signed = placed.sign.subscribe();
        let triggers = self.triggers(&placed);
        let request = self.hop_request(&placed, placed.expected_elsewhere);
        let (entry, plan) = (self.entry, Arc::clone(&self.plan));
        let mut first = Box::pin(entry.offer(placed, request, &plan));
        for (after, why) in triggers {
            tokio::select! {
                outcome = &mut first => return (vm, outcome),
                () = sleep_until(begun + after) => {}
            }
            if why == Second::NoSign && *signed.borrow() {
                continue;
            }
            if let Ok(second) = self.place_second(&vm, why).await {
                let second_vm = second.vm.clone();
                log::info!(event = "hedged", request = self.attempt.as_deref(), vm = second_vm.as_str(), after_ms = after.as_millis() as u64, no_sign = why == Second::NoSign; "second place");
                let request = self.hop_request(&second, None);
                let second = Box::pin(entry.offer(second, request, &plan));
                return self.race((vm, first), (second_vm, second)).await;
            }
        }
        (vm, first.await)
    }

    /// Returns the first success of two attempts, or what became of the last one.
    async fn race<F>(&mut self, first: (VmName, F), second: (VmName, F)) -> (VmName, HopOutcome)
    where
        F: Future<Output = HopOutcome> + Unpin,
    {
        let ((vm, mut first), (second_vm, mut second)) = (first, second);
        let (ended, outcome, other, rest) = tokio::select! {
            outcome = &mut first => (vm, outcome, second_vm, second),
            outcome = &mut second => (second_vm, outcome, vm, first),
        };
        if matches!(&outcome, HopOutcome::Answered(answer) if !answer.failed) {
            return (ended, outcome);
        }
        if !matches!(outcome, HopOutcome::NotRun { arrived: false, .. }) {
            self.attempts.record(ended, AttemptResult::MayHaveRun);
        }
        (other, rest.await)
    }

    /// Returns the times after which a second place is tried, in order.
    fn triggers(&self, placed: &Placed) -> SmallVec<[(Duration, Second); 2]> {
        let attempts = u32::from(self.plan.route.max_attempts);
        let left = attempts.saturating_sub(u32::from(self.attempts.upstream_attempts()));
        let mut triggers = SmallVec::new();
        if self.plan.route.idempotency != IdempotencyLevel::Idempotent || left < 2 {
            return triggers;
        }
        triggers.push((self.hedge_after(placed), Second::Hedge));
        if placed.addr.is_some() {
            triggers.push((placed.taken_within, Second::NoSign));
        }
        triggers.sort_by_key(|(after, _)| *after);
        triggers
    }

    /// Returns the time after which a hedge is worth trying: late enough that most requests have
    /// ended, and early enough that the hedge meets the objective.
    fn hedge_after(&self, placed: &Placed) -> Duration {
        let kept = placed.usual.mul_f64(HEDGE_WORK);
        let in_time = self.objective_left().saturating_sub(kept);
        in_time.max(placed.usual.mul_f64(MIN_HEDGE_WORK))
    }

    async fn place_second(&self, first: &VmName, why: Second) -> Result<Placed, Cause> {
        let mut query = self.place_query();
        query.tried.push(first.clone());
        match why {
            Second::Hedge => query.hedge = Some(self.objective_left().max(MIN_HEDGE_TIME)),
            Second::NoSign => query.is_retry = true,
        }
        self.ask_place(query).await
    }

    /// Notes that a place did not run the request; tells whether another one may be asked.
    fn not_run(&mut self, vm: VmName, cause: Cause, arrived: bool, wait: Duration) -> bool {
        if matches!(cause, Cause::Overloaded) || arrived {
            let least = self.wait.map_or(wait, |w| w.min(wait));
            self.wait = Some(least);
        }
        self.refused_for = cause;
        let result = match cause {
            // No other place may run it either.
            Cause::CrashSuspect => AttemptResult::RefusedPermanently,
            _ if arrived => AttemptResult::RefusedByUpstream,
            Cause::Elsewhere => AttemptResult::HandedBack,
            _ => AttemptResult::RefusedByDaemon,
        };
        self.attempts.record(vm, result)
    }

    fn place_query(&self) -> PlaceQuery {
        let attempts = &self.attempts;
        PlaceQuery {
            plan: Arc::clone(&self.plan),
            tried: attempts.tried().into(),
            handed_back: attempts.handed_back().into(),
            is_retry: attempts.upstream_attempts() > 0,
            hedge: None,
            settle: attempts.hand_back_limit_reached(),
            body_bytes: self.request.body.len(),
        }
    }

    async fn place(&self) -> Result<Placed, Cause> {
        let query = self.place_query();
        let any_refused = !query.tried.is_empty();
        let mut placed = self.ask_place(query.clone()).await;
        if matches!(placed, Err(Cause::NoUpstream)) && !query.handed_back.is_empty() {
            // Every place handed it back, so the best of them has to keep it.
            let query = PlaceQuery {
                settle: true,
                ..query
            };
            placed = self.ask_place(query).await;
        }
        match placed {
            // There are upstreams, but each one has refused it.
            Err(Cause::NoUpstream) if any_refused => Err(self.refused_for),
            placed => placed,
        }
    }

    async fn ask_place(&self, query: PlaceQuery) -> Result<Placed, Cause> {
        let query = Box::new(query);
        let asked = self
            .entry
            .router
            .ask(|reply| RouterMessage::Place { query, reply });
        asked.await.unwrap_or_else(|e| {
            log::warn!(event = "router-unavailable", request = self.attempt.as_deref(); "{e}");
            Err(Cause::Internal)
        })
    }

    fn hop_request(&self, placed: &Placed, elsewhere: Option<Duration>) -> HopRequest {
        let Plan { route, service, .. } = &*self.plan;
        HopRequest {
            attempt: self.attempt.clone(),
            service: service.clone(),
            caller: self.entry.own_service.clone(),
            route: route.name.clone(),
            is_retry: self.attempts.upstream_attempts() > 0,
            home_regions: route.home_regions.clone(),
            priority: route.priority,
            objective_left: self.objective_left(),
            time_left: self.time_at(placed),
            expected_elsewhere: elsewhere,
            method: self.request.method.as_str().into(),
            target: self.request.target.clone(),
            headers: self.headers.clone(),
            body: Bytes::clone(&self.request.body),
        }
    }

    /// Ends a request for which there is no further place.
    fn give_up(&mut self, cause: Cause) -> Conclusion {
        if let Some(answer) = self.fallback.take() {
            return Conclusion::Answer(answer);
        }
        let not_run = !self.offered && !self.attempts.may_have_run();
        let wait = match cause {
            Cause::NoUpstream => MISSING_UPSTREAM_TIME,
            _ => self.wait.unwrap_or(MIN_RETRY_AFTER),
        };
        Conclusion::Refusal(ErrorResponse {
            cause,
            not_run,
            retry_after: not_run.then(|| wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)),
        })
    }

    fn conclude(&self, conclusion: Conclusion, record: &mut Recorded<'_>) -> OutgoingResponse {
        let took = self.entry.clock.now().since(self.started);
        let route = self.plan.route.name.as_ref();
        match conclusion {
            Conclusion::Answer(answer) => {
                let end = if answer.failed {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Answered
                };
                log::info!(event = "request-answered", request = self.attempt.as_deref(), route = route, status = answer.status, took_ms = took.as_millis() as u64, arrivals = self.attempts.upstream_attempts(), hand_backs = self.attempts.handed_back().len(); "answered");
                record.end(end, Some(&self.attempts));
                OutgoingResponse {
                    status: answer.status(),
                    headers: answer.headers.to_map(),
                    body: answer.body,
                    close: false,
                }
            }
            Conclusion::Refusal(refusal) => {
                let end = if refusal.not_run {
                    RequestOutcome::Refused(refusal.cause)
                } else {
                    RequestOutcome::Unknown(refusal.cause)
                };
                log::info!(event = "request-refused", request = self.attempt.as_deref(), route = route, service = self.plan.service.as_str(), version = self.plan.version.0, cause:% = refusal.cause, not_run = refusal.not_run, took_ms = took.as_millis() as u64, arrivals = self.attempts.upstream_attempts(), hand_backs = self.attempts.handed_back().len(); "not served");
                record.end(end, Some(&self.attempts));
                self.entry.refuse(&refusal)
            }
        }
    }
}

/// Counts the end of a request even if its caller leaves.
struct Recorded<'a> {
    entry: &'a EntryHandler,
    started: Moment,
    ended: bool,
}

impl<'a> Recorded<'a> {
    fn begin(entry: &'a EntryHandler, started: Moment) -> Self {
        count(entry, StatsMessage::RequestStarted);
        Self {
            entry,
            started,
            ended: false,
        }
    }

    fn end(&mut self, end: RequestOutcome, attempts: Option<&Attempts>) {
        self.ended = true;
        let hand_backs = attempts.map_or(0, |a| a.handed_back().len());
        let record = RequestRecord {
            outcome: end,
            latency: self.entry.clock.now().since(self.started),
            upstream_attempts: attempts.map_or(0, |a| u32::from(a.upstream_attempts())),
            hand_backs: u32::try_from(hand_backs).unwrap_or(u32::MAX),
        };
        count(self.entry, StatsMessage::RequestFinished(record));
    }
}

impl Drop for Recorded<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(RequestOutcome::CallerDisconnected, None);
        }
    }
}

fn count(entry: &EntryHandler, message: StatsMessage) {
    if let Err(e) = entry.stats.try_send(message) {
        log::debug!("request was not counted: {e}");
    }
}
