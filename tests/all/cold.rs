//! Admission limits of upstreams that have just started. A daemon starts each upstream with a low
//! limit, the cold limit, and raises it with successful responses.

use crate::support::{
    DaemonOptions, DaemonProcess, Mesh, Process, VmSpec, concurrency_stats, eventually, request,
    send,
};

const HOST: &str = "ledger.test";

/// Admission limit with which a daemon starts each upstream, in concurrent requests; must match
/// `COLD_LIMIT` of the policy crate.
const COLD_LIMIT: u64 = 2;

const ENTRY_VM: VmSpec = VmSpec::new("tokachi-a-1", "tokachi", "tokachi-a");
const UPSTREAM_VM: VmSpec = VmSpec::new("tokachi-a-2", "tokachi", "tokachi-a");

/// Waits until a request to a daemon succeeds.
async fn wait_for_success(entry: &DaemonProcess) {
    eventually("successful response", || async {
        let response = send(entry.callers, request("GET", HOST, "/", &[], "")).await?;
        (response.status == 200)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
}

/// Sends 20 concurrent requests and returns how many succeeded.
async fn burst(entry: &DaemonProcess, work_ms: &str) -> usize {
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let headers = [("x-work-ms", work_ms)];
        calls.spawn(send(entry.callers, request("GET", HOST, "/", &headers, "")));
    }
    let results = calls.join_all().await;
    let succeeded = results.iter().flatten().filter(|a| a.status == 200);
    succeeded.count()
}

/// Guards against a daemon that sends a whole burst to a new upstream, and against a daemon that
/// replaces another one and starts the running upstream above the cold limit.
#[tokio::test]
async fn new_upstream_and_new_daemon_start_with_the_cold_limit() {
    let mesh = Mesh::start("cold");
    let entry = mesh.start_daemon(ENTRY_VM, &[]);
    let mut upstream_daemon = mesh.start_daemon(UPSTREAM_VM, &[entry.peers]);
    entry.wait_for_members(2).await;
    entry.ctl(&["region", "put", "tokachi"]);
    entry.ctl(&["service", "put", "--name", "ledger", "--host", HOST]);
    // The stand-in is slow for its first 60 requests, which include the whole burst. Its default
    // `--cold-factor` multiplies their service time by 8.
    let (_upstream, upstream_addr) =
        upstream_daemon.start_upstream_with("ledger", 10, &["--cold-requests", "60"]);
    wait_for_success(&entry).await;
    // The request of `wait_for_success` counts as well.
    let responses = 1 + burst(&entry, "20").await;
    let stats = concurrency_stats(upstream_addr).await;
    let peak = stats["peak_cold"].as_f64().expect("peak is a number");
    // A response raises a limit of x by at most 1/x and so its square by about 2. After n responses
    // a limit that began at 2 is at most sqrt(4 + 2n); the last step may exceed that by less than
    // 1.
    let max_peak = (4.0 + 2.0 * responses as f64).sqrt() + 1.0;
    assert!(
        (1.0..=max_peak).contains(&peak),
        "{stats} after {responses} responses"
    );
    assert_eq!(stats["overruns"], 0, "{stats}");

    let options = DaemonOptions {
        upstream_addr: Some(upstream_daemon.upstream),
        settings: "",
        ..DaemonOptions::default()
    };
    upstream_daemon.process.kill();
    let successor = mesh.start_daemon_with(UPSTREAM_VM, &[entry.peers], &options);
    eventually("upstream known to the new daemon", || async {
        let status = successor.ctl_json(&["status"]);
        let limit = status["upstreams"][0]["limit"].as_u64();
        (limit == Some(COLD_LIMIT))
            .then_some(())
            .ok_or(status.to_string())
    })
    .await;
}

/// Arguments for a lease that outlasts the test, so that the daemon notices the restart only from
/// failed requests.
const LONG_LEASE_ARGS: [&str; 2] = ["--lease-ms", "600000"];

/// Guards against a restarted upstream that gets the higher limit of its earlier process.
#[tokio::test]
async fn upstream_restarted_without_notice_starts_with_the_cold_limit() {
    let mesh = Mesh::start("cold-restart");
    let entry = mesh.start_daemon(ENTRY_VM, &[]);
    let options = DaemonOptions {
        settings: r#""upstream": { "lease_max_ms": 600000 },"#,
        ..DaemonOptions::default()
    };
    let upstream_daemon = mesh.start_daemon_with(UPSTREAM_VM, &[entry.peers], &options);
    entry.wait_for_members(2).await;
    entry.ctl(&["region", "put", "tokachi"]);
    entry.ctl(&["service", "put", "--name", "ledger", "--host", HOST]);
    let (mut upstream, upstream_addr) =
        upstream_daemon.start_upstream_with("ledger", 10, &LONG_LEASE_ARGS);
    wait_for_success(&entry).await;
    let upstream_status = |key: &str| {
        let status = upstream_daemon.ctl_json(&["status"]);
        status["upstreams"][0][key].as_u64().unwrap_or(0)
    };
    eventually("higher limit", || async {
        burst(&entry, "5").await;
        let limit = upstream_status("limit");
        (limit > COLD_LIMIT).then_some(()).ok_or(format!("{limit}"))
    })
    .await;
    let slow = request("POST", HOST, "/", &[("x-work-ms", "8000")], "");
    let slow = tokio::spawn(send(entry.callers, slow));
    eventually("running request", || async {
        let running = upstream_status("running");
        (running == 1).then_some(()).ok_or(format!("{running}"))
    })
    .await;
    upstream.kill();
    let port = upstream_addr.port().to_string();
    let args = ["--service", "ledger", "--port", &port];
    let _restarted = Process::start("standin-upstream", &args);
    let response = slow.await.unwrap().expect("daemon responds");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    let limit = upstream_status("limit");
    assert!((1..=COLD_LIMIT).contains(&limit), "limit of {limit}");
}
