//! Events of a server connection and its state.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use http::StatusCode;
use smallvec::smallvec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use super::{BoxFuture, Draining, Handler, OutgoingResponse, ServerOptions};
use crate::state::READ_RESERVE_BYTES;
use crate::{
    BODY_ALLOWANCE_BYTES, Error, MemoryAccount, OutputQueue, Payload, Request, RequestDecoder,
    Reservation, Reservations, Resource, encode,
};

/// Maximum number of requests of one connection that run or whose responses are not written; while
/// there are this many, the socket is not read.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Capacity in bytes above which the read buffer of an idle connection is released.
const MAX_IDLE_INPUT_BYTES: usize = 2 * READ_RESERVE_BYTES;

/// Memory in bytes that a running request takes besides its head and its body: its state and the part
/// of a response for which no memory is reserved.
const REQUEST_BYTES: usize = 16 * 1024;

/// Number of copies of the head that exist while a request runs.
const HEAD_COPIES: usize = 3;

/// Maximum time to write one response, so that a client that does not read cannot hold a connection
/// open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without progress of the client after which the connection closes if a resource is short.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to wait, after the last response, for further bytes of the client or until it closes
/// its side of the connection (lingering close).
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Response to a request, with the memory that was reserved to run it.
type Finished = (OutgoingResponse, Reservations);

/// Reservation that an account has not decided yet.
type PendingReservation = BoxFuture<'static, Option<Box<dyn Reservation>>>;

/// What waits for memory. Meanwhile, the socket is not read.
enum Waiting {
    /// The body of the request that is being read.
    Body(PendingReservation),
    /// A complete request that follows others which run or whose responses wait.
    Request(Box<Request>, PendingReservation),
}

/// State of a server connection.
pub(super) struct Connection<'a> {
    stream: TcpStream,
    input: BytesMut,
    decoder: RequestDecoder,
    memory: &'a dyn MemoryAccount,
    waiting: Option<Waiting>,
    /// Running requests, in the order in which they arrived.
    running: FuturesOrdered<BoxFuture<'static, Finished>>,
    /// Responses that wait to be written.
    output: OutputQueue,
    options: ServerOptions,
    /// Time from which the idle timeout counts: when a request started to run or a response was
    /// written.
    idle_start: Instant,
    /// Time from which the timeout of the request that is being read counts.
    request_start: Instant,
    /// Time from which the timeout of the response that is being written counts.
    write_start: Instant,
    /// Time at which the client last sent or took something.
    progress: Instant,
    /// Whether the connection takes no further requests and closes after the running ones.
    closing: bool,
}

/// Event of a connection.
enum Event {
    /// The first running request has a response.
    Finished(Finished),
    /// This many responses were written completely.
    Written(usize),
    /// This many bytes arrived; none if the client closed its side of the connection.
    Received(usize),
    /// The account has decided on what waits for memory.
    Decided(Option<Box<dyn Reservation>>),
    /// The server ends and the connection is idle.
    Ending,
    /// The idle timeout has expired.
    IdleTimeout,
    /// The timeout of the request that is being read has expired.
    RequestTimeout,
    /// The client takes too long to read a response.
    WriteTimeout,
    /// A resource is short, and the client makes no progress.
    Stalled,
}

impl<'a> Connection<'a> {
    /// Creates the state of a new connection.
    pub(super) fn new(
        stream: TcpStream,
        options: ServerOptions,
        memory: &'a dyn MemoryAccount,
    ) -> Self {
        let now = Instant::now();
        Self {
            stream,
            input: BytesMut::new(),
            decoder: RequestDecoder::new(options.limits),
            memory,
            waiting: None,
            running: FuturesOrdered::new(),
            output: OutputQueue::default(),
            options,
            idle_start: now,
            request_start: now,
            write_start: now,
            progress: now,
            closing: false,
        }
    }

    /// Starts buffered requests and handles one event.
    ///
    /// Returns whether the connection stays open.
    pub(super) async fn handle_event(
        &mut self,
        handler: &dyn Handler,
        draining: &mut watch::Receiver<Draining>,
    ) -> io::Result<bool> {
        if let Err(e) = self.start_requests(handler).await? {
            return self.reject_and_close(handler, &e).await;
        }
        let partial = self.is_request_partial();
        match self.next_event(draining).await? {
            Event::Finished(finished) => self.queue(finished, *draining.borrow()),
            Event::Written(responses) => self.record_written(responses),
            Event::Received(0) => return Ok(false),
            Event::Received(_) => self.record_received(partial),
            Event::Decided(Some(reservation)) => self.use_memory(handler, reservation),
            Event::Decided(None) => {
                return self.reject_and_close(handler, &Error::NoMemory).await;
            }
            Event::Stalled if !self.output.is_empty() => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            Event::Stalled if partial => {
                return self.reject_and_close(handler, &Error::NoMemory).await;
            }
            Event::Ending | Event::Stalled => return self.close().await,
            Event::RequestTimeout => {
                let response = OutgoingResponse::empty(StatusCode::REQUEST_TIMEOUT);
                return self.answer_and_close(response).await;
            }
            Event::IdleTimeout => return Ok(false),
            Event::WriteTimeout => return Err(io::ErrorKind::TimedOut.into()),
        }
        if self.closing && self.is_idle() {
            return self.close().await;
        }
        Ok(true)
    }

