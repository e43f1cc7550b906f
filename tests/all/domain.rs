//! Failure domains that operators take out of service and bring back.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::support::{
    DaemonProcess, Mesh, Process, Response, VmSpec, eventually, request, send, try_run_counts,
};

const ENTRY: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const OUT: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
const LATE: VmSpec = VmSpec::new("est-b-2", "qc-est", "est-b");

const SERVICE: &str = "estimateur";
const HOST: &str = "estimateur.test";

/// Limit of an upstream that has just started.
const COLD_LIMIT: u64 = 2;

/// Longer than the delay of a tick that counts as a pause of the process.
const PAUSE: Duration = Duration::from_millis(1500);

/// Sends a request straight to the guard of a daemon, as an entry that does not know the latest
/// configuration does.
async fn admit(guard: SocketAddr, id: &str) -> Result<Response, String> {
    let headers = [
        ("x-request-id", id),
        ("cornelvalve-service", SERVICE),
        ("cornelvalve-class", "by-method"),
        ("cornelvalve-fingerprint", "1"),
        ("cornelvalve-revision", "1"),
        ("cornelvalve-deadline-ms", "20000"),
        ("cornelvalve-depth", "0"),
    ];
    send(guard, request("GET", HOST, "/", &headers, "")).await
}

/// Sends requests to a guard until it refuses because the failure domain is out. Returns the ids
/// of all requests, none of which may have run.
async fn admit_until_out(guard: SocketAddr, name: &str) -> BTreeSet<String> {
    let mut ids = BTreeSet::new();
    eventually("refusal by the guard", || {
        let id = format!("{name}-{}", ids.len());
        ids.insert(id.clone());
        async move {
            let answer = admit(guard, &id).await?;
            assert!(!answer.status.is_success(), "{id} ran: {answer:?}");
            let reason = &answer.json()["reason"];
            (reason == "domain-out")
                .then_some(())
                .ok_or(reason.to_string())
        }
    })
    .await;
    ids
}

async fn expect_not_run(upstream: SocketAddr, ids: &BTreeSet<String>) {
    let ran = eventually("runs", || try_run_counts(upstream)).await;
    let ran: Vec<&String> = ids.iter().filter(|id| ran.contains_key(*id)).collect();
    assert!(
        ran.is_empty(),
        "ran in the failure domain that is out: {ran:?}"
    );
}

async fn get(entry: &DaemonProcess) -> Result<(), String> {
    let answer = send(entry.callers, request("GET", HOST, "/", &[], "")).await?;
    let ran = answer.status.is_success();
    ran.then_some(()).ok_or(format!("{answer:?}"))
}

struct Scene {
    mesh: Mesh,
    entry: DaemonProcess,
    upstream_daemon: DaemonProcess,
    _entry_upstream: (Process, SocketAddr),
    upstream: (Process, SocketAddr),
}

impl Scene {
    /// Starts an upstream in each of two failure domains and waits until both get work.
    async fn start(name: &str) -> Self {
        let mesh = Mesh::start(name);
        let entry = mesh.start_daemon(ENTRY, &[]);
        let upstream_daemon = mesh.start_daemon(OUT, &[entry.peers]);
        let entry_upstream = entry.start_upstream(SERVICE, 10);
        let upstream = upstream_daemon.start_upstream(SERVICE, 10);
        entry.put_service(SERVICE, &[]);
        for domain in ["est-a", "est-b"] {
            entry.ctl(&["domain", "put", domain, "--region", "qc-est"]);
        }
        entry.wait_for_members(2).await;
        entry.wait_for_candidates(HOST, &[ENTRY.vm, OUT.vm]).await;
        eventually("admission", || async {
            let answer = admit(upstream_daemon.peers, "before").await?;
            let ran = answer.status.is_success();
            ran.then_some(()).ok_or(format!("{answer:?}"))
        })
        .await;
        Self {
            mesh,
            entry,
            upstream_daemon,
            _entry_upstream: entry_upstream,
            upstream,
        }
    }

    fn limit(&self) -> u64 {
        let status = self.upstream_daemon.ctl_json(&["status"]);
        let limit = status["upstreams"][0]["limit"].as_u64();
        limit.unwrap_or_else(|| panic!("no limit in {status}"))
    }

    /// Raises the admission limit above that of a cold start.
    async fn warm_up(&self) {
        eventually("higher limit", || async {
            let mut requests = JoinSet::new();
            for _ in 0..8 {
                let guard = self.upstream_daemon.peers;
                requests.spawn(async move { admit(guard, "warm").await });
            }
            requests.join_all().await;
            let limit = self.limit();
            (limit > COLD_LIMIT)
                .then_some(())
                .ok_or(format!("limit {limit}"))
        })
        .await;
    }
}

