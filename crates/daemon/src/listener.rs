//! Accept loop shared by the HTTP listeners.

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

/// Time that a client gets to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, as when file descriptors are exhausted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Smallest buffer that the HTTP library accepts for a request head.
const MIN_HEAD_BYTES: usize = 8192;

/// Handles the requests of a listener; cloned for each connection.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListenerLimits {
    /// Longest request head.
    pub(crate) max_header_bytes: usize,
    /// Time that open connections get to finish on a planned stop.
    pub(crate) drain_timeout: Duration,
}

/// Binds a listener before the services start, so that a restarted service keeps its address.
pub(crate) fn bind(addr: SocketAddr) -> std::io::Result<StdListener> {
    let listener = StdListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves connections until a stop is requested, then lets running requests finish.
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
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    if tokio::time::timeout(limits.drain_timeout, connections.shutdown())
        .await
        .is_err()
    {
        log::warn!("connections were still open at the end of the drain timeout");
    }
    Ok(())
}

fn server(limits: ListenerLimits) -> auto::Builder<TokioExecutor> {
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BYTES));
    let max_header_bytes = u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX);
    server
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(max_header_bytes);
    server
}

fn serve_connection<H: Handler>(
    server: &auto::Builder<TokioExecutor>,
    connections: &GracefulShutdown,
    stream: TcpStream,
    handler: H,
) {
    // A connection works without it, only with higher latency.
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
