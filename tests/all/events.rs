//! Tests that daemons record changes of state as events on the timeline for operators.

use std::net::SocketAddr;

use cornelvalve_standins::{LogFaults, LogStandIn};
use serde_json::Value;

use crate::support::{DaemonProcess, Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Loopback address; port 0 lets the system choose a free port.
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Waits until a daemon has recorded an event that `matches` accepts.
async fn wait_for_event(
    daemon: &DaemonProcess,
    description: &str,
    matches: impl Fn(&Value) -> bool,
) {
    eventually(description, || async {
        let timeline = daemon.ctl_json(&["timeline"]);
        let events = timeline.as_array().expect("list of events");
        let recorded = events.iter().any(|e| matches(&e["event"]));
        recorded.then_some(()).ok_or(timeline.to_string())
    })
    .await;
}

/// Returns a predicate that accepts events of a kind. An event without fields is encoded as the
/// name of its kind, one with fields as an object whose only key is that name.
fn is_kind<'a>(kind: &'a str) -> impl Fn(&Value) -> bool + 'a {
    move |event| event == kind || !event[kind].is_null()
}

/// Guards against missing events for changes of upstreams, failure domains and members.
#[tokio::test]
async fn upstream_domain_and_member_changes_are_recorded() {
    let mesh = Mesh::start("events");
    let entry = mesh.start_daemon(EST_A, &[]);
    let mut upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
    wait_for_event(&entry, "started event", is_kind("started")).await;
    let is_alive = |e: &Value| e["member-changed"]["state"] == "alive";
    wait_for_event(&entry, "member-changed event of est-b-1", |e| {
        is_alive(e) && e["member-changed"]["member"] == "est-b-1"
    })
    .await;
    let (upstream, _) = upstream_daemon.start_upstream("estimateur", 10);
    wait_for_event(
        &upstream_daemon,
        "upstream-announced event",
        is_kind("upstream-announced"),
    )
    .await;
    wait_for_event(
        &upstream_daemon,
        "admission-changed event",
        is_kind("admission-changed"),
    )
    .await;

    entry.put_service("estimateur", &[]);
    entry.ctl(&["domain", "put", "est-a", "--region", "qc-est"]);
    entry.ctl(&["domain", "out", "est-a"]);
    entry.ctl(&["domain", "in", "est-a"]);
    for daemon in [&entry, &upstream_daemon] {
        wait_for_event(
            daemon,
            "configuration-applied event",
            is_kind("configuration-applied"),
        )
        .await;
        wait_for_event(
            daemon,
            "domain-taken-out event",
            is_kind("domain-taken-out"),
        )
        .await;
        wait_for_event(daemon, "domain-returned event", is_kind("domain-returned")).await;
    }

    // On SIGTERM the upstream stand-in drains and then withdraws its announcement.
    upstream.signal("TERM");
    wait_for_event(
        &upstream_daemon,
        "upstream-draining event",
        is_kind("upstream-draining"),
    )
    .await;
    wait_for_event(
        &upstream_daemon,
        "upstream-lost event",
        is_kind("upstream-lost"),
    )
    .await;

    // A running request keeps the daemon draining long enough to read the event from it.
    let (_upstream, _) = upstream_daemon.start_upstream("estimateur", 10);
    entry.wait_for_service("estimateur").await;
    let headers = [("x-work-ms", "4000")];
    let slow = request("POST", "estimateur.test", "/", &headers, "slow");
    let running = tokio::spawn(send(entry.callers, slow));
    eventually("request runs", || async {
        let status = upstream_daemon.ctl_json(&["status"]);
        let running = status["upstreams"][0]["running"].as_u64();
        (running == Some(1)).then_some(()).ok_or(status.to_string())
    })
    .await;
    upstream_daemon.process.signal("TERM");
    wait_for_event(&upstream_daemon, "drain-started event", |e| {
        e["drain-started"]["running"] == 1
    })
    .await;
    assert_eq!(running.await.unwrap().expect("entry responds").status, 200);
    assert!(
        upstream_daemon.process.wait(),
        "the daemon exits without an error"
    );
    // The timeline of a daemon that has exited can no longer be read, but its log file can.
    let lines = upstream_daemon.log_lines();
    assert!(lines.contains("drain finished"), "{lines}");
    wait_for_event(&entry, "member-changed event with the state left", |e| {
        e["member-changed"]["state"] == "left"
    })
    .await;
}

/// Guards against a missing event for a pause of the daemon process, which operators could not tell
/// from a slow upstream.
#[tokio::test]
async fn pause_of_the_daemon_process_is_recorded() {
    let mesh = Mesh::start("events-pause");
    let daemon = mesh.start_daemon(EST_A, &[]);
    wait_for_event(&daemon, "started event", is_kind("started")).await;
    // A daemon records pauses of more than 1 s.
    daemon.process.signal("STOP");
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    daemon.process.signal("CONT");
    wait_for_event(&daemon, "paused event", |e| {
        e["paused"]["millis"].as_u64().is_some_and(|ms| ms >= 1000)
    })
    .await;
}

/// Guards against missing events for an outage of the log store.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_log_store_is_recorded() {
    let (addr, log_store) = LogStandIn::start(LOOPBACK).await.unwrap();
    let mesh = Mesh::with_log_store("events-log", addr);
    let daemon = mesh.start_daemon(EST_A, &[]);
    eventually("log store is reachable", || async {
        let status = daemon.ctl_json(&["status"]);
        let state = &status["log_store"];
        (state == "reachable")
            .then_some(())
            .ok_or(state.to_string())
    })
    .await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    log_store.set_faults(down).await;
    wait_for_event(&daemon, "log-store-lost event", is_kind("log-store-lost")).await;
    log_store.set_faults(LogFaults::default()).await;
    wait_for_event(
        &daemon,
        "log-store-returned event",
        is_kind("log-store-returned"),
    )
    .await;
}
