//! Planned stops of several daemons while requests go on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::support::{
    DaemonProcess, LoadGenerator, LoadSummary, Mesh, Process, Upload, VmSpec, eventually,
};
use crate::support::{request, send, try_run_counts};

const SERVICE: &str = "flotte";
const HOST: &str = "flotte.test";

const fn vm(vm: &'static str, domain: &'static str) -> VmSpec {
    VmSpec {
        vm,
        region: "qc-est",
        domain,
    }
}

const VMS: [VmSpec; 4] = [
    vm("est-a-1", "est-a"),
    vm("est-a-2", "est-a"),
    vm("est-b-1", "est-b"),
    vm("est-b-2", "est-b"),
];

/// A daemon with the upstream beside it.
struct Pair {
    daemon: DaemonProcess,
    upstream: (Process, SocketAddr),
}

impl Pair {
    fn start(mesh: &Mesh, spec: VmSpec, seeds: &[SocketAddr]) -> Self {
        let daemon = mesh.start_daemon(spec, seeds);
        let upstream = daemon.start_upstream(SERVICE, 10);
        Self { daemon, upstream }
    }
}

async fn start_all(mesh: &Mesh) -> Vec<Pair> {
    let mut pairs: Vec<Pair> = Vec::new();
    for spec in VMS {
        let seeds: Vec<SocketAddr> = pairs.iter().map(|p| p.daemon.peers).collect();
        pairs.push(Pair::start(mesh, spec, &seeds));
    }
    pairs[0].daemon.put_service(SERVICE, &[]);
    wait_for_all(&pairs).await;
    pairs
}

async fn wait_for_all(pairs: &[Pair]) {
    for pair in pairs {
        pair.daemon.wait_for_members(4).await;
        let vms = VMS.map(|spec| spec.vm);
        pair.daemon.wait_for_candidates(HOST, &vms).await;
    }
}

fn callers(pairs: &[Pair], stopping: &[usize]) -> Vec<SocketAddr> {
    let stays = pairs
        .iter()
        .enumerate()
        .filter(|(i, _)| !stopping.contains(i));
    stays.map(|(_, pair)| pair.daemon.callers).collect()
}

/// Starts uploads through a daemon until some of them run at the upstream beside another.
async fn upload_to(entry: &DaemonProcess, target: &DaemonProcess) -> Vec<Upload> {
    let mut uploads = Vec::new();
    eventually("upload runs at the daemon to be stopped", || {
        let upload = Upload::start(entry.callers, HOST);
        uploads.push(upload);
        let status = target.ctl_json(&["status"]);
        let running = status["upstreams"][0]["running"].as_u64();
        async move {
            let some = running.is_some_and(|n| n > 0);
            some.then_some(())
                .ok_or(format!("{running:?} requests run"))
        }
    })
    .await;
    uploads
}

/// Waits until the guard of a daemon drains, by an order for tickets as entries make it.
async fn wait_until_draining(daemon: &DaemonProcess) {
    eventually("drain", || async {
        let body = format!(r#"{{"service":"{SERVICE}","count":1}}"#);
        let order = request("POST", HOST, "/.cornelvalve/tickets", &[], body);
        let response = send(daemon.peers, order).await;
        let response = response.expect("a daemon with running requests answers");
        (response.status == 503)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
}

/// Goes on with uploads while the daemon drains, and ends them.
async fn finish_uploads(uploads: Vec<Upload>, stopping: &DaemonProcess) {
    wait_until_draining(stopping).await;
    // All at once, because one may wait in a queue until another ends.
    let mut ends = tokio::task::JoinSet::new();
    for upload in uploads {
        ends.spawn(async move {
            upload.send_chunk().await;
            upload.finish().await
        });
    }
    for response in ends.join_all().await {
        let response = response.expect("upload is answered");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Adds up how often each request ran.
async fn count_runs(sum: &mut BTreeMap<String, u64>, upstream: SocketAddr) {
    for (id, count) in try_run_counts(upstream).await.expect("runs") {
        *sum.entry(id).or_default() += count;
    }
}

fn check(summary: &LoadSummary, ran: &BTreeMap<String, u64>) {
    assert!(summary.failed.is_empty(), "failed: {:#?}", summary.failed);
    assert!(!summary.answered.is_empty(), "no request was made");
    for id in &summary.answered {
        assert_eq!(ran.get(id), Some(&1), "runs of {id}");
    }
}

/// Guards against requests and uploads that a rolling restart cuts, loses or runs twice.
#[tokio::test]
async fn rolling_restart_interrupts_nothing() {
    let mesh = Mesh::start("rolling");
    let mut pairs = start_all(&mesh).await;
    let mut ran = BTreeMap::new();
    let load = LoadGenerator::start(HOST, callers(&pairs, &[]));
    for index in 0..pairs.len() {
        load.set_entries(callers(&pairs, &[index]));
        let other = &pairs[(index + 1) % pairs.len()].daemon;
        let stopping = &pairs[index].daemon;
        // One way in and one way out: uploads that the daemon guards, and one that it forwards.
        let mut uploads = upload_to(other, stopping).await;
        uploads.push(Upload::start(stopping.callers, HOST));
        for upload in &uploads {
            upload.send_chunk().await;
        }
        stopping.process.signal("TERM");
        finish_uploads(uploads, stopping).await;
        assert!(pairs[index].daemon.process.wait(), "planned stop");
        count_runs(&mut ran, pairs[index].upstream.1).await;
        let seeds: Vec<SocketAddr> = pairs.iter().map(|p| p.daemon.peers).collect();
        pairs[index] = Pair::start(&mesh, VMS[index], &seeds);
        wait_for_all(&pairs).await;
    }
    let summary = load.finish().await;
    for pair in &pairs {
        count_runs(&mut ran, pair.upstream.1).await;
    }
    check(&summary, &ran);
}

/// Guards against a leave call that needs the log or interrupts requests.
#[tokio::test]
async fn failure_domain_leaves_without_the_log() {
    let mesh = Mesh::start("rolling-leave");
    let mut pairs = start_all(&mesh).await;
    let load = LoadGenerator::start(HOST, callers(&pairs, &[2, 3]));
    mesh.store_process().signal("KILL");
    let uploads = upload_to(&pairs[0].daemon, &pairs[2].daemon).await;
    for upload in &uploads {
        upload.send_chunk().await;
    }
    pairs[0].daemon.ctl(&["leave", "--domain", "est-b"]);
    finish_uploads(uploads, &pairs[2].daemon).await;
    for pair in &mut pairs[2..] {
        assert!(pair.daemon.process.wait(), "planned stop");
    }
    let vms = [VMS[0].vm, VMS[1].vm];
    for pair in &pairs[..2] {
        pair.daemon.wait_for_candidates(HOST, &vms).await;
    }
    let summary = load.finish().await;
    let mut ran = BTreeMap::new();
    for pair in &pairs {
        count_runs(&mut ran, pair.upstream.1).await;
    }
    check(&summary, &ran);
}
