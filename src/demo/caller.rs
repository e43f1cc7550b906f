//! HTTP client of the demo, which keeps one connection open.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Result;

/// Time that a caller waits for a response; longer than the timeout of the demo's services (10 s).
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Description of a request, which may be sent several times.
#[derive(Clone, Debug)]
pub(super) struct RequestSpec {
    pub(super) method: Method,
    pub(super) host: &'static str,
    pub(super) path: &'static str,
    /// Value of the header `x-request-id`. Upstreams count runs per id, and do not count requests
    /// without one.
    pub(super) id: Option<String>,
    /// Ticket: an idempotency key issued by a daemon, for a request that must not run twice. Sent
    /// as the header `idempotency-key`.
    pub(super) ticket: Option<String>,
    pub(super) body: Bytes,
}

/// Response that was read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompleteResponse {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// Sends requests to one address, one at a time.
#[derive(Debug)]
pub(super) struct Caller {
    addr: SocketAddr,
    connection: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    pub(super) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connection: None,
        }
    }

    /// Sends a request and returns the complete response and its latency.
    ///
    /// Reuses the connection of the previous request if it is still open.
    pub(super) async fn send(
        &mut self,
        spec: &RequestSpec,
    ) -> Result<(CompleteResponse, Duration)> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => connect(self.addr).await?,
        };
        let request = build_request(spec)?;
        let started = Instant::now();
        let exchange = async {
            let response = connection.send_request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, hyper::Error>(CompleteResponse { status, body })
        };
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await??;
        let latency = started.elapsed();
        // The sender becomes ready for the next request only after the connection task has run.
        // This wait is not part of the latency.
        if connection.ready().await.is_ok() {
            self.connection = Some(connection);
        }
        Ok((response, latency))
    }
}

/// Opens a connection and starts the task that drives it.
async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    // When the connection ends, the sender reports it, so the result of this task is not needed.
    tokio::spawn(connection);
    Ok(sender)
}

/// Builds the HTTP request that `spec` describes.
fn build_request(spec: &RequestSpec) -> Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(spec.method.clone())
        .uri(spec.path)
        .header("host", spec.host);
    if let Some(id) = &spec.id {
        builder = builder.header("x-request-id", id);
    }
    if let Some(ticket) = &spec.ticket {
        builder = builder.header("idempotency-key", ticket);
    }
    Ok(builder.body(Full::new(spec.body.clone()))?)
}
