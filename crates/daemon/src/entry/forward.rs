//! Attempts to have a request served.

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

use super::hold::{Gate, HeldBody};
use super::record::RequestRecord;
use super::{EntryHandler, Result};
use crate::body::{Body, BodyEnd, BodyObserver, Observed, ProgressObserver};
use crate::exchange::{HeadTimeout, UPLOAD_ALLOWANCE};
use crate::peers::ticket_of;
use crate::router::{self, Attempt, AttemptQuery, RoutePlan, RouteRefusal, RouterMessage, Tried};
use cornelvalve_kernel::CompletionSender;

/// Request on its way, with all that each attempt needs.
struct Forwarding<'a> {
    entry: &'a EntryHandler,
    plan: Arc<RoutePlan>,
    head: CallerMetadata,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    fingerprint: Fingerprint,
    body: HeldBody,
    deadline: Moment,
    record: &'a mut RequestRecord,
}

/// What one attempt brought.
enum AttemptResult {
    /// The response of the upstream.
    Answered(Response<Body>, Duration),
    /// The other daemon refused.
    Refused(Refusal, Option<LoadHint>, Duration),
    /// No response came from the other daemon.
    Failed(Refusal, Duration),
}

/// Forwards a request until it is answered or must not be tried again.
pub(super) async fn forward(
    entry: &EntryHandler,
    request: Request<Incoming>,
    head: CallerMetadata,
    plan: RoutePlan,
    record: &mut RequestRecord,
) -> Result<Response<Body>> {
    let deadline = entry.clock.now() + head.time_left.unwrap_or(plan.timeout);
    let (parts, body) = request.into_parts();
    let body = HeldBody::read(body, entry.buffer_bytes)
        .await
        .map_err(|_| Refusal::not_run(Reason::BadRequest))?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = router::fingerprint(&plan, parts.method.as_str(), path, body.prefix());
    let ticket = ticket_of(plan.class, head.key.as_ref())?;
    let forwarding = Forwarding {
        entry,
        plan: Arc::new(plan),
        head,
        uri: origin_form(&parts),
        headers: forwarded_headers(&parts.uri, parts.headers),
        method: parts.method,
        fingerprint,
        body,
        deadline,
        record,
    };
    match ticket {
        Some(ticket) => forwarding.run_at_issuer(ticket).await,
        None => forwarding.run_anywhere().await,
    }
}

