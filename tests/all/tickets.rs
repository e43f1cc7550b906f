//! Tests requests with tickets. A ticket is an idempotency key that a daemon issues; it keeps a
//! request from running twice. The service remise files remittances, and ledger sells reports.

mod failures;
mod retries;

use std::net::SocketAddr;

use crate::support::{
    DaemonOptions, DaemonProcess, Mesh, Response, VmSpec, eventually, request_with_ticket,
    run_counts, send,
};

const REMISE_HOST: &str = "remise.test";
const LEDGER_HOST: &str = "ledger.test";

const ENTRY: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const SECOND_ENTRY: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
/// VM of the daemon that issues the tickets.
const ISSUER: VmSpec = VmSpec::new("est-a-2", "qc-est", "est-a");

/// Arguments that give an upstream a lease of 10 s. It is still valid after a test has killed the
/// upstream, so that the daemon tries to connect and is refused.
const LONG_LEASE: [&str; 2] = ["--lease-ms", "10000"];

/// Two daemons that receive requests of callers, and the daemon beside the upstreams, which issues
/// the tickets.
struct Fixture {
    mesh: Mesh,
    entry: DaemonProcess,
    second_entry: DaemonProcess,
    issuer: DaemonProcess,
}

/// Starts the daemons, with `settings` for the issuer, and creates two services with a route each
/// whose requests run at most once.
async fn start(name: &str, settings: &str) -> Fixture {
    let mesh = Mesh::start(name);
    let entry = mesh.start_daemon(ENTRY, &[]);
    let second_entry = mesh.start_daemon(SECOND_ENTRY, &[entry.peers]);
    let options = DaemonOptions {
        settings,
        ..DaemonOptions::default()
    };
    let issuer = mesh.start_daemon_with(ISSUER, &[entry.peers], &options);
    entry.wait_for_members(3).await;
    second_entry.wait_for_members(3).await;
    entry.ctl(&["region", "put", "qc-est"]);
    for (service, host, route) in [
        ("remise", REMISE_HOST, "file=/file:at-most-once"),
        ("ledger", LEDGER_HOST, "buy=/reports:at-most-once"),
    ] {
        let put = [
            "service", "put", "--name", service, "--host", host, "--route", route,
        ];
        entry.ctl(&put);
    }
    Fixture {
        mesh,
        entry,
        second_entry,
        issuer,
    }
}

/// Sends a remittance filing with a ticket; upstreams count its runs under `id`.
async fn send_filing(entry: &DaemonProcess, ticket: &str, id: &str) -> Response {
    let filing = request_with_ticket(ticket, REMISE_HOST, "/file", id, 0, "remittance");
    send(entry.callers, filing).await.expect("entry responds")
}

/// Returns how often a request ran at an upstream.
async fn run_count(upstream_addr: SocketAddr, id: &str) -> u64 {
    run_counts(upstream_addr)
        .await
        .get(id)
        .copied()
        .unwrap_or(0)
}

/// Waits until a request runs or has run at an upstream.
async fn wait_for_run(upstream_addr: SocketAddr, id: &str) {
    eventually("request runs or has run", || async {
        let count = run_count(upstream_addr, id).await;
        (count > 0)
            .then_some(())
            .ok_or(format!("{id} does not run yet"))
    })
    .await;
}
