//! Server side of a connection: reads requests, runs their handlers and writes the responses.

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
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::output::OutputQueue;
use crate::{DecodeLimits, Error, Request, RequestDecoder, encode};

/// Boxed future that can be sent to other threads; returned by asynchronous trait methods.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Maximum number of requests of one connection that run concurrently; while this many run, the
/// socket is not read.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Free space in bytes that is reserved in the read buffer after each read.
const READ_RESERVE_BYTES: usize = 4096;

/// Maximum time to write one response, so that a client that does not read cannot hold a connection
/// open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time to wait, after the last response, until the client closes its side of the
/// connection (lingering close).
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether a server closes its connections because it is about to end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Draining {
    /// Connections stay open.
    #[default]
    No,
    /// A connection closes after its next response.
    AfterResponse,
    /// A connection closes after the responses to all requests that it has read, at once if there
    /// are none.
    WhenIdle,
}

/// Response to send, as a [`Handler`] returns it.
#[derive(Clone, Debug)]
pub struct OutgoingResponse {
    /// Response status.
    pub status: StatusCode,
    /// Headers; framing and connection headers in it are ignored.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the connection closes after this response.
    pub close: bool,
}

impl OutgoingResponse {
    /// Creates a response without headers or body.
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

/// Answers the requests of a connection.
///
/// The future of a request is dropped before it completes if the client disconnects.
pub trait Handler: Send + Sync {
    /// Returns the response to a request.
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse>;

    /// Returns the response to bytes that failed to decode as a request; the connection closes
    /// after it.
    fn reject(&self, error: &Error) -> OutgoingResponse {
        OutgoingResponse::empty(error.status())
    }
}

/// Limits and timeouts of a server connection.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    /// Size limits of a request.
    pub limits: DecodeLimits,
    /// Maximum time from the first byte of a request to its last.
    pub request_timeout: Duration,
    /// Time after which a connection without running or partially received requests closes.
    pub idle_timeout: Duration,
}

/// Serves the requests of a connection until it closes.
///
/// With [`Draining::AfterResponse`], a connection with running requests accepts no others after it
/// has written the next response, and closes when the running ones are answered. An idle connection
/// stays open until its idle timeout, or until it has answered one more request. With
/// [`Draining::WhenIdle`], it closes at once.
///
/// # Errors
///
/// Returns the error of the connection; the futures of running requests have been dropped.
pub async fn serve_connection(
    stream: TcpStream,
    handler: &dyn Handler,
    options: ServerOptions,
    mut draining: watch::Receiver<Draining>,
) -> io::Result<()> {
    let mut connection = Connection {
        stream,
        input: BytesMut::new(),
        decoder: RequestDecoder::new(options.limits),
        running: FuturesOrdered::new(),
        output: OutputQueue::default(),
        options,
        timeout_start: Instant::now(),
        write_start: Instant::now(),
        closing: false,
    };
    while connection.handle_event(handler, &mut draining).await? {}
    Ok(())
}

/// Waits until connections close as soon as they are idle.
async fn wait_until_ending(draining: &mut watch::Receiver<Draining>) {
    if draining
        .wait_for(|d| *d == Draining::WhenIdle)
        .await
        .is_err()
    {
        // Without a sender, the state does not change any more.
        std::future::pending().await
    }
}

/// State of a server connection.
struct Connection {
    stream: TcpStream,
    input: BytesMut,
    decoder: RequestDecoder,
    /// Running requests, in the order in which they arrived.
    running: FuturesOrdered<BoxFuture<'static, OutgoingResponse>>,
    /// Responses that wait to be written.
    output: OutputQueue,
    options: ServerOptions,
    /// Time from which the idle timeout or the timeout of the request that is being read counts.
    ///
    /// Set when the first bytes of a request arrive, when a request starts to run, and when a
    /// response has been written.
    timeout_start: Instant,
    /// Time from which the timeout of the response that is being written counts.
    write_start: Instant,
    /// Whether the connection takes no further requests and closes after the running ones.
    closing: bool,
}

/// Event of a connection.
enum Event {
    /// The first running request has a response.
    Finished(OutgoingResponse),
    /// This many responses were written completely.
    Written(usize),
    /// This many bytes arrived; none if the client closed its side of the connection.
    Received(usize),
    /// The server ends and the connection is idle.
    Ending,
    /// The idle timeout or that of a request has expired.
    ReadTimeout,
    /// The client takes too long to read a response.
    WriteTimeout,
}

impl Connection {
    /// Starts buffered requests and handles one event.
    ///
    /// Returns whether the connection stays open.
    async fn handle_event(
        &mut self,
        handler: &dyn Handler,
        draining: &mut watch::Receiver<Draining>,
    ) -> io::Result<bool> {
        if let Err(e) = self.start_requests(handler).await? {
            return self.reject_and_close(handler, &e).await;
        }
        let partial = self.is_request_partial();
        match self.next_event(draining).await? {
            Event::Finished(response) => self.queue(response, *draining.borrow()),
            Event::Written(responses) => self.record_written(responses),
            Event::Received(0) => return Ok(false),
            Event::Received(_) if !partial => self.timeout_start = Instant::now(),
            Event::Received(_) => {}
            Event::Ending => return self.close().await,
            Event::ReadTimeout if partial => {
                let response = OutgoingResponse::empty(StatusCode::REQUEST_TIMEOUT);
                self.push_response(response, false);
                self.flush().await?;
                return Ok(false);
            }
            Event::ReadTimeout => return Ok(false),
            Event::WriteTimeout => return Err(io::ErrorKind::TimedOut.into()),
        }
        if self.closing && self.running.is_empty() && self.output.is_empty() {
            return self.close().await;
        }
        Ok(true)
    }

