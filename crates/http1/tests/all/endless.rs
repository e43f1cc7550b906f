//! Servers that send bytes without end until the client closes the connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{
    ClientConnection, DecodeLimits, ExchangeError, OutgoingRequest, SocketTimeouts,
};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

const TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(60),
    unacknowledged: Duration::from_secs(60),
    keepalive: Duration::from_secs(60),
};

const LIMITS: DecodeLimits = DecodeLimits {
    head_bytes: 4096,
    body_bytes: 1 << 16,
};

/// Time after which a client is taken to read for ever, on a heavily loaded machine too.
const WAIT: Duration = Duration::from_secs(60);

/// Number of bytes after which the server gives up. Far more than the limits and what the sockets
/// buffer.
const SERVER_BYTES: usize = 256 << 20;

/// What comes first and what then comes again and again.
const STREAMS: [(&str, &str, &str); 11] = [
    ("no protocol", "", "\u{1}\u{2}\u{3}"),
    ("empty lines", "", "\r\n"),
    ("reason phrase", "HTTP/1.1 200 ", "x"),
    ("headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
    ("header value", "HTTP/1.1 200 OK\r\na: ", "x"),
    ("body until the close", "HTTP/1.1 200 OK\r\n\r\n", "x"),
    ("chunks", CHUNKED, "1\r\nx\r\n"),
    ("chunk size line", CHUNKED_SIZE, "x"),
    ("trailers", CHUNKED_END, "a: b\r\n"),
    ("trailer value", CHUNKED_TRAILER, "x"),
    ("interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
];

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNKED_SIZE: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;";
const CHUNKED_END: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
const CHUNKED_TRAILER: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ";

/// Complete response to another request.
const OTHER_RESPONSE: &str = "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server that sends `first` and then `unit` until the connection is closed. Returns its
/// address and a channel for the number of bytes that it could send.
async fn spawn_server(first: &str, unit: &str) -> (SocketAddr, oneshot::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds");
    let addr = listener.local_addr().expect("listener has an address");
    let (sender, sent) = oneshot::channel();
    let (first, block) = (first.to_owned(), unit.repeat(8192 / unit.len()));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("connection is accepted");
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.expect("request arrives") > 0);
        let mut total = first.len();
        let mut written = stream.write_all(first.as_bytes()).await;
        while written.is_ok() && total < SERVER_BYTES {
            total += block.len();
            written = stream.write_all(block.as_bytes()).await;
        }
        let _ = sender.send(total);
    });
    (addr, sent)
}

/// Sends a request and returns the error of the exchange and the number of bytes that the server
/// could send before the client closed the connection.
async fn request_endless(first: &str, unit: &str) -> (Option<ExchangeError>, usize) {
    let (addr, sent) = spawn_server(first, unit).await;
    let mut connection = ClientConnection::open(addr, TIMEOUTS, LIMITS)
        .await
        .expect("connection opens");
    let request = OutgoingRequest {
        method: &Method::GET,
        target: "/a",
        headers: &HeaderMap::new(),
        body: &Bytes::new(),
    };
    let exchange = connection.exchange(request, |r| !r.headers.contains_key("id"));
    let result = timeout(WAIT, exchange).await.expect("the exchange ends");
    drop(connection);
    let sent = timeout(WAIT, sent).await.expect("the server ends");
    (result.err(), sent.expect("the server counts its bytes"))
}

// Guards against reading what a faulty server sends for ever, or into unlimited memory.
#[tokio::test]
async fn bytes_without_end_are_an_invalid_response() {
    for (what, first, unit) in STREAMS {
        let (error, sent) = request_endless(first, unit).await;
        assert!(
            matches!(error, Some(ExchangeError::InvalidResponse(_))),
            "{what}: {error:?}"
        );
        assert!(sent < SERVER_BYTES / 4, "{what}: {sent} bytes were taken");
    }
}

// Guards against a client that skips responses to other requests for ever.
#[tokio::test]
async fn responses_to_other_requests_without_end_are_an_invalid_response() {
    let (error, sent) = request_endless("", OTHER_RESPONSE).await;
    assert!(
        matches!(error, Some(ExchangeError::InvalidResponse(_))),
        "{error:?}"
    );
    assert!(sent < SERVER_BYTES / 4, "{sent} bytes were taken");
}
