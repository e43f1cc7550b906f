//! Tests of client connections with servers that violate the protocol or close early.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{
    ClientConnection, DecodeLimits, ExchangeError, OutgoingRequest, Response, SocketTimeouts,
};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(5),
    unacknowledged: Duration::from_secs(5),
    keepalive: Duration::from_secs(5),
};

const LIMITS: DecodeLimits = DecodeLimits {
    head_bytes: 4096,
    body_bytes: 1 << 20,
};

/// Starts a server that accepts one connection and runs `handle` on it; returns its address.
async fn spawn_server<F, R>(handle: F) -> SocketAddr
where
    F: FnOnce(TcpStream) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds");
    let addr = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("connection is accepted");
        handle(stream).await;
    });
    addr
}

/// Waits for bytes from the client.
async fn read_some(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    assert!(stream.read(&mut buffer).await.expect("request arrives") > 0);
}

/// Sends a POST request and returns the result of the exchange.
async fn post(
    connection: &mut ClientConnection,
    body: &Bytes,
    matches_request: impl Fn(&Response) -> bool,
) -> Result<Response, ExchangeError> {
    let request = OutgoingRequest {
        method: &Method::POST,
        target: "/a",
        headers: &HeaderMap::new(),
        body,
    };
    connection.exchange(request, matches_request).await
}

async fn open(addr: SocketAddr) -> ClientConnection {
    ClientConnection::open(addr, TIMEOUTS, LIMITS)
        .await
        .expect("connection opens")
}

// Guards against a late response to an earlier request that is returned for the current one.
#[tokio::test]
async fn responses_to_other_requests_are_skipped() {
    let addr = spawn_server(|mut stream| async move {
        read_some(&mut stream).await;
        let responses = "HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold\
                         HTTP/1.1 200 OK\r\nid: new\r\ncontent-length: 3\r\n\r\nnew";
        stream
            .write_all(responses.as_bytes())
            .await
            .expect("response is sent");
        read_some(&mut stream).await;
    })
    .await;
    let mut connection = open(addr).await;
    let is_new = |r: &Response| r.headers.get("id").is_some_and(|v| v == "new");
    let response = post(&mut connection, &Bytes::new(), is_new)
        .await
        .expect("exchange succeeds");
    assert_eq!(response.body, "new");
}

