//! Forwards a request to the daemon beside an upstream, and retries at others where that is safe.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::Clock;
use cornelvalve_model::{Fingerprint, LoadHint, Moment, Outcome, Reason, Refusal, TraceId};
use cornelvalve_policy::{AttemptId, AttemptOutcome, AttemptReport, Endpoint, Ticket};
use cornelvalve_wire::hop::{self, CallerMetadata, HopMetadata};
use http::header::{EXPECT, HOST, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::request_body::{DeferredHandle, RequestBody};
use super::tracker::RequestTracker;
use super::{EntryHandler, Result};
use crate::body::{Body, BodyEnd, BodyObserver, ObservedBody, ProgressObserver};
use crate::http_client::{ResponseTimer, UPLOAD_IDLE_TIMEOUT};
use crate::peers::ticket_of;
use crate::router::{
    self, Attempt, AttemptQuery, DetailedRefusal, RoutePlan, RouterMessage, TriedVms,
};
use cornelvalve_kernel::CompletionSender;

/// Request that is being forwarded, with everything that an attempt needs.
struct ForwardingContext<'a> {
    entry: &'a EntryHandler,
    plan: Arc<RoutePlan>,
    metadata: CallerMetadata,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    fingerprint: Fingerprint,
    body: RequestBody,
    deadline: Moment,
    tracker: &'a mut RequestTracker,
}

/// Result of one attempt.
enum AttemptResult {
    /// The upstream responded; carries the response and the time until its headers arrived.
    Answered(Response<Body>, Duration),
    /// The other daemon refused the request; carries the refusal, the load of the upstream if the
    /// response has it, and the latency.
    Refused(Refusal, Option<LoadHint>, Duration),
    /// The other daemon sent no response; carries the refusal to report, which says whether the
    /// request may have run and why it failed, and the latency.
    Failed(Refusal, Duration),
}

/// Forwards a request and returns the response of an upstream.
///
/// # Errors
///
/// Returns the refusal of the last attempt if no further attempt is allowed.
pub(super) async fn forward(
    entry: &EntryHandler,
    request: Request<Incoming>,
    metadata: CallerMetadata,
    plan: RoutePlan,
    tracker: &mut RequestTracker,
) -> Result<Response<Body>> {
    let deadline = entry.clock.now() + metadata.time_left.unwrap_or(plan.timeout);
    let (parts, body) = request.into_parts();
    let body = RequestBody::read(body, entry.buffer_bytes)
        .await
        .map_err(|_| Refusal::not_run(Reason::BadRequest))?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint =
        router::fingerprint(&plan, parts.method.as_str(), path, body.fingerprint_bytes());
    let ticket = ticket_of(plan.class, metadata.key.as_ref())?;
    let forwarding = ForwardingContext {
        entry,
        plan: Arc::new(plan),
        metadata,
        uri: origin_form(&parts),
        headers: forwarded_headers(&parts.uri, parts.headers),
        method: parts.method,
        fingerprint,
        body,
        deadline,
        tracker,
    };
    match ticket {
        Some(ticket) => forwarding.forward_to_issuer(ticket).await,
        None => forwarding.forward_with_retries().await,
    }
}

