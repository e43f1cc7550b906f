//! Tests the outcome reported to callers when an exchange with an upstream or between daemons
//! fails: `not-run` must never be reported for a request that may have run.

use std::collections::BTreeMap;

use crate::support::{
    DaemonProcess, FailurePoint, FaultyUpstream, Mesh, Response, VmSpec, eventually, request,
    run_counts, send,
};

const HOST: &str = "estimateur.test";

/// VM of the daemon that receives the requests of callers, the entry daemon.
const ENTRY: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
/// VM with the upstream or daemon that fails.
const FAULTY: VmSpec = VmSpec::new("est-a-2", "qc-est", "est-a");
/// VM with the upstream that does not fail.
const HEALTHY: VmSpec = VmSpec::new("est-a-3", "qc-est", "est-a");

/// Creates the region and the service through the entry daemon.
async fn configure(entry: &DaemonProcess) {
    entry.ctl(&["region", "put", "qc-est"]);
    entry.ctl(&["service", "put", "--name", "estimateur", "--host", HOST]);
}

/// Sends a request through the entry daemon; upstreams count its runs under `id`.
async fn call(entry: &DaemonProcess, method: &str, id: &str) -> Response {
    let call = request(method, HOST, "/", &[("x-request-id", id)], "");
    send(entry.callers, call).await.expect("entry responds")
}

/// Sends warm-up requests until one reaches an upstream, whatever its outcome. They have their own
/// id, so that they do not change the run counts that a test checks.
async fn wait_for_upstream(entry: &DaemonProcess) {
    eventually("a request reaches an upstream", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        match send(entry.callers, get).await {
            Ok(response) if response.outcome() == Some("not-run") => Err(format!("{response:?}")),
            Ok(response) if response.status == 404 => Err(format!("{response:?}")),
            _ => Ok(()),
        }
    })
    .await;
}

/// Returns how often the request with an id ran.
fn run_count(runs: &BTreeMap<String, u64>, id: &str) -> u64 {
    runs.get(id).copied().unwrap_or(0)
}

/// Guards against a request reported as `not-run` although it ran: its upstream copied the outcome
/// header from the response to a nested call of its own.
#[tokio::test]
async fn outcome_relayed_by_an_upstream_is_not_trusted() {
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
        assert_eq!(
            run_count(&upstream.run_counts().await, method),
            1,
            "{method}"
        );
    }

    let unknown = request("GET", "unknown.test", "/", &[], "");
    let refused = send(entry.callers, unknown).await.unwrap();
    let outcome = refused.outcome();
    assert_eq!(
        outcome,
        Some("not-run"),
        "a refusal by the daemon has the outcome header"
    );
}

