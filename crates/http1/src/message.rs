//! Types and incremental decoders for complete requests and responses.

use bytes::{Buf, BytesMut};
use http::header::{CONNECTION, EXPECT, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};

use crate::body::{BodyDecoder, Framing, parse_framing};
use crate::state::DecodeState;
use crate::{Body, Error, Result};

/// Maximum number of headers in a message; also the size of the array on the stack into which they
/// are parsed.
const MAX_HEADERS: usize = 96;

/// Largest status code of HTTP; [`StatusCode`] accepts larger ones.
const MAX_STATUS: u16 = 599;

/// Size limits for decoded messages; a larger message is an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeLimits {
    /// Maximum size of a message head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a decoded body in bytes.
    pub body_bytes: usize,
}

/// Number of bytes of a body for which no memory is reserved, as most bodies are smaller.
pub const BODY_ALLOWANCE_BYTES: usize = 8 * 1024;

/// Complete request as received.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Request target, exactly as the client sent it.
    pub target: Box<str>,
    /// All headers, including those that describe the framing and the connection.
    pub headers: HeaderMap,
    /// Body after removal of the transfer coding.
    pub body: Body,
    /// Whether the connection may carry further requests.
    pub keep_alive: bool,
}

impl Request {
    /// Returns the approximate size of the head in bytes.
    #[must_use]
    pub fn head_length(&self) -> usize {
        let headers = self.headers.iter();
        let lengths = headers.map(|(name, value)| name.as_str().len() + value.len());
        self.target.len() + lengths.sum::<usize>()
    }
}

/// Complete response as received.
#[derive(Clone, Debug)]
pub struct Response {
    /// Response status.
    pub status: StatusCode,
    /// All headers, including those that describe the framing and the connection.
    pub headers: HeaderMap,
    /// Body after removal of the transfer coding.
    pub body: Body,
    /// Whether the connection may carry further requests.
    pub keep_alive: bool,
}

/// Decodes the requests that arrive on one connection.
pub struct RequestDecoder {
    limits: DecodeLimits,
    /// Part of a request that is read next.
    pub(crate) state: DecodeState<Request>,
    /// Whether the client expects a `100 Continue` response and `take_expects_continue` has not
    /// reported it yet.
    expects_continue: bool,
}

impl RequestDecoder {
    /// Creates a decoder with the given limits.
    #[must_use]
    pub fn new(limits: DecodeLimits) -> Self {
        Self {
            limits,
            state: DecodeState::Head,
            expects_continue: false,
        }
    }

    /// Sets the limits of requests whose heads have not been decoded.
    pub(crate) fn set_limits(&mut self, limits: DecodeLimits) {
        self.limits = limits;
    }

    /// Returns whether the client waits for a `100 Continue` response before it sends the body.
    ///
    /// Clears this state, so that it returns true at most once per request.
    pub fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Consumes bytes from the buffer and returns the next request once it is complete.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the bytes are not a valid request or exceed a limit. The end of the
    /// request is then unknown, so no further request can be decoded from the connection.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Request>> {
        if matches!(self.state, DecodeState::Head) {
            let Some((request, framing)) = parse_request_head(buffer, self.limits.head_bytes)?
            else {
                return Ok(None);
            };
            let body = BodyDecoder::new(framing, self.limits.body_bytes, BODY_ALLOWANCE_BYTES)?;
            self.expects_continue = has_expect_continue(&request.headers);
            self.state = DecodeState::Body(request, body);
        }
        let DecodeState::Body(_, body) = &mut self.state else {
            return Ok(None);
        };
        let Some(body) = body.decode(buffer, false)? else {
            return Ok(None);
        };
        self.expects_continue = false;
        match std::mem::replace(&mut self.state, DecodeState::Head) {
            DecodeState::Body(request, _) => Ok(Some(Request { body, ..request })),
            DecodeState::Head => Ok(None),
        }
    }
}

/// Decodes the responses that arrive on one connection.
///
/// The decoder does not know the request method. It does not support responses to HEAD requests,
/// which may declare a length but have no body.
pub struct ResponseDecoder {
    limits: DecodeLimits,
    /// Part of a response that is read next.
    pub(crate) state: DecodeState<Response>,
    /// Size in bytes of the interim responses that were skipped.
    skipped_bytes: usize,
}

impl ResponseDecoder {
    /// Creates a decoder with the given limits.
    #[must_use]
    pub fn new(limits: DecodeLimits) -> Self {
        Self {
            limits,
            state: DecodeState::Head,
            skipped_bytes: 0,
        }
    }

