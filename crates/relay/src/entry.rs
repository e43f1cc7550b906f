//! Entry service: the listener that accepts the requests of callers on this VM and forwards them to
//! upstreams.

mod attempt;
mod forward;
mod hedge;
mod recorder;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{
    BoxFuture, DecodeLimits, Draining, Error, Handler, MemoryAccount, OutgoingResponse, Request,
    ServerOptions, SocketTimeouts, serve_connection,
};
use cornelvalve_kernel::{Clock, Context, Mailbox, ServiceResult};
use cornelvalve_model::ServiceName;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::connector::Connector;
use crate::hop::FrameConnection;
use crate::limits::ConnectionKind;
use crate::listener::{ConnectionBound, run_listener};
use crate::messages::{
    DEFAULT_RETRY_AFTER, LimitsReceiver, ListenerMessage, PoolMessage, RouterMessage,
    ShutdownStage, StatsMessage,
};
use crate::names::{PEER_POOL, ROUTER, STATS};
use crate::ports::{Cause, Dialect, ErrorResponse};
use crate::runner::Runner;

/// Sockets, settings and handles with which the entry service is started.
pub(crate) struct EntryDependencies {
    pub(crate) listener: Arc<TcpListener>,
    pub(crate) timeouts: SocketTimeouts,
    /// Limits on callers in force; they apply to requests that begin later.
    pub(crate) limits: LimitsReceiver,
    /// Set when the daemon starts to shut down; each connection then closes after its next
    /// response.
    pub(crate) draining: watch::Receiver<Draining>,
    pub(crate) stage: watch::Receiver<ShutdownStage>,
    pub(crate) connector: Connector,
    /// Service of the upstream beside this daemon.
    pub(crate) own_service: ServiceName,
    pub(crate) runner: Runner,
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
    /// Tells the connections whether there are many of them.
    pub(crate) crowded: watch::Sender<bool>,
    /// Account from which the bodies of callers take their memory.
    pub(crate) memory: Arc<dyn MemoryAccount>,
}

/// Services and settings that forwarding a request needs; shared by all connections.
pub(crate) struct EntryContext {
    router: Mailbox<RouterMessage>,
    pool: Mailbox<PoolMessage<FrameConnection>>,
    stats: Mailbox<StatsMessage>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    connector: Connector,
    own_service: ServiceName,
    runner: Runner,
    stage: watch::Receiver<ShutdownStage>,
}

/// Longest time for which the stopping service waits until its connections have closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs the entry service until it is asked to stop.
pub(crate) async fn run_entry(
    context: Context<ListenerMessage>,
    dependencies: EntryDependencies,
) -> ServiceResult {
    let entry = Arc::new(EntryContext {
        router: context.registry.mailbox(ROUTER)?,
        pool: context.registry.mailbox(PEER_POOL)?,
        stats: context.registry.mailbox(STATS)?,
        dialect: Arc::clone(&dependencies.runner.dialect),
        clock: Arc::clone(&context.clock),
        connector: dependencies.connector,
        own_service: dependencies.own_service,
        runner: dependencies.runner,
        stage: dependencies.stage,
    });
    let (limits, draining) = (dependencies.limits, dependencies.draining);
    let memory = dependencies.memory;
    run_listener(
        context,
        &dependencies.listener,
        dependencies.timeouts,
        ConnectionBound::new(
            ConnectionKind::Caller,
            dependencies.max_connections,
            dependencies.crowded,
        ),
        CLOSE_TIMEOUT,
        move |stream, from| {
            let handler = CallerHandler {
                entry: Arc::clone(&entry),
                limits: limits.clone(),
            };
            let draining = draining.clone();
            let memory = Arc::clone(&memory);
            async move {
                let options = handler.server_options();
                if let Err(e) =
                    serve_connection(stream, &handler, options, &*memory, draining).await
                {
                    log_failure(from, &e);
                }
            }
        },
    )
    .await
}

fn log_failure(from: SocketAddr, error: &std::io::Error) {
    log::debug!("connection from caller {from} failed: {error}");
}

/// Handles the requests of one caller connection.
struct CallerHandler {
    entry: Arc<EntryContext>,
    limits: LimitsReceiver,
}

impl CallerHandler {
    /// Returns the options that follow from the limits in force.
    fn server_options(&self) -> ServerOptions {
        let limits = *self.limits.borrow();
        ServerOptions {
            limits: DecodeLimits {
                head_bytes: limits.head_bytes,
                body_bytes: limits.body_bytes,
            },
            request_timeout: limits.request_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }
}

impl Handler for CallerHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let entry = Arc::clone(&self.entry);
        Box::pin(async move { forward::serve(&entry, request).await })
    }

    fn options(&self) -> Option<ServerOptions> {
        Some(self.server_options())
    }

    fn reject(&self, error: &Error) -> OutgoingResponse {
        if *error == Error::NoMemory {
            return self.entry.error_reply(&ErrorResponse {
                retry_after: Some(DEFAULT_RETRY_AFTER),
                ..refusal(Cause::Overloaded)
            });
        }
        log::info!(event = "request-rejected", status = error.status().as_u16(); "request rejected: {error}");
        OutgoingResponse::empty(error.status())
    }
}

impl EntryContext {
    /// Returns the HTTP response for an error of the daemon itself.
    fn error_reply(&self, error: &ErrorResponse) -> OutgoingResponse {
        let (status, headers) = self.dialect.error_response(error);
        OutgoingResponse {
            status,
            headers,
            ..OutgoingResponse::empty(status)
        }
    }
}

/// Returns the error response, without a retry delay, for a request that has not run.
fn refusal(cause: Cause) -> ErrorResponse {
    ErrorResponse {
        cause,
        not_run: true,
        retry_after: None,
    }
}
