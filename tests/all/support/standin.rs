//! Control of upstream stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{request, send};

/// Returns how often the stand-in ran each request, by `x-request-id`.
pub(crate) async fn runs(standin: SocketAddr) -> BTreeMap<String, u64> {
    let get = request("GET", "standin", "/_standin/runs", &[], "");
    let answer = send(standin, get).await.expect("stand-in answers");
    serde_json::from_slice(&answer.body).expect("runs are JSON")
}

/// Replaces the faults of the stand-in.
pub(crate) async fn set_faults(standin: SocketAddr, faults: &str) {
    let headers = [("content-type", "application/json")];
    let put = request(
        "PUT",
        "standin",
        "/_standin/faults",
        &headers,
        faults.to_owned(),
    );
    let answer = send(standin, put).await.expect("stand-in answers");
    assert!(answer.status.is_success(), "{answer:?}");
}

/// Returns the counts of concurrency of the stand-in.
pub(crate) async fn peak(standin: SocketAddr) -> serde_json::Value {
    let get = request("GET", "standin", "/_standin/peak", &[], "");
    send(standin, get).await.expect("stand-in answers").json()
}
