//! Peers service: accepts requests that other daemons forward to a local upstream.
//!
//! The forwarding daemon is the entry of the request: the one that the caller connected to. It may
//! be this process itself.

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

use crate::body::Body;
use crate::guard::{AdmissionDecision, AdmissionRequest, GuardMessage};
use crate::http_client::HttpClient;
use crate::listener::{self, Handler, ListenerLimits};
use crate::names::{GUARD, POOL};
use crate::respond;
use crate::stored_response;
use crate::timeline::{ClockPropagator, TIMELINE};

/// Path of requests for tickets between daemons.
///
/// The daemon handles these requests itself, so a request with this path never reaches an upstream.
/// Unlike forwarded requests, they carry none of the headers that daemons add for each other.
pub(crate) const PEER_TICKETS_PATH: &str = "/.cornelvalve/tickets";

/// Body of a request for tickets from an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TicketRequest {
    /// Service for which the tickets are valid.
    pub(crate) service: ServiceName,
    /// Number of tickets.
    pub(crate) count: usize,
}

/// Messages to the peers service; it receives none.
#[derive(Debug)]
pub(crate) enum PeersMessage {}

/// Runs the peers service.
///
/// Responses to requests with a ticket are stored if their body has at most `max_response_bytes`.
pub(crate) async fn run_peers(
    mut context: Context<PeersMessage>,
    listener: Arc<StdListener>,
    limits: ListenerLimits,
    max_response_bytes: usize,
) -> ServiceResult {
    let handler = PeerHandler {
        guard: context.registry.mailbox(GUARD)?,
        client: HttpClient::new(context.registry.mailbox(POOL)?),
        clock: Arc::clone(&context.clock),
        max_response_bytes,
        propagator: ClockPropagator::new(context.registry.mailbox(TIMELINE)?),
    };
    listener::serve(&listener, handler, limits, &mut context.stop).await?;
    Ok(())
}

/// Handler of requests from other daemons.
#[derive(Clone)]
struct PeerHandler {
    guard: Mailbox<GuardMessage>,
    client: HttpClient,
    clock: Arc<dyn Clock>,
    max_response_bytes: usize,
    propagator: ClockPropagator,
}

impl Handler for PeerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        self.propagator.extract(request.headers());
        let result = if request.uri().path() == PEER_TICKETS_PATH {
            self.issue(request).await
        } else {
            self.handle_forwarded(request).await
        };
        let mut response = result
            .unwrap_or_else(|refusal| respond::peer_refusal_response(refusal, LoadHint::default()));
        self.propagator.inject(response.headers_mut()).await;
        response
    }
}

impl PeerHandler {
    /// Handles a request for tickets.
    async fn issue(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let request: TicketRequest = deliver::read_json(request).await?;
        let TicketRequest { service, count } = request;
        let asked = self.guard.ask(|reply| GuardMessage::IssueTickets {
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

    /// Asks the guard to admit a forwarded request, and delivers it.
    async fn handle_forwarded(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let metadata = HopMetadata::decode(request.headers()).map_err(|e| e.refusal())?;
        let admission = self.admission_request(&metadata, hop::decode_trace(request.headers()))?;
        let deadline = admission.deadline;
        let ticketed = admission.ticket.is_some();
        let asked = self.guard.ask(|reply| GuardMessage::Admit {
            request: Box::new(admission),
            reply,
        });
        // Without a reply from the guard this request did not run, but an earlier request with the
        // same ticket may have run.
        let no_reply = match ticketed {
            true => Refusal::unknown(Reason::Internal),
            false => Refusal::not_run(Reason::Internal),
        };
        let decision = asked.await.map_err(|_| no_reply)?;
        match decision {
            AdmissionDecision::Refused(refusal, load) => {
                Ok(respond::peer_refusal_response(refusal, load))
            }
            AdmissionDecision::Replay(stored) => {
                stored_response::decode(&stored).ok_or(Refusal::unknown(Reason::TicketGone))
            }
            AdmissionDecision::Admitted(permit) if ticketed => {
                ticketed::run(self, request, metadata, permit, deadline).await
            }
            AdmissionDecision::Admitted(permit) => {
                deliver::run(self, request, &metadata, permit, deadline).await
            }
        }
    }

    /// Creates the admission request for a forwarded request from its headers.
    fn admission_request(
        &self,
        metadata: &HopMetadata,
        trace: Option<TraceId>,
    ) -> Result<AdmissionRequest, Refusal> {
        let depth = metadata.depth;
        Ok(AdmissionRequest {
            service: metadata.service.clone(),
            route: metadata.route.clone(),
            team: metadata.team.clone(),
            revision: metadata.revision,
            ticket: ticket_of(metadata.class, metadata.key.as_ref())?,
            fingerprint: metadata.fingerprint,
            deadline: self.clock.now() + metadata.time_left,
            nesting: trace.map(|trace| Nesting { trace, depth }),
        })
    }
}

/// Returns the ticket of an at-most-once request; the keys of other requests are not tickets.
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
