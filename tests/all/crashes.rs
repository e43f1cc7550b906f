//! Requests that crash each upstream that runs them.

use std::net::SocketAddr;

use crate::support::{
    DaemonProcess, Mesh, Process, Response, VmSpec, eventually, request, run_counts, send,
    set_faults,
};

const HOST: &str = "cardview.test";

const ENTRY: VmSpec = VmSpec::new("ishikari-a-1", "ishikari", "ishikari-a");
const FIRST: VmSpec = VmSpec::new("ishikari-a-2", "ishikari", "ishikari-a");
const SECOND: VmSpec = VmSpec::new("ishikari-a-3", "ishikari", "ishikari-a");

/// Fault that makes any request with the header crash the upstream.
const CRASH: &str = r#"{ "crash_on": "x-crash" }"#;

struct Cards {
    _mesh: Mesh,
    entry: DaemonProcess,
    first: DaemonProcess,
    second: DaemonProcess,
}

async fn cards(name: &str) -> Cards {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY, &[]);
    let first = mesh.start_daemon(FIRST, &[entry.peers]);
    let second = mesh.start_daemon(SECOND, &[entry.peers]);
    entry.wait_for_members(3).await;
    entry.ctl(&["region", "put", "ishikari"]);
    entry.ctl(&["service", "put", "--name", "cardview", "--host", HOST]);
    Cards {
        _mesh: mesh,
        entry,
        first,
        second,
    }
}

/// Starts an upstream that crashes on the header, and waits until it answers.
async fn fragile(entry: &DaemonProcess, upstream_daemon: &DaemonProcess) -> (Process, SocketAddr) {
    let (process, standin) = upstream_daemon.start_upstream("cardview", 10);
    set_faults(standin, CRASH).await;
    eventually("upstream", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        let response = send(entry.callers, get).await?;
        let seen = run_counts(standin).await.contains_key("warm-up");
        (response.status == 200 && seen)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
    (process, standin)
}

async fn crash(entry: &DaemonProcess) -> Response {
    let headers = [("x-crash", "1"), ("x-request-id", "crash")];
    let get = request("GET", HOST, "/crash", &headers, "");
    send(entry.callers, get).await.expect("entry answers")
}

/// Guards against a request that the system itself sends from one crashed upstream to the next.
#[tokio::test]
async fn crashing_request_is_not_sent_to_the_next_upstream() {
    let Cards {
        _mesh,
        entry,
        first,
        second,
    } = cards("crashes-spread").await;
    let (mut a, a_addr) = fragile(&entry, &first).await;
    let (mut b, b_addr) = fragile(&entry, &second).await;
    let response = crash(&entry).await;
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    assert_eq!(response.reason(), "crash-suspect");
    while !a.has_ended() && !b.has_ended() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let survivor = match (a.has_ended(), b.has_ended()) {
        (true, false) => b_addr,
        (false, true) => a_addr,
        both => panic!("ended: {both:?}"),
    };
    assert_eq!(run_counts(survivor).await.get("crash"), None);
}

/// Guards against a request that crashes the same upstream again and again.
#[tokio::test]
async fn second_crash_is_the_last() {
    let Cards {
        _mesh,
        entry,
        first,
        second: _second,
    } = cards("crashes-second").await;
    for _ in 0..2 {
        let (mut upstream, _) = fragile(&entry, &first).await;
        let response = crash(&entry).await;
        assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
        assert!(!upstream.wait(), "the upstream crashed");
    }
    let (_upstream, standin) = fragile(&entry, &first).await;
    let response = crash(&entry).await;
    assert_eq!(response.outcome(), Some("not-run"), "{response:?}");
    assert_eq!(response.reason(), "crash-suspect");
    assert_eq!(run_counts(standin).await.get("crash"), None);
}

/// Guards against an innocent request that is refused, or kept waiting for ever, because of a
/// suspect: the suspect runs alone and what came behind it runs after it.
#[tokio::test]
async fn suspect_runs_alone_and_is_not_starved() {
    let Cards {
        _mesh,
        entry,
        first,
        second: _second,
    } = cards("crashes-alone").await;
    let (mut crashed, _) = fragile(&entry, &first).await;
    // Runs beside the crashing request and becomes a suspect without being at fault.
    let work = |id: &str, path: &str, ms: &str| {
        let headers = [("x-request-id", id), ("x-work-ms", ms)];
        send(entry.callers, request("GET", HOST, path, &headers, ""))
    };
    let victim = tokio::spawn(work("victim", "/victim", "5000"));
    eventually("the victim runs", || async {
        let status = first.ctl_json(&["status"]);
        let running = status["upstreams"][0]["running"].as_u64();
        (running == Some(1)).then_some(()).ok_or(status.to_string())
    })
    .await;
    crash(&entry).await;
    assert!(!crashed.wait(), "the upstream crashed");
    let response = victim.await.unwrap().expect("entry answers");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");

    let (_again, standin) = fragile(&entry, &first).await;
    let other = tokio::spawn(work("other", "/other", "1500"));
    eventually("another request runs", || async {
        let runs = run_counts(standin).await;
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
        let response = task.await.unwrap().expect("entry answers");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against suspicion after a planned restart: nothing ran, so nothing is a suspect.
#[tokio::test]
async fn killed_idle_upstream_leaves_no_suspects() {
    let Cards {
        _mesh,
        entry,
        first,
        second: _second,
    } = cards("crashes-idle").await;
    let (mut upstream, _) = fragile(&entry, &first).await;
    upstream.kill();
    let (_again, _) = fragile(&entry, &first).await;
    let response = send(entry.callers, request("GET", HOST, "/", &[], ""))
        .await
        .unwrap();
    assert_eq!(response.status, 200, "{response:?}");
}