fn origin_form(parts: &Parts) -> Uri {
    let path = parts.uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

fn forwarded_headers(target: &Uri, mut headers: HeaderMap) -> HeaderMap {
    // The host of the target was routed, so the upstream must see no other one (RFC 9112, 3.2.2).
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

impl Forwarding<'_> {
    /// Sends the request to the daemon that issued its ticket, once.
    ///
    /// A refusal by that daemon is marked as such.
    async fn run_at_issuer(mut self, ticket: Ticket) -> Result<Response<Body>> {
        let asked = self.entry.router.ask(|reply| RouterMessage::Locate {
            ticket,
            plan: Arc::clone(&self.plan),
            reply,
        });
        let endpoint = asked
            .await
            .map_err(|_| Refusal::not_run(Reason::Internal))??;
        self.check_region(&endpoint)?;
        match self.attempt(&endpoint).await {
            AttemptResult::Answered(response, _) => Ok(clean(response)),
            AttemptResult::Refused(refusal, ..) => Err(RouteRefusal {
                by_issuer: true,
                ..refusal.into()
            }),
            AttemptResult::Failed(refusal, _) => Err(refusal.into()),
        }
    }

    /// Checks that the request may be sent to the region of its issuer; a rule may be younger than
    /// the ticket.
    fn check_region(&self, endpoint: &Endpoint) -> std::result::Result<(), Refusal> {
        match &self.plan.regions {
            Some(regions) if !regions.contains(&endpoint.region) => {
                Err(Refusal::not_run(Reason::HomeRegion))
            }
            _ => Ok(()),
        }
    }

    /// Tries upstreams of the service until one answers or no further attempt is allowed.
    async fn run_anywhere(mut self) -> Result<Response<Body>> {
        let mut tried = Tried::new();
        let mut failure: Option<(Refusal, bool)> = None;
        loop {
            let attempt = self.next_attempt(&tried, failure).await?;
            let Attempt {
                endpoint,
                id,
                report,
            } = attempt;
            let (refusal, hint, latency) = match self.attempt(&endpoint).await {
                AttemptResult::Answered(response, latency) => {
                    return Ok(observe(response, latency, id, report));
                }
                AttemptResult::Refused(refusal, hint, latency) => (refusal, hint, latency),
                AttemptResult::Failed(refusal, latency) => (refusal, None, latency),
            };
            let attempt = AttemptReport {
                outcome: attempt_outcome(refusal),
                latency,
                hint,
            };
            report.finish((id, attempt));
            tried.push(endpoint.vm);
            let refusal = after_earlier(failure.map(|(earlier, _)| earlier), refusal);
            failure = Some((refusal, self.body.is_available()));
        }
    }

    async fn next_attempt(
        &self,
        tried: &Tried,
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
            .ask(|reply| RouterMessage::Attempt { query, reply });
        let fallback = failure.map_or(Refusal::not_run(Reason::Internal), |(r, _)| r);
        Ok(asked.await.map_err(|_| fallback)??)
    }

    async fn attempt(&mut self, endpoint: &Endpoint) -> AttemptResult {
        let clock: &dyn Clock = &*self.entry.clock;
        let started = clock.now();
        if self.deadline <= started {
            let refusal = Refusal::not_run(Reason::Deadline);
            return AttemptResult::Failed(refusal, Duration::ZERO);
        }
        let (mut request, timeout, gate) = self.request(started);
        self.record.attempted();
        self.entry.propagator.inject(request.headers_mut()).await;
        let sent = self
            .entry
            .exchanger
            .send(endpoint.peer_addr, request, &timeout);
        let result = sent.await;
        let latency = clock.now().since(started);
        if let Ok(response) = &result {
            self.entry.propagator.extract(response.headers());
            let upstream = hop::decode_upstream_time(response.headers());
            self.record.answered_after(latency, upstream);
        }
        match result {
            Ok(response) => match hop::decode_refusal(response.headers()) {
                Some(refusal) => {
                    let hint = hop::decode_load_hint(response.headers());
                    drop(response);
                    self.body.recover(gate).await;
                    AttemptResult::Refused(refusal, hint, latency)
                }
                None => AttemptResult::Answered(response, latency),
            },
            Err(e) => {
                self.body.recover(gate).await;
                AttemptResult::Failed(e.refusal(), latency)
            }
        }
    }

    fn request(&mut self, now: Moment) -> (Request<Body>, HeadTimeout, Option<Gate>) {
        let gated = self.body.is_gated();
        let (body, mut gate) = self.body.take();
        let (observer, progress) = ProgressObserver::new();
        let body = Observed::new(body, observer).boxed_unsync();
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let time_left = self.deadline.since(now);
        self.hop_head(time_left).encode(request.headers_mut());
        if gated {
            let expect = HeaderValue::from_static("100-continue");
            request.headers_mut().insert(EXPECT, expect);
        }
        if let Some(open) = gate.as_mut().and_then(|g| g.open.take()) {
            open_on_continue(&mut request, open);
        }
        let upload = gated.then_some((progress, UPLOAD_ALLOWANCE));
        let deadline = Instant::now() + time_left;
        (request, HeadTimeout { deadline, upload }, gate)
    }

    fn hop_head(&self, time_left: Duration) -> HopMetadata {
        HopMetadata {
            service: self.plan.service.clone(),
            route: self.plan.route.clone(),
            team: self.plan.team.clone(),
            class: self.plan.class,
            key: self.head.key.clone(),
            fingerprint: self.fingerprint,
            revision: self.plan.revision,
            time_left,
            depth: self.head.depth,
        }
    }
}

/// Returns what a further refusal means for the request as a whole: once an attempt may have run,
/// no later one makes it "not run" again.
fn after_earlier(earlier: Option<Refusal>, refusal: Refusal) -> Refusal {
    match earlier {
        Some(earlier) if earlier.outcome == Outcome::Unknown => Refusal::unknown(refusal.reason),
        _ => refusal,
    }
}

/// Removes what concerns only the daemons.
fn clean(mut response: Response<Body>) -> Response<Body> {
    hop::strip_internal_headers(response.headers_mut());
    hop::strip_connection_headers(response.headers_mut());
    response
}

/// Lets the end of the response report the end of the attempt.
fn observe(
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
    clean(response).map(|body| Observed::new(body, observer).boxed_unsync())
}

/// Opens the gate of a body when the other side has admitted the request.
fn open_on_continue(request: &mut Request<Body>, open: mpsc::Sender<()>) {
    hyper::ext::on_informational(request, move |response| {
        if response.status() == StatusCode::CONTINUE {
            // A full channel means that the gate is open already.
            let _ = open.try_send(());
        }
    });
}

fn attempt_outcome(refusal: Refusal) -> AttemptOutcome {
    match refusal.reason {
        Reason::Connection => AttemptOutcome::Failed,
        reason => AttemptOutcome::Refused(reason),
    }
}

/// Reports the end of an attempt when its response ends.
struct AttemptObserver {
    latency: Duration,
    failed: bool,
    hint: Option<LoadHint>,
    id: AttemptId,
    report: Option<CompletionSender<(AttemptId, AttemptReport)>>,
}

impl BodyObserver for AttemptObserver {
    fn end(&mut self, end: BodyEnd) {
        let Some(report) = self.report.take() else {
            return;
        };
        let ended = match end {
            BodyEnd::Complete if !self.failed => AttemptOutcome::Answered,
            BodyEnd::Complete | BodyEnd::Failed => AttemptOutcome::Failed,
            BodyEnd::Dropped => AttemptOutcome::Cancelled,
        };
        let attempt = AttemptReport {
            outcome: ended,
            latency: self.latency,
            hint: self.hint,
        };
        report.finish((self.id, attempt));
    }
}
