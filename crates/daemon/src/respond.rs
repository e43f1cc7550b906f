//! Responses that the daemon makes itself.

use cornelvalve_model::{LoadHint, Refusal};
use cornelvalve_wire::{hop, problem};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use serde::Serialize;

use crate::body::{self, Body};

/// Creates the problem document for a caller.
pub(crate) fn refusal(refusal: Refusal, detail: Option<String>) -> Response<Body> {
    let document = problem::Problem::new(refusal, detail);
    let mut response = Response::new(body::full(document.encode()));
    *response.status_mut() = problem::status(refusal.reason);
    let media_type = HeaderValue::from_static(problem::MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Creates the problem document for another daemon, with outcome and load as headers.
pub(crate) fn hop_refusal(refused: Refusal, hint: LoadHint) -> Response<Body> {
    let mut response = refusal(refused, None);
    hop::encode_refusal(response.headers_mut(), refused);
    hop::encode_hint(response.headers_mut(), hint);
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
