//! Inspects upstream stand-ins, injects faults into them, and announces upstreams to daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::http::{Response, request, send};

/// Returns how often each request ran at an upstream stand-in, by request id.
///
/// # Errors
///
/// Returns a description if the stand-in does not respond.
pub(crate) async fn try_run_counts(upstream: SocketAddr) -> Result<BTreeMap<String, u64>, String> {
    let get = request("GET", "standin", "/_standin/runs", &[], "");
    let response = send(upstream, get).await?;
    serde_json::from_slice(&response.body).map_err(|e| e.to_string())
}

/// Returns how often each request ran at an upstream stand-in, by request id.
///
/// # Panics
///
/// Panics if the stand-in does not respond.
pub(crate) async fn run_counts(upstream: SocketAddr) -> BTreeMap<String, u64> {
    try_run_counts(upstream).await.expect("stand-in responds")
}

/// Replaces the injected faults of an upstream stand-in.
pub(crate) async fn set_faults(upstream: SocketAddr, faults: &str) {
    let headers = [("content-type", "application/json")];
    let body = faults.to_owned();
    let put = request("PUT", "standin", "/_standin/faults", &headers, body);
    let response = send(upstream, put).await.expect("stand-in responds");
    assert!(response.status.is_success(), "{response:?}");
}

/// Returns the concurrency statistics of an upstream stand-in, with the peak numbers of running
/// requests.
pub(crate) async fn concurrency_stats(upstream: SocketAddr) -> serde_json::Value {
    let get = request("GET", "standin", "/_standin/peak", &[], "");
    send(upstream, get).await.expect("stand-in responds").json()
}

/// Sends a request of an upstream, such as its announcement, to the daemon that listens for
/// announcements at `daemon`. `path` names the service and is appended to `/v1/upstreams/`.
///
/// # Errors
///
/// Returns a description if the exchange fails.
pub(crate) async fn announce(
    daemon: SocketAddr,
    method: &str,
    path: &str,
    body: &serde_json::Value,
) -> Result<Response, String> {
    let path = format!("/v1/upstreams/{path}");
    let headers = [("content-type", "application/json")];
    let request = request(method, "daemon", &path, &headers, body.to_string());
    send(daemon, request).await
}
