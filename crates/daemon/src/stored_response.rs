//! Encoding of the complete responses that the guard stores and replays when a request with the
//! same ticket is repeated.

use bytes::Bytes;
use cornelvalve_policy::StoredResponse;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::body::{self, Body};

/// Stored form of a response, encoded with postcard.
#[derive(Serialize, Deserialize)]
struct EncodedResponse<'a> {
    status: u16,
    #[serde(borrow)]
    headers: Vec<(&'a str, &'a [u8])>,
    body: &'a [u8],
}

/// Encodes a response for the ticket table; returns `None` if the encoding fails.
pub(crate) fn encode(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> Option<StoredResponse> {
    let encoded = EncodedResponse {
        status: status.as_u16(),
        headers: headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_bytes()))
            .collect(),
        body,
    };
    postcard::to_stdvec(&encoded).ok().map(StoredResponse::from)
}

/// Decodes a response from the ticket table; returns `None` if it is malformed.
pub(crate) fn decode(stored: &StoredResponse) -> Option<Response<Body>> {
    let encoded: EncodedResponse<'_> = postcard::from_bytes(stored.as_bytes()).ok()?;
    let mut response = Response::new(body::full(Bytes::copy_from_slice(encoded.body)));
    *response.status_mut() = StatusCode::from_u16(encoded.status).ok()?;
    for (name, value) in encoded.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(value).ok()?;
        response.headers_mut().append(name, value);
    }
    Some(response)
}
