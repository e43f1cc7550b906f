//! Responses that the daemon makes itself.

use cornelvalve_model::{LoadHint, Refusal};
use cornelvalve_wire::{hop, problem};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::body::{self, Body};

/// Creates the problem document for a caller, with outcome and reason as headers.
///
/// An upstream can send such a document, or relay that of a nested call, after it has done work
/// itself. It cannot send the headers, because guards remove them.
pub(crate) fn refusal(refusal: Refusal, detail: Option<String>) -> Response<Body> {
    let document = problem::Problem::new(refusal, detail);
    let mut response = Response::new(body::full(document.encode()));
    *response.status_mut() = problem::status(refusal.reason);
    let media_type = HeaderValue::from_static(problem::MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    hop::encode_refusal(response.headers_mut(), refusal);
    response
}

/// Creates the problem document for another daemon, which also carries the load.
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
            log::error!("response could not be encoded: {e}");
            let mut response = Response::new(body::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
