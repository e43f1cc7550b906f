//! Tickets whose holder or upstream fails.

use std::time::Duration;

use super::{HOLDER, Holder, LEDGER, LONG_LEASE, REMISE, count, file, holder, wait_for_run};
use crate::support::{DaemonOptions, eventually, request_ticket, request_with_ticket, send};

/// Guards against a ticket that is burned although the upstream took no connection.
#[tokio::test]
async fn refused_connection_gives_the_ticket_back() {
    let Holder {
        entry,
        holder,
        mesh: _mesh,
        other: _other,
    } = holder("tickets-given-back", "").await;
    let (mut dead, _) = holder.start_upstream_with("remise", 4, &LONG_LEASE);
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    dead.kill();
    let refused = file(&entry, &filing, "filing").await;
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");

    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let response = eventually("filing", || async {
        let response = file(&entry, &filing, "filing").await;
        match response.outcome() {
            Some("not-run") => Err(format!("{response:?}")),
            _ => Ok(response),
        }
    })
    .await;
    assert_eq!(
        response.status, 200,
        "the ticket can still be used: {response:?}"
    );
    assert_eq!(count(standin, "filing").await, 1);
}

/// Guards against a ticket of one service that lets a request of another one run.
#[tokio::test]
async fn ticket_of_another_service_is_refused() {
    let Holder {
        entry,
        holder,
        mesh: _mesh,
        other: _other,
    } = holder("tickets-service", "").await;
    let (_remise, _) = holder.start_upstream("remise", 4);
    let (_ledger, standin) = holder.start_upstream("ledger", 4);
    request_ticket(entry.callers, LEDGER, "/reports").await;
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    let purchase = request_with_ticket(&filing, LEDGER, "/reports", "purchase", 0, "report 7");
    let refused = send(entry.callers, purchase).await.expect("entry answers");
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");
    assert_eq!(refused.reason(), "bad-ticket");
    assert_eq!(count(standin, "purchase").await, 0);
    let response = file(&entry, &filing, "filing").await;
    assert_eq!(
        response.status, 200,
        "the ticket is not used up: {response:?}"
    );
}

