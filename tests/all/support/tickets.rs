//! Tickets as callers use them.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::{eventually, request, send};

/// Gets one ticket for `POST` requests to a path.
pub(crate) async fn request_ticket(entry: SocketAddr, host: &str, path: &str) -> String {
    eventually("ticket", || async {
        let order = serde_json::json!({ "path": path }).to_string();
        let target = "/.well-known/cornelvalve/tickets";
        let answer = send(entry, request("POST", host, target, &[], order)).await?;
        if !answer.status.is_success() {
            return Err(format!("{answer:?}"));
        }
        let text = answer.json()["tickets"][0].as_str().map(str::to_owned);
        text.ok_or_else(|| format!("no ticket in {answer:?}"))
    })
    .await
}

/// Creates a `POST` request with a ticket; the stand-in counts its runs under `id`.
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
