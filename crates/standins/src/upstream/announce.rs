//! Announcements to the daemon on the same VM.

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

use super::{UpstreamEnd, UpstreamOptions, wait_for_end};

/// Time after which an announcement counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Renewals within one lease, so that two may be lost.
const RENEWALS_PER_LEASE: u32 = 3;

/// Time between attempts while the daemon does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Serialize)]
struct Announcement {
    port: u16,
    slots: u16,
    incarnation: Incarnation,
    lease_ms: u64,
}

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

    /// Announces the upstream and renews its lease until the stand-in ends.
    pub(crate) async fn renew(self, mut ended: watch::Receiver<Option<UpstreamEnd>>) {
        let lease = Duration::from_millis(self.announcement.lease_ms);
        loop {
            // A daemon that is down is tried again more often than the lease asks for.
            let pause = match self.announce().await {
                Ok(()) => lease / RENEWALS_PER_LEASE,
                Err(_) => RETRY_PAUSE,
            };
            tokio::select! {
                () = wait_for_end(&mut ended) => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    async fn announce(&self) -> io::Result<()> {
        let body = serde_json::to_vec(&self.announcement)?;
        self.call(Method::PUT, &self.path, body.into()).await
    }

    pub(crate) async fn drain(&self) -> io::Result<()> {
        let path = format!("{}/drain", self.path);
        self.call(Method::POST, &path, Bytes::new()).await
    }

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
        "daemon answered {status}; check its upstream listener"
    )))
}
