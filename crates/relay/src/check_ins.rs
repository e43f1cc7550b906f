//! Check-ins service: the upstream tells its state here.

use std::sync::Arc;

use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request, SocketTimeouts};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderValue};
use tokio::net::TcpListener;

use crate::listener::run_control_listener;
use crate::messages::{GuardMessage, ListenerMessage};
use crate::names::GUARD;
use crate::ports::CheckInProtocol;

/// Runs the check-ins service.
pub(crate) async fn run_check_ins(
    context: Context<ListenerMessage>,
    listener: Arc<TcpListener>,
    timeouts: SocketTimeouts,
    form: Arc<dyn CheckInProtocol>,
) -> ServiceResult {
    let handler = Arc::new(CheckIns {
        guard: context.registry.mailbox(GUARD)?,
        form,
    });
    run_control_listener(context, &listener, timeouts, handler).await
}

struct CheckIns {
    guard: Mailbox<GuardMessage>,
    form: Arc<dyn CheckInProtocol>,
}

impl Handler for CheckIns {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let decoded = self.form.decode(&request);
        let (guard, confirmation) = (self.guard.clone(), self.form.confirmation());
        Box::pin(async move {
            let check_in = match decoded {
                Ok(check_in) => check_in,
                Err((status, reason)) => {
                    log::warn!(event = "check-in-unreadable", status = status.as_u16(), reason = reason.as_str(); "call is no check-in");
                    return OutgoingResponse::empty(status);
                }
            };
            // Confirmed only once the guard acts on it, because the confirmation binds.
            let acted = guard.ask(|reply| GuardMessage::CheckIn {
                check_in: Box::new(check_in),
                reply,
            });
            match acted.await {
                Ok(()) => {
                    let mut reply = OutgoingResponse::empty(StatusCode::OK);
                    let json = HeaderValue::from_static("application/json");
                    reply.headers.insert(CONTENT_TYPE, json);
                    reply.body = confirmation;
                    reply
                }
                Err(e) => {
                    log::warn!(event = "check-in-dropped"; "{e}");
                    OutgoingResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
                }
            }
        })
    }
}
