//! Upstream stand-in that makes nested calls through the entry of its own VM.

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

/// Header with the number of nested calls still to be made.
const NESTED: HeaderName = HeaderName::from_static("x-nested");

/// Header with the service time in milliseconds.
const WORK_MS: HeaderName = HeaderName::from_static("x-work-ms");

/// Headers that a nested call takes over from the call that it belongs to.
const INHERITED: [HeaderName; 6] = [
    http::header::HOST,
    HeaderName::from_static("cornelvalve-team"),
    HeaderName::from_static("cornelvalve-deadline-ms"),
    HeaderName::from_static("cornelvalve-depth"),
    HeaderName::from_static("traceparent"),
    WORK_MS,
];

/// Lease of the announcement.
const LEASE: Duration = Duration::from_secs(3);

/// Requests to the task that owns the idle connections to the entry.
enum PoolMessage {
    Take(oneshot::Sender<Option<Connection>>),
    Put(Connection),
}

/// Starts the stand-in and its announcements; both end with the runtime.
pub(crate) async fn start(
    service: &ServiceName,
    slots: u16,
    daemon: SocketAddr,
    entry: SocketAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let addr = listener.local_addr()?;
    let path = format!("/v1/upstreams/{service}");
    let announcement = serde_json::json!({
        "port": addr.port(), "slots": slots, "incarnation": 1, "lease_ms": LEASE.as_millis() as u64,
    });
    tokio::spawn(announce(daemon, path, announcement.to_string()));
    let (pool, inbox) = mpsc::unbounded_channel();
    tokio::spawn(run_pool(inbox, entry));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve(stream, pool.clone(), entry));
        }
    });
    Ok(addr)
}

async fn announce(daemon: SocketAddr, path: String, body: String) {
    loop {
        let request = Request::put(path.as_str())
            .header("host", daemon.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.clone())));
        if let Ok(request) = request {
            // A daemon that does not answer is tried again within the lease.
            let _ = exchange(daemon, None, request).await;
        }
        tokio::time::sleep(LEASE / 3).await;
    }
}

async fn run_pool(mut inbox: mpsc::UnboundedReceiver<PoolMessage>, entry: SocketAddr) {
    let mut idle = IdleConnections::default();
    while let Some(message) = inbox.recv().await {
        match message {
            PoolMessage::Take(reply) => {
                let _ = reply.send(idle.take(entry));
            }
            PoolMessage::Put(connection) => idle.put(entry, connection),
        }
    }
}

async fn serve(stream: TcpStream, pool: mpsc::UnboundedSender<PoolMessage>, entry: SocketAddr) {
    let service = service_fn(move |request| {
        let pool = pool.clone();
        async move { Ok::<_, std::convert::Infallible>(answer(request, &pool, entry).await) }
    });
    // A failed connection concerns its client only.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    request: Request<Incoming>,
    pool: &mpsc::UnboundedSender<PoolMessage>,
    entry: SocketAddr,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let number = |name: &HeaderName| -> u64 {
        let value = parts.headers.get(name).and_then(|v| v.to_str().ok());
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    };
    let work = number(&WORK_MS);
    if work > 0 {
        tokio::time::sleep(Duration::from_millis(work)).await;
    }
    let nested = number(&NESTED);
    if nested > 0 {
        let path = parts.uri.path();
        let status = call(path, &parts.headers, nested - 1, pool, entry).await;
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

/// Makes the nested call and returns its status.
async fn call(
    path: &str,
    headers: &HeaderMap,
    nested: u64,
    pool: &mpsc::UnboundedSender<PoolMessage>,
    entry: SocketAddr,
) -> StatusCode {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().unwrap_or_default();
    for name in INHERITED {
        if let Some(value) = headers.get(&name) {
            request.headers_mut().insert(name, value.clone());
        }
    }
    request.headers_mut().insert(NESTED, nested.into());
    let (reply, taken) = oneshot::channel();
    let _ = pool.send(PoolMessage::Take(reply));
    let idle = taken.await.ok().flatten();
    match exchange(entry, idle, request).await {
        Ok((answer, connection)) => {
            let _ = pool.send(PoolMessage::Put(connection));
            answer.status
        }
        Err(_) => StatusCode::BAD_GATEWAY,
    }
}
