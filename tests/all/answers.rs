//! Complete responses, and uploads, under load and failures.

mod crossed;
mod cut;
mod upload;

use std::net::SocketAddr;

use crate::support::{DaemonProcess, Mesh, Process, VmSpec, eventually, request, send};

const HOST: &str = "flotte.test";

const ENTRY: VmSpec = VmSpec::new("ouest-a-1", "qc-ouest", "ouest-a");
const FIRST: VmSpec = VmSpec::new("ouest-a-2", "qc-ouest", "ouest-a");
const SECOND: VmSpec = VmSpec::new("ouest-a-3", "qc-ouest", "ouest-a");

/// An entry and the daemon beside one upstream of `flotte`.
struct Path {
    mesh: Mesh,
    entry: DaemonProcess,
    upstream_daemon: DaemonProcess,
    upstream: Process,
    standin: SocketAddr,
}

async fn path(name: &str) -> Path {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY, &[]);
    let upstream_daemon = mesh.start_daemon(FIRST, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (upstream, standin) = upstream_daemon.start_upstream("flotte", 10);
    entry.ctl(&["region", "put", "qc-ouest"]);
    entry.ctl(&["service", "put", "--name", "flotte", "--host", HOST]);
    answers(&entry).await;
    Path {
        mesh,
        entry,
        upstream_daemon,
        upstream,
        standin,
    }
}

/// Waits until the entry has a request answered.
async fn answers(entry: &DaemonProcess) {
    eventually("an answer", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        let response = send(entry.callers, get).await?;
        (response.status == 200)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
}
