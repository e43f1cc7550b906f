//! Requests that must not run twice: remittance filings and report purchases.

mod failures;
mod repeats;

use std::net::SocketAddr;

use crate::support::{
    DaemonOptions, DaemonProcess, Mesh, Response, VmSpec, eventually, request_with_ticket,
    run_counts, send,
};

const REMISE: &str = "remise.test";
const LEDGER: &str = "ledger.test";

const ENTRY: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const OTHER_ENTRY: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
const HOLDER: VmSpec = VmSpec::new("est-a-2", "qc-est", "est-a");

/// Lease that outlasts a dead upstream, so that the guard meets the refused connection.
const LONG_LEASE: [&str; 2] = ["--lease-ms", "10000"];

/// Two entries and the daemon that holds the tickets.
struct Holder {
    mesh: Mesh,
    entry: DaemonProcess,
    other: DaemonProcess,
    holder: DaemonProcess,
}

async fn holder(name: &str, settings: &str) -> Holder {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY, &[]);
    let other = mesh.start_daemon(OTHER_ENTRY, &[entry.peers]);
    let options = DaemonOptions {
        settings,
        ..DaemonOptions::default()
    };
    let holder = mesh.start_daemon_with(HOLDER, &[entry.peers], &options);
    entry.wait_for_members(3).await;
    other.wait_for_members(3).await;
    entry.ctl(&["region", "put", "qc-est"]);
    for (service, host, route) in [
        ("remise", REMISE, "file=/file:at-most-once"),
        ("ledger", LEDGER, "buy=/reports:at-most-once"),
    ] {
        let put = [
            "service", "put", "--name", service, "--host", host, "--route", route,
        ];
        entry.ctl(&put);
    }
    Holder {
        mesh,
        entry,
        other,
        holder,
    }
}

async fn file(entry: &DaemonProcess, ticket: &str, id: &str) -> Response {
    let filing = request_with_ticket(ticket, REMISE, "/file", id, 0, "remittance");
    send(entry.callers, filing).await.expect("entry answers")
}

async fn count(standin: SocketAddr, id: &str) -> u64 {
    run_counts(standin).await.get(id).copied().unwrap_or(0)
}

async fn wait_for_run(standin: SocketAddr, id: &str) {
    eventually("request runs", || async {
        let count = count(standin, id).await;
        (count > 0)
            .then_some(())
            .ok_or(format!("{id} does not run yet"))
    })
    .await;
}
