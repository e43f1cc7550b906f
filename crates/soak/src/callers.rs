//! Callers: each sends requests over a connection that it keeps until the daemon ends it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{ClientConnection, OutgoingRequest, Response};
use cornelvalve_standins::{caller_headers, is_signed};
use http::Method;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::daemon::{LIMITS, TIMEOUTS};

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(25);

/// Longest wait of a caller; longer than any route's time.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// Deadline that a caller states.
const DEADLINE: Duration = Duration::from_secs(3);

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) attempt: String,
    /// Whether the request may run more than once.
    pub(crate) repeatable: bool,
    /// Status and body; `None` without an answer.
    pub(crate) answer: Option<(u16, bool, Bytes)>,
    pub(crate) sent: Instant,
    pub(crate) took: Duration,
}

/// Caller of one daemon.
pub(crate) struct Caller {
    pub(crate) name: String,
    pub(crate) addr: SocketAddr,
    pub(crate) seen: mpsc::UnboundedSender<Seen>,
    pub(crate) stop: watch::Receiver<bool>,
}

impl Caller {
    /// Sends requests until it is told to stop.
    pub(crate) async fn run(self) {
        let mut connection: Option<ClientConnection> = None;
        let mut number = 0_u64;
        while !*self.stop.borrow() {
            number += 1;
            let attempt = format!("{}-{number}", self.name);
            let repeatable = number.is_multiple_of(2);
            let sent = Instant::now();
            if connection.is_none() {
                connection = ClientConnection::open(self.addr, TIMEOUTS, LIMITS)
                    .await
                    .ok();
            }
            let answer = match &mut connection {
                Some(open) => {
                    let exchange = request(open, &attempt, repeatable);
                    timeout(CALLER_TIMEOUT, exchange).await.ok().flatten()
                }
                None => None,
            };
            if !answer.as_ref().is_some_and(|r| r.keep_alive) {
                connection = None;
            }
            let seen = Seen {
                attempt,
                repeatable,
                answer: answer.map(|r| {
                    let signed = is_signed(&r);
                    (r.status.as_u16(), signed, r.body)
                }),
                sent,
                took: sent.elapsed(),
            };
            if self.seen.send(seen).is_err() {
                return;
            }
            sleep(PAUSE).await;
        }
    }
}

async fn request(
    connection: &mut ClientConnection,
    attempt: &str,
    repeatable: bool,
) -> Option<Response> {
    let headers = caller_headers(attempt, DEADLINE);
    let (method, path, body) = if repeatable {
        (Method::GET, "read", Bytes::new())
    } else {
        (Method::POST, "file", Bytes::from_static(b"filing"))
    };
    let request = OutgoingRequest {
        method: &method,
        target: &format!("/{path}/{attempt}"),
        headers: &headers,
        body: &body,
    };
    connection.exchange(request, |_| true).await.ok()
}
