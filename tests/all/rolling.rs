//! Tests graceful shutdowns of several daemons under load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::support::{
    DaemonProcess, LoadGenerator, LoadSummary, Mesh, Process, Upload, VmSpec, eventually,
};
use crate::support::{request, send, try_run_counts};

const SERVICE: &str = "flotte";
const HOST: &str = "flotte.test";

const fn spec(vm: &'static str, domain: &'static str) -> VmSpec {
    VmSpec {
        vm,
        region: "qc-est",
        domain,
    }
}

const SPECS: [VmSpec; 4] = [
    spec("est-a-1", "est-a"),
    spec("est-a-2", "est-a"),
    spec("est-b-1", "est-b"),
    spec("est-b-2", "est-b"),
];

/// The processes of one VM: a daemon and the upstream beside it.
struct Vm {
    daemon: DaemonProcess,
    upstream: (Process, SocketAddr),
}

impl Vm {
    fn start(mesh: &Mesh, spec: VmSpec, seeds: &[SocketAddr]) -> Self {
        let daemon = mesh.start_daemon(spec, seeds);
        let upstream = daemon.start_upstream(SERVICE, 10);
        Self { daemon, upstream }
    }
}

/// Starts all VMs and waits until each daemon sees all members and can choose all upstreams.
async fn start_all(mesh: &Mesh) -> Vec<Vm> {
    let mut vms: Vec<Vm> = Vec::new();
    for spec in SPECS {
        let seeds: Vec<SocketAddr> = vms.iter().map(|vm| vm.daemon.peers).collect();
        vms.push(Vm::start(mesh, spec, &seeds));
    }
    vms[0].daemon.put_service(SERVICE, &[]);
    wait_for_all(&vms).await;
    vms
}

/// Waits until each daemon sees all four members and can choose all upstreams.
async fn wait_for_all(vms: &[Vm]) {
    for vm in vms {
        vm.daemon.wait_for_members(4).await;
        let names = SPECS.map(|spec| spec.vm);
        vm.daemon.wait_for_candidates(HOST, &names).await;
    }
}

/// Returns the addresses at which callers reach the daemons that are not about to stop.
fn caller_addrs(vms: &[Vm], stopping: &[usize]) -> Vec<SocketAddr> {
    let running = vms
        .iter()
        .enumerate()
        .filter(|(i, _)| !stopping.contains(i));
    running.map(|(_, vm)| vm.daemon.callers).collect()
}

/// Starts uploads through the daemon `entry` until one runs at the upstream beside the daemon
/// `target`.
async fn start_uploads(entry: &DaemonProcess, target: &DaemonProcess) -> Vec<Upload> {
    let mut uploads = Vec::new();
    eventually("upload runs beside the target daemon", || {
        let upload = Upload::start(entry.callers, HOST);
        uploads.push(upload);
        let status = target.ctl_json(&["status"]);
        let running = status["upstreams"][0]["running"].as_u64();
        async move {
            let any = running.is_some_and(|n| n > 0);
            any.then_some(()).ok_or(format!("{running:?} requests run"))
        }
    })
    .await;
    uploads
}