/// Guards against a failure domain that gets work although it is out, with the log stopped as soon
/// as the change was accepted, also through a daemon that starts then; and against a return with
/// full load at once.
#[tokio::test]
async fn domain_that_is_out_gets_no_work_without_the_log_and_returns_cold() {
    let scene = Scene::start("domain-out").await;
    scene.warm_up().await;
    scene.entry.ctl(&["domain", "out", "est-b"]);
    scene.mesh.store_process().signal("STOP");

    let ids = admit_until_out(scene.upstream_daemon.peers, "out").await;
    for entry in [&scene.entry, &scene.upstream_daemon] {
        for _ in 0..20 {
            get(entry).await.expect("the other failure domain serves");
        }
    }
    expect_not_run(scene.upstream.1, &ids).await;
    let ran = try_run_counts(scene.upstream.1).await.expect("runs");
    let late = scene.mesh.start_daemon(LATE, &[scene.entry.peers]);
    let late_upstream = late.start_upstream(SERVICE, 10);
    let ids = admit_until_out(late.peers, "late").await;
    expect_not_run(late_upstream.1, &ids).await;
    eventually("entry of the new daemon", || get(&late)).await;
    assert_eq!(
        try_run_counts(scene.upstream.1).await,
        Ok(ran),
        "runs while out"
    );

    scene.mesh.store_process().signal("CONT");
    scene
        .entry
        .ctl(&["domain", "in", "est-b", "--wait", "in-force"]);
    assert_eq!(scene.limit(), COLD_LIMIT, "limit on return");
    eventually("work on return", || async {
        let answer = admit(scene.upstream_daemon.peers, "return").await?;
        let ran = answer.status.is_success();
        ran.then_some(()).ok_or(format!("{answer:?}"))
    })
    .await;
}

/// Freezes a daemon, takes its failure domain out and wakes it; an answer of the log that still
/// lacks the change waits in its socket.
async fn wake_after_domain_out(scene: &Scene) {
    scene.upstream_daemon.process.signal("STOP");
    scene.entry.ctl(&["team", "put", "paie"]);
    scene.entry.ctl(&["domain", "out", "est-b"]);
    tokio::time::sleep(PAUSE).await;
}

/// Sends requests that are in the sockets of the guard when it wakes, and wakes it.
async fn expect_no_admission(scene: &Scene) {
    let mut waiting = JoinSet::new();
    let mut ids = BTreeSet::new();
    for count in 0..10 {
        let (guard, id) = (scene.upstream_daemon.peers, format!("frozen-{count}"));
        ids.insert(id.clone());
        waiting.spawn(async move { admit(guard, &id).await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    scene.upstream_daemon.process.signal("CONT");
    ids.extend(admit_until_out(scene.upstream_daemon.peers, "woken").await);
    for answer in waiting.join_all().await {
        let answer = answer.expect("answer");
        assert!(!answer.status.is_success(), "{answer:?}");
        assert_eq!(answer.json()["outcome"], "not-run");
    }
    expect_not_run(scene.upstream.1, &ids).await;
}

/// Guards against a confirmation by a response that was in a buffer during the pause, while fresh
/// responses of the log are slow and no peer answers.
#[tokio::test]
async fn woken_daemon_admits_nothing_before_a_fresh_confirmation() {
    let scene = Scene::start("domain-frozen").await;
    wake_after_domain_out(&scene).await;
    scene.entry.process.signal("STOP");
    scene.mesh.set_log_faults(r#"{"delay_ms":600}"#).await;
    expect_no_admission(&scene).await;
}

/// Guards against a woken daemon that relies on its old configuration because the log is down.
#[tokio::test]
async fn woken_daemon_asks_peers_when_the_log_is_stopped() {
    let scene = Scene::start("domain-frozen-log").await;
    wake_after_domain_out(&scene).await;
    scene.mesh.store_process().signal("STOP");
    expect_no_admission(&scene).await;
}

/// Guards against a daemon that refuses for ever after a pause because nobody can confirm.
#[tokio::test]
async fn woken_daemon_goes_on_when_neither_log_nor_peers_answer() {
    let scene = Scene::start("domain-alone").await;
    scene.mesh.store_process().signal("STOP");
    scene.entry.process.signal("STOP");
    scene.upstream_daemon.process.signal("STOP");
    tokio::time::sleep(PAUSE).await;
    scene.upstream_daemon.process.signal("CONT");
    eventually("admission without confirmation", || async {
        let answer = admit(scene.upstream_daemon.peers, "alone").await?;
        let ran = answer.status.is_success();
        ran.then_some(()).ok_or(format!("{answer:?}"))
    })
    .await;
}
