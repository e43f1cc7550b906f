//! A request that crashes upstreams must not be retried until all of them are down. Requests that
//! were running when an upstream crashed are crash suspects: a suspect runs alone at an upstream,
//! and is refused after two crashes.

use std::net::SocketAddr;

use crate::support::{
    DaemonProcess, Mesh, Process, Response, VmSpec, eventually, request, run_counts, send,
    set_faults,
};

const HOST: &str = "cardview.test";

const ENTRY_VM: VmSpec = VmSpec::new("ishikari-a-1", "ishikari", "ishikari-a");
const FIRST_UPSTREAM_VM: VmSpec = VmSpec::new("ishikari-a-2", "ishikari", "ishikari-a");
const SECOND_UPSTREAM_VM: VmSpec = VmSpec::new("ishikari-a-3", "ishikari", "ishikari-a");

/// Faults with which an upstream stand-in crashes on any request that has the header `x-crash`.
const CRASH_FAULT: &str = r#"{ "crash_on": "x-crash" }"#;

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
    let entry = mesh.start_daemon(ENTRY_VM, &[]);
    let first = mesh.start_daemon(FIRST_UPSTREAM_VM, &[entry.peers]);
    let second = mesh.start_daemon(SECOND_UPSTREAM_VM, &[entry.peers]);
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
async fn start_crashing_upstream(
    entry: &DaemonProcess,
    upstream_daemon: &DaemonProcess,
) -> (Process, SocketAddr) {
    let (process, upstream_addr) = upstream_daemon.start_upstream("cardview", 10);
    set_faults(upstream_addr, CRASH_FAULT).await;
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
    let (mut first_upstream, first_addr) = start_crashing_upstream(&entry, &first).await;
    let (mut second_upstream, second_addr) = start_crashing_upstream(&entry, &second).await;
    let response = send_crashing_request(&entry).await;
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    assert_eq!(response.reason(), "crash-suspect");
    while !first_upstream.has_exited() && !second_upstream.has_exited() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let survivor = match (first_upstream.has_exited(), second_upstream.has_exited()) {
        (true, false) => second_addr,
        (false, true) => first_addr,
        both => panic!("expected one upstream to crash, exited: {both:?}"),
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
        let (mut upstream, _) = start_crashing_upstream(&entry, &first).await;
        let response = send_crashing_request(&entry).await;
        assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
        assert!(!upstream.wait(), "upstream exited without a crash");
    }
    let (_upstream, upstream_addr) = start_crashing_upstream(&entry, &first).await;
    let response = send_crashing_request(&entry).await;
    assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
    assert_eq!(response.reason(), "crash-suspect");
    assert_eq!(run_counts(upstream_addr).await.get("crash"), None);
}

/// Guards against a harmless request that is refused or never runs because it, or one before it in
/// the queue, is a crash suspect. A suspect runs alone, and the requests behind it run after it.
#[tokio::test]
async fn suspect_runs_alone_and_is_not_starved() {
    let CardviewMesh {
        _mesh,
        entry,
        first,
        second: _second,
    } = start_mesh("crashes-alone").await;
    let (mut crashed, _) = start_crashing_upstream(&entry, &first).await;
    // Runs at the same time as the crashing request and becomes a suspect, although it is harmless.
    let work = |id: &str, path: &str, ms: &str| {
        let headers = [("x-request-id", id), ("x-work-ms", ms)];
        send(entry.callers, request("GET", HOST, path, &headers, ""))
    };
    let harmless = tokio::spawn(work("harmless", "/harmless", "5000"));
    eventually("harmless request runs", || async {
        let status = first.ctl_json(&["status"]);
        let running = status["upstreams"][0]["running"].as_u64();
        (running == Some(1)).then_some(()).ok_or(status.to_string())
    })
    .await;
    send_crashing_request(&entry).await;
    assert!(!crashed.wait(), "upstream exited without a crash");
    let response = harmless.await.unwrap().expect("daemon responds");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");

    let (_restarted, upstream_addr) = start_crashing_upstream(&entry, &first).await;
    let other = tokio::spawn(work("other", "/other", "1500"));
    eventually("another request runs", || async {
        let runs = run_counts(upstream_addr).await;
        runs.contains_key("other")
            .then_some(())
            .ok_or("not yet".to_owned())
    })
    .await;
    let harmless = tokio::spawn(work("harmless", "/harmless", "300"));
    let behind: Vec<_> = (0..3)
        .map(|n| tokio::spawn(work(&format!("behind-{n}"), "/behind", "10")))
        .collect();
    for task in [other, harmless].into_iter().chain(behind) {
        let response = task.await.unwrap().expect("daemon responds");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against completed requests that become suspects when their idle upstream is killed, as in
/// a planned restart.
#[tokio::test]
async fn kill_of_an_idle_upstream_leaves_no_suspects() {
    let CardviewMesh {
        _mesh,
        entry,
        first,
        second: _second,
    } = start_mesh("crashes-idle").await;
    let (mut upstream, _) = start_crashing_upstream(&entry, &first).await;
    upstream.kill();
    let (_restarted, _) = start_crashing_upstream(&entry, &first).await;
    let response = send(entry.callers, request("GET", HOST, "/", &[], ""))
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{response:?}");
}
