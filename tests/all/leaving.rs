//! Upstreams that leave, in order or not, get no new work.

use std::net::SocketAddr;

use serde_json::json;

use crate::support::{DaemonProcess, Mesh, Process, VmSpec, announce, eventually, try_run_counts};
use crate::support::{request, send};

const ENTRY: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const STAYING: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
const LEAVING: VmSpec = VmSpec::new("est-b-2", "qc-est", "est-b");

const SERVICE: &str = "estimateur";
const HOST: &str = "estimateur.test";

/// Lease of the leaving upstream; short, so that it lapses while a test waits.
const LEASE_MS: u32 = 1500;

/// Requests that must succeed once the upstream has left.
const REQUESTS: usize = 40;

/// An upstream that stays and one that leaves, each beside a daemon, and a daemon without any.
struct Scene {
    _mesh: Mesh,
    entry: DaemonProcess,
    staying: DaemonProcess,
    leaving: DaemonProcess,
    staying_upstream: (Process, SocketAddr),
    leaving_upstream: (Process, SocketAddr),
}

async fn get(entry: &DaemonProcess, id: &str) -> Result<(), String> {
    let headers = [("x-request-id", id), ("cornelvalve-deadline-ms", "8000")];
    let response = send(entry.callers, request("GET", HOST, "/", &headers, "")).await?;
    let ran = response.status.is_success();
    ran.then_some(()).ok_or(format!("{id}: {response:?}"))
}

impl Scene {
    /// Starts the processes and waits until both upstreams get work through both other daemons.
    async fn start(name: &str) -> Self {
        let mesh = Mesh::start(name);
        let entry = mesh.start_daemon(ENTRY, &[]);
        let staying = mesh.start_daemon(STAYING, &[entry.peers]);
        let leaving = mesh.start_daemon(LEAVING, &[entry.peers]);
        let staying_upstream = staying.start_upstream(SERVICE, 10);
        let leaving_upstream =
            leaving.start_upstream_with(SERVICE, 10, &["--lease-ms", &LEASE_MS.to_string()]);
        entry.put_service(SERVICE, &[]);
        let scene = Self {
            _mesh: mesh,
            entry,
            staying,
            leaving,
            staying_upstream,
            leaving_upstream,
        };
        for (name, daemon) in scene.entries() {
            let mut count = 0;
            eventually("work at both upstreams", || {
                count += 1;
                scene.try_both(name, daemon, count)
            })
            .await;
        }
        scene
    }

    /// Sends a request and tells whether both upstreams have run one of this daemon.
    async fn try_both(&self, name: &str, daemon: &DaemonProcess, count: u32) -> Result<(), String> {
        let prefix = format!("{name}-before");
        get(daemon, &format!("{prefix}-{count}")).await?;
        for upstream in [&self.staying_upstream, &self.leaving_upstream] {
            let ids = try_run_counts(upstream.1).await?;
            if !ids.keys().any(|id| id.starts_with(&prefix)) {
                return Err(format!("no work from {name} at {}", upstream.1));
            }
        }
        Ok(())
    }

