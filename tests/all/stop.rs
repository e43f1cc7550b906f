//! Tests the graceful shutdown of a daemon.

use crate::support::{Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Guards against a graceful shutdown that cuts off a running request or never ends.
#[tokio::test]
async fn shutdown_lets_the_running_request_finish() {
    let mesh = Mesh::start("stop");
    let entry = mesh.start_daemon(EST_A, &[]);
    let mut upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
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
    eventually("first request", || async {
        let get = request("GET", "estimateur.test", "/", &[], "");
        let response = send(entry.callers, get).await?;
        response
            .status
            .is_success()
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;

    let slow = request(
        "POST",
        "estimateur.test",
        "/",
        &[("x-work-ms", "3000")],
        "slow",
    );
    let running = tokio::spawn(send(entry.callers, slow));
    eventually("request runs", || async {
        let status = upstream_daemon.ctl_json(&["status"]);
        match status["upstreams"][0]["running"].as_u64() {
            Some(1) => Ok(()),
            other => Err(format!("{other:?} requests run")),
        }
    })
    .await;
    upstream_daemon.process.signal("TERM");
    let response = running
        .await
        .unwrap()
        .expect("the running request is answered");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body, "slow");
    assert!(
        upstream_daemon.process.wait(),
        "the daemon exits without an error"
    );

    // The upstream of the stopped daemon is no longer chosen, so later requests do not run.
    let refused = eventually("refusal after the shutdown", || async {
        let get = request("GET", "estimateur.test", "/", &[], "");
        let response = send(entry.callers, get).await?;
        (response.status == 503)
            .then_some(response)
            .ok_or("not refused yet".to_owned())
    })
    .await;
    assert_eq!(refused.json()["outcome"], "not-run");
}
