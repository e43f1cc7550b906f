//! HTTP interface, on loopback only, through which upstreams announce themselves, drain and leave.

use std::time::Duration;

use axum::extract::rejection::{JsonRejection, PathRejection};
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{post, put};
use axum::{Json, Router};
use cornelvalve_kernel::Mailbox;
use cornelvalve_model::{Incarnation, ServiceName};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::{AnnounceResult, Announcement, AnnouncerMessage};

/// Service name in the request path, or the error of its extraction.
type ServicePath = Result<Path<String>, PathRejection>;

/// Body of an announcement.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceBody {
    port: u16,
    slots: u16,
    incarnation: u64,
    lease_ms: u64,
}

/// Body of a success response.
#[derive(Debug, Serialize)]
struct AcceptedBody {
    lease_ms: u64,
}

/// Body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
}

/// Serves the interface until the task is aborted.
pub(super) async fn serve(listener: TcpListener, announcer: Mailbox<AnnouncerMessage>) {
    let path = "/v1/upstreams/{service}";
    let routes = Router::new()
        .route(path, put(announce).delete(leave))
        .route(&format!("{path}/drain"), post(drain))
        .with_state(announcer);
    if let Err(e) = axum::serve(listener, routes).await {
        log::error!(
            "announcements of upstreams can no longer be accepted: {e}; restart the daemon"
        );
    }
}

/// Handles an announcement or a renewal.
async fn announce(
    State(announcer): State<Mailbox<AnnouncerMessage>>,
    service: ServicePath,
    body: Result<Json<AnnounceBody>, JsonRejection>,
) -> Response {
    let body = match body {
        Ok(Json(body)) => body,
        Err(e) => return bad_request(&e.body_text()),
    };
    if body.port == 0 || body.slots == 0 {
        return bad_request("port and slots must be positive");
    }
    let service = match service_name(service) {
        Ok(service) => service,
        Err(e) => return bad_request(&e),
    };
    let announcement = Announcement {
        service,
        port: body.port,
        slots: body.slots,
        incarnation: Incarnation(body.incarnation),
        lease: Duration::from_millis(body.lease_ms),
    };
    let asked = announcer.ask(|reply| AnnouncerMessage::Announce {
        announcement,
        reply,
    });
    respond(asked.await)
}

/// Handles the request of an upstream to drain.
async fn drain(
    State(announcer): State<Mailbox<AnnouncerMessage>>,
    service: ServicePath,
) -> Response {
    match service_name(service) {
        Ok(service) => {
            let asked = announcer.ask(|reply| AnnouncerMessage::Drain { service, reply });
            respond(asked.await)
        }
        Err(e) => bad_request(&e),
    }
}

/// Handles the withdrawal of an upstream.
async fn leave(
    State(announcer): State<Mailbox<AnnouncerMessage>>,
    service: ServicePath,
) -> Response {
    match service_name(service) {
        Ok(service) => {
            let asked = announcer.ask(|reply| AnnouncerMessage::Leave { service, reply });
            respond(asked.await)
        }
        Err(e) => bad_request(&e),
    }
}

/// Returns the service name in the path, or the message of the error response.
fn service_name(path: ServicePath) -> Result<ServiceName, String> {
    let Path(service) = path.map_err(|e| e.body_text())?;
    ServiceName::new(&service).map_err(|e| e.to_string())
}

/// Returns the HTTP response for the announcer's reply.
fn respond(asked: cornelvalve_kernel::Result<AnnounceResult>) -> Response {
    match asked {
        Ok(AnnounceResult::Accepted(lease)) => {
            let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
            (StatusCode::OK, Json(AcceptedBody { lease_ms })).into_response()
        }
        Ok(AnnounceResult::Superseded) => error(
            StatusCode::CONFLICT,
            "a later start of this upstream was announced; stop this process",
        ),
        Ok(AnnounceResult::Left) => error(
            StatusCode::CONFLICT,
            "this upstream has left; announce it again with a higher incarnation",
        ),
        Ok(AnnounceResult::Unknown) => error(
            StatusCode::NOT_FOUND,
            "no upstream of this service is announced; announce it first",
        ),
        Err(e) => error(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
    }
}

fn bad_request(message: &str) -> Response {
    error(StatusCode::BAD_REQUEST, message)
}

fn error(status: StatusCode, message: &str) -> Response {
    let error = message.to_owned();
    (status, Json(ErrorBody { error })).into_response()
}
