//! Tests what daemons do when the log service comes back from an older copy of its records.

use std::net::SocketAddr;

use cornelvalve_standins::LogStandIn;

use crate::publishing::put_region;
use crate::support::{Mesh, VmSpec};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

// Guards against daemons that revert, or take a record at an offset given out again for one that
// they have, and against a change that is reported as published although none of them applies it.
#[tokio::test]
async fn a_log_that_lost_records_changes_no_configuration_and_confirms_no_change() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (addr, log) = LogStandIn::start(any).await.expect("log starts");
    let mesh = Mesh::with_log_store("log-loss", addr);
    let first = mesh.start_daemon(EST_A, &[]);
    let second = mesh.start_daemon(EST_B, &[first.peers]);
    for n in 1..=3 {
        let report = first.publish(&put_region(n)).await.expect("log is up");
        assert_eq!(report["verdict"], "accepted", "{report}");
    }
    second.wait_for_revision(3).await;
    let before = first.ctl_json(&["region", "list"]);
    log.stop().await;
    let (_, restored) = LogStandIn::start(addr).await.expect("address is free");
    let report = first.publish(&put_region(4)).await.expect("log is up");
    assert_eq!(report["verdict"], "unknown", "{report}");
    for daemon in [&first, &second] {
        assert_eq!(daemon.revision(), 3);
        assert_eq!(daemon.ctl_json(&["region", "list"]), before);
    }
    restored.stop().await;
}
