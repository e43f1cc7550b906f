//! Failure domains that operators take out of service and return to service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::support::{
    DaemonProcess, Mesh, Process, Response, VmSpec, eventually, request, send, try_run_counts,
};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
const EST_B_2: VmSpec = VmSpec::new("est-b-2", "qc-est", "est-b");

const SERVICE: &str = "estimateur";
const HOST: &str = "estimateur.test";

/// Admission limit with which a daemon starts each upstream, in concurrent requests; must match
/// `COLD_LIMIT` of the policy crate.
const COLD_LIMIT: u64 = 2;

/// Time for which a daemon is paused. It exceeds the 1 s after which a daemon notices the pause
/// and confirms its configuration by a new read before it admits requests.
const PAUSE: Duration = Duration::from_millis(1500);

/// Sends a request to the peer port of the daemon of an upstream, as an entry daemon does whose
/// configuration still has the failure domain in service. Only the guard of the receiving daemon,
/// which admits or refuses requests to its upstreams, can then refuse it.
async fn send_to_peer_port(peers: SocketAddr, id: &str) -> Result<Response, String> {
    let headers = [
        ("x-request-id", id),
        ("cornelvalve-service", SERVICE),
        ("cornelvalve-class", "by-method"),
        ("cornelvalve-fingerprint", "1"),
        ("cornelvalve-revision", "1"),
        ("cornelvalve-deadline-ms", "20000"),
        ("cornelvalve-depth", "0"),
    ];
    send(peers, request("GET", HOST, "/", &headers, "")).await
}

/// Sends requests to the peer port of a daemon until it refuses one because its failure domain is
/// out of service, and returns the ids of all of them.
///
/// # Panics
///
/// Panics if one succeeds.
async fn send_until_domain_out(peers: SocketAddr, name: &str) -> BTreeSet<String> {
    let mut ids = BTreeSet::new();
    eventually("refusal because of the failure domain", || {
        let id = format!("{name}-{}", ids.len());
        ids.insert(id.clone());
        async move {
            let response = send_to_peer_port(peers, &id).await?;
            assert!(!response.status.is_success(), "{id} ran: {response:?}");
            let reason = &response.json()["reason"];
            (reason == "domain-out")
                .then_some(())
                .ok_or(reason.to_string())
        }
    })
    .await;
    ids
}

/// Checks that none of these requests ran at an upstream.
async fn assert_not_run(upstream: SocketAddr, ids: &BTreeSet<String>) {
    let counts = eventually("runs", || try_run_counts(upstream)).await;
    let ran: Vec<&String> = ids.iter().filter(|id| counts.contains_key(*id)).collect();
    assert!(
        ran.is_empty(),
        "ran in the failure domain that is out of service: {ran:?}"
    );
}

/// Sends a request to a daemon as a caller; fails unless the response is a success.
async fn send_get(entry: &DaemonProcess) -> Result<(), String> {
    let response = send(entry.callers, request("GET", HOST, "/", &[], "")).await?;
    let succeeded = response.status.is_success();
    succeeded.then_some(()).ok_or(format!("{response:?}"))
}

/// Two failure domains, each with a daemon and an upstream.
struct TwoDomains {
    mesh: Mesh,
    /// Daemon of the failure domain `est-a`, which stays in service.
    entry: DaemonProcess,
    /// Daemon of the failure domain `est-b`, which is taken out of service.
    upstream_daemon: DaemonProcess,
    _entry_upstream: (Process, SocketAddr),
    upstream: (Process, SocketAddr),
}

