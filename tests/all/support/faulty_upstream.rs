//! Upstream that fails at a chosen point of the exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::{DaemonProcess, request, send};

/// Lease of the announcement in milliseconds; longer than a test, so that the daemon learns of the
/// fault only from the exchange.
const LEASE_MS: u64 = 600_000;

/// Point of the exchange of a request and its response at which the upstream fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailurePoint {
    /// Closes the connection after it has read the request.
    AfterRequest,
    /// Closes the connection within the headers of the response.
    InHeaders,
    /// Closes the connection within a body of known length.
    InBody,
    /// Closes the connection within a chunked body.
    InChunks,
    /// Closes the connection within a body that has neither a length nor chunks, while it has not
    /// read all of the request.
    Unframed,
    /// Does not fail; names a limit of [`LIMIT_PER_SECOND`] in each response.
    Limited,
    /// Does not fail; says in each response that it is leaving.
    Leaving,
    /// Does not fail, but sends a complete 503 response with the headers of a daemon's refusal,
    /// like an upstream that relays the refusal of a request it made itself.
    RelayedRefusal,
}

/// Requests per second that an upstream at [`FailurePoint::Limited`] accepts.
pub(crate) const LIMIT_PER_SECOND: f64 = 4.0;

/// Response of an upstream that names a limit.
const LIMITED_RESPONSE: &str = concat!(
    "HTTP/1.1 200 OK\r\ncornelvalve-rate-limit: 4\r\n",
    "content-length: 0\r\nconnection: close\r\n\r\n"
);

/// Response of an upstream that is leaving.
const LEAVING_RESPONSE: &str = concat!(
    "HTTP/1.1 200 OK\r\ncornelvalve-leaving: 1\r\n",
    "content-length: 0\r\nconnection: close\r\n\r\n"
);

/// Response of an upstream that relays a refusal.
const RELAYED_RESPONSE: &str = concat!(
    "HTTP/1.1 503 Service Unavailable\r\n",
    "cornelvalve-outcome: not-run\r\ncornelvalve-reason: draining\r\n",
    "content-type: application/problem+json\r\ncontent-length: 21\r\n",
    "connection: close\r\n\r\n{\"outcome\":\"not-run\"}"
);

impl FailurePoint {
    /// Returns the bytes that the upstream sends before it fails.
    fn response(self) -> &'static str {
        match self {
            Self::AfterRequest => "",
            Self::InHeaders => "HTTP/1.1 200 OK\r\ncontent-le",
            Self::InBody => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
            Self::InChunks => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            Self::Unframed => "HTTP/1.1 200 OK\r\n\r\npart",
            Self::Limited => LIMITED_RESPONSE,
            Self::Leaving => LEAVING_RESPONSE,
            Self::RelayedRefusal => RELAYED_RESPONSE,
        }
    }
}

/// Running upstream; stops when the handle is dropped.
#[derive(Debug)]
pub(crate) struct FaultyUpstream {
    counter: mpsc::UnboundedSender<Message>,
    server: tokio::task::JoinHandle<()>,
}

/// Message to the task that counts requests.
#[derive(Debug)]
enum Message {
    /// A request with this id has arrived.
    Arrived(String),
    /// Asks how often each request has arrived.
    Counts(oneshot::Sender<BTreeMap<String, u64>>),
}

impl FaultyUpstream {
    /// Starts the upstream and announces it to the daemon.
    pub(crate) async fn start(daemon: &DaemonProcess, service: &str, point: FailurePoint) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("port is free");
        let port = listener.local_addr().expect("bound").port();
        let (counter, inbox) = mpsc::unbounded_channel();
        tokio::spawn(count_requests(inbox));
        let server = tokio::spawn(serve(listener, counter.clone(), point));
        announce(daemon.upstream, service, port).await;
        Self { counter, server }
    }

    /// Returns how often each request arrived, and so counts as run, by `x-request-id`.
    pub(crate) async fn run_counts(&self) -> BTreeMap<String, u64> {
        let (reply, counts) = oneshot::channel();
        self.counter
            .send(Message::Counts(reply))
            .expect("counter runs");
        counts.await.expect("counter responds")
    }
}

impl Drop for FaultyUpstream {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn announce(daemon: SocketAddr, service: &str, port: u16) {
    let body = serde_json::json!({
        "port": port, "slots": 10, "incarnation": 1, "lease_ms": LEASE_MS,
    });
    let path = format!("/v1/upstreams/{service}");
    let headers = [("content-type", "application/json")];
    let put = request("PUT", "daemon", &path, &headers, body.to_string());
    let announced = send(daemon, put).await.expect("daemon responds");
    assert!(announced.status.is_success(), "{announced:?}");
}

/// Counts requests by id until all senders are dropped.
async fn count_requests(mut inbox: mpsc::UnboundedReceiver<Message>) {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    while let Some(message) = inbox.recv().await {
        match message {
            Message::Arrived(id) => *counts.entry(id).or_default() += 1,
            Message::Counts(reply) => {
                let _ = reply.send(counts.clone());
            }
        }
    }
}

async fn serve(
    listener: TcpListener,
    counter: mpsc::UnboundedSender<Message>,
    point: FailurePoint,
) {
    while let Ok((socket, _)) = listener.accept().await {
        tokio::spawn(handle(socket, counter.clone(), point));
    }
}

/// Reads one request, counts it, sends the response up to the failure and closes the connection.
async fn handle(
    mut socket: TcpStream,
    counter: mpsc::UnboundedSender<Message>,
    point: FailurePoint,
) {
    let Some(head) = read_head(&mut socket).await else {
        return;
    };
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let _ = counter.send(Message::Arrived(id.unwrap_or("none").to_owned()));
    let _ = socket.write_all(point.response().as_bytes()).await;
    let _ = socket.flush().await;
    // A close with unread request data resets the connection, which can discard response bytes.
    // The delay lets them arrive first, so that the failure is at the chosen point.
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Reads a request up to the end of its headers; returns `None` if the connection ends before.
async fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut buffer = [0; 4096];
        let read = socket.read(&mut buffer).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8(bytes).ok()
}
