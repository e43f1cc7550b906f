//! Caller with one connection that it keeps open.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Result;

/// Time after which a caller gives up; longer than any deadline of the demo's services.
const PATIENCE: Duration = Duration::from_secs(30);

/// Request that can be sent again.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) host: &'static str,
    pub(super) path: &'static str,
    /// Identifies the request in the counts of the upstreams; they do not count one without.
    pub(super) id: Option<String>,
    /// Ticket, for a request that may not be repeated.
    pub(super) key: Option<String>,
    pub(super) body: Bytes,
}

/// Complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Answer {
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

    /// Sends a request, reads the whole response and returns it with the time that this took.
    pub(super) async fn send(&mut self, call: &Call) -> Result<(Answer, Duration)> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => connect(self.addr).await?,
        };
        let request = request(call)?;
        let started = Instant::now();
        let exchange = async {
            let response = connection.send_request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Answer { status, body })
        };
        let answer = tokio::time::timeout(PATIENCE, exchange).await??;
        let latency = started.elapsed();
        // The connection task needs a turn before the connection can be used again.
        if connection.ready().await.is_ok() {
            self.connection = Some(connection);
        }
        Ok((answer, latency))
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    // The end of the connection shows at the sender.
    tokio::spawn(connection);
    Ok(sender)
}

fn request(call: &Call) -> Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(call.path)
        .header("host", call.host);
    if let Some(id) = &call.id {
        builder = builder.header("x-request-id", id);
    }
    if let Some(key) = &call.key {
        builder = builder.header("idempotency-key", key);
    }
    Ok(builder.body(Full::new(call.body.clone()))?)
}
