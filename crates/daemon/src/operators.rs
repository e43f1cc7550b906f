//! Operators service: serves JSON-RPC calls of operators, and configuration pulls of other daemons.

mod calls;

use std::net::TcpListener as StdListener;
use std::sync::Arc;

use cornelvalve_api::OperatorsServer;
use cornelvalve_kernel::{Context, ServiceResult};
use cornelvalve_model::{FailureDomain, Incarnation, Region, VmName};
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse, ServerBuilder, ServerConfig};
use tokio::sync::mpsc;

use crate::timeline::{ClockPropagator, TIMELINE};
use calls::RpcHandler;

/// Largest request; configuration changes are far smaller.
const MAX_REQUEST_BYTES: u32 = 1024 * 1024;

/// Largest response; a snapshot of several hundred kilobytes or a list of 15,000 members fits.
const MAX_RESPONSE_BYTES: u32 = 32 * 1024 * 1024;

/// Identity that the daemon reports to operators.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// VM on which the daemon runs.
    pub(crate) vm: VmName,
    /// Incarnation of the daemon, which is larger for each process that starts later.
    pub(crate) incarnation: Incarnation,
    /// Region of the VM.
    pub(crate) region: Region,
    /// Failure domain of the VM.
    pub(crate) domain: FailureDomain,
}

/// Messages to the operators service, which receives none and only serves its listener.
#[derive(Debug)]
pub(crate) enum OperatorsMessage {}

/// Runs the operators service.
///
/// A message on `leave_sender` asks the process for a planned stop.
pub(crate) async fn run_operators(
    mut context: Context<OperatorsMessage>,
    listener: Arc<StdListener>,
    identity: Identity,
    leave_sender: mpsc::Sender<()>,
) -> ServiceResult {
    let handler = RpcHandler::new(&context.registry, identity, leave_sender)?;
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .http_only()
        .build();
    let propagator = ClockPropagator::new(context.registry.mailbox(TIMELINE)?);
    let extractor = propagator.clone();
    let middleware = tower::ServiceBuilder::new()
        .map_request(move |request: HttpRequest<HttpBody>| {
            extractor.extract(request.headers());
            request
        })
        .and_then(move |mut response: HttpResponse| {
            let propagator = propagator.clone();
            async move {
                propagator.inject(response.headers_mut()).await;
                Ok(response)
            }
        });
    let server = ServerBuilder::with_config(config)
        .set_http_middleware(middleware)
        .build_from_tcp(listener.try_clone()?)?;
    let handle = server.start(handler.into_rpc());
    tokio::select! {
        () = context.stop.requested() => {
            // An error means that the server has already stopped.
            let _ = handle.stop();
            handle.stopped().await;
        }
        () = handle.clone().stopped() => {}
    }
    Ok(())
}