/// Guards against a repeat that is called not run after the holder was killed during the run.
#[tokio::test]
async fn killed_holder_leaves_the_outcome_open() {
    let Holder {
        mesh,
        entry,
        other,
        mut holder,
    } = holder("tickets-killed", "").await;
    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    let slow = request_with_ticket(&filing, REMISE, "/file", "filing", 2000, "remittance");
    let first = tokio::spawn(send(entry.callers, slow));
    wait_for_run(standin, "filing").await;
    holder.process.kill();
    let response = first.await.unwrap().expect("entry answers");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");

    // Entries still list the holder at first and then learn that it is gone.
    for round in 0..20 {
        for daemon in [&entry, &other] {
            let response = file(daemon, &filing, "filing").await;
            assert_eq!(
                response.outcome(),
                Some("unknown"),
                "round {round}: {response:?}"
            );
        }
    }
    let options = DaemonOptions {
        upstream_addr: Some(holder.upstream),
        settings: "",
        ..DaemonOptions::default()
    };
    let _again = mesh.start_daemon_with(HOLDER, &[entry.peers], &options);
    eventually("the new holder takes tickets", || async {
        let text = request_ticket(entry.callers, REMISE, "/file").await;
        let response = file(&entry, &text, "later").await;
        (response.status == 200)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
    let response = file(&other, &filing, "filing").await;
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    assert_eq!(count(standin, "filing").await, 1, "the filing ran once");
}

/// Lifetime that a frozen holder outsleeps.
const SHORT_LIFETIME: &str = r#""tickets": { "lifetime_ms": 2000 },"#;

/// Guards against a run after the ticket expired while its holder was frozen.
#[tokio::test]
async fn frozen_holder_does_not_run_an_expired_ticket() {
    let Holder {
        entry,
        other,
        holder,
        mesh: _mesh,
    } = holder("tickets-expired", SHORT_LIFETIME).await;
    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    holder.process.freeze();
    let first = tokio::spawn(file_owned(entry.callers, filing.clone()));
    tokio::time::sleep(Duration::from_millis(3000)).await;
    holder.process.signal("CONT");
    let response = first.await.unwrap();
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    eventually("the holder works again", || async {
        let text = request_ticket(other.callers, REMISE, "/file").await;
        let response = file(&other, &text, "later").await;
        (response.status == 200)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
    let response = file(&other, &filing, "filing").await;
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    assert_eq!(
        count(standin, "filing").await,
        0,
        "an expired ticket never runs"
    );
}

async fn file_owned(entry: std::net::SocketAddr, filing: String) -> crate::support::Response {
    let filing = request_with_ticket(&filing, REMISE, "/file", "filing", 0, "remittance");
    send(entry, filing).await.expect("entry answers")
}

/// Guards against a second run when the holder is frozen during the run past the caller's deadline
/// and repeats arrive while it sleeps and when it wakes.
#[tokio::test]
async fn frozen_holder_runs_once() {
    let Holder {
        entry,
        other,
        holder,
        mesh: _mesh,
    } = holder("tickets-frozen", "").await;
    let (_upstream, standin) = holder.start_upstream("ledger", 4);
    let purchase = request_ticket(entry.callers, LEDGER, "/reports").await;
    let buy = |work_ms: u64| {
        request_with_ticket(&purchase, LEDGER, "/reports", "buy", work_ms, "report 7")
    };
    let mut first = buy(1500);
    let deadline = "1000".parse().expect("header value");
    first
        .headers_mut()
        .insert("cornelvalve-deadline-ms", deadline);
    let first = tokio::spawn(send(entry.callers, first));
    wait_for_run(standin, "buy").await;
    holder.process.freeze();
    let response = first.await.unwrap().expect("entry answers");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    let asleep = tokio::spawn(send(other.callers, buy(0)));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    holder.process.signal("CONT");
    let asleep = asleep.await.unwrap().expect("entry answers");
    assert_ne!(asleep.outcome(), Some("not-run"), "{asleep:?}");
    for daemon in [&entry, &other, &holder] {
        let response = send(daemon.callers, buy(0)).await.expect("entry answers");
        assert_ne!(response.outcome(), Some("not-run"), "{response:?}");
    }
    assert_eq!(count(standin, "buy").await, 1);
}

/// Guards against a drain that cuts off a filing, lets an unused ticket run later, or calls the
/// filing not run.
#[tokio::test]
async fn drained_holder_finishes_and_burns() {
    let Holder {
        entry,
        other,
        mut holder,
        mesh: _mesh,
    } = holder("tickets-drained", "").await;
    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    let mut unused = Vec::new();
    for _ in 0..60 {
        unused.push(request_ticket(entry.callers, REMISE, "/file").await);
    }
    let slow = request_with_ticket(&filing, REMISE, "/file", "filing", 3000, "remittance");
    let first = tokio::spawn(send(entry.callers, slow));
    wait_for_run(standin, "filing").await;
    holder.process.signal("TERM");
    let burned = first_refused(&other, unused).await;
    let response = first.await.unwrap().expect("entry answers");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(holder.process.wait(), "the holder ends without an error");
    for (id, text) in [("filing", &filing), ("burned", &burned)] {
        let response = file(&other, text, id).await;
        assert_eq!(response.outcome(), Some("unknown"), "{id}: {response:?}");
    }
    assert_eq!(count(standin, "filing").await, 1);
    assert_eq!(count(standin, &burned).await, 0);
}

/// Uses tickets, each as the id of its request, until the holder refuses one.
///
/// A holder that leaves still takes tickets for a second, so that others learn of it first.
async fn first_refused(entry: &crate::support::DaemonProcess, tickets: Vec<String>) -> String {
    for unused in tickets {
        let response = file(entry, &unused, &unused).await;
        if response.outcome().is_some() {
            return unused;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the holder took all tickets");
}

/// Guards against tickets that depend on the log store.
#[tokio::test]
async fn stopped_log_store_changes_nothing() {
    let Holder {
        mesh,
        entry,
        other,
        holder,
    } = holder("tickets-log", "").await;
    let (_upstream, standin) = holder.start_upstream("remise", 4);
    request_ticket(entry.callers, REMISE, "/file").await;
    mesh.store_process().freeze();
    let filing = request_ticket(other.callers, REMISE, "/file").await;
    for daemon in [&entry, &other, &holder] {
        let response = file(daemon, &filing, "filing").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, "remittance");
    }
    assert_eq!(count(standin, "filing").await, 1);
}
