//! Responses that the daemon generates itself.

use cornelvalve_model::{LoadHint, Refusal};
use cornelvalve_wire::{hop, problem};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::body::{self, Body};

/// Creates the response that refuses a caller's request: a problem document, with outcome and
/// reason also in headers.
///
/// An upstream may also return a problem document, its own or one from a nested call, after it has
/// done work. Daemons strip the refusal headers from the responses of upstreams, so only these
/// headers prove that a daemon refused the request.
pub(crate) fn refusal_response(refusal: Refusal, detail: Option<String>) -> Response<Body> {
    let document = problem::Problem::new(refusal, detail);
    let mut response = Response::new(body::full(document.encode()));
    *response.status_mut() = problem::status(refusal.reason);
    let media_type = HeaderValue::from_static(problem::MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    hop::encode_refusal(response.headers_mut(), refusal);
    response
}

/// Creates the response that refuses a request of another daemon; it also carries the load.
pub(crate) fn peer_refusal_response(refusal: Refusal, load: LoadHint) -> Response<Body> {
    let mut response = refusal_response(refusal, None);
    hop::encode_load_hint(response.headers_mut(), load);
    response
}

/// Creates a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(body::full(bytes));
            *response.status_mut() = status;
            let media_type = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, media_type);
            response
        }
        Err(e) => {
            log::error!("response could not be encoded as JSON: {e}");
            let mut response = Response::new(body::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
