//! HTTP client for requests to other daemons and to the local upstream.
//!
//! An exchange is one request with its response. It has a connection to itself until it ends.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_model::{Reason, Refusal};
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::body::{Body, BodyEnd, BodyObserver, ObservedBody, Progress};
use crate::pool::{Connection, PoolMessage};

/// Longest wait for a pooled connection to finish its previous exchange; after that a new one is
/// opened.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Delays before the probes of [`HttpClient::probe_is_dead`]. A process that dies may close its
/// connections before its listener, so a server that still accepts a connection is probed again.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(5),
    Duration::from_millis(20),
];

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, HttpClientError>;

/// Error of an exchange; tells whether the server may have seen the request.
#[derive(Debug, Display, Error)]
pub(crate) enum HttpClientError {
    /// The request was not written to a connection, so the server did not see it.
    #[display("request was not sent: {_0}; it is safe to retry on another server")]
    NotSent(#[error(not(source))] String),
    /// The connection failed after the request was passed to it.
    #[display("connection failed during the exchange: {_0}; the outcome is unknown")]
    ConnectionLost(#[error(not(source))] String),
    /// The sender of the request body aborted it, which is no evidence about the server.
    #[display("request body was aborted: {_0}; the outcome is unknown")]
    RequestBodyFailed(#[error(not(source))] String),
    /// No response headers arrived in time.
    #[display("no response in time; the outcome is unknown")]
    TimedOut,
}

impl HttpClientError {
    /// Returns the refusal that reports this error to the caller.
    pub(crate) fn refusal(&self) -> Refusal {
        match self {
            Self::NotSent(_) => Refusal::not_run(Reason::Connection),
            Self::ConnectionLost(_) | Self::RequestBodyFailed(_) => {
                Refusal::unknown(Reason::Connection)
            }
            Self::TimedOut => Refusal::unknown(Reason::Deadline),
        }
    }
}

/// Time without progress after which the upload of a request body counts as stalled.
pub(crate) const UPLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timer that limits the wait for the headers of a response.
#[derive(Debug)]
pub(crate) struct ResponseTimer {
    /// Time by which the headers must arrive.
    pub(crate) deadline: Instant,
    /// Progress of the request body and its idle timeout: while data of the body arrives within the
    /// idle timeout, the deadline is extended.
    pub(crate) upload: Option<(watch::Receiver<Progress>, Duration)>,
}

impl ResponseTimer {
    /// Returns whether the sender of the request body aborted it.
    fn body_failed(&self) -> bool {
        let upload = self.upload.as_ref();
        upload.is_some_and(|(progress, _)| progress.borrow().failed)
    }

    /// Returns how long the server took to respond to a request sent at `sent`.
    ///
    /// The time counts from the last progress of the request body, so that it does not include the
    /// time that a slow sender of the body took.
    pub(crate) fn response_time(&self, sent: Instant) -> Duration {
        let upload = self.upload.as_ref();
        let last = upload.map_or(sent, |(progress, _)| progress.borrow().last_data);
        Instant::now().saturating_duration_since(last.max(sent))
    }

    /// Waits until the timer expires.
    async fn expired(&self) {
        let mut until = self.deadline;
        loop {
            tokio::time::sleep_until(until).await;
            let Some((progress, idle_timeout)) = &self.upload else {
                return;
            };
            until = progress.borrow().last_data + *idle_timeout;
            if until <= Instant::now() {
                return;
            }
        }
    }
}

/// HTTP client that reuses pooled connections; cheap to clone into each task.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    pool: Mailbox<PoolMessage>,
}

impl HttpClient {
    /// Creates a client that uses the given connection pool.
    pub(crate) fn new(pool: Mailbox<PoolMessage>) -> Self {
        Self { pool }
    }

    /// Sends a request and returns the response.
    ///
    /// When the body of the response ends, the connection goes back to the pool. A request that a
    /// closed idle connection did not accept is sent again over another one.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpClientError`], which tells whether the server may have seen the request.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        timer: &ResponseTimer,
    ) -> Result<Response<Body>> {
        let mut request = request;
        loop {
            let (mut connection, reused) = self.connect(addr, timer).await?;
            let sent = tokio::select! {
                sent = connection.sender().try_send_request(request) => sent,
                () = timer.expired() => return Err(HttpClientError::TimedOut),
            };
            match sent {
                Ok(response) => {
                    return Ok(self.return_connection_on_end(addr, connection, response));
                }
                Err(mut e) => match e.take_message() {
                    // The server closed an idle connection before the request was written to it.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(HttpClientError::NotSent(e.into_error().to_string())),
                    None if timer.body_failed() => {
                        return Err(HttpClientError::RequestBodyFailed(
                            e.into_error().to_string(),
                        ));
                    }
                    None => {
                        return Err(HttpClientError::ConnectionLost(e.into_error().to_string()));
                    }
                },
            }
        }
    }

    /// Returns a connection, and whether it was taken from the pool.
    async fn connect(&self, addr: SocketAddr, timer: &ResponseTimer) -> Result<(Connection, bool)> {
        let checkout = self.pool.ask(|reply| PoolMessage::Checkout { addr, reply });
        // While the pool service restarts, each exchange opens a new connection.
        if let Ok(Some(mut connection)) = checkout.await
            && let Ok(Ok(())) =
                tokio::time::timeout(READY_TIMEOUT, connection.sender().ready()).await
        {
            return Ok((connection, true));
        }
        tokio::select! {
            opened = Connection::open(addr) => match opened {
                Ok(connection) => Ok((connection, false)),
                Err(e) => Err(HttpClientError::NotSent(e.to_string())),
            },
            () = timer.expired() => Err(HttpClientError::NotSent("connect timed out".to_owned())),
        }
    }

    /// Wraps the body of the response, so that its end returns the connection to the pool.
    fn return_connection_on_end(
        &self,
        addr: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Response<Body> {
        let returning = ConnectionReturn {
            addr,
            connection: Some(connection),
            pool: self.pool.clone(),
        };
        response.map(|body| ObservedBody::new(body, returning).boxed_unsync())
    }

    /// Probes a server whose connection broke and returns whether it is dead, which means that it
    /// refuses new connections.
    ///
    /// The idle connections to a dead server are closed.
    pub(crate) async fn probe_is_dead(&self, addr: SocketAddr) -> bool {
        for delay in PROBE_DELAYS {
            tokio::time::sleep(delay).await;
            if TcpStream::connect(addr).await.is_err() {
                self.close_idle(addr);
                return true;
            }
        }
        false
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        // If the pool service is overloaded or restarting, they are closed by its idle timeout.
        let _ = self.pool.try_send(PoolMessage::CloseIdle { addr });
    }
}

/// Body observer that returns a connection to the pool after a complete response and closes it
/// otherwise.
struct ConnectionReturn {
    addr: SocketAddr,
    connection: Option<Connection>,
    pool: Mailbox<PoolMessage>,
}

impl BodyObserver for ConnectionReturn {
    fn on_end(&mut self, end: BodyEnd) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        if end == BodyEnd::Complete {
            let addr = self.addr;
            // If the pool's mailbox is full, dropping the message closes the connection.
            let _ = self.pool.try_send(PoolMessage::Return { addr, connection });
        }
    }
}
