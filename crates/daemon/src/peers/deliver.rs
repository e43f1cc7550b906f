//! Delivers admitted requests to a local upstream.
//!
//! The requests come from an entry: the daemon that the caller connected to.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_kernel::Clock;
use cornelvalve_model::{Moment, Reason, Refusal};
use cornelvalve_wire::hop::{self, HopMetadata};
use http::header::{EXPECT, HOST};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::PeerHandler;
use crate::body::{Body, BodyEnd, BodyObserver, ObservedBody, ProgressObserver};
use crate::guard::{Permit, PermitOutcome};
use crate::http_client::{HttpClientError, ResponseTimer, UPLOAD_IDLE_TIMEOUT};

/// Age above which a permit must not be used: its holder was paused, and the configuration may have
/// changed meanwhile. It is shorter than the shortest pause that the guard detects (1 s), so no
/// permit outlives such a pause.
const MAX_PERMIT_AGE: Duration = Duration::from_millis(500);

/// Longest JSON body of a request between daemons, in bytes.
const MAX_JSON_BYTES: usize = 64 * 1024;

/// Reads the JSON body of a request.
///
/// # Errors
///
/// Returns a refusal if the body is too long or malformed.
pub(super) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Refusal> {
    let bad = Refusal::not_run(Reason::BadRequest);
    let body = Limited::new(request.into_body(), MAX_JSON_BYTES);
    let bytes = body.collect().await.map_err(|_| bad)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| bad)
}

/// Returns whether a permit may still be used.
pub(super) fn is_fresh(permit: &Permit, clock: &dyn Clock) -> bool {
    clock.now().since(permit.granted) <= MAX_PERMIT_AGE
}

/// Creates the request to the upstream and its timeout.
pub(super) fn upstream_request(
    request: Request<Incoming>,
    metadata: &HopMetadata,
    time_left: Duration,
) -> (Request<Body>, ResponseTimer) {
    let (observer, progress) = ProgressObserver::new();
    let (mut parts, body) = request.into_parts();
    hop::strip_connection_headers(&mut parts.headers);
    hop::strip_internal_headers(&mut parts.headers);
    parts.headers.remove(EXPECT);
    let millis = time_left.as_millis().to_string();
    if let Ok(value) = millis.parse() {
        parts.headers.insert(hop::DEADLINE, value);
    }
    // Calls that the upstream makes while it handles the request are one level deeper.
    let depth = metadata.depth.saturating_add(1).to_string();
    if let Ok(value) = depth.parse() {
        parts.headers.insert(hop::DEPTH, value);
    }
    if !parts.headers.contains_key(HOST) {
        let host = http::HeaderValue::from_static("localhost");
        parts.headers.insert(HOST, host);
    }
    parts.version = http::Version::HTTP_11;
    let body = ObservedBody::new(body, observer).boxed_unsync();
    let timer = ResponseTimer {
        deadline: Instant::now() + time_left,
        upload: Some((progress, UPLOAD_IDLE_TIMEOUT)),
    };
    (Request::from_parts(parts, body), timer)
}

/// Sends a request without a ticket to the upstream and streams the response.
///
/// # Errors
///
/// Returns a refusal if the permit is too old to be used.
pub(super) async fn run(
    handler: &PeerHandler,
    request: Request<Incoming>,
    metadata: &HopMetadata,
    mut permit: Permit,
    deadline: Moment,
) -> Result<Response<Body>, Refusal> {
    if !is_fresh(&permit, &*handler.clock) {
        return Err(Refusal::not_run(Reason::StaleConfiguration));
    }
    let time_left = deadline.since(handler.clock.now());
    let (request, timer) = upstream_request(request, metadata, time_left);
    // The permit is dropped if the connection to the entry ends first.
    permit.set_on_drop(PermitOutcome::Cancelled);
    let load = permit.load;
    let sent = Instant::now();
    match handler.client.send(permit.upstream, request, &timer).await {
        Ok(response) => {
            permit.set_service_time(timer.response_time(sent));
            let mut response = finish_permit_on_end(response, permit);
            hop::encode_upstream_time(response.headers_mut(), sent.elapsed());
            Ok(response)
        }
        Err(e) => {
            let (outcome, refusal) = classify_failure(handler, permit.upstream, &e).await;
            permit.finish(outcome);
            Ok(crate::respond::peer_refusal_response(refusal, load))
        }
    }
}

/// Returns the outcome of a request whose exchange failed, and the refusal for its caller.
pub(super) async fn classify_failure(
    handler: &PeerHandler,
    upstream: SocketAddr,
    error: &HttpClientError,
) -> (PermitOutcome, Refusal) {
    let client = &handler.client;
    let outcome = match error {
        HttpClientError::NotSent(_) => {
            client.close_idle(upstream);
            PermitOutcome::NotSent
        }
        // The request may have crashed the upstream, so the entry must not retry it elsewhere.
        HttpClientError::ConnectionLost(_) if client.probe_is_dead(upstream).await => {
            return (
                PermitOutcome::UpstreamDied,
                Refusal::unknown(Reason::CrashSuspect),
            );
        }
        HttpClientError::ConnectionLost(_) => PermitOutcome::ConnectionLost,
        HttpClientError::RequestBodyFailed(_) | HttpClientError::TimedOut => {
            PermitOutcome::Cancelled
        }
    };
    (outcome, error.refusal())
}

/// Passes on to the guard what the response says about the upstream, removes the headers that only
/// daemons may set, and adds the load.
pub(super) fn sanitize_response(response: &mut Response<Body>, permit: &mut Permit) {
    permit.set_signals(hop::decode_signals(response.headers()));
    // An upstream may pass on the headers of a nested call that was refused, although it has done
    // work itself; its response must not count as a refusal.
    hop::strip_internal_headers(response.headers_mut());
    hop::strip_connection_headers(response.headers_mut());
    hop::encode_load_hint(response.headers_mut(), permit.load);
}

/// Returns the outcome of a request according to the status of its response.
pub(super) fn outcome_of_status(
    status: StatusCode,
    response: Option<cornelvalve_policy::StoredResponse>,
) -> PermitOutcome {
    if status.is_server_error() {
        PermitOutcome::ServerError(response)
    } else {
        PermitOutcome::Answered(response)
    }
}

/// Returns the response with a body that reports the outcome of the request to the guard.
fn finish_permit_on_end(mut response: Response<Body>, mut permit: Permit) -> Response<Body> {
    sanitize_response(&mut response, &mut permit);
    let observer = PermitObserver {
        status: response.status(),
        permit: Some(permit),
    };
    response.map(|body| ObservedBody::new(body, observer).boxed_unsync())
}

/// Reports the outcome of a request when the body of its response ends.
struct PermitObserver {
    status: StatusCode,
    permit: Option<Permit>,
}

impl BodyObserver for PermitObserver {
    fn on_end(&mut self, end: BodyEnd) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        permit.finish(match end {
            BodyEnd::Complete => outcome_of_status(self.status, None),
            BodyEnd::Failed => PermitOutcome::ConnectionLost,
            BodyEnd::Dropped => PermitOutcome::Cancelled,
        });
    }
}
