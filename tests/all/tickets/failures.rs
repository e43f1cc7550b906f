//! Tests tickets when the daemon that issued them, the upstream or the log store fails.

use std::time::Duration;

use super::{
    Fixture, ISSUER, LEDGER_HOST, LONG_LEASE, REMISE_HOST, run_count, send_filing, start,
    wait_for_run,
};
use crate::support::{
    DaemonOptions, DaemonProcess, eventually, request_ticket, request_with_ticket, send,
};

/// Guards against a ticket that is used up although the upstream refused the connection.
#[tokio::test]
async fn ticket_stays_usable_after_a_refused_connection() {
    let Fixture {
        entry,
        issuer,
        mesh: _mesh,
        second_entry: _second_entry,
    } = start("tickets-refused", "").await;
    let (mut killed, _) = issuer.start_upstream_with("remise", 4, &LONG_LEASE);
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    killed.kill();
    let refused = send_filing(&entry, &ticket, "filing").await;
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");

    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 4);
    let response = eventually("the filing runs", || async {
        let response = send_filing(&entry, &ticket, "filing").await;
        match response.outcome() {
            Some("not-run") => Err(format!("{response:?}")),
            _ => Ok(response),
        }
    })
    .await;
    assert_eq!(
        response.status, 200,
        "the ticket is still usable: {response:?}"
    );
    assert_eq!(run_count(upstream_addr, "filing").await, 1);
}

/// Guards against a ticket for one service that lets a request to another service run.
#[tokio::test]
async fn ticket_for_another_service_is_refused() {
    let Fixture {
        entry,
        issuer,
        mesh: _mesh,
        second_entry: _second_entry,
    } = start("tickets-service", "").await;
    let (_remise, _) = issuer.start_upstream("remise", 4);
    let (_ledger, upstream_addr) = issuer.start_upstream("ledger", 4);
    // Waits until the issuer issues tickets for the other service.
    request_ticket(entry.callers, LEDGER_HOST, "/reports").await;
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    let purchase = request_with_ticket(&ticket, LEDGER_HOST, "/reports", "purchase", 0, "report 7");
    let refused = send(entry.callers, purchase).await.expect("entry responds");
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");
    assert_eq!(refused.reason(), "bad-ticket");
    assert_eq!(run_count(upstream_addr, "purchase").await, 0);
    let response = send_filing(&entry, &ticket, "filing").await;
    assert_eq!(
        response.status, 200,
        "the ticket is not used up: {response:?}"
    );
}

/// Guards against a retry that is reported as `not-run` after the issuer was killed while the
/// request was running.
#[tokio::test]
async fn outcome_is_unknown_after_the_issuer_was_killed() {
    let Fixture {
        mesh,
        entry,
        second_entry,
        mut issuer,
    } = start("tickets-killed", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 4);
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    let slow = request_with_ticket(&ticket, REMISE_HOST, "/file", "filing", 2000, "remittance");
    let first = tokio::spawn(send(entry.callers, slow));
    wait_for_run(upstream_addr, "filing").await;
    issuer.process.kill();
    let response = first.await.unwrap().expect("entry responds");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");

    // In the first rounds the entry daemons still see the issuer as alive; they may learn during
    // the later ones that it is gone.
    for round in 0..20 {
        for daemon in [&entry, &second_entry] {
            let response = send_filing(daemon, &ticket, "filing").await;
            assert_eq!(
                response.outcome(),
                Some("unknown"),
                "round {round}: {response:?}"
            );
        }
    }
    let options = DaemonOptions {
        // The upstream still announces itself at the address of the killed daemon.
        upstream_addr: Some(issuer.upstream),
        settings: "",
        ..DaemonOptions::default()
    };
    let _restarted = mesh.start_daemon_with(ISSUER, &[entry.peers], &options);
    wait_for_tickets(&entry).await;
    let response = send_filing(&second_entry, &ticket, "filing").await;
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    assert_eq!(
        run_count(upstream_addr, "filing").await,
        1,
        "the filing ran once"
    );
}

/// Ticket lifetime of 2 s, which ends while the issuer is paused.
const SHORT_LIFETIME: &str = r#""tickets": { "lifetime_ms": 2000 },"#;

/// Guards against a request that runs although its ticket expired while the issuer was paused.
#[tokio::test]
async fn paused_issuer_does_not_run_an_expired_ticket() {
    let Fixture {
        entry,
        second_entry,
        issuer,
        mesh: _mesh,
    } = start("tickets-expired", SHORT_LIFETIME).await;
    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 4);
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    issuer.process.pause();
    let first = tokio::spawn(send_owned_filing(entry.callers, ticket.clone()));
    tokio::time::sleep(Duration::from_millis(3000)).await;
    issuer.process.signal("CONT");
    // The issuer may have removed its record of an expired ticket, so it cannot tell whether the
    // ticket was used.
    let response = first.await.unwrap();
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    wait_for_tickets(&second_entry).await;
    let response = send_filing(&second_entry, &ticket, "filing").await;
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    assert_eq!(
        run_count(upstream_addr, "filing").await,
        0,
        "a request with an expired ticket never runs"
    );
}

