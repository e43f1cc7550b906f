//! Tests that an upstream receives no new requests once it has left, gracefully or not.
//!
//! An upstream announces itself to the daemon beside it with a lease, which it renews until it
//! leaves. Each start of an upstream has a new incarnation number.

use std::net::SocketAddr;

use serde_json::json;

use crate::support::{DaemonProcess, Mesh, Process, VmSpec, announce, eventually, try_run_counts};
use crate::support::{request, send};

/// VM of the daemon without an upstream, which only receives requests of callers.
const ENTRY: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
/// VM whose upstream keeps running.
const REMAINING: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
/// VM whose upstream leaves, or whose daemon is killed.
const LEAVING: VmSpec = VmSpec::new("est-b-2", "qc-est", "est-b");

const SERVICE: &str = "estimateur";
const HOST: &str = "estimateur.test";

/// Lease of the leaving upstream in milliseconds; short, so that it expires during a test.
const LEASE_MS: u32 = 1500;

/// Number of requests that must succeed after the upstream has left.
const REQUESTS: usize = 40;

/// Three daemons: one without an upstream that receives requests of callers, and two with an
/// upstream each, of which one remains and the other leaves.
struct Fixture {
    _mesh: Mesh,
    entry: DaemonProcess,
    remaining: DaemonProcess,
    leaving: DaemonProcess,
    remaining_upstream: (Process, SocketAddr),
    leaving_upstream: (Process, SocketAddr),
}

/// Sends a `GET` request; returns a description of the response if it is not a success.
async fn get(entry: &DaemonProcess, id: &str) -> Result<(), String> {
    let headers = [("x-request-id", id), ("cornelvalve-deadline-ms", "8000")];
    let response = send(entry.callers, request("GET", HOST, "/", &headers, "")).await?;
    let succeeded = response.status.is_success();
    succeeded.then_some(()).ok_or(format!("{id}: {response:?}"))
}

impl Fixture {
    /// Starts the processes and waits until both upstreams have run requests from the entry daemon
    /// and from the daemon beside the remaining upstream.
    async fn start(name: &str) -> Self {
        let mesh = Mesh::start(name);
        let entry = mesh.start_daemon(ENTRY, &[]);
        let remaining = mesh.start_daemon(REMAINING, &[entry.peers]);
        let leaving = mesh.start_daemon(LEAVING, &[entry.peers]);
        let remaining_upstream = remaining.start_upstream(SERVICE, 10);
        let leaving_upstream =
            leaving.start_upstream_with(SERVICE, 10, &["--lease-ms", &LEASE_MS.to_string()]);
        entry.put_service(SERVICE, &[]);
        let fixture = Self {
            _mesh: mesh,
            entry,
            remaining,
            leaving,
            remaining_upstream,
            leaving_upstream,
        };
        for (name, daemon) in fixture.running_daemons() {
            let mut count = 0;
            eventually("requests run at both upstreams", || {
                count += 1;
                fixture.try_reach_both(name, daemon, count)
            })
            .await;
        }
        fixture
    }

    /// Sends a request through a daemon and checks that both upstreams have run requests from it.
    ///
    /// # Errors
    ///
    /// Returns a description if the request failed or an upstream has run none yet.
    async fn try_reach_both(
        &self,
        name: &str,
        daemon: &DaemonProcess,
        count: u32,
    ) -> Result<(), String> {
        let prefix = format!("{name}-before");
        get(daemon, &format!("{prefix}-{count}")).await?;
        for upstream in [&self.remaining_upstream, &self.leaving_upstream] {
            let ids = try_run_counts(upstream.1).await?;
            if !ids.keys().any(|id| id.starts_with(&prefix)) {
                return Err(format!("no request from {name} at {}", upstream.1));
            }
        }
        Ok(())
    }

