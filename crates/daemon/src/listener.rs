//! Accept loop of the HTTP listeners for callers and for other daemons.

use std::future::Future;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use cornelvalve_kernel::StopSignal;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};

use crate::body::Body;

/// Time within which a client must send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before the next accept after a failed one, so that the loop does not spin while file
/// descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Smallest buffer, in bytes, that the HTTP library accepts for the headers of a request.
const MIN_HEADER_BYTES: usize = 8192;

/// Handler of the requests of a listener; cloned for each request.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request and returns its response.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerLimits {
    /// Maximum size of the headers of a request, in bytes.
    pub(crate) max_header_bytes: usize,
    /// Time within which open connections must finish their requests on a planned stop.
    pub(crate) drain_timeout: Duration,
}

/// Binds a non-blocking listener.
///
/// Listeners are bound before the services start and outlive them, so that a restarted service
/// keeps its address.
pub(crate) fn bind(addr: SocketAddr) -> std::io::Result<StdListener> {
    let listener = StdListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves connections until a stop is requested, then waits for running requests up to the drain
/// timeout.
pub(crate) async fn serve<H: Handler>(
    listener: &StdListener,
    handler: H,
    limits: ListenerLimits,
    stop: &mut StopSignal,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener.try_clone()?)?;
    let server = server(limits);
    let connections = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            () = stop.requested() => break,
            accepted = listener.accept() => accepted,
        };
        match stream {
            Ok((stream, _)) => serve_connection(&server, &connections, stream, handler.clone()),
            Err(e) => {
                log::warn!("accept failed: {e}; raise the limit of open files if it persists");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    if tokio::time::timeout(limits.drain_timeout, connections.shutdown())
        .await
        .is_err()
    {
        log::warn!(
            "connections still open after drain_timeout_ms; raise it if requests need longer"
        );
    }
    Ok(())
}

/// Creates the HTTP server with its limits.
fn server(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BYTES));
    let max_header_bytes = u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX);
    server
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(max_header_bytes);
    server
}

/// Serves one connection in a task of its own.
fn serve_connection<H: Handler>(
    server: &auto::Builder<TokioExecutor>,
    connections: &GracefulShutdown,
    stream: TcpStream,
    handler: H,
) {
    // Failure to set TCP_NODELAY only increases latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
    });
    let connection = server.serve_connection(TokioIo::new(stream), service);
    let connection = connections.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("connection ended: {e}");
        }
    });
}
