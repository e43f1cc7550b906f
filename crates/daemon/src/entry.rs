//! Entry service: accepts callers' requests and forwards them to the daemons beside the upstreams.
//!
//! The daemon that a caller connects to is the entry of the request. The daemon on the VM of the
//! chosen upstream admits the request and delivers it; both may be the same process.

mod forward;
mod request_body;
mod tickets;
mod tracker;

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use cornelvalve_kernel::{Clock, Context, Mailbox, ServiceResult};
use cornelvalve_model::{Reason, Refusal};
use cornelvalve_policy::Ticket;
use cornelvalve_wire::hop::{self, CallerMetadata};
use http::header::HOST;
use http::{Method, Request, Response};
use hyper::body::Incoming;

use crate::body::Body;
use crate::http_client::HttpClient;
use crate::listener::{self, Handler, ListenerLimits};
use crate::metrics::Metrics;
use crate::names::{POOL, ROUTER};
use crate::respond;
use crate::router::{DetailedRefusal, RoutePlan, RouteQuery, RouterMessage};
use crate::timeline::{ClockPropagator, TIMELINE, TimelineMessage};
use tracker::RequestTracker;

/// Path at which callers request tickets.
const CALLER_TICKETS_PATH: &str = "/.well-known/cornelvalve/tickets";

/// Result alias of this module.
type Result<T> = std::result::Result<T, DetailedRefusal>;

/// Messages to the entry service; it receives none.
#[derive(Debug)]
pub(crate) enum EntryMessage {}

/// Runs the entry service.
///
/// Request bodies of up to `buffer_bytes` are buffered, so that they can be sent again on a retry.
pub(crate) async fn run_entry(
    mut context: Context<EntryMessage>,
    listener: Arc<StdListener>,
    limits: ListenerLimits,
    buffer_bytes: usize,
    metrics: Metrics,
) -> ServiceResult {
    let timeline = context.registry.mailbox(TIMELINE)?;
    let handler = EntryHandler {
        router: context.registry.mailbox(ROUTER)?,
        client: HttpClient::new(context.registry.mailbox(POOL)?),
        clock: Arc::clone(&context.clock),
        buffer_bytes,
        metrics,
        propagator: ClockPropagator::new(timeline.clone()),
        timeline,
    };
    listener::serve(&listener, handler, limits, &mut context.stop).await?;
    Ok(())
}

/// Handler of callers' requests.
#[derive(Clone)]
struct EntryHandler {
    router: Mailbox<RouterMessage>,
    client: HttpClient,
    clock: Arc<dyn Clock>,
    buffer_bytes: usize,
    metrics: Metrics,
    timeline: Mailbox<TimelineMessage>,
    propagator: ClockPropagator,
}

impl Handler for EntryHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let mut tracker = RequestTracker::new(self.metrics.clone(), self.timeline.clone());
        let ticketed = carries_ticket(&request);
        let result = if request.uri().path() == CALLER_TICKETS_PATH {
            tickets::issue(self, request).await
        } else {
            self.serve(request, &mut tracker).await
        };
        match result {
            Ok(response) => tracker.observe_response(response),
            Err(e) => {
                let refusal = match ticketed && !e.from_issuer {
                    true => with_unknown_outcome(e.refusal),
                    false => e.refusal,
                };
                tracker.record_refusal(refusal);
                respond::refusal_response(refusal, e.detail)
            }
        }
    }
}

/// Returns whether the idempotency key has the form of a ticket, in which case an earlier request
/// with it may have run.
///
/// Whether the request needs a ticket is not known before it is routed, so the form decides.
fn carries_ticket(request: &Request<Incoming>) -> bool {
    let key = request.headers().get(hop::IDEMPOTENCY_KEY);
    let key = key.and_then(|key| key.to_str().ok()).map(hop::unquote);
    key.is_some_and(|key| Ticket::parse(key).is_ok())
}

/// Returns the refusal with an unknown outcome.
///
/// Only the daemon that issued a ticket knows whether an earlier request with it ran, so an entry
/// must not report "not run" on its own.
fn with_unknown_outcome(refusal: Refusal) -> Refusal {
    Refusal::unknown(refusal.reason)
}

impl EntryHandler {
    /// Routes and forwards a request.
    async fn serve(
        &self,
        request: Request<Incoming>,
        tracker: &mut RequestTracker,
    ) -> Result<Response<Body>> {
        let metadata = decode_caller_metadata(&request)?;
        let query = RouteQuery {
            host: host_of(&request)?,
            path: request.uri().path().to_owned(),
            method: request.method().as_str().to_owned(),
            team: metadata.team.clone(),
        };
        let plan = self.route(query).await?;
        tracker.set_service(&plan.service);
        forward::forward(self, request, metadata, plan, tracker).await
    }

    /// Asks the router how to treat a request.
    async fn route(&self, query: RouteQuery) -> Result<RoutePlan> {
        let asked = self
            .router
            .ask(|reply| RouterMessage::Route { query, reply });
        asked
            .await
            .map_err(|_| Refusal::not_run(Reason::Internal))?
    }
}

/// Decodes the headers by which a caller controls its request, such as team and deadline.
fn decode_caller_metadata(request: &Request<Incoming>) -> Result<CallerMetadata> {
    CallerMetadata::decode(request.headers())
        .map_err(|e| DetailedRefusal::with_detail(e.refusal(), Some(e.to_string())))
}

/// Returns the host that the request is for, from its target or else from its `host` header.
fn host_of(request: &Request<Incoming>) -> Result<String> {
    // CONNECT opens a tunnel, which cannot be treated as a request with one response.
    if request.method() == Method::CONNECT {
        return Err(bad_request(
            "method CONNECT is not served; send the request itself",
        ));
    }
    let mut headers = request.headers().get_all(HOST).iter();
    let (first, second) = (headers.next(), headers.next());
    if second.is_some() {
        return Err(bad_request("header host is repeated; send it once"));
    }
    let target = request.uri().authority().map(|a| a.as_str());
    let header = first.and_then(|v| v.to_str().ok());
    target
        .or(header)
        .map(str::to_owned)
        .ok_or_else(|| bad_request("header host is missing; name the service in it"))
}

/// Creates the refusal of a malformed request; `detail` tells the caller what to change.
fn bad_request(detail: &str) -> DetailedRefusal {
    DetailedRefusal::with_detail(
        Refusal::not_run(Reason::BadRequest),
        Some(detail.to_owned()),
    )
}
