//! Tests the outcome reported to callers of requests with more than one attempt.

use std::net::TcpListener;

use serde_json::json;

use crate::support::{
    DaemonProcess, FailurePoint, FaultyUpstream, Mesh, VmSpec, announce, eventually, request, send,
};

const HOST: &str = "cardview.test";

/// Number of requests; enough that each of the two upstreams is tried first by some of them.
const REQUESTS: usize = 40;

const fn vm(vm: &'static str) -> VmSpec {
    VmSpec::new(vm, "ishikari", "ishikari-a")
}

/// Announces an upstream on a port that refuses connections.
async fn announce_dead_upstream(daemon: &DaemonProcess) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let port = listener.local_addr().expect("socket is bound").port();
    drop(listener);
    let body = json!({"port": port, "slots": 10, "incarnation": 1, "lease_ms": 600_000});
    let response = announce(daemon.upstream, "PUT", "cardview", &body).await;
    assert!(response.expect("daemon responds").status.is_success());
}

/// Guards against a request that ran in its first attempt and is reported as `not-run` because its
/// last attempt was refused.
#[tokio::test]
async fn last_refusal_does_not_hide_an_earlier_run() {
    let mesh = Mesh::start("retry");
    let entry = mesh.start_daemon(vm("ishikari-a-1"), &[]);
    let faulty = mesh.start_daemon(vm("ishikari-a-2"), &[entry.peers]);
    let refusing = mesh.start_daemon(vm("ishikari-a-3"), &[entry.peers]);
    entry.wait_for_members(3).await;
    let upstream = FaultyUpstream::start(&faulty, "cardview", FailurePoint::AfterRequest).await;
    announce_dead_upstream(&refusing).await;
    entry.ctl(&["region", "put", "ishikari"]);
    entry.ctl(&["service", "put", "--name", "cardview", "--host", HOST]);
    entry
        .wait_for_candidates(HOST, &["ishikari-a-2", "ishikari-a-3"])
        .await;
    for n in 0..REQUESTS {
        let id = format!("get-{n}");
        let get = request("GET", HOST, "/", &[("x-request-id", &id)], "");
        let response = send(entry.callers, get).await.expect("entry responds");
        let ran = upstream.run_counts().await.contains_key(&id);
        let outcome = response.outcome();
        assert!(
            !(ran && outcome == Some("not-run")),
            "{id} ran: {response:?}"
        );
    }
    // Without a run at the faulty upstream the assertions above would have checked nothing.
    eventually("a request that ran at the faulty upstream", || async {
        let ran = upstream.run_counts().await.len();
        (ran > 0).then_some(()).ok_or("none".to_owned())
    })
    .await;
}
