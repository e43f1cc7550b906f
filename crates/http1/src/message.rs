//! Requests, responses and their decoders.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, EXPECT, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};

use crate::body::{BodyDecoder, Framing, framing};
use crate::{Error, Result};

/// Headers that a message may have.
const MAX_HEADERS: usize = 96;

/// Limits of a decoder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeLimits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
}

/// Complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Request target exactly as it was sent.
    pub target: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body without its framing.
    pub body: Bytes,
    /// Whether the connection may carry further requests.
    pub keep_alive: bool,
}

/// Complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body without its framing.
    pub body: Bytes,
    /// Whether the connection may carry further requests.
    pub keep_alive: bool,
}

enum Progress<H> {
    Head,
    Body(H, BodyDecoder),
}

/// Decodes the requests of one connection.
pub struct RequestDecoder {
    limits: DecodeLimits,
    progress: Progress<Request>,
    expects_continue: bool,
}

impl RequestDecoder {
    /// Creates a decoder.
    #[must_use]
    pub fn new(limits: DecodeLimits) -> Self {
        Self {
            limits,
            progress: Progress::Head,
            expects_continue: false,
        }
    }

    /// Tells whether a part of a request has been decoded.
    #[must_use]
    pub fn has_partial_request(&self) -> bool {
        matches!(self.progress, Progress::Body(..))
    }

    /// Tells, once for each request, whether its sender waits for leave to send the body.
    pub fn take_expects_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue)
    }

    /// Takes the next complete request off the buffer.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the bytes are no acceptable request; the connection cannot be read any
    /// further.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Request>> {
        if matches!(self.progress, Progress::Head) {
            let Some((request, framing)) = request_head(buffer, self.limits.head_bytes)? else {
                return Ok(None);
            };
            let body = BodyDecoder::new(framing, self.limits.body_bytes)?;
            self.expects_continue = expects_continue(&request.headers);
            self.progress = Progress::Body(request, body);
        }
        let Progress::Body(_, body) = &mut self.progress else {
            return Ok(None);
        };
        let Some(body) = body.advance(buffer, false)? else {
            return Ok(None);
        };
        self.expects_continue = false;
        match std::mem::replace(&mut self.progress, Progress::Head) {
            Progress::Body(request, _) => Ok(Some(Request { body, ..request })),
            Progress::Head => Ok(None),
        }
    }
}

/// Decodes the responses of one connection.
pub struct ResponseDecoder {
    limits: DecodeLimits,
    progress: Progress<Response>,
}

impl ResponseDecoder {
    /// Creates a decoder.
    #[must_use]
    pub fn new(limits: DecodeLimits) -> Self {
        Self {
            limits,
            progress: Progress::Head,
        }
    }

    /// Takes the next complete response off the buffer; interim responses are passed over.
    ///
    /// `at_end` tells that the connection has ended in order and nothing will follow.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the bytes are no acceptable response or end too early.
    pub fn decode(&mut self, buffer: &mut BytesMut, at_end: bool) -> Result<Option<Response>> {
        while matches!(self.progress, Progress::Head) {
            let Some((response, framing)) = response_head(buffer, self.limits.head_bytes)? else {
                return if at_end {
                    Err(Error::Truncated)
                } else {
                    Ok(None)
                };
            };
            if !response.status.is_informational() {
                let body = BodyDecoder::new(framing, self.limits.body_bytes)?;
                self.progress = Progress::Body(response, body);
            }
        }
        let Progress::Body(_, body) = &mut self.progress else {
            return Ok(None);
        };
        let Some(body) = body.advance(buffer, at_end)? else {
            return Ok(None);
        };
        match std::mem::replace(&mut self.progress, Progress::Head) {
            Progress::Body(response, _) => Ok(Some(Response { body, ..response })),
            Progress::Head => Ok(None),
        }
    }
}

fn malformed(error: httparse::Error) -> Error {
    match error {
        httparse::Error::TooManyHeaders => Error::HeadTooLong,
        _ => Error::Malformed("message head"),
    }
}

/// Checks the length of a head of which `read` bytes have arrived.
fn check_head(read: usize, limit: usize) -> Result<()> {
    if read > limit {
        return Err(Error::HeadTooLong);
    }
    Ok(())
}

fn request_head(buffer: &mut BytesMut, limit: usize) -> Result<Option<(Request, Framing)>> {
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut space);
    let length = match parsed.parse(buffer).map_err(malformed)? {
        httparse::Status::Partial => return check_head(buffer.len(), limit).map(|()| None),
        httparse::Status::Complete(length) => length,
    };
    check_head(length, limit)?;
    let method = parsed.method.unwrap_or_default().as_bytes();
    let method = Method::from_bytes(method).map_err(|_| Error::Malformed("method"))?;
    let target = parsed.path.unwrap_or_default().into();
    let headers = header_map(parsed.headers)?;
    let keep_alive = keeps_alive(parsed.version, &headers);
    buffer.advance(length);
    let framing = framing(&headers)?.unwrap_or(Framing::Length(0));
    let request = Request {
        method,
        target,
        headers,
        body: Bytes::new(),
        keep_alive,
    };
    Ok(Some((request, framing)))
}

fn response_head(buffer: &mut BytesMut, limit: usize) -> Result<Option<(Response, Framing)>> {
    let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut space);
    let length = match parsed.parse(buffer).map_err(malformed)? {
        httparse::Status::Partial => return check_head(buffer.len(), limit).map(|()| None),
        httparse::Status::Complete(length) => length,
    };
    check_head(length, limit)?;
    let status = StatusCode::from_u16(parsed.code.unwrap_or_default());
    let status = status.map_err(|_| Error::Malformed("status"))?;
    let headers = header_map(parsed.headers)?;
    let keep_alive = keeps_alive(parsed.version, &headers);
    buffer.advance(length);
    let framing = match status {
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Framing::Length(0),
        status if status.is_informational() => Framing::Length(0),
        _ => framing(&headers)?.unwrap_or(Framing::UntilClose),
    };
    let response = Response {
        status,
        headers,
        body: Bytes::new(),
        keep_alive: keep_alive && framing != Framing::UntilClose,
    };
    Ok(Some((response, framing)))
}

fn header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let name = name.map_err(|_| Error::Malformed("header name"))?;
        let value = HeaderValue::from_bytes(header.value);
        let value = value.map_err(|_| Error::Malformed("header value"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn keeps_alive(minor_version: Option<u8>, headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION).iter();
    let has = |values: &mut http::header::ValueIter<'_, HeaderValue>, token: &str| {
        values.any(|v| {
            let text = v.to_str().unwrap_or_default();
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case(token))
        })
    };
    match minor_version {
        Some(1) => !has(&mut values, "close"),
        _ => has(&mut values, "keep-alive"),
    }
}

fn expects_continue(headers: &HeaderMap) -> bool {
    let expect = headers.get(EXPECT).map(HeaderValue::as_bytes);
    expect.is_some_and(|v| v.eq_ignore_ascii_case(b"100-continue"))
}
