//! Decoding of requests and responses.

use bytes::BytesMut;
use cornelvalve_http1::{DecodeLimits, Error, RequestDecoder, ResponseDecoder};
use http::StatusCode;

const LIMITS: DecodeLimits = DecodeLimits {
    head_bytes: 512,
    body_bytes: 64,
};

/// Decodes one request that arrives in pieces of one byte; returns its body and what is left.
fn request(text: &str) -> Result<Option<(Vec<u8>, usize)>, Error> {
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

#[test]
fn bodies_with_a_length_and_in_chunks_are_the_same() {
    let plain =
        request("POST /a HTTP/1.1\r\ncontent-length: 5\r\n\r\nhello").expect("test set-up works");
    let text = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nt: 1\r\n\r\n";
    assert_eq!(plain, request(text).expect("test set-up works"));
    assert_eq!(plain, Some((b"hello".to_vec(), 0)));
}

// Guards against a request that is smuggled inside another one.
#[test]
fn ambiguous_framing_is_refused() {
    for headers in [
        "content-length: 5\r\ntransfer-encoding: chunked",
        "content-length: 5\r\ncontent-length: 6",
        "content-length: +5",
        "content-length: 5, 5",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
    ] {
        let text = format!("POST /a HTTP/1.1\r\n{headers}\r\n\r\n");
        let error = request(&text).unwrap_err();
        assert_eq!(error.status(), StatusCode::BAD_REQUEST, "{headers}");
    }
}

#[test]
fn a_chunk_that_is_longer_than_announced_is_refused() {
    let text = "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n";
    assert!(matches!(request(text), Err(Error::Malformed(_))));
}

// Guards against memory that a caller can make the daemon hold without bound.
#[test]
fn heads_and_bodies_above_the_limit_are_refused() {
    let long = "x".repeat(600);
    let head = format!("GET /a HTTP/1.1\r\nh: {long}\r\n\r\n");
    assert_eq!(request(&head).unwrap_err(), Error::HeadTooLong);
    let body = "POST /a HTTP/1.1\r\ncontent-length: 65\r\n\r\n";
    assert_eq!(request(body).unwrap_err(), Error::BodyTooLong);
    let chunks = format!("POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n41\r\n{long}");
    assert_eq!(request(&chunks).unwrap_err(), Error::BodyTooLong);
}

/// Decodes one response that arrives at once, followed by the end of its connection.
fn response(text: &str) -> Result<Option<Vec<u8>>, Error> {
    let mut buffer = BytesMut::from(text);
    let decoded = ResponseDecoder::new(LIMITS).decode(&mut buffer, true)?;
    Ok(decoded.map(|r| r.body.to_vec()))
}

// Guards against a response cut short that looks complete.
#[test]
fn a_response_that_ends_early_is_an_error() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ncontent-len",
        "",
    ] {
        assert_eq!(response(text), Err(Error::Truncated), "{text:?}");
    }
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let text = "HTTP/1.1 200 OK\r\n\r\nhello";
    assert_eq!(response(text), Ok(Some(b"hello".to_vec())));
}

#[test]
fn interim_responses_are_passed_over() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    assert_eq!(response(text), Ok(Some(b"ok".to_vec())));
}