/// Returns the request target without scheme and authority.
fn origin_form(parts: &Parts) -> Uri {
    let path = parts.uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// Returns the headers to forward: those of the caller with the routed host and a trace, without
/// those that concern the caller's connection or that only daemons may set.
fn forwarded_headers(target: &Uri, mut headers: HeaderMap) -> HeaderMap {
    // The request was routed by the host in its target, so the upstream must not see a different
    // one (RFC 9112, 3.2.2).
    if let Some(host) = target.authority().map(|a| a.as_str())
        && let Ok(host) = HeaderValue::from_str(host)
    {
        headers.insert(HOST, host);
    }
    hop::strip_connection_headers(&mut headers);
    hop::strip_internal_headers(&mut headers);
    headers.remove(EXPECT);
    hop::ensure_trace(&mut headers, TraceId(rand::random()), rand::random());
    headers
}

impl ForwardingContext<'_> {
    /// Sends the request once, to the daemon that issued its ticket.
    ///
    /// # Errors
    ///
    /// Returns a refusal, marked as coming from the issuer if that daemon sent it.
    async fn forward_to_issuer(mut self, ticket: Ticket) -> Result<Response<Body>> {
        let asked = self.entry.router.ask(|reply| RouterMessage::FindIssuer {
            ticket,
            plan: Arc::clone(&self.plan),
            reply,
        });
        let endpoint = asked
            .await
            .map_err(|_| Refusal::not_run(Reason::Internal))??;
        self.check_issuer_region(&endpoint)?;
        match self.send_attempt(&endpoint).await {
            AttemptResult::Answered(response, _) => Ok(strip_daemon_headers(response)),
            AttemptResult::Refused(refusal, ..) => Err(DetailedRefusal {
                from_issuer: true,
                ..refusal.into()
            }),
            AttemptResult::Failed(refusal, _) => Err(refusal.into()),
        }
    }

    /// Checks that the request may be sent to the region of its issuer; a residency rule may have
    /// been added after the ticket was issued.
    fn check_issuer_region(&self, endpoint: &Endpoint) -> std::result::Result<(), Refusal> {
        match &self.plan.regions {
            Some(regions) if !regions.contains(&endpoint.region) => {
                Err(Refusal::not_run(Reason::HomeRegion))
            }
            _ => Ok(()),
        }
    }

    /// Tries upstreams of the service until one responds or the router allows no further attempt.
    async fn forward_with_retries(mut self) -> Result<Response<Body>> {
        let mut tried = TriedVms::new();
        let mut failure: Option<(Refusal, bool)> = None;
        loop {
            let attempt = self.next_attempt(&tried, failure).await?;
            let Attempt {
                endpoint,
                id,
                report,
            } = attempt;
            let (refusal, hint, latency) = match self.send_attempt(&endpoint).await {
                AttemptResult::Answered(response, latency) => {
                    return Ok(report_attempt_on_end(response, latency, id, report));
                }
                AttemptResult::Refused(refusal, hint, latency) => (refusal, hint, latency),
                AttemptResult::Failed(refusal, latency) => (refusal, None, latency),
            };
            let attempt = AttemptReport {
                outcome: attempt_outcome_of(refusal),
                latency,
                hint,
            };
            report.finish((id, attempt));
            tried.push(endpoint.vm);
            let refusal = combine_refusals(failure.map(|(earlier, _)| earlier), refusal);
            failure = Some((refusal, self.body.is_replayable()));
        }
    }

    /// Asks the router for the next upstream; `failure` is the refusal of the previous attempt and
    /// whether the body can be replayed.
    async fn next_attempt(
        &self,
        tried: &TriedVms,
        failure: Option<(Refusal, bool)>,
    ) -> Result<Attempt> {
        let query = AttemptQuery {
            plan: Arc::clone(&self.plan),
            tried: tried.clone(),
            deadline: self.deadline,
            failure,
        };
        let asked = self
            .entry
            .router
            .ask(|reply| RouterMessage::StartAttempt { query, reply });
        let fallback = failure.map_or(Refusal::not_run(Reason::Internal), |(r, _)| r);
        Ok(asked.await.map_err(|_| fallback)??)
    }

    /// Sends the request to one daemon and classifies what comes back.
    async fn send_attempt(&mut self, endpoint: &Endpoint) -> AttemptResult {
        let clock: &dyn Clock = &*self.entry.clock;
        let started = clock.now();
        if self.deadline <= started {
            let refusal = Refusal::not_run(Reason::Deadline);
            return AttemptResult::Failed(refusal, Duration::ZERO);
        }
        let (mut request, timer, handle) = self.build_request(started);
        self.tracker.record_attempt();
        self.entry.propagator.inject(request.headers_mut()).await;
        let sent = self.entry.client.send(endpoint.peer_addr, request, &timer);
        let result = sent.await;
        let latency = clock.now().since(started);
        if let Ok(response) = &result {
            self.entry.propagator.extract(response.headers());
            let upstream_time = hop::decode_upstream_time(response.headers());
            self.tracker.record_added_latency(latency, upstream_time);
        }
        match result {
            Ok(response) => match hop::decode_refusal(response.headers()) {
                Some(refusal) => {
                    let hint = hop::decode_load_hint(response.headers());
                    drop(response);
                    self.body.restore(handle).await;
                    AttemptResult::Refused(refusal, hint, latency)
                }
                None => AttemptResult::Answered(response, latency),
            },
            Err(e) => {
                self.body.restore(handle).await;
                AttemptResult::Failed(e.refusal(), latency)
            }
        }
    }

    /// Creates the request of one attempt, its timeout and, if the body is deferred, its handle.
    fn build_request(
        &mut self,
        now: Moment,
    ) -> (Request<Body>, ResponseTimer, Option<DeferredHandle>) {
        let deferred = self.body.is_deferred();
        let (body, mut handle) = self.body.take();
        let (observer, progress) = ProgressObserver::new();
        let body = ObservedBody::new(body, observer).boxed_unsync();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let time_left = self.deadline.since(now);
        self.hop_metadata(time_left).encode(request.headers_mut());
        if deferred {
            let expect = HeaderValue::from_static("100-continue");
            request.headers_mut().insert(EXPECT, expect);
        }
        if let Some(release) = handle.as_mut().and_then(|h| h.release.take()) {
            send_body_on_continue(&mut request, release);
        }
        let upload = deferred.then_some((progress, UPLOAD_IDLE_TIMEOUT));
        // The response timer runs on the clock of the runtime, not on that of the services.
        let deadline = Instant::now() + time_left;
        (request, ResponseTimer { deadline, upload }, handle)
    }

    /// Creates the headers for the daemon beside the upstream.
    fn hop_metadata(&self, time_left: Duration) -> HopMetadata {
        HopMetadata {
            service: self.plan.service.clone(),
            route: self.plan.route.clone(),
            team: self.plan.team.clone(),
            class: self.plan.class,
            key: self.metadata.key.clone(),
            fingerprint: self.fingerprint,
            revision: self.plan.revision,
            time_left,
            depth: self.metadata.depth,
        }
    }
}

