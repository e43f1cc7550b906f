//! Mesh of two daemons, of which the second has an upstream.

use super::http::{request, send};
use super::mesh::{DaemonProcess, Mesh, VmSpec};
use super::process::Process;

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Two daemons that serve `estimateur.test`. Its route `/file` has the class at-most-once: daemons
/// never retry a request that may have run.
pub(crate) struct DaemonPair {
    /// Daemon to which the tests send the requests of callers.
    pub(crate) entry: DaemonProcess,
    /// Daemon to which the upstream announces itself.
    pub(crate) upstream_daemon: DaemonProcess,
    _upstream: Process,
    pub(crate) mesh: Mesh,
}

impl DaemonPair {
    /// Starts the processes and waits until the upstream answers a request.
    pub(crate) async fn start(name: &str) -> Self {
        Self::start_in_mesh(Mesh::start(name)).await
    }

    /// Starts the daemons and the upstream in a mesh whose log stand-in is running.
    pub(crate) async fn start_in_mesh(mesh: Mesh) -> Self {
        let entry = mesh.start_daemon(EST_A, &[]);
        let upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
        entry.wait_for_members(2).await;
        let (upstream, _) = upstream_daemon.start_upstream("estimateur", 10);
        entry.put_service("estimateur", &["file=/file:at-most-once", "rest=/"]);
        entry.wait_for_service("estimateur").await;
        Self {
            entry,
            upstream_daemon,
            _upstream: upstream,
            mesh,
        }
    }

    /// Checks that requests are still answered and that no daemon has panicked. `after` says in the
    /// messages what the test has done.
    ///
    /// # Panics
    ///
    /// Panics if a check fails.
    pub(crate) async fn assert_healthy(&self, after: &str) {
        let get = request("GET", "estimateur.test", "/", &[], "");
        let response = send(self.entry.callers, get).await.expect("response");
        assert_eq!(response.status, 200, "after {after}: {response:?}");
        for daemon in [&self.entry, &self.upstream_daemon] {
            let lines = daemon.log_lines();
            assert!(!lines.contains("panicked"), "after {after}: {lines}");
        }
    }
}
