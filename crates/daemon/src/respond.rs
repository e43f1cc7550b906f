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
/// Only the headers prove that a daemon refused the request. An upstream that has already done work
/// could send a problem document too, its own or that of a nested call, but daemons remove these
/// headers from its responses.
pub(crate) fn refusal(refusal: Refusal, detail: Option<String>) -> Response<Body> {
    let document = problem::Problem::new(refusal, detail);
    let mut response = Response::new(body::full(document.encode()));
    *response.status_mut() = problem::status(refusal.reason);
    let media_type = HeaderValue::from_static(problem::MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    hop::encode_refusal(response.headers_mut(), refusal);
    response
}

/// Creates the response that refuses a request of another daemon; it also carries the load.
pub(crate) fn hop_refusal(refused: Refusal, hint: LoadHint) -> Response<Body> {
    let mut response = refusal(refused, None);
    hop::encode_load_hint(response.headers_mut(), hint);
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