/// Makes exchanges with an upstream fail at the given point and checks that a `POST` runs once and
/// is not reported as `not-run`. If no part of the response body was sent, it also checks that a
/// `GET` is retried at another upstream.
async fn check_failure_at(point: FailurePoint, name: &str) {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY, &[]);
    let upstream_daemon = mesh.start_daemon(FAULTY, &[entry.peers]);
    entry.wait_for_members(2).await;
    let faulty = FaultyUpstream::start(&upstream_daemon, "estimateur", point).await;
    configure(&entry).await;
    eventually("request reaches the upstream", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        let _ = send(entry.callers, get).await;
        let seen = run_count(&faulty.run_counts().await, "warm-up") > 0;
        seen.then_some(()).ok_or("no run yet".to_owned())
    })
    .await;

    let post = request("POST", HOST, "/", &[("x-request-id", "post")], "");
    match (point, send(entry.callers, post).await) {
        (FailurePoint::InBody | FailurePoint::InChunks, Ok(response)) => {
            panic!("a cut-off body looks complete: {response:?}")
        }
        (FailurePoint::InBody | FailurePoint::InChunks, Err(_)) => {}
        (_, response) => {
            let response = response.expect("entry reports the outcome");
            assert_eq!(
                response.outcome(),
                Some("unknown"),
                "{point:?}: {response:?}"
            );
        }
    }
    assert_eq!(
        run_count(&faulty.run_counts().await, "post"),
        1,
        "{point:?}"
    );

    // Part of the body has reached the caller, so the daemon cannot retry.
    if matches!(point, FailurePoint::InBody | FailurePoint::InChunks) {
        return;
    }
    let healthy = mesh.start_daemon(HEALTHY, &[entry.peers]);
    let (_upstream, upstream_addr) = healthy.start_upstream("estimateur", 10);
    eventually("the second upstream gets requests", || async {
        let response = call(&entry, "GET", "second").await;
        response
            .status
            .is_success()
            .then_some(())
            .ok_or("not yet".to_owned())
    })
    .await;
    wait_for_retried_get(&entry, &faulty).await;
    let posts: Vec<String> = (0..20).map(|n| format!("post-{n}")).collect();
    for id in &posts {
        let response = call(&entry, "POST", id).await;
        assert_ne!(response.outcome(), Some("not-run"), "{point:?} {id}");
    }
    let (faulty_runs, healthy_runs) = (faulty.run_counts().await, run_counts(upstream_addr).await);
    for id in &posts {
        assert_eq!(
            run_count(&faulty_runs, id) + run_count(&healthy_runs, id),
            1,
            "{point:?} {id}"
        );
    }
}

/// Sends `GET` requests until one that failed at the faulty upstream succeeds at the other one.
async fn wait_for_retried_get(entry: &DaemonProcess, faulty: &FaultyUpstream) {
    let rounds = std::sync::atomic::AtomicU32::new(0);
    eventually("a GET is retried", || async {
        let round = rounds.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let succeeded = get_concurrently(entry, round).await;
        let runs = faulty.run_counts().await;
        let retried = succeeded.iter().any(|id| run_count(&runs, id) > 0);
        retried.then_some(()).ok_or("no GET was retried".to_owned())
    })
    .await;
}

/// Sends several concurrent `GET` requests, so that both upstreams get some, and returns the ids of
/// those that succeeded.
async fn get_concurrently(entry: &DaemonProcess, round: u32) -> Vec<String> {
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..8 {
        let id = format!("get-{round}-{number}");
        let headers = [("x-request-id", id.as_str()), ("x-work-ms", "20")];
        let get = send(entry.callers, request("GET", HOST, "/", &headers, ""));
        tasks.spawn(async move { (id, get.await.expect("entry responds")) });
    }
    let mut succeeded = Vec::new();
    for (id, response) in tasks.join_all().await {
        // A request is refused if the queues are full or the retry budget is exhausted.
        match response.outcome() {
            None => assert_eq!(response.status, 200, "{id}: {response:?}"),
            Some(_) => continue,
        }
        succeeded.push(id);
    }
    succeeded
}

/// Guards against a `POST` that is retried or reported as `not-run`, and a `GET` that is not
/// retried, when the upstream closes the connection after it has read the request.
#[tokio::test]
async fn connection_lost_after_the_request() {
    check_failure_at(FailurePoint::AfterRequest, "outcome-after-request").await;
}

/// Guards against a `POST` that is retried or reported as `not-run`, and a `GET` that is not
/// retried, when the upstream closes the connection within the response headers.
#[tokio::test]
async fn connection_lost_in_the_response_headers() {
    check_failure_at(FailurePoint::InHeaders, "outcome-in-headers").await;
}

/// Guards against a response with a body of known length that looks complete to the caller although
/// the upstream closed the connection within it.
#[tokio::test]
async fn connection_lost_in_a_body_of_known_length() {
    check_failure_at(FailurePoint::InBody, "outcome-in-body").await;
}

/// Guards against a response with a chunked body that looks complete to the caller although the
/// upstream closed the connection within it.
#[tokio::test]
async fn connection_lost_in_a_chunked_body() {
    check_failure_at(FailurePoint::InChunks, "outcome-in-chunks").await;
}

