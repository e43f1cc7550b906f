//! Callers of the soak: each sends one request after the other to a daemon and reports what it
//! observes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{ClientConnection, OutgoingRequest, Response};
use cornelvalve_standins::{caller_headers, has_target_signature};
use http::Method;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::daemon::{RESPONSE_LIMITS, SOCKET_TIMEOUTS};

/// Delay between a response and the next request of a caller.
const REQUEST_DELAY: Duration = Duration::from_millis(25);

/// Time after which a caller gives up on a response; longer than the timeout of any route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Deadline that a caller sends with its requests.
const DEADLINE: Duration = Duration::from_secs(3);

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub(crate) struct Observation {
    /// Attempt identifier, which is unique among all requests of the run.
    pub(crate) attempt_id: String,
    /// Position of the caller's daemon in the list of daemons.
    pub(crate) daemon: usize,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Status, whether a target signed the response, and body; `None` without a response.
    pub(crate) response: Option<(u16, bool, Bytes)>,
    pub(crate) sent_at: Instant,
    pub(crate) latency: Duration,
}

/// Caller of one daemon.
pub(crate) struct Caller {
    /// Prefix of the attempt identifiers.
    pub(crate) name: String,
    /// Position of the daemon in the list of daemons.
    pub(crate) daemon: usize,
    /// Address of the daemon for callers.
    pub(crate) addr: SocketAddr,
    pub(crate) observations: mpsc::UnboundedSender<Observation>,
    /// Turns true when the caller has to stop.
    pub(crate) stop: watch::Receiver<bool>,
}

impl Caller {
    /// Sends requests until the caller has to stop, over a connection that it keeps until the
    /// daemon closes it or a request fails.
    pub(crate) async fn run(self) {
        let mut connection: Option<ClientConnection> = None;
        let mut number = 0_u64;
        while !*self.stop.borrow() {
            number += 1;
            let attempt_id = format!("{}-{number}", self.name);
            let idempotent = number.is_multiple_of(2);
            let sent_at = Instant::now();
            if connection.is_none() {
                connection = ClientConnection::open(self.addr, SOCKET_TIMEOUTS, RESPONSE_LIMITS)
                    .await
                    .ok();
            }
            let response = match &mut connection {
                Some(open) => {
                    let exchange = send_request(open, &attempt_id, idempotent);
                    timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten()
                }
                None => None,
            };
            if !response.as_ref().is_some_and(|r| r.keep_alive) {
                connection = None;
            }
            let observation = Observation {
                attempt_id,
                daemon: self.daemon,
                idempotent,
                response: response.map(|r| {
                    let signed = has_target_signature(&r);
                    (r.status.as_u16(), signed, r.body.to_bytes())
                }),
                sent_at,
                latency: sent_at.elapsed(),
            };
            if self.observations.send(observation).is_err() {
                return;
            }
            sleep(REQUEST_DELAY).await;
        }
    }
}

/// Sends a request on the idempotent or the other route; returns `None` if the exchange fails.
async fn send_request(
    connection: &mut ClientConnection,
    attempt_id: &str,
    idempotent: bool,
) -> Option<Response> {
    let headers = caller_headers(attempt_id, DEADLINE);
    let (method, path, body) = if idempotent {
        (Method::GET, "read", Bytes::new())
    } else {
        (Method::POST, "file", Bytes::from_static(b"filing"))
    };
    let request = OutgoingRequest {
        method: &method,
        target: &format!("/{path}/{attempt_id}"),
        headers: &headers,
        body: &body,
    };
    connection.exchange(request, |_| true).await.ok()
}
