//! One request and its response over one connection.

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

/// Time that a reused connection gets to finish its previous exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Pauses before the attempts to connect that tell a dead server from a lost connection.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(5),
    Duration::from_millis(20),
];

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, ExchangeError>;

/// Reports how far a failed exchange got.
#[derive(Debug, Display, Error)]
pub(crate) enum ExchangeError {
    /// The request was not handed to a connection, so the server did not see it.
    #[display("request was not sent: {_0}; it may be sent to another server")]
    NotSent(#[error(not(source))] String),
    /// The connection failed after the request was handed to it.
    #[display("connection failed during the exchange: {_0}; the outcome is unknown")]
    Lost(#[error(not(source))] String),
    /// The sender of the request body broke it off, which says nothing about the server.
    #[display("request body broke off: {_0}; the outcome is unknown")]
    BodyFailed(#[error(not(source))] String),
    /// No response head arrived in time.
    #[display("no response in time; the outcome is unknown")]
    TimedOut,
}

impl ExchangeError {
    /// Returns what the failure means for the request.
    pub(crate) fn refusal(&self) -> Refusal {
        match self {
            Self::NotSent(_) => Refusal::not_run(Reason::Connection),
            Self::Lost(_) | Self::BodyFailed(_) => Refusal::unknown(Reason::Connection),
            Self::TimedOut => Refusal::unknown(Reason::Deadline),
        }
    }
}

/// Time without upload progress after which a streamed request counts as stalled.
pub(crate) const UPLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time allowed for the response head.
#[derive(Debug)]
pub(crate) struct ResponseHeaderTimeout {
    /// Time by which the head must arrive.
    pub(crate) deadline: Instant,
    /// Progress of a streamed request body with the time allowed after its last data; extends the
    /// deadline.
    pub(crate) upload: Option<(watch::Receiver<Progress>, Duration)>,
}

impl ResponseHeaderTimeout {
    /// Tells whether the sender of the request body broke it off.
    fn body_failed(&self) -> bool {
        let upload = self.upload.as_ref();
        upload.is_some_and(|(progress, _)| progress.borrow().failed)
    }

    /// Returns the time since the request was sent or its body last made progress, whichever is
    /// later: the work of the server without the slowness of the sender.
    pub(crate) fn service_time(&self, sent: Instant) -> Duration {
        let upload = self.upload.as_ref();
        let last = upload.map_or(sent, |(progress, _)| progress.borrow().last_data);
        Instant::now().saturating_duration_since(last.max(sent))
    }

    /// Waits until the time is over.
    async fn expired(&self) {
        let mut until = self.deadline;
        loop {
            tokio::time::sleep_until(until).await;
            let Some((progress, allowance)) = &self.upload else {
                return;
            };
            until = progress.borrow().last_data + *allowance;
            if until <= Instant::now() {
                return;
            }
        }
    }
}

/// Client side of exchanges; cheap to clone into each task.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    pool: Mailbox<PoolMessage>,
}

impl HttpClient {
    /// Creates the client side over a pool.
    pub(crate) fn new(pool: Mailbox<PoolMessage>) -> Self {
        Self { pool }
    }

    /// Sends a request and returns the response with a body that hands the connection back at its
    /// end.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`], which tells whether the server may have seen the request.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        timeout: &ResponseHeaderTimeout,
    ) -> Result<Response<Body>> {
        let mut request = request;
        loop {
            let (mut connection, reused) = self.connect(addr, timeout).await?;
            let sent = tokio::select! {
                sent = connection.sender().try_send_request(request) => sent,
                () = timeout.expired() => return Err(ExchangeError::TimedOut),
            };
            match sent {
                Ok(response) => return Ok(self.keep_connection(addr, connection, response)),
                Err(mut e) => match e.take_message() {
                    // The server closed an idle connection before the request was written to it.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(ExchangeError::NotSent(e.into_error().to_string())),
                    None if timeout.body_failed() => {
                        return Err(ExchangeError::BodyFailed(e.into_error().to_string()));
                    }
                    None => return Err(ExchangeError::Lost(e.into_error().to_string())),
                },
            }
        }
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        timeout: &ResponseHeaderTimeout,
    ) -> Result<(Connection, bool)> {
        let checkout = self.pool.ask(|reply| PoolMessage::Checkout { addr, reply });
        // Without the pool, as during its restart, each exchange opens a connection of its own.
        if let Ok(Some(mut connection)) = checkout.await
            && let Ok(Ok(())) =
                tokio::time::timeout(READY_TIMEOUT, connection.sender().ready()).await
        {
            return Ok((connection, true));
        }
        tokio::select! {
            opened = Connection::open(addr) => match opened {
                Ok(connection) => Ok((connection, false)),
                Err(e) => Err(ExchangeError::NotSent(e.to_string())),
            },
            () = timeout.expired() => Err(ExchangeError::NotSent("connect timed out".to_owned())),
        }
    }

    fn keep_connection(
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

    /// Tells whether a server takes no connections after it lost one.
    ///
    /// A process that dies may close its connections before its listener, so a server that still
    /// takes a connection is asked again.
    pub(crate) async fn refuses_connections(&self, addr: SocketAddr) -> bool {
        for delay in PROBE_DELAYS {
            tokio::time::sleep(delay).await;
            if TcpStream::connect(addr).await.is_err() {
                self.close_idle(addr);
                return true;
            }
        }
        false
    }

    /// Closes idle connections to an address.
    pub(crate) fn close_idle(&self, addr: SocketAddr) {
        // A pool that is full or restarting closes them by time-out instead.
        let _ = self.pool.try_send(PoolMessage::CloseIdle { addr });
    }
}

/// Hands a connection back after a complete response and closes it after any other end.
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
            // If the pool has no room, dropping the message closes the connection.
            let _ = self.pool.try_send(PoolMessage::Return { addr, connection });
        }
    }
}