// Guards against an extra response on an idle connection that is returned for the next request.
#[tokio::test]
async fn a_connection_with_unread_bytes_is_not_idle() {
    let addr = spawn_server(|mut stream| async move {
        read_some(&mut stream).await;
        let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream
            .write_all(first.as_bytes())
            .await
            .expect("response is sent");
        // The client returns the first response before the second one arrives.
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream
            .write_all(first.as_bytes())
            .await
            .expect("response is sent");
        read_some(&mut stream).await;
    })
    .await;
    let mut connection = open(addr).await;
    let response = post(&mut connection, &Bytes::new(), |_| true)
        .await
        .expect("exchange succeeds");
    assert!(response.keep_alive);
    while connection.is_idle() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// Guards against reuse of a connection after an early response: the server would read the next
// request as the rest of the unsent body.
#[tokio::test]
async fn a_response_before_the_body_was_sent_prevents_reuse() {
    let addr = spawn_server(|mut stream| async move {
        read_some(&mut stream).await;
        let early = "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
        stream
            .write_all(early.as_bytes())
            .await
            .expect("response is sent");
        // The client must return the response although the server never reads the request body.
        tokio::time::sleep(Duration::from_secs(60)).await;
    })
    .await;
    let mut connection = open(addr).await;
    // Larger than the socket buffers, so that the body cannot be sent in full.
    let body = Bytes::from(vec![0; 32 << 20]);
    let response = post(&mut connection, &body, |_| true)
        .await
        .expect("exchange succeeds");
    assert_eq!(response.status, 413);
    assert!(!response.keep_alive);
}

// Guards against a truncated body that is returned as complete. A body without a length ends when
// the connection closes; a connection that is reset may have lost a part of the body.
#[tokio::test]
async fn a_reset_inside_a_body_without_length_is_an_error() {
    let addr = spawn_server(|mut stream| async move {
        read_some(&mut stream).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            .await
            .expect("response is sent");
        // The client reads the partial body before the reset.
        tokio::time::sleep(Duration::from_millis(50)).await;
        // A linger time of zero makes closing the socket reset the connection.
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("socket option is set");
    })
    .await;
    let mut connection = open(addr).await;
    let result = post(&mut connection, &Bytes::new(), |_| true).await;
    assert!(matches!(result, Err(ExchangeError::Lost(_))), "{result:?}");
}

// Guards against `NotSent` for a request that the server received: the sender would retry it,
// although the server may have executed it.
#[tokio::test]
async fn a_close_without_a_response_leaves_the_outcome_unknown() {
    let addr = spawn_server(|mut stream| async move { read_some(&mut stream).await }).await;
    let mut connection = open(addr).await;
    let result = post(&mut connection, &Bytes::new(), |_| true).await;
    assert!(!matches!(result, Ok(_) | Err(ExchangeError::NotSent(_))));
}

// Guards against a response that looks complete although the server closed the connection within
// its head: a head without the length of its body would make an empty body complete.
#[tokio::test]
async fn a_response_that_ends_within_its_head_or_body_is_an_error() {
    for whole in [
        "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-a: b\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ] {
        for length in 0..whole.len() {
            let addr = spawn_server(move |mut stream| async move {
                read_some(&mut stream).await;
                let cut = &whole.as_bytes()[..length];
                stream.write_all(cut).await.expect("response is sent");
            })
            .await;
            let mut connection = open(addr).await;
            let result = post(&mut connection, &Bytes::new(), |_| true).await;
            assert!(
                !matches!(result, Ok(_) | Err(ExchangeError::NotSent(_))),
                "{:?}: {result:?}",
                &whole[..length]
            );
        }
    }
}

/// Number of times that a test repeats an exchange whose course depends on timing.
const REPEATS: u64 = 50;

/// Accepts a connection, responds without a length as soon as the first bytes of the request have
/// arrived, and resets the connection `pause` later.
async fn answer_early_and_reset(mut stream: TcpStream, pause: Duration) {
    read_some(&mut stream).await;
    let sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").await;
    sent.expect("response is sent");
    tokio::time::sleep(pause).await;
    // Closing a socket with unread bytes resets the connection.
    drop(stream);
}

// Guards against a part of a response that is taken for all of it: if the write side meets the reset
// first, the read that follows ends without an error.
#[tokio::test]
async fn a_response_without_length_that_is_reset_during_the_request_is_not_complete() {
    let body = Bytes::from(vec![b'u'; 16 << 20]);
    for repeat in 0..REPEATS {
        let pause = Duration::from_millis(2 * repeat);
        let addr = spawn_server(move |stream| answer_early_and_reset(stream, pause)).await;
        let result = post(&mut open(addr).await, &body, |_| true).await;
        assert!(
            matches!(result, Err(ExchangeError::Lost(_))),
            "{pause:?}: {result:?}"
        );
    }
}

// Guards against a status that HTTP does not have and that is passed on as one.
#[tokio::test]
async fn a_response_with_an_impossible_status_is_invalid() {
    for status in [
        "000", "001", "099", "600", "601", "999", "1000", "20", "-200",
    ] {
        let response = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
        let addr = spawn_server(move |mut stream| async move {
            read_some(&mut stream).await;
            let sent = stream.write_all(response.as_bytes()).await;
            sent.expect("response is sent");
            let _ = stream.read(&mut [0]).await;
        })
        .await;
        let result = post(&mut open(addr).await, &Bytes::new(), |_| true).await;
        assert!(
            matches!(result, Err(ExchangeError::InvalidResponse(_))),
            "{status}: {result:?}"
        );
    }
}