/// Guards against a request that fails instead of going to another upstream when the connection to
/// the upstream or its daemon is refused, and against a second run.
#[tokio::test]
async fn requests_survive_refused_connections() {
    let mesh = Mesh::start("outcome-refused");
    let entry = mesh.start_daemon(ENTRY, &[]);
    let mut faulty = mesh.start_daemon(FAULTY, &[entry.peers]);
    let healthy = mesh.start_daemon(HEALTHY, &[entry.peers]);
    entry.wait_for_members(3).await;
    let lease = ["--lease-ms", "10000"];
    let (mut killed, killed_addr) = faulty.start_upstream_with("estimateur", 10, &lease);
    let (_upstream, upstream_addr) = healthy.start_upstream("estimateur", 10);
    configure(&entry).await;
    eventually("both upstreams get requests", || async {
        let response = call(&entry, "POST", "warm-up").await;
        let seen = run_count(&run_counts(killed_addr).await, "warm-up") > 0
            && run_count(&run_counts(upstream_addr).await, "warm-up") > 0;
        (response.status == 200 && seen)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;

    killed.kill();
    assert_at_most_one_failure(&entry, upstream_addr, "upstream").await;
    faulty.process.kill();
    assert_at_most_one_failure(&entry, upstream_addr, "daemon").await;
}

/// Sends requests after a process was killed and checks that a request ran at the upstream if and
/// only if it succeeded, and that at most one failed. `killed` names the process.
async fn assert_at_most_one_failure(
    entry: &DaemonProcess,
    upstream_addr: std::net::SocketAddr,
    killed: &str,
) {
    let mut failed = 0;
    for number in 0..20 {
        let id = format!("{killed}-{number}");
        let response = call(entry, "POST", &id).await;
        let expected = u64::from(response.status == 200);
        let ran = run_count(&run_counts(upstream_addr).await, &id);
        assert_eq!(ran, expected, "{id}: {response:?}");
        // A request that was sent on an idle connection to the killed process has an unknown
        // outcome.
        if response.status != 200 {
            assert_eq!(response.outcome(), Some("unknown"), "{id}: {response:?}");
            failed += 1;
        }
    }
    assert!(
        failed <= 1,
        "{failed} requests failed after the {killed} was killed"
    );
}

/// Guards against a `POST` that is retried or reported as `not-run` when the daemon beside the
/// upstream is killed during the run, and against a `GET` that is not retried.
#[tokio::test]
async fn outcome_is_unknown_after_the_daemon_was_killed() {
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
    eventually("both requests run", || async {
        let runs = run_counts(first_addr).await;
        let both = run_count(&runs, "POST") + run_count(&runs, "GET") == 2;
        both.then_some(()).ok_or(format!("{runs:?}"))
    })
    .await;
    let healthy = mesh.start_daemon(HEALTHY, &[entry.peers]);
    let (_second, second_addr) = healthy.start_upstream("estimateur", 10);
    eventually("the second upstream gets requests", || async {
        // The first upstream may queue the request behind the slow ones, so its deadline is short.
        let headers = [
            ("x-request-id", "second"),
            ("cornelvalve-deadline-ms", "500"),
        ];
        let _ = send(entry.callers, request("GET", HOST, "/", &headers, "")).await;
        let seen = run_count(&run_counts(second_addr).await, "second") > 0;
        seen.then_some(()).ok_or("not yet".to_owned())
    })
    .await;
    upstream_daemon.process.kill();
    let response = post.await.unwrap().expect("entry reports the outcome");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    eventually("the GET is retried", || async {
        let runs = run_counts(second_addr).await;
        (run_count(&runs, "GET") == 1)
            .then_some(())
            .ok_or(format!("{runs:?}"))
    })
    .await;
    get.abort();
    assert_eq!(run_count(&run_counts(second_addr).await, "POST"), 0);
}