    /// Returns the daemons that keep running in all tests, with their names.
    fn running_daemons(&self) -> [(&'static str, &DaemonProcess); 2] {
        [("entry", &self.entry), ("remaining", &self.remaining)]
    }

    /// Waits until the running daemons no longer choose the upstream that left, sends requests and
    /// returns their ids.
    ///
    /// # Panics
    ///
    /// Panics if a request fails or does not run once at the remaining upstream.
    async fn assert_requests_at_remaining(&self, phase: &str) -> Vec<String> {
        for (_, daemon) in self.running_daemons() {
            daemon.wait_for_candidates(HOST, &[REMAINING.vm]).await;
        }
        let mut ids = Vec::new();
        for count in 0..REQUESTS {
            let (name, daemon) = self.running_daemons()[count % 2];
            let id = format!("{name}-{phase}-{count}");
            get(daemon, &id)
                .await
                .expect("request after the upstream left");
            ids.push(id);
        }
        let counts = try_run_counts(self.remaining_upstream.1)
            .await
            .expect("run counts of the upstream");
        for id in &ids {
            assert_eq!(
                counts.get(id),
                Some(&1),
                "runs of {id} at the remaining upstream"
            );
        }
        ids
    }

    /// Checks that the upstream that left has run none of the requests.
    async fn assert_not_run(&self, ids: &[String]) {
        let counts = eventually("run counts of the upstream", || {
            try_run_counts(self.leaving_upstream.1)
        })
        .await;
        let unexpected: Vec<&String> = ids.iter().filter(|id| counts.contains_key(*id)).collect();
        assert!(
            unexpected.is_empty(),
            "the upstream that left ran new requests: {unexpected:?}"
        );
    }

    /// Waits until the daemon beside the leaving upstream reports the upstream in a state.
    async fn wait_for_upstream_state(&self, state: &str) {
        eventually("state of the upstream", || async {
            let status = self.leaving.ctl_json(&["status"]);
            let found = &status["upstreams"][0]["state"];
            (found == state)
                .then_some(())
                .ok_or(format!("{found} instead of {state:?}"))
        })
        .await;
    }
}

/// Guards against new requests at a drained upstream, also after its lease has expired and was
/// renewed: a pause of a draining upstream must not end the drain.
#[tokio::test]
async fn drained_upstream_gets_no_new_requests() {
    let fixture = Fixture::start("leaving-drain").await;
    let drain = format!("{SERVICE}/drain");
    let drained = announce(fixture.leaving.upstream, "POST", &drain, &json!({})).await;
    assert_eq!(drained.unwrap().status, 200);
    let ids = fixture.assert_requests_at_remaining("left").await;
    fixture.assert_not_run(&ids).await;

    fixture.leaving_upstream.0.signal("STOP");
    fixture.wait_for_upstream_state("lost").await;
    fixture.leaving_upstream.0.signal("CONT");
    fixture.wait_for_upstream_state("draining").await;
    let ids = fixture.assert_requests_at_remaining("resumed").await;
    fixture.assert_not_run(&ids).await;
}

/// Guards against a graceful shutdown of an upstream that cuts off its running request, or after
/// which daemons still choose it.
#[tokio::test]
async fn upstream_shut_down_gracefully_finishes_its_request_and_gets_no_new_ones() {
    let mut fixture = Fixture::start("leaving-term").await;
    // Several concurrent requests, so that both upstreams get some.
    let entry = fixture.entry.callers;
    let slow = tokio::spawn(async move {
        let headers = [("x-work-ms", "2000"), ("x-request-id", "slow")];
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..4 {
            tasks.spawn(send(entry, request("GET", HOST, "/", &headers, "")));
        }
        tasks.join_all().await
    });
    eventually("slow request runs at the leaving upstream", || async {
        let counts = try_run_counts(fixture.leaving_upstream.1).await?;
        counts
            .get("slow")
            .map(|_| ())
            .ok_or("not run yet".to_owned())
    })
    .await;
    fixture.leaving_upstream.0.signal("TERM");
    fixture.assert_requests_at_remaining("left").await;
    for response in slow.await.unwrap() {
        assert_eq!(response.expect("slow request is answered").status, 200);
    }
    assert!(
        fixture.leaving_upstream.0.wait(),
        "the upstream exits without an error"
    );
}

/// Guards against a lease renewal that arrives after the upstream has withdrawn its announcement
/// and makes the daemon choose it again.
#[tokio::test]
async fn withdrawn_upstream_returns_only_as_a_new_incarnation() {
    let mesh = Mesh::start("leaving-withdrawn");
    let daemon = mesh.start_daemon(ENTRY, &[]);
    // No request is sent to the upstream, so nothing needs to listen on its port.
    let body = |incarnation: u64| json!({ "port": 9, "slots": 1, "incarnation": incarnation, "lease_ms": 10_000 });
    let call = async |method, body| {
        let response = announce(daemon.upstream, method, SERVICE, &body).await;
        response.unwrap().status.as_u16()
    };
    assert_eq!(call("PUT", body(7)).await, 200);
    assert_eq!(call("DELETE", json!({})).await, 200);
    assert_eq!(call("PUT", body(7)).await, 409, "late renewal");
    let status = daemon.ctl_json(&["status"]);
    assert_eq!(status["upstreams"][0]["state"], "lost", "{status}");
    assert_eq!(call("PUT", body(8)).await, 200, "new incarnation");
}

/// Guards against new requests at an upstream that has stopped renewing its lease.
#[tokio::test]
async fn upstream_with_an_expired_lease_gets_no_new_requests() {
    let fixture = Fixture::start("leaving-lease").await;
    fixture.leaving_upstream.0.signal("STOP");
    fixture.wait_for_upstream_state("lost").await;
    let ids = fixture.assert_requests_at_remaining("left").await;
    // The upstream now runs what was waiting in its sockets, which must include no new request.
    fixture.leaving_upstream.0.signal("CONT");
    fixture.assert_not_run(&ids).await;
}

/// Guards against new requests at an upstream whose daemon was killed, and against requests that
/// fail at other daemons because of it.
#[tokio::test]
async fn upstream_without_its_daemon_gets_no_new_requests() {
    let fixture = Fixture::start("leaving-daemon").await;
    fixture.leaving.process.signal("KILL");
    let ids = fixture.assert_requests_at_remaining("left").await;
    fixture.assert_not_run(&ids).await;
}

/// Guards against failed requests after an upstream was killed while its daemon keeps running.
#[tokio::test]
async fn killed_upstream_gets_no_new_requests() {
    let fixture = Fixture::start("leaving-killed").await;
    fixture.leaving_upstream.0.signal("KILL");
    fixture.assert_requests_at_remaining("left").await;
}
