//! What upstream stand-ins report, and what upstreams announce.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::http::{Response, request, send};

/// Returns how often each request ran at a stand-in, by request id; fails if it does not answer.
pub(crate) async fn try_run_counts(upstream: SocketAddr) -> Result<BTreeMap<String, u64>, String> {
    let get = request("GET", "standin", "/_standin/runs", &[], "");
    let answer = send(upstream, get).await?;
    serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
}

/// Returns how often each request ran at a stand-in that must answer.
pub(crate) async fn run_counts(upstream: SocketAddr) -> BTreeMap<String, u64> {
    try_run_counts(upstream).await.expect("stand-in answers")
}

/// Replaces the faults of a stand-in.
pub(crate) async fn set_faults(upstream: SocketAddr, faults: &str) {
    let headers = [("content-type", "application/json")];
    let body = faults.to_owned();
    let put = request("PUT", "standin", "/_standin/faults", &headers, body);
    let answer = send(upstream, put).await.expect("stand-in answers");
    assert!(answer.status.is_success(), "{answer:?}");
}

/// Returns the counts of concurrency of a stand-in.
pub(crate) async fn peak(upstream: SocketAddr) -> serde_json::Value {
    let get = request("GET", "standin", "/_standin/peak", &[], "");
    send(upstream, get).await.expect("stand-in answers").json()
}

/// Sends an announcement to the daemon that listens for them at `daemon`.
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
