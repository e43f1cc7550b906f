//! Stand-in for requesters: sends requests to the outbound address of a machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message, encode};
use crate::record::Record;

/// Number of the last attempt; makes attempt identifiers unique.
static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// Host of all routes.
pub const HOST: &str = "review.example";

/// Returns a new attempt identifier.
fn next_attempt() -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{number:016x}")
}

/// Encodes a request.
fn request(method: &str, path: &str, attempt: &str, deadline: Duration, body: &[u8]) -> Vec<u8> {
    let start = format!("{method} {path} HTTP/1.1");
    let deadline = deadline.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", &deadline),
    ];
    encode(&start, &headers, body)
}

/// Answer to a request, as its requester saw it.
pub struct Exchange {
    pub attempt: String,
    /// `None` if the connection ended without an answer.
    pub answer: Option<Message>,
    /// Whether the connection had carried a request before.
    pub kept: bool,
    /// Seconds since the start of the record at which the request was sent.
    pub sent: f64,
}

impl Exchange {
    /// Status of the answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

/// Requester that keeps its connection.
pub struct Requester {
    machine: String,
    addr: SocketAddr,
    connection: Option<Connection>,
    record: Arc<Record>,
}

impl Requester {
    /// Creates a requester on a machine.
    pub fn new(machine: &str, addr: SocketAddr, record: &Arc<Record>) -> Self {
        Self {
            machine: machine.to_owned(),
            addr,
            connection: None,
            record: Arc::clone(record),
        }
    }

    /// Sends a request and waits for its answer.
    pub fn send(&mut self, method: &str, path: &str, deadline: Duration, body: &[u8]) -> Exchange {
        let attempt = next_attempt();
        let sent = self.record.now();
        let bytes = request(method, path, &attempt, deadline, body);
        let kept = self.connection.is_some();
        let connection = match self.connection.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(self.addr, deadline + Duration::from_secs(1)),
        };
        let answer = connection.and_then(|mut connection| {
            let (answer, open) = connection.exchange(&bytes)?;
            if open {
                self.connection = Some(connection);
            }
            Ok(answer)
        });
        let seen = match &answer {
            Ok(a) => format!(
                "{} signature {} body {:?}",
                a.status(),
                a.header("x-server-signature").unwrap_or("none"),
                String::from_utf8_lossy(&a.body[..a.body.len().min(60)])
            ),
            Err(e) => format!("no answer: {e}"),
        };
        self.record.line(&format!(
            "request {attempt} {method} {path} ({} bytes) from {}{}: {seen}",
            body.len(),
            self.machine,
            if kept { ", kept connection" } else { "" }
        ));
        Exchange {
            attempt,
            answer: answer.ok(),
            kept,
            sent,
        }
    }
}
