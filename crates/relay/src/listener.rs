//! Accepting connections; each one is served by a task of its own.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_http1::{SocketTimeouts, accept};
use cornelvalve_kernel::{Context, ServiceResult};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::messages::ListenerMessage;

/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the service should stop, which ends the connections too.
pub(crate) async fn run_listener<F, R>(
    mut context: Context<ListenerMessage>,
    listener: &TcpListener,
    timeouts: SocketTimeouts,
    serve: F,
) -> ServiceResult
where
    F: Fn(TcpStream, SocketAddr) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            accepted = accept(listener, timeouts) => match accepted {
                Ok((stream, from)) => {
                    connections.spawn(serve(stream, from));
                }
                Err(e) => {
                    log::warn!(event = "accept-failed"; "{e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(ended) = connections.join_next() => {
                if let Err(e) = ended
                    && e.is_panic()
                {
                    log::error!(event = "connection-panicked"; "{e}");
                }
            }
        }
    }
}
