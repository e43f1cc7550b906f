//! Truth of "not run" when the exchange breaks, at each stage and on each hop.

use std::collections::BTreeMap;

use crate::support::{
    DaemonProcess, FailurePoint, FaultyUpstream, Mesh, Response, VmSpec, eventually, request,
    run_counts, send,
};

const HOST: &str = "estimateur.test";

const ENTRY: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const FAULTY: VmSpec = VmSpec::new("est-a-2", "qc-est", "est-a");
const SOUND: VmSpec = VmSpec::new("est-a-3", "qc-est", "est-a");

/// Creates the service and waits until the entry has its configuration.
async fn configure(entry: &DaemonProcess) {
    entry.ctl(&["region", "put", "qc-est"]);
    entry.ctl(&["service", "put", "--name", "estimateur", "--host", HOST]);
}

async fn call(entry: &DaemonProcess, method: &str, id: &str) -> Response {
    let call = request(method, HOST, "/", &[("x-request-id", id)], "");
    send(entry.callers, call).await.expect("entry answers")
}

/// Waits until the entry finds an upstream, without a run under an id that a test counts.
async fn wait_for_upstream(entry: &DaemonProcess) {
    eventually("upstream", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        match send(entry.callers, get).await {
            Ok(response) if response.outcome() == Some("not-run") => Err(format!("{response:?}")),
            Ok(response) if response.status == 404 => Err(format!("{response:?}")),
            _ => Ok(()),
        }
    })
    .await;
}

fn count(runs: &BTreeMap<String, u64>, id: &str) -> u64 {
    runs.get(id).copied().unwrap_or(0)
}

/// Guards against an upstream that has run a request and passes on the "not run" of a nested call.
#[tokio::test]
async fn relayed_marker_is_no_refusal() {
    let mesh = Mesh::start("outcome-relay");
    let entry = mesh.start_daemon(ENTRY, &[]);
    let upstream_daemon = mesh.start_daemon(FAULTY, &[entry.peers]);
    entry.wait_for_members(2).await;
    let upstream =
        FaultyUpstream::start(&upstream_daemon, "estimateur", FailurePoint::RelayedRefusal).await;
    configure(&entry).await;
    wait_for_upstream(&entry).await;

    for method in ["POST", "GET"] {
        let response = call(&entry, method, method).await;
        assert_eq!(response.status, 503);
        assert_eq!(response.outcome(), None, "the request ran: {response:?}");
        assert_eq!(count(&upstream.run_counts().await, method), 1, "{method}");
    }

    let unknown = request("GET", "unknown.test", "/", &[], "");
    let refused = send(entry.callers, unknown).await.unwrap();
    let outcome = refused.outcome();
    assert_eq!(
        outcome,
        Some("not-run"),
        "callers can tell a refusal by its header"
    );
}

/// Guards against a `POST` that runs twice, or is called not run, and against a `GET` that is not
/// sent to another upstream.
async fn breaks_at(stage: FailurePoint, name: &str) {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY, &[]);
    let upstream_daemon = mesh.start_daemon(FAULTY, &[entry.peers]);
    entry.wait_for_members(2).await;
    let faulty = FaultyUpstream::start(&upstream_daemon, "estimateur", stage).await;
    configure(&entry).await;
    eventually("request reaches the upstream", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        let _ = send(entry.callers, get).await;
        let seen = count(&faulty.run_counts().await, "warm-up") > 0;
        seen.then_some(()).ok_or("no run yet".to_owned())
    })
    .await;

    let post = request("POST", HOST, "/", &[("x-request-id", "post")], "");
    match (stage, send(entry.callers, post).await) {
        (FailurePoint::InBody | FailurePoint::InChunks, Ok(response)) => {
            panic!("clean end of {response:?}")
        }
        (FailurePoint::InBody | FailurePoint::InChunks, Err(_)) => {}
        (_, response) => {
            let response = response.expect("the entry reports the outcome");
            assert_eq!(
                response.outcome(),
                Some("unknown"),
                "{stage:?}: {response:?}"
            );
        }
    }
    assert_eq!(count(&faulty.run_counts().await, "post"), 1, "{stage:?}");

    // A cut body was partly delivered, so nothing can be sent again.
    if matches!(stage, FailurePoint::InBody | FailurePoint::InChunks) {
        return;
    }
    let sound = mesh.start_daemon(SOUND, &[entry.peers]);
    let (_upstream, standin) = sound.start_upstream("estimateur", 10);
    eventually("second upstream", || async {
        let response = call(&entry, "GET", "second").await;
        response
            .status
            .is_success()
            .then_some(())
            .ok_or("not yet".to_owned())
    })
    .await;
    read_goes_elsewhere(&entry, &faulty).await;
    let posts: Vec<String> = (0..20).map(|n| format!("post-{n}")).collect();
    for id in &posts {
        let response = call(&entry, "POST", id).await;
        assert_ne!(response.outcome(), Some("not-run"), "{stage:?} {id}");
    }
    let (here, there) = (faulty.run_counts().await, run_counts(standin).await);
    for id in &posts {
        assert_eq!(count(&here, id) + count(&there, id), 1, "{stage:?} {id}");
    }
}

/// Sends reads until one that met the fault was answered by the other upstream.
async fn read_goes_elsewhere(entry: &DaemonProcess, faulty: &FaultyUpstream) {
    let rounds = std::sync::atomic::AtomicU32::new(0);
    eventually("a read goes elsewhere", || async {
        let round = rounds.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let answered = read_at_once(entry, round).await;
        let runs = faulty.run_counts().await;
        let retried = answered.iter().any(|id| count(&runs, id) > 0);
        retried
            .then_some(())
            .ok_or("no read was retried".to_owned())
    })
    .await;
}