/// Returns the refusal of the request as a whole after a further attempt was refused.
///
/// Once an attempt may have run, the outcome stays unknown even if a later attempt did not run.
fn combine_refusals(earlier: Option<Refusal>, refusal: Refusal) -> Refusal {
    match earlier {
        Some(earlier) if earlier.outcome == Outcome::Unknown => Refusal::unknown(refusal.reason),
        _ => refusal,
    }
}

/// Removes the headers that are meant for daemons or for this connection only.
fn strip_daemon_headers(mut response: Response<Body>) -> Response<Body> {
    hop::strip_internal_headers(response.headers_mut());
    hop::strip_connection_headers(response.headers_mut());
    response
}

/// Returns the response with a body that reports the outcome of the attempt to the router when it
/// ends.
fn report_attempt_on_end(
    response: Response<Body>,
    latency: Duration,
    id: AttemptId,
    report: CompletionSender<(AttemptId, AttemptReport)>,
) -> Response<Body> {
    let observer = AttemptObserver {
        latency,
        failed: response.status().is_server_error(),
        hint: hop::decode_load_hint(response.headers()),
        id,
        report: Some(report),
    };
    strip_daemon_headers(response).map(|body| ObservedBody::new(body, observer).boxed_unsync())
}

/// Releases a deferred body when the other daemon has admitted the request.
fn send_body_on_continue(request: &mut Request<Body>, release: mpsc::Sender<()>) {
    hyper::ext::on_informational(request, move |response| {
        if response.status() == StatusCode::CONTINUE {
            // The channel is full if the body has been released already.
            let _ = release.try_send(());
        }
    });
}

/// Returns the outcome that is reported to the balancer for an attempt that was refused or failed.
fn attempt_outcome_of(refusal: Refusal) -> AttemptOutcome {
    match refusal.reason {
        Reason::Connection => AttemptOutcome::Failed,
        reason => AttemptOutcome::Refused(reason),
    }
}

/// Reports the outcome of an attempt when the body of its response ends.
struct AttemptObserver {
    latency: Duration,
    failed: bool,
    hint: Option<LoadHint>,
    id: AttemptId,
    report: Option<CompletionSender<(AttemptId, AttemptReport)>>,
}

impl BodyObserver for AttemptObserver {
    fn on_end(&mut self, end: BodyEnd) {
        let Some(report) = self.report.take() else {
            return;
        };
        let outcome = match end {
            BodyEnd::Complete if !self.failed => AttemptOutcome::Answered,
            BodyEnd::Complete | BodyEnd::Failed => AttemptOutcome::Failed,
            BodyEnd::Dropped => AttemptOutcome::Cancelled,
        };
        let attempt = AttemptReport {
            outcome,
            latency: self.latency,
            hint: self.hint,
        };
        report.finish((self.id, attempt));
    }
}
