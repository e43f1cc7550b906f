//! Server side of a connection: reads requests, runs their handlers and writes the responses.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::{Body, DecodeLimits, Error, MemoryAccount, Request};

mod connection;

use connection::Connection;

/// Boxed future that can be sent to other threads; returned by asynchronous trait methods.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

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
    pub body: Body,
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
            body: Body::default(),
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

    /// Returns the options that are in force now. They apply to a connection from its next request
    /// on; `None` if those with which it was accepted stay in force.
    fn options(&self) -> Option<ServerOptions> {
        None
    }

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
/// Large bodies and pipelined requests take memory from `memory`. A request for which there is none
/// is rejected with [`Error::NoMemory`]. While a resource is short, a connection whose client makes
/// no progress closes.
///
/// # Errors
///
/// Returns the error of the connection; the futures of running requests have been dropped.
pub async fn serve_connection(
    stream: TcpStream,
    handler: &dyn Handler,
    options: ServerOptions,
    memory: &dyn MemoryAccount,
    mut draining: watch::Receiver<Draining>,
) -> io::Result<()> {
    let mut connection = Connection::new(stream, options, memory);
    while connection.handle_event(handler, &mut draining).await? {}
    Ok(())
}