    /// Daemons that go on.
    fn entries(&self) -> [(&'static str, &DaemonProcess); 2] {
        [("entry", &self.entry), ("staying", &self.staying)]
    }

    /// Waits until the other daemons no longer choose the upstream; then all requests must
    /// succeed and run at the one that stays. Returns their ids.
    async fn expect_no_new_work(&self, phase: &str) -> Vec<String> {
        for (_, daemon) in self.entries() {
            daemon.wait_for_candidates(HOST, &[STAYING.vm]).await;
        }
        let mut ids = Vec::new();
        for count in 0..REQUESTS {
            let (name, daemon) = self.entries()[count % 2];
            let id = format!("{name}-{phase}-{count}");
            get(daemon, &id)
                .await
                .expect("request after the upstream left");
            ids.push(id);
        }
        let ran = try_run_counts(self.staying_upstream.1).await.expect("runs");
        for id in &ids {
            assert_eq!(ran.get(id), Some(&1), "{id} at the upstream that stays");
        }
        ids
    }

    /// Checks the run counter of the upstream that left.
    async fn expect_not_run(&self, ids: &[String]) {
        let ran = eventually("runs", || try_run_counts(self.leaving_upstream.1)).await;
        let late: Vec<&String> = ids.iter().filter(|id| ran.contains_key(*id)).collect();
        assert!(
            late.is_empty(),
            "new work at the upstream that left: {late:?}"
        );
    }

    /// Waits until the daemon beside the leaving upstream reports it in a state.
    async fn wait_for_state(&self, state: &str) {
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

/// Guards against new work at an upstream that was drained, also after its lease lapsed and was
/// renewed: a pause of a draining upstream must not end the drain.
#[tokio::test]
async fn drained_upstream_gets_no_new_work() {
    let scene = Scene::start("leaving-drain").await;
    let drain = format!("{SERVICE}/drain");
    let drained = announce(scene.leaving.upstream, "POST", &drain, &json!({})).await;
    assert_eq!(drained.unwrap().status, 200);
    let ids = scene.expect_no_new_work("left").await;
    scene.expect_not_run(&ids).await;

    scene.leaving_upstream.0.signal("STOP");
    scene.wait_for_state("lost").await;
    scene.leaving_upstream.0.signal("CONT");
    scene.wait_for_state("draining").await;
    let ids = scene.expect_no_new_work("resumed").await;
    scene.expect_not_run(&ids).await;
}

/// Guards against a stop of an upstream that cuts its running request or leaves it in the choice.
#[tokio::test]
async fn upstream_that_ends_in_order_finishes_its_request_and_gets_no_new_work() {
    let mut scene = Scene::start("leaving-term").await;
    // Several at once, so that both upstreams get some.
    let entry = scene.entry.callers;
    let slow = tokio::spawn(async move {
        let headers = [("x-work-ms", "2000"), ("x-request-id", "slow")];
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..4 {
            tasks.spawn(send(entry, request("GET", HOST, "/", &headers, "")));
        }
        tasks.join_all().await
    });
    eventually("slow request at the leaving upstream", || async {
        let ran = try_run_counts(scene.leaving_upstream.1).await?;
        ran.get("slow").map(|_| ()).ok_or("not there".to_owned())
    })
    .await;
    scene.leaving_upstream.0.signal("TERM");
    scene.expect_no_new_work("left").await;
    for response in slow.await.unwrap() {
        assert_eq!(response.expect("answer to the slow request").status, 200);
    }
    assert!(
        scene.leaving_upstream.0.wait(),
        "the upstream ends in order"
    );
}

/// Guards against a renewal that was under way when the upstream withdrew and brings it back.
#[tokio::test]
async fn withdrawn_upstream_returns_only_as_a_new_incarnation() {
    let mesh = Mesh::start("leaving-withdrawn");
    let daemon = mesh.start_daemon(ENTRY, &[]);
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

/// Guards against work for an upstream that stopped renewing its lease.
#[tokio::test]
async fn upstream_with_a_lapsed_lease_gets_no_new_work() {
    let scene = Scene::start("leaving-lease").await;
    scene.leaving_upstream.0.signal("STOP");
    scene.wait_for_state("lost").await;
    let ids = scene.expect_no_new_work("left").await;
    // What waited in its sockets runs now; new work must not be among it.
    scene.leaving_upstream.0.signal("CONT");
    scene.expect_not_run(&ids).await;
}

/// Guards against work for an upstream whose daemon is gone, and against failures elsewhere.
#[tokio::test]
async fn upstream_without_its_daemon_gets_no_work() {
    let scene = Scene::start("leaving-daemon").await;
    scene.leaving.process.signal("KILL");
    let ids = scene.expect_no_new_work("left").await;
    scene.expect_not_run(&ids).await;
}

/// Guards against failures after an upstream died without a word while its daemon goes on.
#[tokio::test]
async fn killed_upstream_gets_no_new_work() {
    let scene = Scene::start("leaving-killed").await;
    scene.leaving_upstream.0.signal("KILL");
    scene.expect_no_new_work("left").await;
}