    /// Returns whether a part of a request has arrived.
    fn is_request_partial(&self) -> bool {
        self.decoder.is_reading_body() || !self.input.is_empty()
    }

    /// Returns whether no request is running and no response waits to be written.
    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.output.is_empty()
    }

    /// Waits for the next event. Requests continue to run while a response is written.
    async fn next_event(&mut self, draining: &mut watch::Receiver<Draining>) -> io::Result<Event> {
        let partial = self.is_request_partial();
        let idle = self.is_idle();
        let wait = if partial {
            self.options.request_timeout
        } else {
            self.options.idle_timeout
        };
        let read_end = self.timeout_start + wait;
        let write_end = self.write_start + WRITE_TIMEOUT;
        let waiting = self.output.messages();
        let at_capacity = self.running.len() + waiting >= MAX_CONCURRENT_REQUESTS;
        let (mut reader, mut writer) = self.stream.split();
        tokio::select! {
            Some(response) = self.running.next(), if !self.running.is_empty() => {
                Ok(Event::Finished(response))
            }
            written = self.output.write_once(&mut writer), if waiting > 0 => {
                written?;
                Ok(Event::Written(waiting - self.output.messages()))
            }
            read = reader.read_buf(&mut self.input), if !at_capacity => {
                let length = read?;
                self.input.reserve(READ_RESERVE_BYTES);
                Ok(Event::Received(length))
            }
            () = wait_until_ending(draining), if idle && !partial => Ok(Event::Ending),
            () = sleep_until(read_end), if idle => Ok(Event::ReadTimeout),
            () = sleep_until(write_end), if waiting > 0 => Ok(Event::WriteTimeout),
        }
    }

    /// Starts the handlers of buffered requests that are complete.
    ///
    /// The outer result holds an error of the connection; the inner one, the error of a request
    /// that failed to decode.
    async fn start_requests(&mut self, handler: &dyn Handler) -> io::Result<Result<(), Error>> {
        while !self.closing && self.running.len() + self.output.messages() < MAX_CONCURRENT_REQUESTS
        {
            let request = match self.decoder.decode(&mut self.input) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    // While other requests run, no `100 Continue` is sent, because it would
                    // precede their responses. Clients then send the body after a timeout.
                    if self.decoder.take_expects_continue() && self.is_idle() {
                        self.stream
                            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                            .await?;
                    }
                    break;
                }
                Err(e) => return Ok(Err(e)),
            };
            self.closing = !request.keep_alive;
            self.timeout_start = Instant::now();
            self.running.push_back(handler.handle(request));
        }
        Ok(Ok(()))
    }

    /// Queues the response to the first running request, which has ended.
    fn queue(&mut self, response: OutgoingResponse, draining: Draining) {
        // Requests that already run are answered before the connection closes.
        self.closing |= response.close || draining != Draining::No;
        let keep_alive = !(self.closing && self.running.is_empty());
        self.push_response(response, keep_alive);
    }

    /// Adds a response to the output.
    fn push_response(&mut self, response: OutgoingResponse, keep_alive: bool) {
        if self.output.is_empty() {
            self.write_start = Instant::now();
        }
        let OutgoingResponse {
            status,
            headers,
            body,
            ..
        } = response;
        let head = encode::response_head(status, &headers, body.len(), keep_alive);
        self.output.push(head.freeze(), [body]);
    }

    /// Records that responses were written completely.
    fn record_written(&mut self, responses: usize) {
        if responses > 0 {
            self.timeout_start = Instant::now();
            self.write_start = self.timeout_start;
        }
    }

    /// Waits for the running requests and writes their responses, then the response to the bytes
    /// that failed to decode with `error`, and closes the connection.
    ///
    /// Returns false, as the connection does not stay open.
    async fn reject_and_close(&mut self, handler: &dyn Handler, error: &Error) -> io::Result<bool> {
        while let Some(response) = self.running.next().await {
            self.push_response(response, true);
            self.flush().await?;
        }
        self.push_response(handler.reject(error), false);
        self.flush().await?;
        self.close().await
    }

    /// Closes the connection after the client has received the last response, or after
    /// [`LINGER_TIMEOUT`].
    ///
    /// Returns false, as the connection does not stay open.
    async fn close(&mut self) -> io::Result<bool> {
        self.stream.shutdown().await?;
        // Closing a socket with unread bytes resets the connection, and the client could lose the
        // response.
        let mut rest = BytesMut::with_capacity(READ_RESERVE_BYTES);
        let discard = async {
            while matches!(self.stream.read_buf(&mut rest).await, Ok(n) if n > 0) {
                rest.clear();
            }
        };
        let _ = timeout(LINGER_TIMEOUT, discard).await;
        Ok(false)
    }

    /// Writes all queued responses.
    async fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            let waiting = self.output.messages();
            let end = self.write_start + WRITE_TIMEOUT;
            let written = timeout_at(end, self.output.write_once(&mut self.stream)).await;
            written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            self.record_written(waiting - self.output.messages());
        }
        Ok(())
    }
}
