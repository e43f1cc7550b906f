//! Monitor service: asks the upstream's health path when the guard wants to know.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{ClientConnection, OutgoingRequest};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use http::header::{HOST, HeaderMap, HeaderValue};
use tokio::time::timeout;

use crate::connector::Connector;
use crate::messages::{GuardMessage, MonitorMessage, PoolMessage};
use crate::names::{GUARD, UPSTREAM_POOL};
use crate::ports::{Dialect, HealthReport};

/// Longest wait for a health answer.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(400);

/// Runs the monitor service.
pub(crate) async fn run_monitor(
    mut context: Context<MonitorMessage>,
    dialect: Arc<dyn Dialect>,
    links: Connector,
) -> ServiceResult {
    let guard = context.registry.mailbox(GUARD)?;
    let prober = Prober {
        pool: context.registry.mailbox(UPSTREAM_POOL)?,
        dialect,
        links,
    };
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        let Some(MonitorMessage::Probe { addr, path }) = message else {
            return Ok(());
        };
        let report = timeout(HEALTH_TIMEOUT, prober.probe(addr, &path)).await;
        let report = report.unwrap_or_default();
        if let Err(e) = guard.send(GuardMessage::Health(report)).await {
            log::warn!(event = "health-not-passed-on"; "{e}");
        }
    }
}

struct Prober {
    pool: Mailbox<PoolMessage<ClientConnection>>,
    dialect: Arc<dyn Dialect>,
    links: Connector,
}

impl Prober {
    /// Asks for the health; `None` if the upstream gave no answer.
    async fn probe(&self, addr: SocketAddr, path: &str) -> Option<HealthReport> {
        let mut connection = self.links.connect_upstream(&self.pool, addr).await.ok()?.0;
        let mut headers = HeaderMap::new();
        let host = HeaderValue::from_str(&addr.to_string()).ok()?;
        headers.insert(HOST, host);
        let request = OutgoingRequest {
            method: &http::Method::GET,
            target: path,
            headers: &headers,
            body: &Bytes::new(),
        };
        let response = connection.exchange(request, |r| self.dialect.matches_attempt(r, None));
        let response = match response.await {
            Ok(response) => response,
            Err(e) => {
                log::debug!("health question failed: {e}");
                return None;
            }
        };
        let idle_for = self.dialect.keep_alive(&response.headers);
        if response.keep_alive {
            self.links
                .return_upstream(&self.pool, addr, connection, idle_for);
        }
        Some(self.dialect.health(&response))
    }
}
