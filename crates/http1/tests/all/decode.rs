//! Tests of request and response decoding.

use bytes::BytesMut;
use cornelvalve_http1::{DecodeLimits, Error, RequestDecoder, ResponseDecoder};
use http::StatusCode;

const LIMITS: DecodeLimits = DecodeLimits {
    head_bytes: 512,
    body_bytes: 64,
};

/// Decodes one request that arrives byte by byte; returns its body and the number of bytes that
/// follow it in `text`.
fn decode_request(text: &str) -> Result<Option<(Vec<u8>, usize)>, Error> {
    let mut decoder = RequestDecoder::new(LIMITS);
    let mut buffer = BytesMut::new();
    for (index, byte) in text.bytes().enumerate() {
        buffer.extend_from_slice(&[byte]);
        if let Some(request) = decoder.decode(&mut buffer)? {
            return Ok(Some((request.body.to_vec(), text.len() - index - 1)));
        }
    }
    Ok(None)
}

// Guards against a chunked body that differs from the same body with a length, or that ends at the
// wrong byte.
#[test]
fn chunked_and_length_delimited_bodies_are_equal() {
    let plain = decode_request("POST /a HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello")
        .expect("request is valid");
    let text = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nt: 1\r\n\r\n";
    assert_eq!(plain, decode_request(text).expect("request is valid"));
    assert_eq!(plain, Some((b"hello".to_vec(), 0)));
}

// Guards against request smuggling: a request that a proxy and a server end at different bytes.
#[test]
fn ambiguous_framing_is_rejected() {
    for headers in [
        "content-length: 5\r\ntransfer-encoding: chunked",
        "content-length: 5\r\ncontent-length: 6",
        "content-length: +5",
        "content-length: 5, 5",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
    ] {
        let text = format!("POST /a HTTP/1.1\r\n{headers}\r\n\r\n");
        let error = decode_request(&text).unwrap_err();
        assert_eq!(error.status(), StatusCode::BAD_REQUEST, "{headers}");
    }
}

// Guards against chunk data that is decoded as the next chunk size line.
#[test]
fn a_chunk_longer_than_its_size_line_says_is_rejected() {
    let text = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n";
    assert!(matches!(decode_request(text), Err(Error::Malformed(_))));
}

// Guards against requests that make the daemon allocate an unlimited amount of memory.
#[test]
fn heads_and_bodies_above_the_limit_are_rejected() {
    let long = "x".repeat(600);
    let head = format!("GET /a HTTP/1.1\r\nh: {long}\r\n\r\n");
    assert_eq!(decode_request(&head).unwrap_err(), Error::HeadTooLarge);
    let body = "POST /a HTTP/1.1\r\ncontent-length: 65\r\n\r\n";
    assert_eq!(decode_request(body).unwrap_err(), Error::BodyTooLarge);
    // The chunk size is hexadecimal: 65 bytes.
    let chunks = format!("POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n41\r\n{long}");
    assert_eq!(decode_request(&chunks).unwrap_err(), Error::BodyTooLarge);
}

/// Decodes one response that arrives at once, after which the connection closes; returns its body.
fn decode_response(text: &str) -> Result<Option<Vec<u8>>, Error> {
    let mut buffer = BytesMut::from(text);
    let decoded = ResponseDecoder::new(LIMITS).decode(&mut buffer, true)?;
    Ok(decoded.map(|r| r.body.to_vec()))
}

// Guards against a truncated response that is returned as complete.
#[test]
fn a_truncated_response_is_an_error() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ncontent-len",
        "",
    ] {
        assert_eq!(decode_response(text), Err(Error::Truncated), "{text:?}");
    }
}

// Guards against a response without a length that is rejected or whose body is lost.
#[test]
fn a_response_without_a_length_ends_when_the_connection_closes() {
    let text = "HTTP/1.1 200 OK\r\n\r\nhello";
    assert_eq!(decode_response(text), Ok(Some(b"hello".to_vec())));
}

// Guards against an interim response that is returned as the final one.
#[test]
fn interim_responses_are_skipped() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(decode_response(text), Ok(Some(b"ok".to_vec())));
}
