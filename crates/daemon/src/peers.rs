//! Peer listener: takes requests that other daemons forward to a local upstream.

mod deliver;
mod ticketed;

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use cornelvalve_kernel::{Clock, Context, Mailbox, ServiceResult};
use cornelvalve_model::{
    IdempotencyKey, LoadHint, Nesting, Reason, Refusal, RequestClass, ServiceName, TraceId,
};
use cornelvalve_policy::Ticket;
use cornelvalve_wire::hop::{self, HopMetadata};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::answer;
use crate::body::Body;
use crate::exchange::Exchanger;
use crate::guard::{Admitted, Call, GuardMessage};
use crate::listener::{self, Handler, ListenerLimits};
use crate::names::{GUARD, POOL};
use crate::respond;
use crate::timeline::{ClockPropagator, TIMELINE};

/// Path of requests for tickets between daemons; cannot be routed, because forwarded requests
/// carry hop headers and this one does not.
pub(crate) const TICKETS_PATH: &str = "/.cornelvalve/tickets";

/// Request of an entry for tickets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TicketOrder {
    /// Service for which the tickets are valid.
    pub(crate) service: ServiceName,
    /// How many are wanted.
    pub(crate) count: usize,
}

/// Messages to the peer listener: none, it only listens.
#[derive(Debug)]
pub(crate) enum PeersMessage {}

/// Runs the peer listener.
pub(crate) async fn run_peers(
    mut context: Context<PeersMessage>,
    listener: Arc<StdListener>,
    limits: ListenerLimits,
    answer_bytes: usize,
) -> ServiceResult {
    let handler = PeerHandler {
        guard: context.registry.mailbox(GUARD)?,
        exchanger: Exchanger::new(context.registry.mailbox(POOL)?),
        clock: Arc::clone(&context.clock),
        answer_bytes,
        propagator: ClockPropagator::new(context.registry.mailbox(TIMELINE)?),
    };
    listener::serve(&listener, handler, limits, &mut context.stop).await?;
    Ok(())
}

/// Handles forwarded requests.
#[derive(Clone)]
struct PeerHandler {
    guard: Mailbox<GuardMessage>,
    exchanger: Exchanger,
    clock: Arc<dyn Clock>,
    answer_bytes: usize,
    propagator: ClockPropagator,
}

impl Handler for PeerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        self.propagator.extract(request.headers());
        let handled = if request.uri().path() == TICKETS_PATH {
            self.issue(request).await
        } else {
            self.forward(request).await
        };
        let mut response =
            handled.unwrap_or_else(|refusal| respond::hop_refusal(refusal, LoadHint::default()));
        self.propagator.inject(response.headers_mut()).await;
        response
    }
}

impl PeerHandler {
    async fn issue(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let order: TicketOrder = deliver::read_json(request).await?;
        let TicketOrder { service, count } = order;
        let asked = self.guard.ask(|reply| GuardMessage::Issue {
            service,
            count,
            reply,
        });
        let tickets = asked
            .await
            .map_err(|_| Refusal::not_run(Reason::Internal))??;
        let texts: Vec<String> = tickets.iter().map(Ticket::to_string).collect();
        Ok(respond::json(StatusCode::OK, &texts))
    }

    async fn forward(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let head = HopMetadata::decode(request.headers()).map_err(|e| e.refusal())?;
        let call = self.call(&head, hop::decode_trace(request.headers()))?;
        let deadline = call.deadline;
        let ticketed = call.ticket.is_some();
        let asked = self.guard.ask(|reply| GuardMessage::Admit {
            call: Box::new(call),
            reply,
        });
        // A guard that gives no reply has not let the request run, but an earlier request with
        // the same ticket may have run.
        let no_reply = match ticketed {
            true => Refusal::unknown(Reason::Internal),
            false => Refusal::not_run(Reason::Internal),
        };
        let admitted = asked.await.map_err(|_| no_reply)?;
        match admitted {
            Admitted::Refused(refusal, hint) => Ok(respond::hop_refusal(refusal, hint)),
            Admitted::Replay(stored) => {
                answer::decode(&stored).ok_or(Refusal::unknown(Reason::TicketGone))
            }
            Admitted::Run(permit) if ticketed => {
                ticketed::run(self, request, head, permit, deadline).await
            }
            Admitted::Run(permit) => deliver::run(self, request, &head, permit, deadline).await,
        }
    }

    fn call(&self, head: &HopMetadata, trace: Option<TraceId>) -> Result<Call, Refusal> {
        let depth = head.depth;
        Ok(Call {
            service: head.service.clone(),
            route: head.route.clone(),
            team: head.team.clone(),
            revision: head.revision,
            ticket: ticket_of(head.class, head.key.as_ref())?,
            fingerprint: head.fingerprint,
            deadline: self.clock.now() + head.time_left,
            nesting: trace.map(|trace| Nesting { trace, depth }),
        })
    }
}

/// Reads the ticket of an at-most-once request; other requests keep their key as it is.
///
/// # Errors
///
/// Returns a refusal if the key of an at-most-once request is not a ticket.
pub(crate) fn ticket_of(
    class: RequestClass,
    key: Option<&IdempotencyKey>,
) -> Result<Option<Ticket>, Refusal> {
    match (class, key) {
        (RequestClass::AtMostOnce, Some(key)) => Ticket::parse(&key.0)
            .map(Some)
            .map_err(|_| Refusal::not_run(Reason::BadTicket)),
        _ => Ok(None),
    }
}
