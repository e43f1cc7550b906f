//! Entry service: takes the requests of callers on this VM.

mod forward;
mod offer;

use std::net::SocketAddr;
use std::sync::Arc;

use cornelvalve_http1::{
    BoxFuture, DecodeLimits, Error, Handler, OutgoingResponse, Request, ServerOptions,
    SocketTimeouts, serve_connection,
};
use cornelvalve_kernel::{Clock, Context, Mailbox, ServiceResult};
use cornelvalve_model::ServiceName;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::connector::Connector;
use crate::hop::FrameConnection;
use crate::listener::run_listener;
use crate::messages::{
    LimitsReceiver, ListenerMessage, PoolMessage, RouterMessage, StatsMessage, StopStage,
};
use crate::names::{PEER_POOL, ROUTER, STATS};
use crate::ports::{Cause, Dialect, ErrorResponse};
use crate::runner::Runner;

/// Parts that the entry needs besides other services.
#[derive(Clone)]
pub(crate) struct EntryParts {
    pub(crate) listener: Arc<TcpListener>,
    pub(crate) timeouts: SocketTimeouts,
    pub(crate) limits: LimitsReceiver,
    pub(crate) draining: watch::Receiver<bool>,
    pub(crate) stage: watch::Receiver<StopStage>,
    pub(crate) links: Connector,
    pub(crate) own_service: ServiceName,
    pub(crate) runner: Runner,
}

/// What each request needs; one for all connections.
pub(crate) struct EntryHandler {
    router: Mailbox<RouterMessage>,
    pool: Mailbox<PoolMessage<FrameConnection>>,
    stats: Mailbox<StatsMessage>,
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    links: Connector,
    own_service: ServiceName,
    runner: Runner,
    stage: watch::Receiver<StopStage>,
}

/// Runs the entry service.
pub(crate) async fn run_entry(
    context: Context<ListenerMessage>,
    parts: EntryParts,
) -> ServiceResult {
    let handler = Arc::new(EntryHandler {
        router: context.registry.mailbox(ROUTER)?,
        pool: context.registry.mailbox(PEER_POOL)?,
        stats: context.registry.mailbox(STATS)?,
        dialect: Arc::clone(&parts.runner.dialect),
        clock: Arc::clone(&context.clock),
        links: parts.links,
        own_service: parts.own_service,
        runner: parts.runner,
        stage: parts.stage,
    });
    let (limits, draining) = (parts.limits, parts.draining);
    run_listener(
        context,
        &parts.listener,
        parts.timeouts,
        move |stream, from| {
            let callers = Callers(Arc::clone(&handler));
            let (limits, draining) = (*limits.borrow(), draining.clone());
            async move {
                let options = ServerOptions {
                    limits: DecodeLimits {
                        head_bytes: limits.head_bytes,
                        body_bytes: limits.body_bytes,
                    },
                    request_timeout: limits.request_timeout,
                    idle_timeout: limits.idle_timeout,
                };
                if let Err(e) = serve_connection(stream, &callers, options, draining).await {
                    log_end(from, &e);
                }
            }
        },
    )
    .await
}

fn log_end(from: SocketAddr, error: &std::io::Error) {
    log::debug!("connection of {from} ended: {error}");
}

/// Connections of callers.
struct Callers(Arc<EntryHandler>);

impl Handler for Callers {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let entry = Arc::clone(&self.0);
        Box::pin(async move { forward::serve(&entry, request).await })
    }

    fn reject(&self, error: &Error) -> OutgoingResponse {
        log::info!(event = "request-rejected", status = error.status().as_u16(); "{error}");
        OutgoingResponse::empty(error.status())
    }
}

impl EntryHandler {
    /// Returns the reply for a request that the product itself ends.
    fn refuse(&self, refusal: &ErrorResponse) -> OutgoingResponse {
        let (status, headers) = self.dialect.error_response(refusal);
        OutgoingResponse {
            status,
            headers,
            ..OutgoingResponse::empty(status)
        }
    }
}

/// Returns the refusal of a request for which there is nothing to wait.
fn refusal(cause: Cause) -> ErrorResponse {
    ErrorResponse {
        cause,
        not_run: true,
        retry_after: None,
    }
}
