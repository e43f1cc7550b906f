//! Tests of server connections: pipelining, cancellation, timeouts and invalid requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{
    BoxFuture, DecodeLimits, Draining, Handler, OutgoingResponse, PerMessageLimit, Request,
    ServerOptions, serve_connection,
};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Barrier, mpsc, watch};
use tokio::time::timeout;

/// Maximum time for an event that a test waits for.
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

/// Serves one connection and returns the client's side of it.
async fn serve_and_connect(
    handler: impl Handler + 'static,
    draining: watch::Receiver<Draining>,
) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds");
    let addr: SocketAddr = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("connection is accepted");
        // Some tests close the connection early, which is an error here.
        let _ = serve_connection(
            stream,
            &handler,
            options(),
            &PerMessageLimit::NONE,
            draining,
        )
        .await;
    });
    TcpStream::connect(addr).await.expect("connection opens")
}

/// Reads until the received text ends with `end` and returns the text.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1024];
    while !text.ends_with(end) {
        let read = timeout(WAIT, stream.read(&mut buffer))
            .await
            .expect("response arrives in time");
        let read = read.expect("connection stays open");
        assert!(read > 0, "connection ended after {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..read]).expect("response is UTF-8"));
    }
    text
}

/// Echoes the request target once as many requests run concurrently as the barrier requires.
struct BarrierHandler(Arc<Barrier>);

impl Handler for BarrierHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let barrier = Arc::clone(&self.0);
        Box::pin(async move {
            barrier.wait().await;
            let mut response = OutgoingResponse::empty(StatusCode::OK);
            response.body = Bytes::from(request.target.to_string()).into();
            response
        })
    }
}

// Guards against a pipelined request that starts only after the previous one has completed.
#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let (_sender, draining) = watch::channel(Draining::No);
    let mut stream = serve_and_connect(BarrierHandler(Arc::new(Barrier::new(2))), draining).await;
    let requests = "GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n";
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("requests are sent");
    let text = read_until(&mut stream, "/second").await;
    assert!(
        text.find("/first").expect("response to /first")
            < text.find("/second").expect("response to /second")
    );
}

// Guards against a drain that closes the connection before a running pipelined request is
// answered.
#[tokio::test]
async fn a_draining_connection_answers_running_requests_before_it_closes() {
    let (_sender, draining) = watch::channel(Draining::AfterResponse);
    let mut stream = serve_and_connect(BarrierHandler(Arc::new(Barrier::new(2))), draining).await;
    let requests = "GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n";
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("requests are sent");
    let text = read_until(&mut stream, "/second").await;
    let second = text.split("/first").nth(1).expect("response to /second");
    assert!(second.contains("connection: close"), "{text}");
    let mut rest = Vec::new();
    timeout(WAIT, stream.read_to_end(&mut rest))
        .await
        .expect("connection closes in time")
        .expect("remaining bytes are read");
    assert!(rest.is_empty());
}

/// Never responds; holds the number of running requests.
struct PendingHandler(Arc<AtomicUsize>);

/// Decrements the number of running requests when the future of a request is dropped.
struct RunningGuard(Arc<AtomicUsize>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for PendingHandler {
    fn handle(&self, _: Request) -> BoxFuture<'static, OutgoingResponse> {
        self.0.fetch_add(1, Ordering::SeqCst);
        let guard = RunningGuard(Arc::clone(&self.0));
        Box::pin(async move {
            let _guard = guard;
            std::future::pending().await
        })
    }
}

/// Waits until the number of running requests is `expected`.
async fn wait_for(count: &AtomicUsize, expected: usize) {
    let reached = async {
        while count.load(Ordering::SeqCst) != expected {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT, reached)
        .await
        .expect("count is reached in time");
}

// Guards against requests that keep running after their client has disconnected, in particular
// while a part of a later request is buffered.
#[tokio::test]
async fn a_disconnect_cancels_running_requests() {
    let (_sender, draining) = watch::channel(Draining::No);
    let count = Arc::new(AtomicUsize::new(0));
    let mut stream = serve_and_connect(PendingHandler(Arc::clone(&count)), draining).await;
    let requests = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /unfinis";
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("requests are sent");
    wait_for(&count, 2).await;
    drop(stream);
    wait_for(&count, 0).await;
}

// Guards against incomplete requests that hold a connection open without limit.
#[tokio::test]
async fn an_incomplete_request_times_out() {
    let (_sender, draining) = watch::channel(Draining::No);
    let mut stream = serve_and_connect(PendingHandler(Arc::default()), draining).await;
    stream
        .write_all(b"GET /a HT")
        .await
        .expect("bytes are sent");
    let text = read_until(&mut stream, "\r\n\r\n").await;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
}

// Guards against a connection that reads on at an unknown position after an invalid request.
#[tokio::test]
async fn an_invalid_request_is_rejected_and_closes_the_connection() {
    let (_sender, draining) = watch::channel(Draining::No);
    let mut stream = serve_and_connect(PendingHandler(Arc::default()), draining).await;
    stream
        .write_all(b"what is this\r\n\r\n")
        .await
        .expect("bytes are sent");
    let text = read_until(&mut stream, "\r\n\r\n").await;
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

/// Reports each request, and answers it once the barrier is passed.
struct ReportingHandler {
    started: mpsc::UnboundedSender<()>,
    barrier: Arc<Barrier>,
}

impl Handler for ReportingHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        // Fails only if the test has ended.
        let _ = self.started.send(());
        BarrierHandler(Arc::clone(&self.barrier)).handle(request)
    }
}

// Guards against a server that ends and cuts off a request that it has just read, and against one
// that waits for clients with idle connections.
#[tokio::test]
async fn an_ending_server_answers_what_it_has_read_and_closes_idle_connections() {
    let (sender, draining) = watch::channel(Draining::No);
    let (started, mut requests) = mpsc::unbounded_channel();
    let barrier = Arc::new(Barrier::new(2));
    let handler = ReportingHandler {
        started,
        barrier: Arc::clone(&barrier),
    };
    let mut busy = serve_and_connect(handler, draining.clone()).await;
    let mut idle = serve_and_connect(PendingHandler(Arc::default()), draining).await;
    let request = b"GET /read HTTP/1.1\r\n\r\n";
    busy.write_all(request).await.expect("request is sent");
    requests.recv().await.expect("request is read");
    sender.send_replace(Draining::WhenIdle);
    let mut rest = Vec::new();
    let end = idle.read_to_end(&mut rest);
    end.await.expect("idle connection ends");
    assert!(rest.is_empty(), "{rest:?}");
    barrier.wait().await;
    let end = busy.read_to_end(&mut rest);
    end.await.expect("busy connection ends");
    let text = String::from_utf8_lossy(&rest);
    assert!(text.contains("200 OK") && text.ends_with("/read"), "{text}");
}