    /// Returns whether a part of a request has arrived.
    fn is_request_partial(&self) -> bool {
        self.decoder.state.is_reading_body() || !self.input.is_empty()
    }

    /// Returns whether no request is running and no response waits to be written.
    fn is_idle(&self) -> bool {
        self.running.is_empty() && self.output.is_empty() && self.waiting.is_none()
    }

    /// Returns whether the connection has as many requests as it may.
    fn is_at_capacity(&self) -> bool {
        self.running.len() + self.output.messages() >= MAX_CONCURRENT_REQUESTS
    }

    /// Waits for the next event. Requests continue to run while a response is written.
    async fn next_event(&mut self, draining: &mut watch::Receiver<Draining>) -> io::Result<Event> {
        let partial = self.is_request_partial();
        let idle = self.is_idle();
        let may_read = !self.is_at_capacity() && self.waiting.is_none();
        if !may_read {
            // The client cannot go on, so its time does not count.
            self.request_start = Instant::now();
        }
        let request_end = self.request_start + self.options.request_timeout;
        let idle_end = self.idle_start + self.options.idle_timeout;
        let write_end = self.write_start + WRITE_TIMEOUT;
        let stall_end = self.progress + STALL_TIMEOUT;
        let unwritten = self.output.messages();
        let reading = partial && may_read;
        let short_of_memory = reading || unwritten > 0;
        let (mut reader, mut writer) = self.stream.split();
        tokio::select! {
            Some(finished) = self.running.next(), if !self.running.is_empty() => {
                Ok(Event::Finished(finished))
            }
            written = self.output.write_once(&mut writer), if unwritten > 0 => {
                written?;
                Ok(Event::Written(unwritten - self.output.messages()))
            }
            read = self.decoder.state.receive(&mut reader, &mut self.input), if may_read => {
                Ok(Event::Received(read?))
            }
            decision = decide(&mut self.waiting), if self.waiting.is_some() => {
                Ok(Event::Decided(decision))
            }
            () = wait_until_ending(draining), if idle && !partial => Ok(Event::Ending),
            () = sleep_until(idle_end), if idle && !partial => Ok(Event::IdleTimeout),
            () = sleep_until(request_end), if reading => Ok(Event::RequestTimeout),
            () = sleep_until(write_end), if unwritten > 0 => Ok(Event::WriteTimeout),
            () = stall(self.memory, stall_end, short_of_memory), if idle || short_of_memory => {
                Ok(Event::Stalled)
            }
        }
    }

    /// Starts the handlers of buffered requests that are complete, and asks for the memory that the
    /// next one needs.
    ///
    /// The outer result holds an error of the connection; the inner one, the error of a request
    /// that failed to decode.
    async fn start_requests(&mut self, handler: &dyn Handler) -> io::Result<Result<(), Error>> {
        while !self.closing && !self.is_at_capacity() && self.waiting.is_none() {
            if let Some(options) = handler.options() {
                self.options = options;
                self.decoder.set_limits(options.limits);
            }
            let request = match self.decoder.decode(&mut self.input) {
                Ok(Some(request)) => request,
                Ok(None) => return self.continue_reading().await,
                Err(e) => return Ok(Err(e)),
            };
            self.request_start = Instant::now();
            if self.is_idle() {
                self.start(handler, request, Reservations::default());
            } else {
                let unreserved = request.body.len().min(BODY_ALLOWANCE_BYTES);
                let head = HEAD_COPIES * request.head_length();
                let reservation = self.memory.reserve(0, REQUEST_BYTES + head + unreserved);
                self.waiting = Some(Waiting::Request(Box::new(request), reservation));
            }
        }
        Ok(Ok(()))
    }

    /// Prepares for the rest of a request that is incomplete.
    async fn continue_reading(&mut self) -> io::Result<Result<(), Error>> {
        if self.decoder.state.declared_length() > self.memory.largest_message() {
            return Ok(Err(Error::NoMemory));
        }
        // While other requests run, no `100 Continue` is sent, because it would precede their
        // responses. Clients then send the body after a timeout.
        if self.decoder.take_expects_continue() && self.is_idle() {
            self.stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await?;
        }
        let need = self.decoder.state.memory_needed();
        if need.bytes > 0 {
            self.waiting = Some(Waiting::Body(self.memory.reserve(need.held, need.bytes)));
        } else if self.input.is_empty() && self.input.capacity() > MAX_IDLE_INPUT_BYTES {
            self.input = BytesMut::new();
        }
        Ok(Ok(()))
    }

    /// Starts the handler of a request.
    fn start(&mut self, handler: &dyn Handler, request: Request, reservations: Reservations) {
        self.closing |= !request.keep_alive;
        self.idle_start = Instant::now();
        let response = handler.handle(request);
        let finished = async move { (response.await, reservations) };
        self.running.push_back(Box::pin(finished));
    }