/// Sends several reads at once, so that both upstreams get some, and lists those that succeeded.
async fn read_at_once(entry: &DaemonProcess, round: u32) -> Vec<String> {
    let mut reads = tokio::task::JoinSet::new();
    for number in 0..8 {
        let id = format!("get-{round}-{number}");
        let headers = [("x-request-id", id.as_str()), ("x-work-ms", "20")];
        let read = send(entry.callers, request("GET", HOST, "/", &headers, ""));
        reads.spawn(async move { (id, read.await.expect("entry answers")) });
    }
    let mut answered = Vec::new();
    for (id, response) in reads.join_all().await {
        // Queues may be full and the budget of retries used up.
        match response.outcome() {
            None => assert_eq!(response.status, 200, "{id}: {response:?}"),
            Some(_) => continue,
        }
        answered.push(id);
    }
    answered
}

/// See [`breaks_at`].
#[tokio::test]
async fn connection_lost_after_the_request() {
    breaks_at(FailurePoint::AfterRequest, "outcome-after-request").await;
}

/// See [`breaks_at`].
#[tokio::test]
async fn connection_lost_in_the_response_head() {
    breaks_at(FailurePoint::InHeaders, "outcome-in-head").await;
}

/// See [`breaks_at`].
#[tokio::test]
async fn connection_lost_in_a_body_of_known_length() {
    breaks_at(FailurePoint::InBody, "outcome-in-body").await;
}

/// See [`breaks_at`].
#[tokio::test]
async fn connection_lost_in_a_chunked_body() {
    breaks_at(FailurePoint::InChunks, "outcome-in-chunks").await;
}

/// Guards against a request that is lost although no upstream took a byte of it, when the daemon
/// or the upstream refuses the connection, and against a second run.
#[tokio::test]
async fn refused_connections_lose_nothing() {
    let mesh = Mesh::start("outcome-refused");
    let entry = mesh.start_daemon(ENTRY, &[]);
    let mut faulty = mesh.start_daemon(FAULTY, &[entry.peers]);
    let sound = mesh.start_daemon(SOUND, &[entry.peers]);
    entry.wait_for_members(3).await;
    let lease = ["--lease-ms", "10000"];
    let (mut dead, dead_addr) = faulty.start_upstream_with("estimateur", 10, &lease);
    let (_upstream, standin) = sound.start_upstream("estimateur", 10);
    configure(&entry).await;
    eventually("both upstreams", || async {
        let response = call(&entry, "POST", "warm-up").await;
        let seen = count(&run_counts(dead_addr).await, "warm-up") > 0
            && count(&run_counts(standin).await, "warm-up") > 0;
        (response.status == 200 && seen)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;

    dead.kill();
    all_run_once(&entry, standin, "upstream").await;
    faulty.process.kill();
    all_run_once(&entry, standin, "daemon").await;
}

async fn all_run_once(entry: &DaemonProcess, standin: std::net::SocketAddr, name: &str) {
    let mut lost = 0;
    for number in 0..20 {
        let id = format!("{name}-{number}");
        let response = call(entry, "POST", &id).await;
        let expected = u64::from(response.status == 200);
        let ran = count(&run_counts(standin).await, &id);
        assert_eq!(ran, expected, "{id}: {response:?}");
        // An idle connection that breaks under the first requests leaves their outcome open.
        if response.status != 200 {
            assert_eq!(response.outcome(), Some("unknown"), "{id}: {response:?}");
            lost += 1;
        }
    }
    assert!(
        lost <= 1,
        "{lost} requests were not sent elsewhere after {name} was killed"
    );
}

/// Guards against a `POST` that is sent elsewhere, or called not run, when the daemon beside the
/// upstream is killed during the run, and against a `GET` that is not sent elsewhere.
#[tokio::test]
async fn killed_daemon_leaves_the_outcome_open() {
    let mesh = Mesh::start("outcome-killed");
    let entry = mesh.start_daemon(ENTRY, &[]);
    let mut upstream_daemon = mesh.start_daemon(FAULTY, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (_first, first_addr) = upstream_daemon.start_upstream("estimateur", 10);
    configure(&entry).await;
    wait_for_upstream(&entry).await;

    let slow = |method: &str| {
        let headers = [("x-request-id", method), ("x-work-ms", "30000")];
        let headers = [headers[0], headers[1], ("cornelvalve-deadline-ms", "60000")];
        send(entry.callers, request(method, HOST, "/", &headers, ""))
    };
    let post = tokio::spawn(slow("POST"));
    let get = tokio::spawn(slow("GET"));
    eventually("both run", || async {
        let runs = run_counts(first_addr).await;
        let both = count(&runs, "POST") + count(&runs, "GET") == 2;
        both.then_some(()).ok_or(format!("{runs:?}"))
    })
    .await;
    let sound = mesh.start_daemon(SOUND, &[entry.peers]);
    let (_second, second_addr) = sound.start_upstream("estimateur", 10);
    eventually("second upstream", || async {
        // The first upstream is full, so a request that queues there must not wait for long.
        let headers = [
            ("x-request-id", "second"),
            ("cornelvalve-deadline-ms", "500"),
        ];
        let _ = send(entry.callers, request("GET", HOST, "/", &headers, "")).await;
        let seen = count(&run_counts(second_addr).await, "second") > 0;
        seen.then_some(()).ok_or("not yet".to_owned())
    })
    .await;
    upstream_daemon.process.kill();
    let response = post.await.unwrap().expect("the entry reports the outcome");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    eventually("the read goes elsewhere", || async {
        let runs = run_counts(second_addr).await;
        (count(&runs, "GET") == 1)
            .then_some(())
            .ok_or(format!("{runs:?}"))
    })
    .await;
    get.abort();
    assert_eq!(count(&run_counts(second_addr).await, "POST"), 0);
}
