//! Stand-ins that speak the protocol of the users' platform: its store and a target.

mod messages;
mod store;
mod target;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{DecodeLimits, Handler, ServerOptions, serve_connection};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

pub use messages::{
    CheckInRequest, READY_PATH, RouteConfig, SettingsText, caller_headers, desired_state, is_signed,
};
pub use store::{PlatformStoreHandle, StoreMode};
pub use target::{ReceivedRequest, TargetHandle, TargetMode, TargetOptions};

const OPTIONS: ServerOptions = ServerOptions {
    limits: DecodeLimits {
        head_bytes: 64 * 1024,
        body_bytes: 64 * 1024 * 1024,
    },
    request_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(60),
};

/// Listener with its connections; all end when it is dropped.
#[derive(Debug)]
struct Server {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    async fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let handler = Arc::clone(&handler);
                connections.spawn(async move {
                    let (_stay, draining) = watch::channel(false);
                    // Tests break connections off on purpose.
                    let _ = serve_connection(stream, &*handler, OPTIONS, draining).await;
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
