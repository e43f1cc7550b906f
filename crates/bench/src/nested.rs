//! Upstream stand-in that makes nested calls through the daemon on its own VM.
//!
//! In contrast to the general upstream stand-in, it counts neither runs nor concurrency, supports
//! no faults, and always echoes the request body.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_model::ServiceName;
use http::header::HeaderName;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use crate::client::{Connection, IdleConnections, exchange};

/// Header with the number of nested calls that remain to be made.
const NESTED_HEADER: HeaderName = HeaderName::from_static("x-nested");

/// Header with the service time of a request in milliseconds.
const WORK_HEADER: HeaderName = HeaderName::from_static("x-work-ms");

/// Headers that are copied from a request to the nested call that it causes.
const INHERITED_HEADERS: [HeaderName; 6] = [
    http::header::HOST,
    HeaderName::from_static("cornelvalve-team"),
    HeaderName::from_static("cornelvalve-deadline-ms"),
    HeaderName::from_static("cornelvalve-depth"),
    HeaderName::from_static("traceparent"),
    WORK_HEADER,
];

/// Lease of the announcement, after which the daemon forgets the upstream. It is renewed every
/// third of this time, so that an announcement may be lost.
const LEASE: Duration = Duration::from_secs(3);

/// Message to the task that owns the idle connections to the daemon.
enum PoolMessage {
    /// Asks for an idle connection.
    Take(oneshot::Sender<Option<Connection>>),
    /// Returns a connection for reuse.
    Put(Connection),
}

/// Starts the stand-in and its announcements and returns its address. Both end with the runtime.
///
/// `announce_addr` and `caller_addr` are the addresses of the daemon for announcements and for
/// nested calls.
pub(crate) async fn start(
    service: &ServiceName,
    slots: u16,
    announce_addr: SocketAddr,
    caller_addr: SocketAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let addr = listener.local_addr()?;
    let path = format!("/v1/upstreams/{service}");
    let announcement = serde_json::json!({
        "port": addr.port(), "slots": slots, "incarnation": 1, "lease_ms": LEASE.as_millis() as u64,
    });
    tokio::spawn(announce(announce_addr, path, announcement.to_string()));
    let (pool, inbox) = mpsc::unbounded_channel();
    tokio::spawn(run_pool(inbox, caller_addr));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream, pool.clone(), caller_addr));
        }
    });
    Ok(addr)
}

/// Announces the stand-in to its daemon until the runtime ends.
async fn announce(announce_addr: SocketAddr, path: String, body: String) {
    loop {
        let request = Request::put(path.as_str())
            .header("host", announce_addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.clone())));
        if let Ok(request) = request {
            // Errors are ignored: the next announcement is sent before the lease expires.
            let _ = exchange(announce_addr, None, request).await;
        }
        tokio::time::sleep(LEASE / 3).await;
    }
}

/// Runs the task that owns the idle connections to the daemon.
async fn run_pool(mut inbox: mpsc::UnboundedReceiver<PoolMessage>, caller_addr: SocketAddr) {
    let mut idle = IdleConnections::default();
    while let Some(message) = inbox.recv().await {
        match message {
            PoolMessage::Take(reply) => {
                let _ = reply.send(idle.take(caller_addr));
            }
            PoolMessage::Put(connection) => idle.put(caller_addr, connection),
        }
    }
}

/// Serves the requests of one connection.
async fn serve(
    stream: TcpStream,
    pool: mpsc::UnboundedSender<PoolMessage>,
    caller_addr: SocketAddr,
) {
    let service = service_fn(move |request| {
        let pool = pool.clone();
        async move { Ok::<_, std::convert::Infallible>(handle(request, &pool, caller_addr).await) }
    });
    // A failed connection affects only its client, which sees the error.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Handles a request: waits for the service time, makes the nested call and echoes the body.
async fn handle(
    request: Request<Incoming>,
    pool: &mpsc::UnboundedSender<PoolMessage>,
    caller_addr: SocketAddr,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let number = |name: &HeaderName| -> u64 {
        let value = parts.headers.get(name).and_then(|v| v.to_str().ok());
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    };
    let work = number(&WORK_HEADER);
    if work > 0 {
        tokio::time::sleep(Duration::from_millis(work)).await;
    }
    let nested = number(&NESTED_HEADER);
    if nested > 0 {
        let path = parts.uri.path();
        let status = call_nested(path, &parts.headers, nested - 1, pool, caller_addr).await;
        // Only the status is passed on. A refusal of a daemon thus reaches the caller as a failure.
        if !status.is_success() {
            return status_only(status);
        }
    }
    match body.collect().await {
        Ok(body) => Response::new(Full::new(body.to_bytes())),
        Err(_) => status_only(StatusCode::BAD_REQUEST),
    }
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Makes a nested call on the same path, with `nested` further calls below it, and returns its
/// status.
async fn call_nested(
    path: &str,
    headers: &HeaderMap,
    nested: u64,
    pool: &mpsc::UnboundedSender<PoolMessage>,
    caller_addr: SocketAddr,
) -> StatusCode {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().unwrap_or_default();
    for name in INHERITED_HEADERS {
        if let Some(value) = headers.get(&name) {
            request.headers_mut().insert(name, value.clone());
        }
    }
    request.headers_mut().insert(NESTED_HEADER, nested.into());
    let (reply, idle) = oneshot::channel();
    let _ = pool.send(PoolMessage::Take(reply));
    let idle = idle.await.ok().flatten();
    match exchange(caller_addr, idle, request).await {
        Ok((response, connection)) => {
            let _ = pool.send(PoolMessage::Put(connection));
            response.status
        }
        Err(_) => StatusCode::BAD_GATEWAY,
    }
}
