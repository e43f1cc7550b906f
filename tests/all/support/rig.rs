//! Mesh of two daemons, of which the second has an upstream.

use super::http::{request, send};
use super::mesh::{DaemonProcess, Mesh, VmSpec};
use super::process::Process;

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Two daemons that serve `estimateur.test`, whose route `/file` runs requests at most once.
pub(crate) struct Rig {
    /// Daemon to which the tests send the requests of callers.
    pub(crate) entry: DaemonProcess,
    /// Daemon to which the upstream announces itself.
    pub(crate) beside: DaemonProcess,
    _upstream: Process,
    pub(crate) mesh: Mesh,
}

impl Rig {
    /// Starts the processes and waits until the upstream answers a request.
    pub(crate) async fn start(name: &str) -> Self {
        Self::start_in(Mesh::start(name)).await
    }

    /// Starts the daemons and the upstream with the log stand-in of a mesh.
    pub(crate) async fn start_in(mesh: Mesh) -> Self {
        let entry = mesh.daemon(EST_A, &[]);
        let beside = mesh.daemon(EST_B, &[entry.peers]);
        entry.wait_for_members(2).await;
        let (upstream, _) = beside.start_upstream("estimateur", 10);
        entry.put_service("estimateur", &["file=/file:at-most-once", "rest=/"]);
        entry.wait_for_service("estimateur").await;
        Self {
            entry,
            beside,
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
        for daemon in [&self.entry, &self.beside] {
            let lines = daemon.log_lines();
            assert!(!lines.contains("panicked"), "after {after}: {lines}");
        }
    }
}
