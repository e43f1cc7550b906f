//! Upstreams that have just started.

use crate::support::{
    DaemonOptions, DaemonProcess, Mesh, Process, VmSpec, eventually, peak, request, send,
};

const HOST: &str = "ledger.test";

/// Requests that run at once at an upstream of which nothing is known.
const COLD_LIMIT: u64 = 2;

const ENTRY: VmSpec = VmSpec::new("tokachi-a-1", "tokachi", "tokachi-a");
const BESIDE: VmSpec = VmSpec::new("tokachi-a-2", "tokachi", "tokachi-a");

async fn wait_for_answer(entry: &DaemonProcess) {
    eventually("an answer", || async {
        let response = send(entry.callers, request("GET", HOST, "/", &[], "")).await?;
        (response.status == 200)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
}

/// Sends requests at once and returns how many were answered.
async fn burst(entry: &DaemonProcess, work_ms: &str) -> usize {
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let headers = [("x-work-ms", work_ms)];
        calls.spawn(send(entry.callers, request("GET", HOST, "/", &headers, "")));
    }
    let answers = calls.join_all().await;
    let whole = answers.iter().flatten().filter(|a| a.status == 200);
    whole.count()
}

/// Guards against a burst that a cold upstream gets all at once, and against a daemon that takes
/// the place of another one and trusts the busy upstream beside it with more than a cold one.
#[tokio::test]
async fn cold_upstream_and_new_daemon_start_with_two() {
    let mesh = Mesh::start("cold");
    let entry = mesh.start_daemon(ENTRY, &[]);
    let mut upstream_daemon = mesh.start_daemon(BESIDE, &[entry.peers]);
    entry.wait_for_members(2).await;
    entry.ctl(&["region", "put", "tokachi"]);
    entry.ctl(&["service", "put", "--name", "ledger", "--host", HOST]);
    // All requests of the burst fall into the cold start, with 8 times their service time.
    let (_upstream, standin) =
        upstream_daemon.start_upstream_with("ledger", 10, &["--cold-requests", "60"]);
    wait_for_answer(&entry).await;
    let answered = 1 + burst(&entry, "20").await;
    let cold = peak(standin).await;
    let seen = cold["peak_cold"].as_f64().expect("peak is a number");
    // Each answer raises a limit of n by at most 1/n, so n answers raise 2 to sqrt(4 + 2n) at most,
    // and the last step may lie above that by less than 1.
    let most = (4.0 + 2.0 * answered as f64).sqrt() + 1.0;
    assert!(
        (1.0..=most).contains(&seen),
        "{cold} after {answered} answers"
    );
    assert_eq!(cold["overruns"], 0, "{cold}");

    let options = DaemonOptions {
        upstream_addr: Some(upstream_daemon.upstream),
        settings: "",
        ..DaemonOptions::default()
    };
    upstream_daemon.process.kill();
    let again = mesh.start_daemon_with(BESIDE, &[entry.peers], &options);
    eventually("the new daemon knows the upstream", || async {
        let status = again.ctl_json(&["status"]);
        let limit = status["upstreams"][0]["limit"].as_u64();
        (limit == Some(COLD_LIMIT))
            .then_some(())
            .ok_or(status.to_string())
    })
    .await;
}

/// Lease that outlasts the test, so that only the broken exchanges show the restart.
const LONG_LEASE: [&str; 2] = ["--lease-ms", "600000"];

/// Guards against a limit that a warm upstream earned and its successor gets.
#[tokio::test]
async fn restart_without_notice_starts_cold() {
    let mesh = Mesh::start("cold-restart");
    let entry = mesh.start_daemon(ENTRY, &[]);
    let options = DaemonOptions {
        settings: r#""upstream": { "lease_max_ms": 600000 },"#,
        ..DaemonOptions::default()
    };
    let upstream_daemon = mesh.start_daemon_with(BESIDE, &[entry.peers], &options);
    entry.wait_for_members(2).await;
    entry.ctl(&["region", "put", "tokachi"]);
    entry.ctl(&["service", "put", "--name", "ledger", "--host", HOST]);
    let (mut upstream, standin) = upstream_daemon.start_upstream_with("ledger", 10, &LONG_LEASE);
    wait_for_answer(&entry).await;
    let load = |key: &str| {
        let status = upstream_daemon.ctl_json(&["status"]);
        status["upstreams"][0][key].as_u64().unwrap_or(0)
    };
    eventually("the limit rises", || async {
        burst(&entry, "5").await;
        let limit = load("limit");
        (limit > COLD_LIMIT).then_some(()).ok_or(format!("{limit}"))
    })
    .await;
    let slow = request("POST", HOST, "/", &[("x-work-ms", "8000")], "");
    let slow = tokio::spawn(send(entry.callers, slow));
    eventually("a request runs", || async {
        let running = load("running");
        (running == 1).then_some(()).ok_or(format!("{running}"))
    })
    .await;
    upstream.kill();
    let port = standin.port().to_string();
    let args = ["--service", "ledger", "--port", &port];
    let _again = Process::start("standin-upstream", &args);
    let response = slow.await.unwrap().expect("entry answers");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    let limit = load("limit");
    assert!((1..=COLD_LIMIT).contains(&limit), "limit of {limit}");
}
