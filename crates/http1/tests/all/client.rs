//! Exchanges of a client with servers that misbehave.

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

/// Starts a server that handles one connection.
async fn server<F, R>(handle: F) -> SocketAddr
where
    F: FnOnce(TcpStream) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("test set-up works");
    let addr = listener.local_addr().expect("test set-up works");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("test set-up works");
        handle(stream).await;
    });
    addr
}

async fn read_some(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    assert!(stream.read(&mut buffer).await.expect("test set-up works") > 0);
}

async fn post(
    connection: &mut ClientConnection,
    body: &Bytes,
    belongs: impl Fn(&Response) -> bool,
) -> Result<Response, ExchangeError> {
    let request = OutgoingRequest {
        method: &Method::POST,
        target: "/a",
        headers: &HeaderMap::new(),
        body,
    };
    connection.exchange(request, belongs).await
}

async fn open(addr: SocketAddr) -> ClientConnection {
    ClientConnection::open(addr, TIMEOUTS, LIMITS)
        .await
        .expect("test set-up works")
}

// Guards against a second answer of an earlier request that is taken for the present one.
#[tokio::test]
async fn responses_that_belong_to_another_request_are_passed_over() {
    let addr = server(|mut stream| async move {
        read_some(&mut stream).await;
        let responses = "HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold\
                         HTTP/1.1 200 OK\r\nid: new\r\ncontent-length: 3\r\n\r\nnew";
        stream
            .write_all(responses.as_bytes())
            .await
            .expect("test set-up works");
        read_some(&mut stream).await;
    })
    .await;
    let mut connection = open(addr).await;
    let is_new = |r: &Response| r.headers.get("id").is_some_and(|v| v == "new");
    let response = post(&mut connection, &Bytes::new(), is_new)
        .await
        .expect("test set-up works");
    assert_eq!(response.body, "new");
}

// Guards against an extra answer on an idle connection that the next request would get.
#[tokio::test]
async fn an_idle_connection_with_unread_bytes_is_not_used_again() {
    let addr = server(|mut stream| async move {
        read_some(&mut stream).await;
        let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream
            .write_all(first.as_bytes())
            .await
            .expect("test set-up works");
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream
            .write_all(first.as_bytes())
            .await
            .expect("test set-up works");
        read_some(&mut stream).await;
    })
    .await;
    let mut connection = open(addr).await;
    let response = post(&mut connection, &Bytes::new(), |_| true)
        .await
        .expect("test set-up works");
    assert!(response.keep_alive);
    while connection.is_idle() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// Guards against other bytes where the rest of a body is due after an early answer.
#[tokio::test]
async fn an_answer_before_the_body_was_sent_ends_the_connection() {
    let addr = server(|mut stream| async move {
        read_some(&mut stream).await;
        let early = "HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
        stream
            .write_all(early.as_bytes())
            .await
            .expect("test set-up works");
        // The client must not need these bytes to be read.
        tokio::time::sleep(Duration::from_secs(60)).await;
    })
    .await;
    let mut connection = open(addr).await;
    let body = Bytes::from(vec![0; 32 << 20]);
    let response = post(&mut connection, &body, |_| true)
        .await
        .expect("test set-up works");
    assert_eq!(response.status, 413);
    assert!(!response.keep_alive);
}

// Guards against an unframed body that a reset has cut and that looks complete.
#[tokio::test]
async fn an_unframed_body_that_ends_by_reset_is_an_error() {
    let addr = server(|mut stream| async move {
        read_some(&mut stream).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            .await
            .expect("test set-up works");
        tokio::time::sleep(Duration::from_millis(50)).await;
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("test set-up works");
    })
    .await;
    let mut connection = open(addr).await;
    let result = post(&mut connection, &Bytes::new(), |_| true).await;
    assert!(matches!(result, Err(ExchangeError::Lost(_))), "{result:?}");
}

#[tokio::test]
async fn a_connection_that_closes_without_an_answer_may_have_run_the_request() {
    let addr = server(|mut stream| async move { read_some(&mut stream).await }).await;
    let mut connection = open(addr).await;
    let result = post(&mut connection, &Bytes::new(), |_| true).await;
    assert!(!matches!(result, Ok(_) | Err(ExchangeError::NotSent(_))));
}
