//! Responses and uploads must arrive complete, and responses at the right caller, under load and
//! failures.

mod crossed;
mod cut;
mod upload;

use std::net::SocketAddr;

use crate::support::{DaemonProcess, Mesh, Process, VmSpec, eventually, request, send};

const HOST: &str = "flotte.test";

const ENTRY_VM: VmSpec = VmSpec::new("ouest-a-1", "qc-ouest", "ouest-a");
const UPSTREAM_VM: VmSpec = VmSpec::new("ouest-a-2", "qc-ouest", "ouest-a");
const SECOND_UPSTREAM_VM: VmSpec = VmSpec::new("ouest-a-3", "qc-ouest", "ouest-a");

/// Two daemons, of which the second has the upstream of the service `flotte`.
struct FlotteMesh {
    mesh: Mesh,
    /// Daemon to which the tests send requests.
    entry: DaemonProcess,
    /// Daemon to which the upstream announces itself.
    upstream_daemon: DaemonProcess,
    upstream: Process,
    upstream_addr: SocketAddr,
}

/// Starts the processes and waits until the upstream answers a request.
async fn start_mesh(name: &str) -> FlotteMesh {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY_VM, &[]);
    let upstream_daemon = mesh.start_daemon(UPSTREAM_VM, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (upstream, upstream_addr) = upstream_daemon.start_upstream("flotte", 10);
    entry.ctl(&["region", "put", "qc-ouest"]);
    entry.ctl(&["service", "put", "--name", "flotte", "--host", HOST]);
    wait_for_success(&entry).await;
    FlotteMesh {
        mesh,
        entry,
        upstream_daemon,
        upstream,
        upstream_addr,
    }
}

/// Waits until a request to a daemon succeeds.
async fn wait_for_success(entry: &DaemonProcess) {
    eventually("successful response", || async {
        let get = request("GET", HOST, "/", &[("x-request-id", "warm-up")], "");
        let response = send(entry.callers, get).await?;
        (response.status == 200)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
}