/// Waits until the issuer accepts new tickets that are requested through the daemon `entry`.
async fn wait_for_tickets(entry: &DaemonProcess) {
    eventually("the issuer accepts tickets", || async {
        let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
        let response = send_filing(entry, &ticket, "later").await;
        (response.status == 200)
            .then_some(())
            .ok_or(format!("{response:?}"))
    })
    .await;
}

/// Sends the same request as [`send_filing`], but owns its arguments, so that it can be spawned.
async fn send_owned_filing(
    entry: std::net::SocketAddr,
    ticket: String,
) -> crate::support::Response {
    let filing = request_with_ticket(&ticket, REMISE_HOST, "/file", "filing", 0, "remittance");
    send(entry, filing).await.expect("entry responds")
}

/// Guards against a second run when the issuer is paused during the run until after the caller's
/// deadline, and retries arrive during the pause and after it.
#[tokio::test]
async fn request_runs_once_despite_a_paused_issuer() {
    let Fixture {
        entry,
        second_entry,
        issuer,
        mesh: _mesh,
    } = start("tickets-paused", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("ledger", 4);
    let ticket = request_ticket(entry.callers, LEDGER_HOST, "/reports").await;
    let purchase = |work_ms: u64| {
        request_with_ticket(&ticket, LEDGER_HOST, "/reports", "buy", work_ms, "report 7")
    };
    let mut first = purchase(1500);
    let deadline = "1000".parse().expect("header value");
    first
        .headers_mut()
        .insert("cornelvalve-deadline-ms", deadline);
    let first = tokio::spawn(send(entry.callers, first));
    wait_for_run(upstream_addr, "buy").await;
    issuer.process.pause();
    let response = first.await.unwrap().expect("entry responds");
    assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    let during_pause = tokio::spawn(send(second_entry.callers, purchase(0)));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    issuer.process.signal("CONT");
    let during_pause = during_pause.await.unwrap().expect("entry responds");
    assert_ne!(during_pause.outcome(), Some("not-run"), "{during_pause:?}");
    for daemon in [&entry, &second_entry, &issuer] {
        let response = send(daemon.callers, purchase(0))
            .await
            .expect("entry responds");
        assert_ne!(response.outcome(), Some("not-run"), "{response:?}");
    }
    assert_eq!(run_count(upstream_addr, "buy").await, 1);
}

/// Number of unused tickets; see [`first_refused`].
const UNUSED_TICKETS: usize = 60;

/// Guards against a drain that cuts off a running filing or leaves unused tickets usable
/// afterwards, and against a later request with a ticket of the issuer that is reported as
/// `not-run`.
#[tokio::test]
async fn draining_issuer_finishes_its_request_and_invalidates_unused_tickets() {
    let Fixture {
        entry,
        second_entry,
        mut issuer,
        mesh: _mesh,
    } = start("tickets-drained", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 4);
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    let mut unused_tickets = Vec::new();
    for _ in 0..UNUSED_TICKETS {
        unused_tickets.push(request_ticket(entry.callers, REMISE_HOST, "/file").await);
    }
    let slow = request_with_ticket(&ticket, REMISE_HOST, "/file", "filing", 3000, "remittance");
    let first = tokio::spawn(send(entry.callers, slow));
    wait_for_run(upstream_addr, "filing").await;
    issuer.process.signal("TERM");
    let refused_ticket = first_refused(&second_entry, unused_tickets).await;
    let response = first.await.unwrap().expect("entry responds");
    assert_eq!(response.status, 200, "{response:?}");
    assert!(issuer.process.wait(), "the issuer exits without an error");
    // Only the issuer knows whether a ticket was used, so without it the outcome is unknown.
    for (id, ticket) in [("filing", &ticket), ("refused", &refused_ticket)] {
        let response = send_filing(&second_entry, ticket, id).await;
        assert_eq!(response.outcome(), Some("unknown"), "{id}: {response:?}");
    }
    assert_eq!(run_count(upstream_addr, "filing").await, 1);
    assert_eq!(run_count(upstream_addr, &refused_ticket).await, 0);
}

/// Sends a filing for each ticket, with the ticket as its id, and returns the first ticket that the
/// issuer refuses.
///
/// A daemon that leaves accepts requests for 1 s before it drains, so that other daemons stop
/// choosing it before it refuses any. [`UNUSED_TICKETS`] requests at intervals of 50 ms take longer
/// than that.
///
/// # Panics
///
/// Panics if the issuer accepts all tickets.
async fn first_refused(entry: &crate::support::DaemonProcess, tickets: Vec<String>) -> String {
    for ticket in tickets {
        let response = send_filing(entry, &ticket, &ticket).await;
        if response.outcome().is_some() {
            return ticket;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the issuer accepted all tickets");
}

/// Guards against tickets that cannot be issued or used while the log store does not respond.
#[tokio::test]
async fn tickets_work_without_the_log_store() {
    let Fixture {
        mesh,
        entry,
        second_entry,
        issuer,
    } = start("tickets-log", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 4);
    // Waits until the issuer issues tickets.
    request_ticket(entry.callers, REMISE_HOST, "/file").await;
    mesh.store_process().pause();
    let ticket = request_ticket(second_entry.callers, REMISE_HOST, "/file").await;
    for daemon in [&entry, &second_entry, &issuer] {
        let response = send_filing(daemon, &ticket, "filing").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, "remittance");
    }
    assert_eq!(run_count(upstream_addr, "filing").await, 1);
}