/// Waits until a daemon drains. A draining daemon responds with status 503 to the requests for
/// tickets that daemons send each other.
async fn wait_until_draining(daemon: &DaemonProcess) {
    eventually("the daemon drains", || async {
        let body = format!(r#"{{"service":"{SERVICE}","count":1}}"#);
        let ticket_request = request("POST", HOST, "/.cornelvalve/tickets", &[], body);
        let response = send(daemon.peers, ticket_request).await;
        let response = response.expect("a daemon with running requests responds");
        (response.status == 503)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
}

/// Sends another chunk of each upload while the daemon drains, and completes the uploads.
async fn finish_uploads(uploads: Vec<Upload>, stopping: &DaemonProcess) {
    wait_until_draining(stopping).await;
    // Concurrently, because an upload may wait in a queue until another one ends.
    let mut tasks = tokio::task::JoinSet::new();
    for upload in uploads {
        tasks.spawn(async move {
            upload.send_chunk().await;
            upload.finish().await
        });
    }
    for response in tasks.join_all().await {
        let response = response.expect("upload is answered");
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Adds the run counts of an upstream to the totals per request id.
async fn add_run_counts(totals: &mut BTreeMap<String, u64>, upstream: SocketAddr) {
    for (id, count) in try_run_counts(upstream)
        .await
        .expect("run counts of the upstream")
    {
        *totals.entry(id).or_default() += count;
    }
}

/// Checks that each request succeeded and ran once. A request that one daemon refused as `not-run`
/// may have succeeded through another one.
fn assert_single_runs(summary: &LoadSummary, counts: &BTreeMap<String, u64>) {
    assert!(summary.failed.is_empty(), "failed: {:#?}", summary.failed);
    assert!(!summary.answered.is_empty(), "no request was made");
    for id in &summary.answered {
        assert_eq!(counts.get(id), Some(&1), "runs of {id}");
    }
}

/// Guards against requests and uploads that fail or run twice during a rolling restart.
#[tokio::test]
async fn rolling_restart_interrupts_nothing() {
    let mesh = Mesh::start("rolling");
    let mut vms = start_all(&mesh).await;
    let mut counts = BTreeMap::new();
    let load = LoadGenerator::start(HOST, caller_addrs(&vms, &[]));
    for index in 0..vms.len() {
        load.set_entries(caller_addrs(&vms, &[index]));
        let other = &vms[(index + 1) % vms.len()].daemon;
        let stopping = &vms[index].daemon;
        // Uploads to the upstream beside the stopping daemon, and one that enters the mesh through
        // the stopping daemon.
        let mut uploads = start_uploads(other, stopping).await;
        uploads.push(Upload::start(stopping.callers, HOST));
        for upload in &uploads {
            upload.send_chunk().await;
        }
        stopping.process.signal("TERM");
        finish_uploads(uploads, stopping).await;
        assert!(
            vms[index].daemon.process.wait(),
            "daemon exits without an error"
        );
        add_run_counts(&mut counts, vms[index].upstream.1).await;
        let seeds: Vec<SocketAddr> = vms.iter().map(|vm| vm.daemon.peers).collect();
        vms[index] = Vm::start(&mesh, SPECS[index], &seeds);
        wait_for_all(&vms).await;
    }
    let summary = load.finish().await;
    for vm in &vms {
        add_run_counts(&mut counts, vm.upstream.1).await;
    }
    assert_single_runs(&summary, &counts);
}

/// Guards against interrupted requests, and a dependency on the log store, when `cornelctl leave`
/// drains and stops all daemons of a failure domain.
#[tokio::test]
async fn failure_domain_leaves_without_the_log_store() {
    let mesh = Mesh::start("rolling-leave");
    let mut vms = start_all(&mesh).await;
    // The last two VMs are those of the failure domain est-b.
    let load = LoadGenerator::start(HOST, caller_addrs(&vms, &[2, 3]));
    mesh.store_process().signal("KILL");
    let uploads = start_uploads(&vms[0].daemon, &vms[2].daemon).await;
    for upload in &uploads {
        upload.send_chunk().await;
    }
    vms[0].daemon.ctl(&["leave", "--domain", "est-b"]);
    finish_uploads(uploads, &vms[2].daemon).await;
    for vm in &mut vms[2..] {
        assert!(vm.daemon.process.wait(), "daemon exits without an error");
    }
    let names = [SPECS[0].vm, SPECS[1].vm];
    for vm in &vms[..2] {
        vm.daemon.wait_for_candidates(HOST, &names).await;
    }
    let summary = load.finish().await;
    let mut counts = BTreeMap::new();
    for vm in &vms {
        add_run_counts(&mut counts, vm.upstream.1).await;
    }
    assert_single_runs(&summary, &counts);
}