impl TwoDomains {
    /// Starts the processes and waits until both upstreams can get requests.
    async fn start(name: &str) -> Self {
        let mesh = Mesh::start(name);
        let entry = mesh.start_daemon(EST_A, &[]);
        let upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
        let entry_upstream = entry.start_upstream(SERVICE, 10);
        let upstream = upstream_daemon.start_upstream(SERVICE, 10);
        entry.put_service(SERVICE, &[]);
        for domain in ["est-a", "est-b"] {
            entry.ctl(&["domain", "put", domain, "--region", "qc-est"]);
        }
        entry.wait_for_members(2).await;
        entry.wait_for_candidates(HOST, &[EST_A.vm, EST_B.vm]).await;
        eventually("admission", || async {
            let response = send_to_peer_port(upstream_daemon.peers, "before").await?;
            let succeeded = response.status.is_success();
            succeeded.then_some(()).ok_or(format!("{response:?}"))
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

    /// Returns the admission limit of the upstream in `est-b`.
    fn limit(&self) -> u64 {
        let status = self.upstream_daemon.ctl_json(&["status"]);
        let limit = status["upstreams"][0]["limit"].as_u64();
        limit.unwrap_or_else(|| panic!("no limit in {status}"))
    }

    /// Sends requests until the admission limit is above that of an upstream that has just started.
    async fn raise_limit(&self) {
        eventually("higher limit", || async {
            let mut requests = JoinSet::new();
            for _ in 0..8 {
                let peers = self.upstream_daemon.peers;
                requests.spawn(async move { send_to_peer_port(peers, "warm").await });
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

/// Guards against three failures when the log store is paused right after it accepted that a
/// failure domain goes out of service: running daemons admit requests in this failure domain or
/// send them there, a daemon that starts meanwhile does so, and upstreams get full load at once
/// after the return to service.
#[tokio::test]
async fn domain_out_of_service_gets_no_requests_and_returns_with_the_cold_limit() {
    let domains = TwoDomains::start("domain-out").await;
    domains.raise_limit().await;
    domains.entry.ctl(&["domain", "out", "est-b"]);
    domains.mesh.store_process().signal("STOP");

    let ids = send_until_domain_out(domains.upstream_daemon.peers, "out").await;
    for entry in [&domains.entry, &domains.upstream_daemon] {
        for _ in 0..20 {
            send_get(entry).await.expect("other failure domain serves");
        }
    }
    assert_not_run(domains.upstream.1, &ids).await;
    let counts = try_run_counts(domains.upstream.1).await.expect("runs");
    let new_daemon = domains.mesh.start_daemon(EST_B_2, &[domains.entry.peers]);
    let new_upstream = new_daemon.start_upstream(SERVICE, 10);
    let ids = send_until_domain_out(new_daemon.peers, "new").await;
    assert_not_run(new_upstream.1, &ids).await;
    eventually("response through the new daemon", || send_get(&new_daemon)).await;
    assert_eq!(
        try_run_counts(domains.upstream.1).await,
        Ok(counts),
        "runs while out"
    );

    domains.mesh.store_process().signal("CONT");
    domains
        .entry
        .ctl(&["domain", "in", "est-b", "--wait", "in-force"]);
    assert_eq!(domains.limit(), COLD_LIMIT, "limit after the return");
    eventually("admission after the return", || async {
        let response = send_to_peer_port(domains.upstream_daemon.peers, "return").await?;
        let succeeded = response.status.is_success();
        succeeded.then_some(()).ok_or(format!("{response:?}"))
    })
    .await;
}

/// Pauses the daemon of `est-b`, publishes another change and then takes the failure domain out
/// of service. The log store answers the pending long poll of the daemon with the first change
/// only; this response waits in the daemon's socket until it resumes.
async fn pause_and_take_domain_out(domains: &TwoDomains) {
    domains.upstream_daemon.process.signal("STOP");
    domains.entry.ctl(&["team", "put", "paie"]);
    domains.entry.ctl(&["domain", "out", "est-b"]);
    tokio::time::sleep(PAUSE).await;
}

/// Sends requests to the paused daemon, resumes it, and checks that it admits neither these nor
/// later requests.
async fn resume_and_assert_no_admission(domains: &TwoDomains) {
    let mut waiting = JoinSet::new();
    let mut ids = BTreeSet::new();
    for count in 0..10 {
        let (peers, id) = (domains.upstream_daemon.peers, format!("paused-{count}"));
        ids.insert(id.clone());
        waiting.spawn(async move { send_to_peer_port(peers, &id).await });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    domains.upstream_daemon.process.signal("CONT");
    ids.extend(send_until_domain_out(domains.upstream_daemon.peers, "resumed").await);
    for response in waiting.join_all().await {
        let response = response.expect("response");
        assert!(!response.status.is_success(), "{response:?}");
        assert_eq!(response.json()["outcome"], "not-run");
    }
    assert_not_run(domains.upstream.1, &ids).await;
}

/// Guards against a resumed daemon that takes a response of the log store that arrived during the
/// pause as confirmation that its configuration is current. New responses of the log store take
/// 600 ms, and the other daemon is paused.
#[tokio::test]
async fn resumed_daemon_admits_nothing_before_a_new_confirmation() {
    let domains = TwoDomains::start("domain-paused").await;
    pause_and_take_domain_out(&domains).await;
    domains.entry.process.signal("STOP");
    domains.mesh.set_store_faults(r#"{"delay_ms":600}"#).await;
    resume_and_assert_no_admission(&domains).await;
}

/// Guards against a resumed daemon that relies on its old configuration because the log store does
/// not respond, although peers have the current one.
#[tokio::test]
async fn resumed_daemon_asks_peers_when_the_log_store_is_paused() {
    let domains = TwoDomains::start("domain-paused-log-store").await;
    pause_and_take_domain_out(&domains).await;
    domains.mesh.store_process().signal("STOP");
    resume_and_assert_no_admission(&domains).await;
}

/// Guards against a resumed daemon that refuses requests forever because neither the log store nor
/// a peer can confirm its configuration. After a time limit it serves with the configuration it
/// has.
#[tokio::test]
async fn resumed_daemon_serves_after_a_time_limit_when_nobody_confirms() {
    let domains = TwoDomains::start("domain-alone").await;
    domains.mesh.store_process().signal("STOP");
    domains.entry.process.signal("STOP");
    domains.upstream_daemon.process.signal("STOP");
    tokio::time::sleep(PAUSE).await;
    domains.upstream_daemon.process.signal("CONT");
    eventually("admission without confirmation", || async {
        let response = send_to_peer_port(domains.upstream_daemon.peers, "alone").await?;
        let succeeded = response.status.is_success();
        succeeded.then_some(()).ok_or(format!("{response:?}"))
    })
    .await;
}
