//! HTTP endpoint for readiness checks and metrics. The `ready` and `metrics` services both run it,
//! on different addresses, and each answers both kinds of requests.

use std::sync::Arc;

use bytes::Bytes;
use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use http::StatusCode;

use crate::listener::{InternalListener, run_http_listener};
use crate::messages::{ListenerMessage, StatsMessage};
use crate::names::STATS;

/// Path that returns the metrics; every other path returns the readiness.
const METRICS_PATH: &str = "/metrics";

/// Runs the endpoint for readiness and metrics until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the stats service or the memory service does not exist.
pub(crate) async fn run_ready(
    context: Context<ListenerMessage>,
    listener: InternalListener,
) -> ServiceResult {
    let handler = Arc::new(StatusHandler(context.registry.mailbox(STATS)?));
    run_http_listener(context, listener, handler).await
}

/// Answers requests for the readiness and the metrics from the stats service.
struct StatusHandler(Mailbox<StatsMessage>);

impl Handler for StatusHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let stats = self.0.clone();
        Box::pin(async move {
            if &*request.target == METRICS_PATH {
                let text = stats.ask(|reply| StatsMessage::Scrape { reply }).await;
                let mut reply = OutgoingResponse::empty(StatusCode::OK);
                reply.body = Bytes::from(text.unwrap_or_default()).into();
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
