//! Tests retries of requests with tickets.

use super::{Fixture, LEDGER_HOST, REMISE_HOST, run_count, send_filing, start, wait_for_run};
use crate::support::{eventually, request, request_ticket, request_with_ticket, send};

/// Guards against a second run, or a retry without the response of the first run, when retries
/// arrive through all daemons during the run and after it.
#[tokio::test]
async fn retries_during_and_after_the_run_get_its_response() {
    let Fixture {
        entry,
        second_entry,
        issuer,
        mesh: _mesh,
    } = start("tickets-retries", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 4);
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    let mut retries = tokio::task::JoinSet::new();
    for daemon in [&entry, &second_entry, &issuer].repeat(6) {
        let filing =
            request_with_ticket(&ticket, REMISE_HOST, "/file", "filing", 1000, "remittance");
        retries.spawn(send(daemon.callers, filing));
    }
    for response in retries.join_all().await {
        let response = response.expect("entry responds");
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, "remittance");
    }
    let late = send_filing(&second_entry, &ticket, "filing").await;
    assert_eq!(
        (late.status.as_u16(), &late.body[..]),
        (200, &b"remittance"[..])
    );
    assert_eq!(run_count(upstream_addr, "filing").await, 1);
}

/// Guards against the response of one purchase returned for the purchase of another report with the
/// same ticket.
#[tokio::test]
async fn changed_request_with_a_used_ticket_is_refused() {
    let Fixture {
        entry,
        issuer,
        mesh: _mesh,
        second_entry: _second_entry,
    } = start("tickets-changed", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("ledger", 4);
    let ticket = request_ticket(entry.callers, LEDGER_HOST, "/reports").await;
    let purchase = |id, body| request_with_ticket(&ticket, LEDGER_HOST, "/reports", id, 0, body);
    let first = send(entry.callers, purchase("first", "report 7"))
        .await
        .unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    let changed = send(entry.callers, purchase("changed", "report 8"))
        .await
        .unwrap();
    assert_eq!(changed.outcome(), Some("not-run"), "{changed:?}");
    assert_eq!(changed.reason(), "bad-ticket");
    assert_eq!(run_count(upstream_addr, "changed").await, 0);
}

/// Guards against a ticket that becomes usable again once its stored response was evicted.
#[tokio::test]
async fn outcome_is_unknown_after_the_response_was_evicted() {
    let settings = r#""tickets": { "response_bytes": 1500 },"#;
    let Fixture {
        entry,
        issuer,
        mesh: _mesh,
        second_entry: _second_entry,
    } = start("tickets-evicted", settings).await;
    let (_upstream, upstream_addr) = issuer.start_upstream("ledger", 4);
    let mut tickets = Vec::new();
    // The issuer stores responses up to 1500 bytes in total: of the first two only one fits, and
    // the third is too large to be stored at all.
    for (id, bytes) in [("first", "1000"), ("second", "1000"), ("third", "2000")] {
        let ticket = request_ticket(entry.callers, LEDGER_HOST, "/reports").await;
        let mut purchase = request_with_ticket(&ticket, LEDGER_HOST, "/reports", id, 0, id);
        let bytes = bytes.parse().expect("header value");
        purchase.headers_mut().insert("x-echo-bytes", bytes);
        let response = send(entry.callers, purchase).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        tickets.push((id, ticket));
    }
    for (id, ticket) in &tickets {
        let purchase = request_with_ticket(ticket, LEDGER_HOST, "/reports", id, 0, id);
        let response = send(entry.callers, purchase).await.unwrap();
        match *id {
            "second" => assert_eq!(response.body.len(), 1000, "{response:?}"),
            _ => assert_eq!(response.outcome(), Some("unknown"), "{id}: {response:?}"),
        }
        assert_eq!(run_count(upstream_addr, id).await, 1, "{id}");
    }
}

/// Guards against a run that is aborted when the caller disconnects: a retry must get its response.
#[tokio::test]
async fn retry_after_a_disconnect_gets_the_stored_response() {
    let Fixture {
        entry,
        second_entry,
        issuer,
        mesh: _mesh,
    } = start("tickets-disconnect", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 4);
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    let slow = request_with_ticket(&ticket, REMISE_HOST, "/file", "filing", 1500, "remittance");
    let first = tokio::spawn(send(entry.callers, slow));
    wait_for_run(upstream_addr, "filing").await;
    first.abort();
    let response = send_filing(&second_entry, &ticket, "filing").await;
    assert_eq!(
        (response.status.as_u16(), &response.body[..]),
        (200, &b"remittance"[..])
    );
    assert_eq!(run_count(upstream_addr, "filing").await, 1);
}

/// Guards against a queued filing that runs, uses up its ticket or keeps its place in the queue
/// after its caller has disconnected. A retry may arrive before the issuer has noticed the
/// disconnect and then waits for the queued filing; it must not fail because of that.
#[tokio::test]
async fn disconnect_while_queued_does_not_use_up_the_ticket() {
    let Fixture {
        entry,
        issuer,
        mesh: _mesh,
        second_entry: _second_entry,
    } = start("tickets-queue", "").await;
    let (_upstream, upstream_addr) = issuer.start_upstream("remise", 1);
    let ticket = request_ticket(entry.callers, REMISE_HOST, "/file").await;
    let blocker = [("x-request-id", "blocker"), ("x-work-ms", "2000")];
    let blocker = request("POST", REMISE_HOST, "/other", &blocker, "");
    let blocker = tokio::spawn(send(entry.callers, blocker));
    wait_for_run(upstream_addr, "blocker").await;
    let queued = request_with_ticket(&ticket, REMISE_HOST, "/file", "filing", 0, "remittance");
    let queued = tokio::spawn(send(entry.callers, queued));
    eventually("the filing is queued", || async {
        let status = issuer.ctl_json(&["status"]);
        let queued_count = status["upstreams"][0]["queued"].as_u64();
        (queued_count == Some(1))
            .then_some(())
            .ok_or(status.to_string())
    })
    .await;
    queued.abort();
    assert_eq!(blocker.await.unwrap().unwrap().status, 200);
    let response = eventually("the filing runs", || async {
        let response = send_filing(&entry, &ticket, "filing").await;
        match response.outcome() {
            Some("not-run") => Err(format!("{response:?}")),
            _ => Ok(response),
        }
    })
    .await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(run_count(upstream_addr, "filing").await, 1);
}
