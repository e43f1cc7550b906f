//! Tests a request end to end, with daemons, upstream and log store as separate processes.

use crate::support::{Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Guards against a failure in any process that a request or the configuration passes through:
/// entry daemon, daemon beside the upstream, upstream, log store and operators' client.
#[tokio::test]
async fn request_reaches_an_upstream_through_two_daemons() {
    let mesh = Mesh::start("path");
    let entry = mesh.start_daemon(EST_A, &[]);
    let upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (_upstream, _) = upstream_daemon.start_upstream("estimateur", 10);
    entry.ctl(&["region", "put", "qc-est"]);
    let service = [
        "service",
        "put",
        "--name",
        "estimateur",
        "--host",
        "estimateur.test",
    ];
    entry.ctl(&service);

    let body = "mileage=12000".repeat(100);
    let response = eventually("request through two daemons", || async {
        let post = request("POST", "estimateur.test", "/estimate", &[], body.clone());
        let response = send(entry.callers, post).await?;
        if response.status.is_success() {
            Ok(response)
        } else {
            Err(format!("{response:?}"))
        }
    })
    .await;
    assert_eq!(response.body, body, "the upstream echoes the whole body");

    let unknown = request("GET", "unknown.test", "/", &[], "");
    let refused = send(entry.callers, unknown).await.unwrap();
    assert_eq!(refused.status, 404);
    assert_eq!(refused.json()["outcome"], "not-run");
    assert_eq!(refused.json()["reason"], "unknown-service");
}
