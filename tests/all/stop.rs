//! Tests the graceful shutdown of a daemon.

use crate::support::{Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Guards against a graceful shutdown that cuts off a running request or never ends.
#[tokio::test]
async fn shutdown_lets_the_running_request_finish() {
    let mesh = Mesh::start("stop");
    let entry = mesh.daemon(EST_A, &[]);
    let mut beside = mesh.daemon(EST_B, &[entry.peers]);
    let (_upstream, _) = beside.start_upstream("estimateur", 10);
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
        let answer = send(entry.callers, get).await?;
        answer
            .status
            .is_success()
            .then_some(())
            .ok_or(format!("{answer:?}"))
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
        let status = beside.ctl_json(&["status"]);
        match status["upstreams"][0]["running"].as_u64() {
            Some(1) => Ok(()),
            other => Err(format!("{other:?} requests run")),
        }
    })
    .await;
    beside.process.signal("TERM");
    let answer = running
        .await
        .unwrap()
        .expect("the running request is answered");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, "slow");
    assert!(beside.process.wait(), "the daemon exits without an error");

    // The upstream of the stopped daemon is no longer chosen, so later requests do not run.
    let refused = eventually("refusal", || async {
        let get = request("GET", "estimateur.test", "/", &[], "");
        let answer = send(entry.callers, get).await?;
        (answer.status == 503)
            .then_some(answer)
            .ok_or("still answered".to_owned())
    })
    .await;
    assert_eq!(refused.json()["outcome"], "not-run");
}