    /// Uses memory for what waits for it.
    fn use_memory(&mut self, handler: &dyn Handler, reservation: Box<dyn Reservation>) {
        // The wait was not the client's.
        self.progress = Instant::now();
        match self.waiting.take() {
            Some(Waiting::Body(_)) => self.decoder.state.grant(reservation),
            Some(Waiting::Request(request, _)) => {
                self.start(handler, *request, Reservations::new(smallvec![reservation]));
            }
            None => {}
        }
    }

    /// Records that bytes arrived, which are the first of a request if none was `partial`.
    fn record_received(&mut self, partial: bool) {
        self.progress = Instant::now();
        if !partial {
            self.request_start = self.progress;
        }
    }

    /// Queues the response to the first running request, which has ended.
    fn queue(&mut self, finished: Finished, draining: Draining) {
        // Requests that already run are answered before the connection closes.
        self.closing |= finished.0.close || draining != Draining::No;
        let last = self.running.is_empty() && self.waiting.is_none();
        self.push_response(finished, !(self.closing && last));
    }

    /// Adds a response to the output.
    fn push_response(&mut self, finished: Finished, keep_alive: bool) {
        if self.output.is_empty() {
            self.write_start = Instant::now();
            self.progress = self.write_start;
        }
        let (response, reservations) = finished;
        let OutgoingResponse {
            status,
            headers,
            body,
            ..
        } = response;
        let head = encode::response_head(status, &headers, body.len(), keep_alive);
        let reservations = reservations.and(body.reservations());
        self.output
            .push(head.freeze(), body.segments(), reservations);
    }

    /// Records that the client took bytes and that responses were written completely.
    fn record_written(&mut self, responses: usize) {
        self.progress = Instant::now();
        if responses > 0 {
            self.idle_start = self.progress;
            self.write_start = self.progress;
        }
    }

    /// Rejects the bytes that failed to decode with `error`, after the responses to the running
    /// requests, and closes the connection.
    ///
    /// Returns false, as the connection does not stay open.
    async fn reject_and_close(&mut self, handler: &dyn Handler, error: &Error) -> io::Result<bool> {
        self.answer_and_close(handler.reject(error)).await
    }

    /// Waits for the running requests, writes their responses and then `response` to the request
    /// that is being read, and closes the connection.
    ///
    /// Returns false, as the connection does not stay open.
    async fn answer_and_close(&mut self, response: OutgoingResponse) -> io::Result<bool> {
        // Gives back the memory of the request that is being read.
        self.waiting = None;
        self.decoder = RequestDecoder::new(self.options.limits);
        while let Some(finished) = self.running.next().await {
            self.push_response(finished, true);
            self.flush().await?;
        }
        self.push_response((response, Reservations::default()), false);
        self.flush().await?;
        self.close().await
    }

    /// Closes the connection after the client has received the last response.
    ///
    /// Bytes that the client still sends are discarded for as long as a request may take, and until
    /// none have come for [`LINGER_TIMEOUT`]: closing a socket with unread bytes resets the
    /// connection, and the client could lose the response.
    ///
    /// Returns false, as the connection does not stay open.
    async fn close(&mut self) -> io::Result<bool> {
        self.stream.shutdown().await?;
        let mut rest = std::mem::take(&mut self.input);
        let discard = async {
            loop {
                rest.clear();
                rest.reserve(READ_RESERVE_BYTES);
                let read = timeout(LINGER_TIMEOUT, self.stream.read_buf(&mut rest)).await;
                if !matches!(read, Ok(Ok(n)) if n > 0) {
                    return;
                }
            }
        };
        let _ = timeout(self.options.request_timeout, discard).await;
        Ok(false)
    }

    /// Writes all queued responses.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, or one of kind [`TimedOut`](io::ErrorKind::TimedOut) if
    /// the client takes too long or makes no progress while a resource is short.
    async fn flush(&mut self) -> io::Result<()> {
        while !self.output.is_empty() {
            let unwritten = self.output.messages();
            let end = self.write_start + WRITE_TIMEOUT;
            let stall_end = self.progress + STALL_TIMEOUT;
            tokio::select! {
                written = self.output.write_once(&mut self.stream) => written?,
                () = sleep_until(end) => return Err(io::ErrorKind::TimedOut.into()),
                () = stall(self.memory, stall_end, true) => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            };
            self.record_written(unwritten - self.output.messages());
        }
        Ok(())
    }
}

/// Waits until the account has decided on what waits for memory.
async fn decide(waiting: &mut Option<Waiting>) -> Option<Box<dyn Reservation>> {
    match waiting {
        Some(Waiting::Body(reservation) | Waiting::Request(_, reservation)) => reservation.await,
        None => std::future::pending().await,
    }
}

/// Waits until `end` and then until there are too many connections or, if the connection holds
/// memory for its client, too little memory.
async fn stall(memory: &dyn MemoryAccount, end: Instant, holds_memory: bool) {
    sleep_until(end).await;
    tokio::select! {
        () = memory.shortage(Resource::Connections) => {}
        () = memory.shortage(Resource::Memory), if holds_memory => {}
    }
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
