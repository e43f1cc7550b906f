//! Check-ins service: receives the reports in which the upstream announces its state, called
//! check-ins, over HTTP.

use std::sync::Arc;

use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderValue};

use crate::listener::{InternalListener, run_http_listener};
use crate::messages::{GuardMessage, ListenerMessage};
use crate::names::GUARD;
use crate::ports::CheckInProtocol;

/// Runs the check-ins service until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the guard service or the memory service does not exist.
pub(crate) async fn run_check_ins(
    context: Context<ListenerMessage>,
    listener: InternalListener,
    protocol: Arc<dyn CheckInProtocol>,
) -> ServiceResult {
    let handler = Arc::new(CheckInHandler {
        guard: context.registry.mailbox(GUARD)?,
        protocol,
    });
    run_http_listener(context, listener, handler).await
}

/// Handler of check-in requests.
struct CheckInHandler {
    guard: Mailbox<GuardMessage>,
    protocol: Arc<dyn CheckInProtocol>,
}

impl Handler for CheckInHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let decoded = self.protocol.decode(&request);
        let (guard, confirmation) = (self.guard.clone(), self.protocol.confirmation());
        Box::pin(async move {
            let check_in = match decoded {
                Ok(check_in) => check_in,
                Err((status, reason)) => {
                    log::warn!(event = "check-in-unreadable", status = status.as_u16(), reason = reason.as_str(); "request is not a valid check-in");
                    return OutgoingResponse::empty(status);
                }
            };
            // Confirmed only after the guard has applied it: the upstream relies on a confirmed
            // check-in.
            let applied = guard.ask(|reply| GuardMessage::CheckIn {
                check_in: Box::new(check_in),
                reply,
            });
            match applied.await {
                Ok(()) => {
                    let mut reply = OutgoingResponse::empty(StatusCode::OK);
                    let json = HeaderValue::from_static("application/json");
                    reply.headers.insert(CONTENT_TYPE, json);
                    reply.body = confirmation.into();
                    reply
                }
                Err(e) => {
                    log::warn!(event = "check-in-dropped"; "check-in was not applied: {e}; the upstream was sent status 503");
                    OutgoingResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
                }
            }
        })
    }
}
