//! Requests that must not run twice: remittance filings and report purchases.

use std::net::SocketAddr;

use crate::support::{
    Answer, DaemonOptions, DaemonProcess, Mesh, VmSpec, eventually, runs, send, ticket, with_ticket,
};

const REMISE: &str = "remise.test";
const LEDGER: &str = "ledger.test";

const ENTRY: VmSpec = VmSpec {
    vm: "est-a-1",
    region: "qc-est",
    domain: "est-a",
};

const OTHER_ENTRY: VmSpec = VmSpec {
    vm: "est-b-1",
    region: "qc-est",
    domain: "est-b",
};

const HOLDER: VmSpec = VmSpec {
    vm: "est-a-2",
    region: "qc-est",
    domain: "est-a",
};

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
    let entry = mesh.daemon(ENTRY, &[]);
    let other = mesh.daemon(OTHER_ENTRY, &[entry.peers]);
    let options = DaemonOptions {
        settings,
        ..DaemonOptions::default()
    };
    let holder = mesh.daemon_with(HOLDER, &[entry.peers], &options);
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

async fn file(entry: &DaemonProcess, ticket: &str, id: &str) -> Answer {
    let filing = with_ticket(ticket, REMISE, "/file", id, 0, "remittance");
    send(entry.callers, filing).await.expect("entry answers")
}

async fn count(standin: SocketAddr, id: &str) -> u64 {
    runs(standin).await.get(id).copied().unwrap_or(0)
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

/// Guards against a ticket that is burned although the upstream took no connection.
#[tokio::test]
async fn refused_connection_gives_the_ticket_back() {
    let Holder { entry, holder, .. } = holder("tickets-given-back", "").await;
    let (dead, _) = holder.start_upstream_with("remise", 4, &LONG_LEASE);
    let filing = ticket(entry.callers, REMISE, "/file").await;
    dead.signal("KILL");
    let refused = file(&entry, &filing, "filing").await;
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");

    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let answer = eventually("filing", || async {
        let answer = file(&entry, &filing, "filing").await;
        match answer.outcome() {
            Some("not-run") => Err(format!("{answer:?}")),
            _ => Ok(answer),
        }
    })
    .await;
    assert_eq!(
        answer.status, 200,
        "the ticket can still be used: {answer:?}"
    );
    assert_eq!(count(standin, "filing").await, 1);
}

/// Guards against a ticket of one service that lets a request of another one run.
#[tokio::test]
async fn ticket_of_another_service_is_refused() {
    let Holder { entry, holder, .. } = holder("tickets-service", "").await;
    let (_remise, _) = holder.start_upstream("remise", 4);
    let (_ledger, standin) = holder.start_upstream("ledger", 4);
    ticket(entry.callers, LEDGER, "/reports").await;
    let filing = ticket(entry.callers, REMISE, "/file").await;
    let purchase = with_ticket(&filing, LEDGER, "/reports", "purchase", 0, "report 7");
    let refused = send(entry.callers, purchase).await.expect("entry answers");
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");
    assert_eq!(refused.reason(), "bad-ticket");
    assert_eq!(count(standin, "purchase").await, 0);
    let answer = file(&entry, &filing, "filing").await;
    assert_eq!(answer.status, 200, "the ticket is not used up: {answer:?}");
}

/// Guards against a repeat that is called not run after the holder was killed during the run.
#[tokio::test]
async fn killed_holder_leaves_the_outcome_open() {
    let Holder {
        mesh,
        entry,
        other,
        holder,
    } = holder("tickets-killed", "").await;
    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let filing = ticket(entry.callers, REMISE, "/file").await;
    let slow = with_ticket(&filing, REMISE, "/file", "filing", 2000, "remittance");
    let first = tokio::spawn(send(entry.callers, slow));
    wait_for_run(standin, "filing").await;
    holder.process.signal("KILL");
    let answer = first.await.unwrap().expect("entry answers");
    assert_eq!(answer.outcome(), Some("unknown"), "{answer:?}");

    // Entries still list the holder at first and then learn that it is gone.
    for round in 0..20 {
        for daemon in [&entry, &other] {
            let answer = file(daemon, &filing, "filing").await;
            assert_eq!(
                answer.outcome(),
                Some("unknown"),
                "round {round}: {answer:?}"
            );
        }
    }
    let options = DaemonOptions {
        upstream: Some(holder.upstream),
        settings: "",
    };
    let _again = mesh.daemon_with(HOLDER, &[entry.peers], &options);
    eventually("the new holder takes tickets", || async {
        let text = ticket(entry.callers, REMISE, "/file").await;
        let answer = file(&entry, &text, "later").await;
        (answer.status == 200)
            .then_some(())
            .ok_or(format!("{answer:?}"))
    })
    .await;
    let answer = file(&other, &filing, "filing").await;
    assert_eq!(answer.outcome(), Some("unknown"), "{answer:?}");
    assert_eq!(count(standin, "filing").await, 1, "the filing ran once");
}
