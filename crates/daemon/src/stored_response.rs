//! Encoding of complete responses that are kept for repeats of a request.

use bytes::Bytes;
use cornelvalve_policy::StoredResponse;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::body::{self, Body};

#[derive(Serialize, Deserialize)]
struct Encoded<'a> {
    status: u16,
    #[serde(borrow)]
    headers: Vec<(&'a str, &'a [u8])>,
    body: &'a [u8],
}

/// Encodes a response for the ticket table.
pub(crate) fn encode(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> Option<StoredResponse> {
    let encoded = Encoded {
        status: status.as_u16(),
        headers: headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_bytes()))
            .collect(),
        body,
    };
    postcard::to_stdvec(&encoded).ok().map(StoredResponse::from)
}

/// Decodes a response from the ticket table.
pub(crate) fn decode(answer: &StoredResponse) -> Option<Response<Body>> {
    let encoded: Encoded<'_> = postcard::from_bytes(answer.as_bytes()).ok()?;
    let mut response = Response::new(body::full(Bytes::copy_from_slice(encoded.body)));
    *response.status_mut() = StatusCode::from_u16(encoded.status).ok()?;
    for (name, value) in encoded.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(value).ok()?;
        response.headers_mut().append(name, value);
    }
    Some(response)
}
