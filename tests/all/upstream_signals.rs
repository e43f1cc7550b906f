//! Tests upstreams that say in their responses how many requests they accept, or that they leave.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::support::{
    DaemonProcess, FailurePoint, FaultyUpstream, LIMIT_PER_SECOND, Mesh, Response, VmSpec,
    eventually, request, send,
};

const HOST: &str = "estimateur.test";

/// VM of the daemon and the upstream.
const VM: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");

/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(3);

async fn call(daemon: &DaemonProcess) -> Response {
    let call = request("POST", HOST, "/", &[("x-request-id", "call")], "");
    send(daemon.callers, call).await.expect("daemon responds")
}

/// Starts a daemon with an upstream that responds in this way, and waits until it has responded.
async fn start(name: &str, point: FailurePoint) -> (Mesh, DaemonProcess, FaultyUpstream) {
    let mesh = Mesh::start(name);
    let daemon = mesh.start_daemon(VM, &[]);
    daemon.wait_for_members(1).await;
    let upstream = FaultyUpstream::start(&daemon, "estimateur", point).await;
    daemon.ctl(&["region", "put", "qc-est"]);
    daemon.ctl(&["service", "put", "--name", "estimateur", "--host", HOST]);
    eventually("a request is served", || async {
        let response = call(&daemon).await;
        if response.status == 200 {
            Ok(())
        } else {
            Err(format!("{response:?}"))
        }
    })
    .await;
    (mesh, daemon, upstream)
}

/// Guards against an upstream in need that gets as many requests as its concurrency limit allows.
#[tokio::test]
async fn an_upstream_gets_no_more_requests_than_its_limit() {
    let (_mesh, daemon, upstream) = start("rate-limit", FailurePoint::Limited).await;
    let start = Instant::now();
    while start.elapsed() < LOAD_TIME {
        let response = call(&daemon).await;
        if response.status != 200 {
            assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
        }
        let limit = response.headers.get("cornelvalve-rate-limit");
        assert!(limit.is_none(), "passed on to the caller: {response:?}");
        sleep(Duration::from_millis(5)).await;
    }
    let allowed = 1.5 * LIMIT_PER_SECOND * start.elapsed().as_secs_f64() + 5.0;
    let count: u64 = upstream.run_counts().await.values().sum();
    assert!(
        (count as f64) < allowed,
        "{count} requests, {allowed} allowed"
    );
    assert!(count >= 6, "the limit is not used: {count} requests");
}

/// Guards against new requests to an upstream that says in its responses that it is leaving.
#[tokio::test]
async fn an_upstream_that_says_it_is_leaving_gets_no_more_requests() {
    let (_mesh, daemon, upstream) = start("says-leaving", FailurePoint::Leaving).await;
    let before: u64 = upstream.run_counts().await.values().sum();
    let mut outcomes = Vec::new();
    for _ in 0..10 {
        outcomes.push(call(&daemon).await.outcome().map(str::to_owned));
    }
    let after: u64 = upstream.run_counts().await.values().sum();
    // One request may be admitted before the guard has seen the end of the first response.
    assert!(after <= before + 1, "{outcomes:?}");
    let refused = outcomes.iter().skip(1);
    assert!(
        refused.into_iter().all(|o| o.as_deref() == Some("not-run")),
        "{outcomes:?}"
    );
}
