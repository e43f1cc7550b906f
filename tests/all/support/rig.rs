//! Two daemons with an upstream beside the second.

use super::http::{request, send};
use super::mesh::{DaemonProcess, Mesh, VmSpec};
use super::process::Process;

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Mesh that serves `estimateur.test`, with an at-most-once route `/file`.
pub(crate) struct DaemonPair {
    pub(crate) entry: DaemonProcess,
    pub(crate) upstream_daemon: DaemonProcess,
    _upstream: Process,
    pub(crate) mesh: Mesh,
}

impl DaemonPair {
    /// Starts the mesh and waits until a request is answered.
    pub(crate) async fn start(name: &str) -> Self {
        Self::start_in(Mesh::start(name)).await
    }

    /// Starts the daemons in a mesh.
    pub(crate) async fn start_in(mesh: Mesh) -> Self {
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

    /// Checks that requests are answered and that no daemon has panicked.
    pub(crate) async fn check_undisturbed(&self, after: &str) {
        let get = request("GET", "estimateur.test", "/", &[], "");
        let answer = send(self.entry.callers, get).await.expect("answer");
        assert_eq!(answer.status, 200, "after {after}: {answer:?}");
        for daemon in [&self.entry, &self.upstream_daemon] {
            let lines = daemon.log_lines();
            assert!(!lines.contains("panicked"), "after {after}: {lines}");
        }
    }
}
