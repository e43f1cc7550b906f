//! Serves callers' requests for tickets.
//!
//! A request with a ticket runs at most once however often it is repeated. Tickets are issued by a
//! daemon beside an upstream of the service, which keeps track of their use.

use std::sync::Arc;

use cornelvalve_model::{Reason, Refusal};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{EntryHandler, Result, bad_request, decode_caller_metadata, host_of};
use crate::body::{self, Body};
use crate::http_client::ResponseTimer;
use crate::peers::{PEER_TICKETS_PATH, TicketRequest};
use crate::respond;
use crate::router::{
    AttemptQuery, DetailedRefusal, RoutePlan, RouteQuery, RouterMessage, TriedVms,
};

/// Longest body of a request for tickets, in bytes.
const MAX_REQUEST_BYTES: usize = 4096;

/// Body of a caller's request for tickets. Callers see the name of this type in the error for a
/// malformed body.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallerOrder {
    /// Path of the requests that will carry the tickets.
    path: String,
    /// Method of those requests.
    #[serde(default = "default_method")]
    method: String,
    /// Number of tickets.
    #[serde(default = "default_count")]
    count: usize,
}

fn default_method() -> String {
    "POST".to_owned()
}

fn default_count() -> usize {
    1
}

/// Body of the response to the caller.
#[derive(Debug, Serialize)]
struct IssuedTickets {
    tickets: Vec<String>,
}

/// Handles a caller's request for tickets.
///
/// # Errors
///
/// Returns a refusal if the request is malformed, cannot be routed, or no daemon issues tickets.
pub(super) async fn issue(
    entry: &EntryHandler,
    request: Request<Incoming>,
) -> Result<Response<Body>> {
    if request.method() != Method::POST {
        return Err(bad_request("use POST to ask for tickets"));
    }
    let metadata = decode_caller_metadata(&request)?;
    let host = host_of(&request)?;
    let order = read_ticket_request(request).await?;
    let query = RouteQuery {
        host,
        path: order.path,
        method: order.method,
        team: metadata.team.clone(),
    };
    let plan = Arc::new(entry.route(query).await?);
    let tickets = request_tickets(entry, &plan, order.count).await?;
    Ok(respond::json(StatusCode::OK, &IssuedTickets { tickets }))
}

/// Reads the body of a caller's request for tickets.
async fn read_ticket_request(request: Request<Incoming>) -> Result<CallerOrder> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let bytes = body
        .collect()
        .await
        .map_err(|_| bad_request("send a JSON object of at most 4096 bytes"))?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(|e| bad_request(&format!("correct the JSON body: {e}")))
}

/// Requests tickets from the daemon beside a chosen upstream, and from the next one if that fails.
async fn request_tickets(
    entry: &EntryHandler,
    plan: &Arc<RoutePlan>,
    count: usize,
) -> Result<Vec<String>> {
    let deadline = entry.clock.now() + plan.timeout;
    let mut tried = TriedVms::new();
    // Ends when the router refuses, at the latest after all upstreams have been tried. The attempts
    // do not reach the upstreams themselves, so they are dropped, which reports them as cancelled.
    loop {
        let query = AttemptQuery {
            plan: Arc::clone(plan),
            tried: tried.clone(),
            deadline,
            failure: None,
        };
        let asked = entry
            .router
            .ask(|reply| RouterMessage::StartAttempt { query, reply });
        let attempt = asked
            .await
            .map_err(|_| Refusal::not_run(Reason::Internal))??;
        let addr = attempt.endpoint.peer_addr;
        let timer = ResponseTimer {
            deadline: Instant::now() + deadline.since(entry.clock.now()),
            upload: None,
        };
        let sent = entry
            .client
            .send(addr, peer_ticket_request(plan, count)?, &timer);
        if let Ok(response) = sent.await
            && response.status() == StatusCode::OK
            && let Ok(body) = response.into_body().collect().await
            && let Ok(tickets) = serde_json::from_slice(&body.to_bytes())
        {
            return Ok(tickets);
        }
        tried.push(attempt.endpoint.vm);
    }
}

/// Creates the request for tickets to another daemon.
fn peer_ticket_request(plan: &RoutePlan, count: usize) -> Result<Request<Body>> {
    let payload = TicketRequest {
        service: plan.service.clone(),
        count,
    };
    let internal = |_| DetailedRefusal::from(Refusal::not_run(Reason::Internal));
    let bytes = serde_json::to_vec(&payload).map_err(internal)?;
    Request::post(PEER_TICKETS_PATH)
        .header(http::header::HOST, "localhost")
        .body(body::full(bytes))
        .map_err(|_| DetailedRefusal::from(Refusal::not_run(Reason::Internal)))
}
