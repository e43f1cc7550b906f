//! Accept loop for TCP listeners; each connection is served by its own task.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{
    DecodeLimits, Draining, Handler, ServerOptions, SocketTimeouts, accept, serve_connection,
};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::limits::ConnectionKind;
use crate::memory::MemoryAccounts;
use crate::messages::{ListenerMessage, StatsMessage};
use crate::names::STATS;

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of open connections of a listener that does not carry callers' requests.
pub(crate) const MAX_INTERNAL_CONNECTIONS: usize = 32;

/// Share of the connections of a listener, in percent, above which those without progress close.
const CROWDED_PERCENT: usize = 75;

/// Least time between two log lines about refused connections of a listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bound on the open connections of a listener.
pub(crate) struct ConnectionBound {
    kind: ConnectionKind,
    /// Maximum number of open connections; further ones are closed at once.
    max: usize,
    /// Tells the connections whether there are so many that those without progress should close.
    crowded: watch::Sender<bool>,
    /// Number of connections that were closed at once since the last log line about them.
    refused: u64,
    /// Time of that line.
    logged: Option<Instant>,
}

impl ConnectionBound {
    /// Creates a bound that tells `crowded` whether there are many connections.
    pub(crate) fn new(kind: ConnectionKind, max: usize, crowded: watch::Sender<bool>) -> Self {
        Self {
            kind,
            max,
            crowded,
            refused: 0,
            logged: None,
        }
    }

    /// Creates a bound whose connections do not learn whether there are many of them.
    pub(crate) fn silent(kind: ConnectionKind, max: usize) -> Self {
        Self::new(kind, max, watch::channel(false).0)
    }

    /// Returns whether a further connection beside `open` ones may be served; counts and logs if not.
    fn admits(&mut self, open: usize, stats: &Mailbox<StatsMessage>) -> bool {
        if open < self.max {
            return true;
        }
        self.refused += 1;
        if let Err(e) = stats.try_send(StatsMessage::ConnectionRefused(self.kind)) {
            log::debug!("refused connection was not counted: {e}");
        }
        if self.logged.is_none_or(|l| l.elapsed() >= LOG_INTERVAL) {
            log::warn!(event = "connections-refused", kind:% = self.kind, open = open, count = self.refused; "too many connections; further ones are closed at once");
            self.refused = 0;
            self.logged = Some(Instant::now());
        }
        false
    }

    /// Tells the connections how many are open.
    fn update(&self, open: usize) {
        let crowded = open * 100 >= self.max * CROWDED_PERCENT;
        self.crowded
            .send_if_modified(|c| std::mem::replace(c, crowded) != crowded);
    }
}

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

/// Listener for check-ins, readiness or metrics, with what its service needs.
#[derive(Clone)]
pub(crate) struct InternalListener {
    pub(crate) listener: Arc<TcpListener>,
    pub(crate) timeouts: SocketTimeouts,
    /// Source of the account from which its requests take their memory.
    pub(crate) accounts: MemoryAccounts,
}

/// Accepts HTTP connections for check-ins, readiness or metrics until the service is asked to stop.
///
/// A failed accept is logged and retried after a pause.
///
/// # Errors
///
/// Returns an error if the stats service or the memory service does not exist.
pub(crate) async fn run_http_listener(
    context: Context<ListenerMessage>,
    internal: InternalListener,
    handler: Arc<dyn Handler>,
) -> ServiceResult {
    let (crowded, receiver) = watch::channel(false);
    let account = internal.accounts.caller_account(&context, receiver)?;
    run_listener(
        context,
        &internal.listener,
        internal.timeouts,
        ConnectionBound::new(ConnectionKind::Internal, MAX_INTERNAL_CONNECTIONS, crowded),
        Duration::ZERO,
        move |stream, from| {
            let (handler, account) = (Arc::clone(&handler), Arc::clone(&account));
            async move {
                // These connections are not drained but closed when the service stops.
                let (_sender, draining) = watch::channel(Draining::No);
                let served = serve_connection(
                    stream,
                    &*handler,
                    INTERNAL_HTTP_OPTIONS,
                    &*account,
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

/// Accepts connections, as many as `bound` allows, until the service is asked to stop, then waits for at most `close_timeout`
/// until they have ended, and closes the others.
///
/// A failed accept is logged and retried after a pause.
///
/// # Errors
///
/// Returns an error if the stats service does not exist.
pub(crate) async fn run_listener<F, R>(
    mut context: Context<ListenerMessage>,
    listener: &TcpListener,
    timeouts: SocketTimeouts,
    mut bound: ConnectionBound,
    close_timeout: Duration,
    serve: F,
) -> ServiceResult
where
    F: Fn(TcpStream, SocketAddr) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let stats = context.registry.mailbox(STATS)?;
    let mut connections = JoinSet::new();
    loop {
        bound.update(connections.len());
        tokio::select! {
            () = context.stop.requested() => {
                let closed = async { while connections.join_next().await.is_some() {} };
                if timeout(close_timeout, closed).await.is_err() {
                    log::debug!("connections that have not ended in time are closed");
                }
                return Ok(());
            }
            accepted = accept(listener, timeouts) => match accepted {
                Ok((stream, from)) if bound.admits(connections.len(), &stats) => {
                    connections.spawn(serve(stream, from));
                }
                Ok(_) => {}
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
