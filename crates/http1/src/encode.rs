//! Encoding of the heads of requests and responses.

use std::io::Write;

use bytes::{BufMut, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use http::{Method, StatusCode};

/// Initial buffer capacity for a message head in bytes; a longer head reallocates the buffer.
const HEAD_CAPACITY: usize = 512;

/// Appends the headers except those that describe the framing or the connection.
fn put_headers(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if *name == CONTENT_LENGTH || *name == TRANSFER_ENCODING || *name == CONNECTION {
            continue;
        }
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
}

/// Appends the `content-length` header.
fn put_length(out: &mut BytesMut, length: usize) {
    // Writing to memory cannot fail.
    let _ = write!(out.writer(), "content-length: {length}\r\n");
}

/// Returns the encoded head of a request whose body has `length` bytes.
///
/// Framing and connection headers in `headers` are ignored. `content-length` is omitted if the body
/// is empty and the method is GET, HEAD or DELETE.
pub(crate) fn request_head(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    length: usize,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY);
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    put_headers(&mut out, headers);
    if length > 0 || !matches!(*method, Method::GET | Method::HEAD | Method::DELETE) {
        put_length(&mut out, length);
    }
    out.put_slice(b"\r\n");
    out
}

/// Returns the encoded head of a response whose body has `length` bytes.
///
/// Framing and connection headers in `headers` are ignored.
pub(crate) fn response_head(
    status: StatusCode,
    headers: &HeaderMap,
    length: usize,
    keep_alive: bool,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    // Writing to memory cannot fail.
    let _ = write!(
        (&mut out).writer(),
        "HTTP/1.1 {} {reason}\r\n",
        status.as_u16()
    );
    put_headers(&mut out, headers);
    put_length(&mut out, length);
    if !keep_alive {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
    out
}
