//! Requests that crash every upstream that runs them must not crash one after another.

use std::net::SocketAddr;

use crate::support::{
    DaemonProcess, Mesh, Process, Response, VmSpec, eventually, request, run_counts, send,
    set_faults,
};

const HOST: &str = "cardview.test";

const ENTRY: VmSpec = VmSpec::new("ishikari-a-1", "ishikari", "ishikari-a");
const FIRST: VmSpec = VmSpec::new("ishikari-a-2", "ishikari", "ishikari-a");
const SECOND: VmSpec = VmSpec::new("ishikari-a-3", "ishikari", "ishikari-a");

/// Faults with which an upstream stand-in crashes on any request that has the header `x-crash`.
const CRASH: &str = r#"{ "crash_on": "x-crash" }"#;

/// Log stand-in and three daemons; the tests start the upstreams.
struct CardviewMesh {
    _mesh: Mesh,
    /// Daemon to which the tests send requests.
    entry: DaemonProcess,
    /// Daemon of the first upstream.
    first: DaemonProcess,
    /// Daemon of the second upstream.
    second: DaemonProcess,
}

/// Starts the daemons and publishes the service `cardview`.
async fn start_mesh(name: &str) -> CardviewMesh {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY, &[]);
    let first = mesh.start_daemon(FIRST, &[entry.peers]);
    let second = mesh.start_daemon(SECOND, &[entry.peers]);
    entry.wait_for_members(3).await;
    entry.ctl(&["region", "put", "ishikari"]);
    entry.ctl(&["service", "put", "--name", "cardview", "--host", HOST]);
    CardviewMesh {
        _mesh: mesh,
        entry,
        first,
        second,
    }
}

/// Starts an upstream that crashes on the header `x-crash`, and waits until it answers a request.
async fn start_fragile_upstream(
    entry: &DaemonProcess,
    upstream_daemon: &DaemonProcess,
) -> (Process, SocketAddr) {
    let (process, upstream_addr) = upstream_daemon.start_upstream("cardview", 10);
    set_faults(upstream_addr, CRASH).await;
    eventually("upstream", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        let response = send(entry.callers, get).await?;
        let seen = run_counts(upstream_addr).await.contains_key("warm-up");
        (response.status == 200 && seen)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
    (process, upstream_addr)
}

/// Sends the request that crashes an upstream.
async fn send_crashing_request(entry: &DaemonProcess) -> Response {
    let headers = [("x-crash", "1"), ("x-request-id", "crash")];
    let get = request("GET", HOST, "/crash", &headers, "");
    send(entry.callers, get).await.expect("daemon responds")
}

/// Guards against a request that the entry daemon retries at another upstream after it crashed one.
#[tokio::test]
async fn crashing_request_is_not_sent_to_the_next_upstream() {
    let CardviewMesh {
        _mesh,
        entry,
        first,
        second,
    } = start_mesh("crashes-spread").await;
    let (mut a, a_addr) = start_fragile_upstream(&entry, &first).await;
    let (mut b, b_addr) = start_fragile_upstream(&entry, &second).await;
    let response = send_crashing_request(&entry).await;
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    assert_eq!(response.reason(), "crash-suspect");
    while !a.has_exited() && !b.has_exited() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let survivor = match (a.has_exited(), b.has_exited()) {
        (true, false) => b_addr,
        (false, true) => a_addr,
        both => panic!("exited: {both:?}"),
    };
    assert_eq!(run_counts(survivor).await.get("crash"), None);
}

/// Guards against a request that crashes an upstream after every restart: after two crashes it is
/// refused.
#[tokio::test]
async fn request_is_refused_after_two_crashes() {
    let CardviewMesh {
        _mesh,
        entry,
        first,
        second: _second,
    } = start_mesh("crashes-second").await;
    for _ in 0..2 {
        let (mut upstream, _) = start_fragile_upstream(&entry, &first).await;
        let response = send_crashing_request(&entry).await;
        assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
        assert!(!upstream.wait(), "the upstream crashed");
    }
    let (_upstream, upstream_addr) = start_fragile_upstream(&entry, &first).await;
    let response = send_crashing_request(&entry).await;
    assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
    assert_eq!(response.reason(), "crash-suspect");
    assert_eq!(run_counts(upstream_addr).await.get("crash"), None);
}

/// Guards against an innocent request that is refused or never runs because it, or one before it in
/// the queue, is a crash suspect. A suspect runs alone, and the requests behind it run after it.
#[tokio::test]
async fn suspect_runs_alone_and_is_not_starved() {
    let CardviewMesh {
        _mesh,
        entry,
        first,
        second: _second,
    } = start_mesh("crashes-alone").await;
    let (mut crashed, _) = start_fragile_upstream(&entry, &first).await;
    // Runs at the same time as the crashing request and becomes a suspect, although it is harmless.
    let work = |id: &str, path: &str, ms: &str| {
        let headers = [("x-request-id", id), ("x-work-ms", ms)];
        send(entry.callers, request("GET", HOST, path, &headers, ""))
    };
    let victim = tokio::spawn(work("victim", "/victim", "5000"));
    eventually("harmless request runs", || async {
        let status = first.ctl_json(&["status"]);
        let running = status["upstreams"][0]["running"].as_u64();
        (running == Some(1)).then_some(()).ok_or(status.to_string())
    })
    .await;
    send_crashing_request(&entry).await;
    assert!(!crashed.wait(), "the upstream crashed");
    let response = victim.await.unwrap().expect("daemon responds");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");

    let (_restarted, upstream_addr) = start_fragile_upstream(&entry, &first).await;
    let other = tokio::spawn(work("other", "/other", "1500"));
    eventually("another request runs", || async {
        let runs = run_counts(upstream_addr).await;
        runs.contains_key("other")
            .then_some(())
            .ok_or("not yet".to_owned())
    })
    .await;
    let victim = tokio::spawn(work("victim", "/victim", "300"));
    let behind: Vec<_> = (0..3)
        .map(|n| tokio::spawn(work(&format!("behind-{n}"), "/behind", "10")))
        .collect();
    for task in [other, victim].into_iter().chain(behind) {
        let response = task.await.unwrap().expect("daemon responds");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against requests that become suspects when an idle upstream is killed, as in a planned
/// restart.
#[tokio::test]
async fn kill_of_an_idle_upstream_leaves_no_suspects() {
    let CardviewMesh {
        _mesh,
        entry,
        first,
        second: _second,
    } = start_mesh("crashes-idle").await;
    let (mut upstream, _) = start_fragile_upstream(&entry, &first).await;
    upstream.kill();
    let (_restarted, _) = start_fragile_upstream(&entry, &first).await;
    let response = send(entry.callers, request("GET", HOST, "/", &[], ""))
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{response:?}");
}
