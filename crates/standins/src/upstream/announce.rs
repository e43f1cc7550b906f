//! Announcement of the upstream stand-in to the daemon on the same VM, and its lease.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_model::Incarnation;
use http::{Method, Request, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::{UpstreamExit, UpstreamOptions, wait_for_exit};

/// Timeout of one call to the daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of renewals per lease; the lease survives the loss of two in a row.
const RENEWALS_PER_LEASE: u32 = 3;

/// Delay before the next attempt after an announcement failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// JSON body of an announcement.
#[derive(Clone, Debug, Serialize)]
struct Announcement {
    port: u16,
    slots: u16,
    incarnation: Incarnation,
    lease_ms: u64,
}

/// Client that announces an upstream to its daemon; does nothing without a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Announcer {
    daemon: Option<SocketAddr>,
    path: String,
    announcement: Announcement,
}

impl Announcer {
    pub(crate) fn new(options: &UpstreamOptions, port: u16) -> Self {
        Self {
            daemon: options.daemon,
            path: format!("/v1/upstreams/{}", options.service),
            announcement: Announcement {
                port,
                slots: options.slots,
                incarnation: options.incarnation,
                lease_ms: u64::try_from(options.lease.as_millis()).unwrap_or(u64::MAX),
            },
        }
    }

    /// Announces the upstream and renews the lease until the stand-in exits.
    pub(crate) async fn announce_until_exit(self, mut exit: watch::Receiver<Option<UpstreamExit>>) {
        let lease = Duration::from_millis(self.announcement.lease_ms);
        loop {
            // The retry delay does not depend on the lease, so that the upstream is announced soon
            // after the daemon has come up.
            let delay = match self.announce().await {
                Ok(()) => lease / RENEWALS_PER_LEASE,
                Err(_) => RETRY_DELAY,
            };
            tokio::select! {
                () = wait_for_exit(&mut exit) => return,
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    async fn announce(&self) -> io::Result<()> {
        let body = serde_json::to_vec(&self.announcement)?;
        self.call(Method::PUT, &self.path, body.into()).await
    }

    /// Announces that the upstream is draining.
    pub(crate) async fn drain(&self) -> io::Result<()> {
        let path = format!("{}/drain", self.path);
        self.call(Method::POST, &path, Bytes::new()).await
    }

    /// Withdraws the announcement, so that the daemon forgets the upstream.
    pub(crate) async fn withdraw(&self) -> io::Result<()> {
        self.call(Method::DELETE, &self.path, Bytes::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> io::Result<()> {
        let Some(daemon) = self.daemon else {
            return Ok(());
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, daemon.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(io::Error::other)?;
        tokio::time::timeout(CALL_TIMEOUT, send(daemon, request))
            .await
            .map_err(io::Error::from)?
    }
}

/// Sends a request over a new connection; any status but a success is an error.
async fn send(daemon: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<()> {
    let socket = TcpStream::connect(daemon).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let exchange = async { sender.send_request(request).await.map_err(io::Error::other) };
    let response = tokio::select! {
        response = exchange => response?,
        closed = connection => {
            closed.map_err(io::Error::other)?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    };
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "daemon responded with status {status}; check that the address is its upstream listener"
    )))
}
