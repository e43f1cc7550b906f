//! Accept loop for TCP listeners; each connection is served by its own task.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{
    DecodeLimits, Draining, Handler, PerMessageLimit, ServerOptions, SocketTimeouts, accept,
    serve_connection,
};
use cornelvalve_kernel::{Context, ServiceResult};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::messages::ListenerMessage;

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits for HTTP connections that do not carry callers' requests: check-ins, readiness and
/// metrics.
const INTERNAL_HTTP_OPTIONS: ServerOptions = ServerOptions {
    limits: DecodeLimits {
        head_bytes: 8 * 1024,
        body_bytes: 64 * 1024,
    },
    request_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(30),
};

/// Accepts HTTP connections for check-ins, readiness or metrics until the service is asked to stop.
///
/// Never returns an error: a failed accept is logged and retried after a pause.
pub(crate) async fn run_http_listener(
    context: Context<ListenerMessage>,
    listener: &TcpListener,
    timeouts: SocketTimeouts,
    handler: Arc<dyn Handler>,
) -> ServiceResult {
    run_listener(
        context,
        listener,
        timeouts,
        Duration::ZERO,
        move |stream, from| {
            let handler = Arc::clone(&handler);
            async move {
                // These connections are not drained but closed when the service stops.
                let (_sender, draining) = watch::channel(Draining::No);
                let served = serve_connection(
                    stream,
                    &*handler,
                    INTERNAL_HTTP_OPTIONS,
                    &PerMessageLimit::NONE,
                    draining,
                )
                .await;
                if let Err(e) = served {
                    log::debug!("connection from {from} failed: {e}");
                }
            }
        },
    )
    .await
}

/// Accepts connections until the service is asked to stop, then waits for at most `close_timeout`
/// until they have ended, and closes the others.
///
/// Never returns an error: a failed accept is logged and retried after a pause.
pub(crate) async fn run_listener<F, R>(
    mut context: Context<ListenerMessage>,
    listener: &TcpListener,
    timeouts: SocketTimeouts,
    close_timeout: Duration,
    serve: F,
) -> ServiceResult
where
    F: Fn(TcpStream, SocketAddr) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = context.stop.requested() => {
                let closed = async { while connections.join_next().await.is_some() {} };
                if timeout(close_timeout, closed).await.is_err() {
                    log::debug!("connections that have not ended in time are closed");
                }
                return Ok(());
            }
            accepted = accept(listener, timeouts) => match accepted {
                Ok((stream, from)) => {
                    connections.spawn(serve(stream, from));
                }
                Err(e) => {
                    log::warn!(event = "accept-failed"; "accepting a connection failed: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(ended) = connections.join_next() => {
                if let Err(e) = ended
                    && e.is_panic()
                {
                    log::error!(event = "connection-panicked"; "connection task panicked: {e}");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
