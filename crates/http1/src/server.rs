//! Server side of one connection.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use http::{HeaderMap, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::{DecodeLimits, Error, Request, RequestDecoder, encode};

/// Future of a trait object's method.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Requests of one connection that run at the same time.
const MAX_PIPELINED: usize = 32;

/// Bytes by which the read buffer grows.
const READ_BYTES: usize = 4096;

/// Longest wait for a peer that does not read its responses.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a peer to take the end of a connection that a bad request has spoiled.
const LINGER: Duration = Duration::from_millis(200);

/// Response of a handler.
#[derive(Clone, Debug)]
pub struct OutgoingResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers; framing and connection headers are passed over.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the connection ends after this response.
    pub close: bool,
}

impl OutgoingResponse {
    /// Creates a response without headers and body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            close: false,
        }
    }
}

/// Answers requests. A future that is dropped belongs to a caller that has left.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse>;

    /// Answers bytes that are no acceptable request; the connection ends afterwards.
    fn reject(&self, error: &Error) -> OutgoingResponse {
        OutgoingResponse::empty(error.status())
    }
}

/// Limits of a server connection.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Limits of a request.
    pub limits: DecodeLimits,
    /// Longest time from the first byte of a request to its last.
    pub request_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// Serves one connection until it ends.
///
/// `draining` set means that every further response ends the connection.
///
/// # Errors
///
/// Returns the error of the connection; running requests were dropped then.
pub async fn serve_connection(
    stream: TcpStream,
    handler: &dyn Handler,
    options: ServerOptions,
    draining: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut connection = Connection {
        stream,
        input: BytesMut::new(),
        output: BytesMut::new(),
        decoder: RequestDecoder::new(options.limits),
        running: FuturesOrdered::new(),
        options,
        since: Instant::now(),
        last: false,
    };
    while connection.step(handler, &draining).await? {}
    Ok(())
}

struct Connection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    decoder: RequestDecoder,
    running: FuturesOrdered<BoxFuture<'static, OutgoingResponse>>,
    options: ServerOptions,
    /// Start of the present idle time or of the request that is being read.
    since: Instant,
    /// Whether no further request is taken.
    last: bool,
}

impl Connection {
    /// Waits for the next event; tells whether the connection goes on.
    async fn step(
        &mut self,
        handler: &dyn Handler,
        draining: &watch::Receiver<bool>,
    ) -> io::Result<bool> {
        if let Err(e) = self.start_requests(handler).await? {
            return self.reject(handler, &e).await;
        }
        let partial = self.decoder.has_partial_request() || !self.input.is_empty();
        let wait = if partial {
            self.options.request_timeout
        } else {
            self.options.idle_timeout
        };
        let deadline = self.since + wait;
        let idle = self.running.is_empty();
        let full = self.running.len() >= MAX_PIPELINED;
        tokio::select! {
            Some(reply) = self.running.next(), if !idle => {
                // What runs behind this response must still be answered before the end.
                self.last |= reply.close || *draining.borrow();
                let close = self.last && self.running.is_empty();
                self.write(&reply, !close).await?;
                self.since = Instant::now();
                if close {
                    self.close().await?;
                }
                Ok(!close)
            }
            read = self.stream.read_buf(&mut self.input), if !full => {
                let length = read?;
                if !partial {
                    self.since = Instant::now();
                }
                self.input.reserve(READ_BYTES);
                Ok(length > 0)
            }
            () = sleep_until(deadline), if idle => {
                if partial {
                    self.write(&OutgoingResponse::empty(StatusCode::REQUEST_TIMEOUT), false).await?;
                }
                Ok(false)
            }
        }
    }

    /// Starts the requests that have arrived whole.
    async fn start_requests(&mut self, handler: &dyn Handler) -> io::Result<Result<(), Error>> {
        while !self.last && self.running.len() < MAX_PIPELINED {
            let request = match self.decoder.decode(&mut self.input) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    if self.decoder.take_expects_continue() && self.running.is_empty() {
                        self.stream
                            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                            .await?;
                    }
                    break;
                }
                Err(e) => return Ok(Err(e)),
            };
            self.last = !request.keep_alive;
            self.since = Instant::now();
            self.running.push_back(handler.handle(request));
        }
        Ok(Ok(()))
    }

    /// Answers what is complete, refuses the rest and ends the connection.
    async fn reject(&mut self, handler: &dyn Handler, error: &Error) -> io::Result<bool> {
        while let Some(reply) = self.running.next().await {
            self.write(&reply, true).await?;
        }
        self.write(&handler.reject(error), false).await?;
        self.close().await?;
        Ok(false)
    }

    /// Ends the connection so that the last response reaches the peer.
    async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        // Closing with unread bytes would reset the connection and could destroy the response.
        let mut rest = BytesMut::with_capacity(READ_BYTES);
        let drain = async {
            while matches!(self.stream.read_buf(&mut rest).await, Ok(n) if n > 0) {
                rest.clear();
            }
        };
        let _ = timeout(LINGER, drain).await;
        Ok(())
    }

    async fn write(&mut self, reply: &OutgoingResponse, keep_alive: bool) -> io::Result<()> {
        self.output.clear();
        encode::response(
            &mut self.output,
            reply.status,
            &reply.headers,
            &reply.body,
            keep_alive,
        );
        let write = self.stream.write_all(&self.output);
        timeout(WRITE_TIMEOUT, write)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}
