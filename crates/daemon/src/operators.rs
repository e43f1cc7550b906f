//! Operators service: remote calls over JSON-RPC.

mod calls;

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use cornelvalve_api::OperatorsServer;
use cornelvalve_kernel::{Context, ServiceResult};
use cornelvalve_model::{FailureDomain, Incarnation, Region, VmName};
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse, ServerBuilder, ServerConfig};
use tokio::sync::mpsc;

use crate::timeline::{ClockPropagator, TIMELINE};
use calls::Calls;

/// Longest request; a change is far shorter.
const MAX_REQUEST_BYTES: u32 = 1024 * 1024;

/// Longest response; a snapshot or a member list of the planned size fits.
const MAX_RESPONSE_BYTES: u32 = 32 * 1024 * 1024;

/// Identity of the daemon as operators see it.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// VM on which the daemon runs.
    pub(crate) vm: VmName,
    /// Start of the process.
    pub(crate) incarnation: Incarnation,
    /// Region of the VM.
    pub(crate) region: Region,
    /// Failure domain of the VM.
    pub(crate) domain: FailureDomain,
}

/// Messages to the operators service: none, it only listens.
#[derive(Debug)]
pub(crate) enum OperatorsMessage {}

/// Runs the operators service; `leave` asks the process for a planned stop.
pub(crate) async fn run_operators(
    mut context: Context<OperatorsMessage>,
    listener: Arc<StdListener>,
    identity: Identity,
    leave: mpsc::Sender<()>,
) -> ServiceResult {
    let calls = Calls::new(&context.registry, identity, leave)?;
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .http_only()
        .build();
    let link = ClockPropagator::new(context.registry.mailbox(TIMELINE)?);
    let observing = link.clone();
    let clock = tower::ServiceBuilder::new()
        .map_request(move |request: HttpRequest<HttpBody>| {
            observing.extract(request.headers());
            request
        })
        .and_then(move |mut response: HttpResponse| {
            let link = link.clone();
            async move {
                link.inject(response.headers_mut()).await;
                Ok(response)
            }
        });
    let server = ServerBuilder::with_config(config)
        .set_http_middleware(clock)
        .build_from_tcp(listener.try_clone()?)?;
    let handle = server.start(calls.into_rpc());
    tokio::select! {
        () = context.stop.requested() => {
            // An error means that the server has stopped already.
            let _ = handle.stop();
            handle.stopped().await;
        }
        () = handle.clone().stopped() => {}
    }
    Ok(())
}
