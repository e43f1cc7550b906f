//! Tests that daemons without live seeds find each other through introducer records. These are
//! addresses of daemons that daemons append to a stream of the log store.

use std::net::{SocketAddr, TcpListener};

use crate::support::{Mesh, VmSpec};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
const OUEST_A: VmSpec = VmSpec::new("ouest-a-1", "qc-ouest", "ouest-a");

/// Returns an address on which no process listens.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    listener.local_addr().expect("listener has an address")
}

/// Guards against daemons that never join because their seeds are missing or gone, and against so
/// many introducer records that they use up the append rate of the log store, which configuration
/// changes need.
#[tokio::test]
async fn daemons_without_live_seeds_join() {
    let mesh = Mesh::start("introducers");
    let first = mesh.start_daemon(EST_A, &[]);
    let no_seeds = mesh.start_daemon(EST_B, &[]);
    let dead_seeds = mesh.start_daemon(OUEST_A, &[unused_address(), unused_address()]);
    for daemon in [&first, &no_seeds, &dead_seeds] {
        daemon.wait_for_members(3).await;
    }
    // One record per daemon.
    let records = mesh.log_store.records("introducers").await;
    assert!(records.len() <= 3, "{} records", records.len());
}