    /// Consumes bytes from the buffer and returns the next response once it is complete.
    ///
    /// Interim (1xx) responses are skipped; together they may be as large as one head. `at_eof`
    /// means that the server has closed its side of the connection (FIN).
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the bytes are not a valid response, exceed a limit, or end before the
    /// response is complete.
    pub fn decode(&mut self, buffer: &mut BytesMut, at_eof: bool) -> Result<Option<Response>> {
        while matches!(self.state, DecodeState::Head) {
            let length = buffer.len();
            let Some((response, framing)) = parse_response_head(buffer, self.limits.head_bytes)?
            else {
                return if at_eof {
                    Err(Error::Truncated)
                } else {
                    Ok(None)
                };
            };
            if response.status.is_informational() {
                self.skipped_bytes += length - buffer.len();
                check_head_length(self.skipped_bytes, self.limits.head_bytes)?;
            } else {
                let body = BodyDecoder::new(framing, self.limits.body_bytes, BODY_ALLOWANCE_BYTES)?;
                self.state = DecodeState::Body(response, body);
            }
        }
        let DecodeState::Body(_, body) = &mut self.state else {
            return Ok(None);
        };
        let Some(body) = body.decode(buffer, at_eof)? else {
            return Ok(None);
        };
        match std::mem::replace(&mut self.state, DecodeState::Head) {
            DecodeState::Body(response, _) => Ok(Some(Response { body, ..response })),
            DecodeState::Head => Ok(None),
        }
    }
}

/// Converts an error of the head parser.
fn head_error(error: httparse::Error) -> Error {
    match error {
        httparse::Error::TooManyHeaders => Error::HeadTooLarge,
        _ => Error::Malformed("invalid message head"),
    }
}

/// Returns an error if `length`, the number of bytes of a head received so far, exceeds `limit`.
fn check_head_length(length: usize, limit: usize) -> Result<()> {
    if length > limit {
        return Err(Error::HeadTooLarge);
    }
    Ok(())
}

/// Consumes a complete request head and returns the request without its body, and the framing.
///
/// Returns `None` if the head is incomplete.
fn parse_request_head(buffer: &mut BytesMut, limit: usize) -> Result<Option<(Request, Framing)>> {
    let mut parsed_headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut parsed_headers);
    let length = match parsed.parse(buffer).map_err(head_error)? {
        httparse::Status::Partial => return check_head_length(buffer.len(), limit).map(|()| None),
        httparse::Status::Complete(length) => length,
    };
    check_head_length(length, limit)?;
    let method = parsed.method.unwrap_or_default().as_bytes();
    let method = Method::from_bytes(method).map_err(|_| Error::Malformed("invalid method"))?;
    let target = parsed.path.unwrap_or_default().into();
    let headers = header_map(parsed.headers)?;
    let keep_alive = is_keep_alive(parsed.version, &headers);
    buffer.advance(length);
    let framing = parse_framing(&headers)?.unwrap_or(Framing::Length(0));
    let request = Request {
        method,
        target,
        headers,
        body: Body::default(),
        keep_alive,
    };
    Ok(Some((request, framing)))
}

/// Consumes a complete response head and returns the response without its body, and the framing.
///
/// Returns `None` if the head is incomplete.
fn parse_response_head(buffer: &mut BytesMut, limit: usize) -> Result<Option<(Response, Framing)>> {
    let mut parsed_headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut parsed_headers);
    let length = match parsed.parse(buffer).map_err(head_error)? {
        httparse::Status::Partial => return check_head_length(buffer.len(), limit).map(|()| None),
        httparse::Status::Complete(length) => length,
    };
    check_head_length(length, limit)?;
    let status = parsed.code.filter(|code| *code <= MAX_STATUS);
    let status = StatusCode::from_u16(status.unwrap_or_default());
    let status = status.map_err(|_| Error::Malformed("invalid status"))?;
    let headers = header_map(parsed.headers)?;
    let keep_alive = is_keep_alive(parsed.version, &headers);
    buffer.advance(length);
    let framing = match status {
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Framing::Length(0),
        status if status.is_informational() => Framing::Length(0),
        _ => parse_framing(&headers)?.unwrap_or(Framing::UntilClose),
    };
    let response = Response {
        status,
        headers,
        body: Body::default(),
        keep_alive: keep_alive && framing != Framing::UntilClose,
    };
    Ok(Some((response, framing)))
}

/// Returns the parsed headers as a map; repeated names keep all their values.
fn header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.map_err(|_| Error::Malformed("invalid header name"))?;
        let value = HeaderValue::from_bytes(header.value);
        let value = value.map_err(|_| Error::Malformed("invalid header value"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns whether the connection stays open after a message.
///
/// HTTP/1.1 connections stay open unless the `connection` header contains `close`. Connections of
/// other versions stay open only if it contains `keep-alive`.
fn is_keep_alive(minor_version: Option<u8>, headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    let has_token = |values: &mut http::header::ValueIter<'_, HeaderValue>, token: &str| {
        values.any(|v| {
            let text = v.to_str().unwrap_or_default();
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case(token))
        })
    };
    match minor_version {
        Some(1) => !has_token(&mut values, "close"),
        _ => has_token(&mut values, "keep-alive"),
    }
}

/// Returns whether the headers contain `expect: 100-continue`.
fn has_expect_continue(headers: &HeaderMap) -> bool {
    let expect = headers.get(EXPECT).map(HeaderValue::as_bytes);
    expect.is_some_and(|v| v.eq_ignore_ascii_case(b"100-continue"))
}
