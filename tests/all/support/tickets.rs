//! Requests for tickets, and requests that carry a ticket. A ticket is an idempotency key that a
//! daemon issues for one request to an at-most-once route.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::{eventually, request, send};

/// Requests a ticket for a `POST` request to a path and repeats this until a daemon issues it.
pub(crate) async fn request_ticket(entry: SocketAddr, host: &str, path: &str) -> String {
    eventually("ticket", || async {
        let ticket_request = serde_json::json!({ "path": path }).to_string();
        let target = "/.well-known/cornelvalve/tickets";
        let response = send(entry, request("POST", host, target, &[], ticket_request)).await?;
        if !response.status.is_success() {
            return Err(format!("{response:?}"));
        }
        let issued = response.json()["tickets"][0].as_str().map(str::to_owned);
        issued.ok_or_else(|| format!("no ticket in {response:?}"))
    })
    .await
}

/// Creates a `POST` request with a ticket. The upstream stand-in takes `work_ms` for each run and
/// counts the runs under `id`.
pub(crate) fn request_with_ticket(
    ticket: &str,
    host: &str,
    path: &str,
    id: &str,
    work_ms: u64,
    body: &str,
) -> Request<Full<Bytes>> {
    let work = work_ms.to_string();
    let headers = [
        ("idempotency-key", ticket),
        ("x-request-id", id),
        ("x-work-ms", &work),
    ];
    request("POST", host, path, &headers, body.to_owned())
}
