//! Stand-ins that speak the protocol of the users' platform: its store and a target.
//!
//! A target is an upstream on that platform: it checks in with the daemon on its VM, which then
//! sends requests to it.

mod messages;
mod store;
mod target;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{
    DecodeLimits, Draining, Handler, PerMessageLimit, ServerOptions, serve_connection,
};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

pub use messages::{
    CheckInRequest, READY_PATH, RouteConfig, SettingsFile, caller_headers, desired_state,
    has_target_signature,
};
pub use store::{PlatformStoreHandle, StoreMode, WaitingReads};
pub use target::{ReceivedRequest, Signals, TargetHandle, TargetMode, TargetOptions};

/// Options of the stand-ins' HTTP servers; larger than tests need, so that only the daemon's own
/// limits take effect.
const SERVER_OPTIONS: ServerOptions = ServerOptions {
    limits: DecodeLimits {
        head_bytes: 64 * 1024,
        body_bytes: 64 * 1024 * 1024,
    },
    request_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(60),
};

/// HTTP server; dropping it closes the listener and all connections.
#[derive(Debug)]
struct Server {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on an address; port 0 selects a free port.
    async fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let handler = Arc::clone(&handler);
                connections.spawn(async move {
                    // Draining never starts, because the sender stays alive and sends nothing.
                    let (_sender, draining) = watch::channel(Draining::No);
                    // Tests close connections on purpose, so errors are expected.
                    let _ = serve_connection(
                        stream,
                        &*handler,
                        SERVER_OPTIONS,
                        &PerMessageLimit::NONE,
                        draining,
                    )
                    .await;
                });
            }
        });
        Ok(Self { addr, task })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
