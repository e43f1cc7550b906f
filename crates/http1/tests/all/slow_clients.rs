//! Clients that send or read slowly, or not at all.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{
    BoxFuture, DecodeLimits, Draining, Handler, OutgoingResponse, PerMessageLimit, Request,
    ServerOptions, serve_connection,
};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

/// Maximum time for an event that a test waits for, on a heavily loaded machine too.
const WAIT: Duration = Duration::from_secs(60);

/// Size in bytes of a response that the sockets cannot buffer.
const LARGE_BYTES: usize = 64 << 20;

const OPTIONS: ServerOptions = ServerOptions {
    limits: DecodeLimits {
        head_bytes: 1024,
        body_bytes: 1024,
    },
    request_timeout: REQUEST_TIMEOUT,
    idle_timeout: WAIT,
};

/// Time within which a request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which requests run, except those to `/large`.
const RUN_TIME: Duration = Duration::from_secs(1);

/// Serves one connection and returns the client's side of it.
async fn serve_and_connect(handler: impl Handler + 'static) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let addr = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("connection is accepted");
        let (_sender, draining) = watch::channel(Draining::No);
        // A test may close the connection early, which is an error here.
        let _ = serve_connection(stream, &handler, OPTIONS, &PerMessageLimit::NONE, draining).await;
    });
    TcpStream::connect(addr).await.expect("connection opens")
}

/// Responds to `/large` at once with a large body, and to other requests after a pause.
struct LargeHandler(Arc<Notify>);

impl Handler for LargeHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let finished = Arc::clone(&self.0);
        Box::pin(async move {
            let mut response = OutgoingResponse::empty(StatusCode::OK);
            if &*request.target == "/large" {
                response.body = Bytes::from(vec![b'x'; LARGE_BYTES]).into();
                return response;
            }
            sleep(RUN_TIME).await;
            finished.notify_one();
            response
        })
    }
}

// Guards against requests that hold the slots of an upstream because their client does not read the
// response to an earlier one.
#[tokio::test]
async fn requests_run_on_while_an_earlier_response_is_not_read() {
    let finished = Arc::new(Notify::new());
    let mut stream = serve_and_connect(LargeHandler(Arc::clone(&finished))).await;
    let requests = "GET /large HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n";
    let sent = stream.write_all(requests.as_bytes()).await;
    sent.expect("requests are sent");
    timeout(WAIT, finished.notified())
        .await
        .expect("the second request ends");
}

// Guards against a request that is held for ever because it arrives behind one that runs.
#[tokio::test]
async fn the_time_of_a_request_runs_while_an_earlier_one_does() {
    let mut stream = serve_and_connect(LargeHandler(Arc::new(Notify::new()))).await;
    let requests =
        "GET /first HTTP/1.1\r\n\r\nPOST /second HTTP/1.1\r\ncontent-length: 9\r\n\r\npart";
    let sent = stream.write_all(requests.as_bytes()).await;
    sent.expect("requests are sent");
    // The rest comes after the time of the second request, but before the first one has ended.
    sleep(2 * REQUEST_TIMEOUT).await;
    let _ = stream.write_all(b"-rest").await;
    let mut text = String::new();
    let read = timeout(WAIT, stream.read_to_string(&mut text)).await;
    read.expect("connection closes").expect("no reset");
    let statuses: Vec<&str> = text.lines().filter(|l| l.starts_with("HTTP/1.1")).collect();
    assert_eq!(
        statuses,
        ["HTTP/1.1 200 OK", "HTTP/1.1 408 Request Timeout"]
    );
}
