//! Monitor service: probes the upstream's health path at the guard's request.

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

/// Longest time for a probe, from opening the connection to the response. Shorter than the time
/// after which the guard considers a probe lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size in bytes of the body of a health report, which is not used.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Runs the monitor service until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the guard or the connection pool does not exist.
pub(crate) async fn run_monitor(
    mut context: Context<MonitorMessage>,
    dialect: Arc<dyn Dialect>,
    connector: Connector,
) -> ServiceResult {
    let guard = context.registry.mailbox(GUARD)?;
    let prober = Prober {
        pool: context.registry.mailbox(UPSTREAM_POOL)?,
        dialect,
        connector,
    };
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        let Some(MonitorMessage::Probe {
            addr,
            path,
            requested,
        }) = message
        else {
            return Ok(());
        };
        let report = timeout(PROBE_TIMEOUT, prober.probe(addr, &path)).await;
        let report = report.unwrap_or_default();
        let health = GuardMessage::Health { requested, report };
        if let Err(e) = guard.send(health).await {
            log::warn!(event = "health-not-passed-on"; "health report was not passed on to the guard: {e}");
        }
    }
}

/// Sends health probes to the upstream.
struct Prober {
    pool: Mailbox<PoolMessage<ClientConnection>>,
    dialect: Arc<dyn Dialect>,
    connector: Connector,
}

impl Prober {
    /// Requests the health path; returns `None` if the upstream gave no valid response.
    async fn probe(&self, addr: SocketAddr, path: &str) -> Option<HealthReport> {
        let mut connection = self
            .connector
            .connect_upstream(&self.pool, addr)
            .await
            .ok()?
            .0;
        connection.limit_body(MAX_REPORT_BYTES);
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
                log::debug!("health probe failed: {e}");
                return None;
            }
        };
        let idle_for = self.dialect.keep_alive(&response.headers);
        let report = self.dialect.health(&response);
        // A refusal that the upstream writes once more must not meet a request on this connection.
        if response.keep_alive && report.healthy {
            self.connector
                .return_upstream(&self.pool, addr, connection, idle_for);
        }
        Some(report)
    }
}
