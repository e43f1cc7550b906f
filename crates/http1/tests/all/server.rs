//! Server connections: pipelining, cancellation, time-outs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{
    BoxFuture, DecodeLimits, Handler, OutgoingResponse, Request, ServerOptions, serve_connection,
};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Barrier, watch};
use tokio::time::timeout;

const WAIT: Duration = Duration::from_secs(20);

fn options() -> ServerOptions {
    ServerOptions {
        limits: DecodeLimits {
            head_bytes: 1024,
            body_bytes: 1024,
        },
        request_timeout: Duration::from_millis(200),
        idle_timeout: WAIT,
    }
}

/// Serves one connection and returns the caller's end of it.
async fn serve(handler: impl Handler + 'static, draining: watch::Receiver<bool>) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("test set-up works");
    let addr: SocketAddr = listener.local_addr().expect("test set-up works");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("test set-up works");
        // The caller may break the connection off; that is what some tests do.
        let _ = serve_connection(stream, &handler, options(), draining).await;
    });
    TcpStream::connect(addr).await.expect("test set-up works")
}

/// Reads until the text ends with `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.ends_with(end) {
        let read = timeout(WAIT, stream.read(&mut buffer))
            .await
            .expect("test set-up works");
        let read = read.expect("test set-up works");
        assert!(read > 0, "connection ended after {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..read]).expect("test set-up works"));
    }
    text
}

/// Answers with the path once as many requests run as the barrier wants.
struct Together(Arc<Barrier>);

impl Handler for Together {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let barrier = Arc::clone(&self.0);
        Box::pin(async move {
            barrier.wait().await;
            let mut reply = OutgoingResponse::empty(StatusCode::OK);
            reply.body = Bytes::from(request.target.to_string());
            reply
        })
    }
}

// Guards against a pipelined request that waits for the one before it.
#[tokio::test]
async fn pipelined_requests_run_at_the_same_time_and_are_answered_in_order() {
    let (_stay, draining) = watch::channel(false);
    let mut stream = serve(Together(Arc::new(Barrier::new(2))), draining).await;
    let requests = "GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n";
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("test set-up works");
    let text = read_until(&mut stream, "/second").await;
    assert!(
        text.find("/first").expect("test set-up works")
            < text.find("/second").expect("test set-up works")
    );
}

// Guards against a pipelined request that runs and whose answer a stop cuts off.
#[tokio::test]
async fn a_draining_connection_answers_all_that_runs_before_it_ends() {
    let (_stay, draining) = watch::channel(true);
    let mut stream = serve(Together(Arc::new(Barrier::new(2))), draining).await;
    let requests = "GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n";
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("test set-up works");
    let text = read_until(&mut stream, "/second").await;
    let second = text.split("/first").nth(1).expect("test set-up works");
    assert!(second.contains("connection: close"), "{text}");
    let mut rest = Vec::new();
    timeout(WAIT, stream.read_to_end(&mut rest))
        .await
        .expect("test set-up works")
        .expect("test set-up works");
    assert!(rest.is_empty());
}

/// Never answers; counts the requests that run.
struct Never(Arc<AtomicUsize>);

struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Never {
    fn handle(&self, _: Request) -> BoxFuture<'static, OutgoingResponse> {
        self.0.fetch_add(1, Ordering::SeqCst);
        let running = Running(Arc::clone(&self.0));
        Box::pin(async move {
            let _running = running;
            std::future::pending().await
        })
    }
}

async fn wait_for(count: &AtomicUsize, expected: usize) {
    let reached = async {
        while count.load(Ordering::SeqCst) != expected {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT, reached).await.expect("test set-up works");
}

// Guards against work for callers that have left.
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_requests() {
    let (_stay, draining) = watch::channel(false);
    let count = Arc::new(AtomicUsize::new(0));
    let mut stream = serve(Never(Arc::clone(&count)), draining).await;
    let requests = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /unfinis";
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("test set-up works");
    wait_for(&count, 2).await;
    drop(stream);
    wait_for(&count, 0).await;
}

#[tokio::test]
async fn a_request_that_does_not_end_in_time_is_refused() {
    let (_stay, draining) = watch::channel(false);
    let mut stream = serve(Never(Arc::default()), draining).await;
    stream
        .write_all(b"GET /a HT")
        .await
        .expect("test set-up works");
    let text = read_until(&mut stream, "\r\n\r\n").await;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
}

#[tokio::test]
async fn bytes_that_are_no_request_are_refused_and_end_the_connection() {
    let (_stay, draining) = watch::channel(false);
    let mut stream = serve(Never(Arc::default()), draining).await;
    stream
        .write_all(b"what is this\r\n\r\n")
        .await
        .expect("test set-up works");
    let text = read_until(&mut stream, "\r\n\r\n").await;
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}
