//! Upstream that breaks the exchange at a chosen stage.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::{DaemonProcess, request, send};

/// Lease of the announcement; longer than a test, so that only the exchange shows the fault.
const LEASE_MS: u64 = 600_000;

/// Where the exchange breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailurePoint {
    /// Closes after it has read the request.
    AfterRequest,
    /// Closes within the response head.
    InHeaders,
    /// Closes within a body of known length.
    InBody,
    /// Closes within a chunked body.
    InChunks,
    /// Answers 503 with the marker of a refusal that a nested call may have got.
    RelayedRefusal,
}

const RELAYED: &str = concat!(
    "HTTP/1.1 503 Service Unavailable\r\n",
    "cornelvalve-outcome: not-run\r\ncornelvalve-reason: draining\r\n",
    "content-type: application/problem+json\r\ncontent-length: 21\r\n",
    "connection: close\r\n\r\n{\"outcome\":\"not-run\"}"
);

impl FailurePoint {
    fn response(self) -> &'static str {
        match self {
            Self::AfterRequest => "",
            Self::InHeaders => "HTTP/1.1 200 OK\r\ncontent-le",
            Self::InBody => "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
            Self::InChunks => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            Self::RelayedRefusal => RELAYED,
        }
    }
}

/// Running upstream; ends with its handle.
#[derive(Debug)]
pub(crate) struct FaultyUpstream {
    counts: mpsc::UnboundedSender<Message>,
    server: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
enum Message {
    Ran(String),
    Runs(oneshot::Sender<BTreeMap<String, u64>>),
}

impl FaultyUpstream {
    /// Starts the upstream and announces it to the daemon.
    pub(crate) async fn start(daemon: &DaemonProcess, service: &str, stage: FailurePoint) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("port is free");
        let port = listener.local_addr().expect("bound").port();
        let (counts, inbox) = mpsc::unbounded_channel();
        tokio::spawn(count(inbox));
        let server = tokio::spawn(serve(listener, counts.clone(), stage));
        announce(daemon.upstream, service, port).await;
        Self { counts, server }
    }

    /// Returns how often each request arrived, by `x-request-id`.
    pub(crate) async fn run_counts(&self) -> BTreeMap<String, u64> {
        let (reply, runs) = oneshot::channel();
        self.counts
            .send(Message::Runs(reply))
            .expect("counter runs");
        runs.await.expect("counter answers")
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
    let answer = send(daemon, put).await.expect("daemon answers");
    assert!(answer.status.is_success(), "{answer:?}");
}

async fn count(mut inbox: mpsc::UnboundedReceiver<Message>) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    while let Some(message) = inbox.recv().await {
        match message {
            Message::Ran(id) => *runs.entry(id).or_default() += 1,
            Message::Runs(reply) => {
                let _ = reply.send(runs.clone());
            }
        }
    }
}

async fn serve(listener: TcpListener, counts: mpsc::UnboundedSender<Message>, stage: FailurePoint) {
    while let Ok((socket, _)) = listener.accept().await {
        tokio::spawn(break_off(socket, counts.clone(), stage));
    }
}

/// Reads one request, counts it, writes what the stage allows and closes.
async fn break_off(
    mut socket: TcpStream,
    counts: mpsc::UnboundedSender<Message>,
    stage: FailurePoint,
) {
    let Some(head) = read_head(&mut socket).await else {
        return;
    };
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let _ = counts.send(Message::Ran(id.unwrap_or("none").to_owned()));
    let _ = socket.write_all(stage.response().as_bytes()).await;
    let _ = socket.flush().await;
    // Lets the bytes leave before the close, so that the stage is the one asked for.
    tokio::time::sleep(Duration::from_millis(20)).await;
}

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
