//! Entry: takes callers' requests, chooses an upstream and forwards to the daemon beside it.

mod forward;
mod hold;
mod record;
mod tickets;

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
use crate::exchange::Exchanger;
use crate::listener::{self, Handler, ListenerLimits};
use crate::metrics::Metrics;
use crate::names::{POOL, ROUTER};
use crate::respond;
use crate::router::{RoutePlan, RouteQuery, RouteRefusal, RouterMessage};
use crate::timeline::{ClockPropagator, TIMELINE, TimelineMessage};
use record::RequestRecord;

/// Path on which callers ask for tickets.
const TICKETS_PATH: &str = "/.well-known/cornelvalve/tickets";

/// Result alias of this module.
type Result<T> = std::result::Result<T, RouteRefusal>;

/// Messages to the entry: none, it only listens.
#[derive(Debug)]
pub(crate) enum EntryMessage {}

/// Runs the entry.
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
        exchanger: Exchanger::new(context.registry.mailbox(POOL)?),
        clock: Arc::clone(&context.clock),
        buffer_bytes,
        metrics,
        propagator: ClockPropagator::new(timeline.clone()),
        timeline,
    };
    listener::serve(&listener, handler, limits, &mut context.stop).await?;
    Ok(())
}

/// Handles callers' requests.
#[derive(Clone)]
struct EntryHandler {
    router: Mailbox<RouterMessage>,
    exchanger: Exchanger,
    clock: Arc<dyn Clock>,
    buffer_bytes: usize,
    metrics: Metrics,
    timeline: Mailbox<TimelineMessage>,
    propagator: ClockPropagator,
}

impl Handler for EntryHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let mut record = RequestRecord::new(self.metrics.clone(), self.timeline.clone());
        let ticketed = carries_ticket(&request);
        let handled = if request.uri().path() == TICKETS_PATH {
            tickets::issue(self, request).await
        } else {
            self.serve(request, &mut record).await
        };
        match handled {
            Ok(response) => record.answered(response),
            Err(e) => {
                let refusal = match ticketed && !e.by_issuer {
                    true => without_issuer(e.refusal),
                    false => e.refusal,
                };
                record.refused(refusal);
                respond::refusal(refusal, e.detail)
            }
        }
    }
}

/// Tells whether an earlier request with the same key may have run.
fn carries_ticket(request: &Request<Incoming>) -> bool {
    let key = request.headers().get(hop::IDEMPOTENCY_KEY);
    let key = key.and_then(|key| key.to_str().ok()).map(hop::unquote);
    key.is_some_and(|key| Ticket::parse(key).is_ok())
}

/// Returns what an entry may say about a ticket without its issuer, which alone knows whether an
/// earlier request with it ran.
fn without_issuer(refusal: Refusal) -> Refusal {
    Refusal::unknown(refusal.reason)
}

impl EntryHandler {
    async fn serve(
        &self,
        request: Request<Incoming>,
        record: &mut RequestRecord,
    ) -> Result<Response<Body>> {
        let head = caller_head(&request)?;
        let query = RouteQuery {
            host: host_of(&request)?,
            path: request.uri().path().to_owned(),
            method: request.method().as_str().to_owned(),
            team: head.team.clone(),
        };
        let plan = self.route(query).await?;
        record.set_service(&plan.service);
        forward::forward(self, request, head, plan, record).await
    }

    async fn route(&self, query: RouteQuery) -> Result<RoutePlan> {
        let asked = self
            .router
            .ask(|reply| RouterMessage::Route { query, reply });
        asked
            .await
            .map_err(|_| Refusal::not_run(Reason::Internal))?
    }
}

/// Reads the caller's headers.
fn caller_head(request: &Request<Incoming>) -> Result<CallerMetadata> {
    CallerMetadata::decode(request.headers())
        .map_err(|e| RouteRefusal::with_detail(e.refusal(), Some(e.to_string())))
}

/// Returns the host that the request names, from its target or its header.
fn host_of(request: &Request<Incoming>) -> Result<String> {
    // A tunnel is no request with a response.
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

/// Creates the refusal of a request that cannot be understood.
fn bad_request(detail: &str) -> RouteRefusal {
    RouteRefusal::with_detail(
        Refusal::not_run(Reason::BadRequest),
        Some(detail.to_owned()),
    )
}
