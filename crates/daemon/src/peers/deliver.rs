//! Delivery of an admitted request to the local upstream.

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
use crate::body::{Body, BodyEnd, BodyObserver, Observed, ProgressObserver};
use crate::exchange::{ExchangeError, HeadTimeout, UPLOAD_ALLOWANCE};
use crate::guard::{Permit, PermitEnd};

/// Age from which a permit is void: its holder was paused, and the guard's rules may have changed.
const MAX_PERMIT_AGE: Duration = Duration::from_millis(500);

/// Longest JSON body of a request between daemons.
const MAX_JSON_BYTES: usize = 64 * 1024;

/// Reads a small JSON body.
pub(super) async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Refusal> {
    let bad = Refusal::not_run(Reason::BadRequest);
    let body = Limited::new(request.into_body(), MAX_JSON_BYTES);
    let bytes = body.collect().await.map_err(|_| bad)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| bad)
}

/// Tells whether a permit may still be used.
pub(super) fn is_fresh(permit: &Permit, clock: &dyn Clock) -> bool {
    clock.now().since(permit.granted) <= MAX_PERMIT_AGE
}

/// Prepares the request for the upstream and its time-out.
pub(super) fn prepare(
    request: Request<Incoming>,
    head: &HopMetadata,
    time_left: Duration,
) -> (Request<Body>, HeadTimeout) {
    let (observer, progress) = ProgressObserver::new();
    let (mut parts, body) = request.into_parts();
    hop::strip_connection_headers(&mut parts.headers);
    hop::strip_internal_headers(&mut parts.headers);
    parts.headers.remove(EXPECT);
    let millis = time_left.as_millis().to_string();
    if let Ok(value) = millis.parse() {
        parts.headers.insert(hop::DEADLINE, value);
    }
    // The upstream's nested calls are one level deeper.
    let depth = head.depth.saturating_add(1).to_string();
    if let Ok(value) = depth.parse() {
        parts.headers.insert(hop::DEPTH, value);
    }
    if !parts.headers.contains_key(HOST) {
        let host = http::HeaderValue::from_static("localhost");
        parts.headers.insert(HOST, host);
    }
    parts.version = http::Version::HTTP_11;
    let body = Observed::new(body, observer).boxed_unsync();
    let timeout = HeadTimeout {
        deadline: Instant::now() + time_left,
        upload: Some((progress, UPLOAD_ALLOWANCE)),
    };
    (Request::from_parts(parts, body), timeout)
}

/// Sends a request without a ticket and streams the answer.
pub(super) async fn run(
    handler: &PeerHandler,
    request: Request<Incoming>,
    head: &HopMetadata,
    mut permit: Permit,
    deadline: Moment,
) -> Result<Response<Body>, Refusal> {
    if !is_fresh(&permit, &*handler.clock) {
        return Err(Refusal::not_run(Reason::StaleConfiguration));
    }
    let time_left = deadline.since(handler.clock.now());
    let (request, timeout) = prepare(request, head, time_left);
    permit.set_on_drop(PermitEnd::Cancelled);
    let hint = permit.hint;
    let sent = Instant::now();
    match handler
        .exchanger
        .send(permit.upstream, request, &timeout)
        .await
    {
        Ok(response) => {
            permit.set_service_time(timeout.work_time(sent));
            let mut response = observe(response, permit);
            hop::encode_upstream_time(response.headers_mut(), sent.elapsed());
            Ok(response)
        }
        Err(e) => {
            let (end, refusal) = failed(handler, permit.upstream, &e).await;
            permit.finish(end);
            Ok(crate::respond::hop_refusal(refusal, hint))
        }
    }
}

/// Returns the end of a request whose exchange failed, and what its caller is told.
pub(super) async fn failed(
    handler: &PeerHandler,
    upstream: SocketAddr,
    error: &ExchangeError,
) -> (PermitEnd, Refusal) {
    let exchanger = &handler.exchanger;
    let end = match error {
        ExchangeError::NotSent(_) => {
            exchanger.forget(upstream);
            PermitEnd::NotSent
        }
        // The entry must not try a request elsewhere that may have killed this upstream.
        ExchangeError::Lost(_) if exchanger.is_dead(upstream).await => {
            return (PermitEnd::Died, Refusal::unknown(Reason::CrashSuspect));
        }
        ExchangeError::Lost(_) => PermitEnd::Lost,
        ExchangeError::BodyFailed(_) | ExchangeError::TimedOut => PermitEnd::Cancelled,
    };
    (end, error.refusal())
}

/// Removes what an upstream must not say and adds the load.
pub(super) fn clean_response(response: &mut Response<Body>, permit: &Permit) {
    // An upstream may relay the marker of a nested call after it has done work itself.
    hop::strip_internal_headers(response.headers_mut());
    hop::strip_connection_headers(response.headers_mut());
    hop::encode_load_hint(response.headers_mut(), permit.hint);
}

/// Returns the end of a request by the status of its answer.
pub(super) fn answered(
    status: StatusCode,
    answer: Option<cornelvalve_policy::StoredResponse>,
) -> PermitEnd {
    if status.is_server_error() {
        PermitEnd::Failed(answer)
    } else {
        PermitEnd::Answered(answer)
    }
}

fn observe(mut response: Response<Body>, permit: Permit) -> Response<Body> {
    clean_response(&mut response, &permit);
    let observer = PermitObserver {
        status: response.status(),
        permit: Some(permit),
    };
    response.map(|body| Observed::new(body, observer).boxed_unsync())
}

/// Reports the end of a request when its answer ends.
struct PermitObserver {
    status: StatusCode,
    permit: Option<Permit>,
}

impl BodyObserver for PermitObserver {
    fn end(&mut self, end: BodyEnd) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        permit.finish(match end {
            BodyEnd::Complete => answered(self.status, None),
            BodyEnd::Failed => PermitEnd::Lost,
            BodyEnd::Dropped => PermitEnd::Cancelled,
        });
    }
}
