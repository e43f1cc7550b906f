//! Ready service: tells whether this daemon takes requests, and its metrics.

use std::sync::Arc;

use bytes::Bytes;
use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request, SocketTimeouts};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use http::StatusCode;
use tokio::net::TcpListener;

use crate::listener::run_control_listener;
use crate::messages::{ListenerMessage, StatsMessage};
use crate::names::STATS;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Runs a service that answers questions about this daemon.
pub(crate) async fn run_ready(
    context: Context<ListenerMessage>,
    listener: Arc<TcpListener>,
    timeouts: SocketTimeouts,
) -> ServiceResult {
    let handler = Arc::new(Questions(context.registry.mailbox(STATS)?));
    run_control_listener(context, &listener, timeouts, handler).await
}

struct Questions(Mailbox<StatsMessage>);

impl Handler for Questions {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let stats = self.0.clone();
        Box::pin(async move {
            if &*request.target == METRICS_PATH {
                let text = stats.ask(|reply| StatsMessage::Scrape { reply }).await;
                let mut reply = OutgoingResponse::empty(StatusCode::OK);
                reply.body = Bytes::from(text.unwrap_or_default());
                return reply;
            }
            let ready = stats.ask(|reply| StatsMessage::Ready { reply }).await;
            match ready {
                Ok(true) => OutgoingResponse::empty(StatusCode::OK),
                Ok(false) | Err(_) => OutgoingResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
            }
        })
    }
}
