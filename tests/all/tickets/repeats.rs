//! Repeats of requests with tickets.

use super::{Holder, LEDGER, REMISE, count, file, holder, wait_for_run};
use crate::support::{eventually, request, request_ticket, request_with_ticket, send};

/// Guards against a second run, and a missing answer, when repeats arrive through all daemons at
/// once and late.
#[tokio::test]
async fn repeats_at_once_and_late_get_the_one_answer() {
    let Holder {
        entry,
        other,
        holder,
        mesh: _mesh,
    } = holder("tickets-repeats", "").await;
    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    let mut repeats = tokio::task::JoinSet::new();
    for daemon in [&entry, &other, &holder].repeat(6) {
        let filing = request_with_ticket(&filing, REMISE, "/file", "filing", 1000, "remittance");
        repeats.spawn(send(daemon.callers, filing));
    }
    for response in repeats.join_all().await {
        let response = response.expect("entry answers");
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, "remittance");
    }
    let late = file(&other, &filing, "filing").await;
    assert_eq!(
        (late.status.as_u16(), &late.body[..]),
        (200, &b"remittance"[..])
    );
    assert_eq!(count(standin, "filing").await, 1);
}

/// Guards against the answer of one purchase given to the buyer of another report.
#[tokio::test]
async fn changed_request_is_refused() {
    let Holder {
        entry,
        holder,
        mesh: _mesh,
        other: _other,
    } = holder("tickets-changed", "").await;
    let (_upstream, standin) = holder.start_upstream("ledger", 4);
    let purchase = request_ticket(entry.callers, LEDGER, "/reports").await;
    let buy = |id, body| request_with_ticket(&purchase, LEDGER, "/reports", id, 0, body);
    let first = send(entry.callers, buy("first", "report 7")).await.unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    let changed = send(entry.callers, buy("changed", "report 8"))
        .await
        .unwrap();
    assert_eq!(changed.outcome(), Some("not-run"), "{changed:?}");
    assert_eq!(changed.reason(), "bad-ticket");
    assert_eq!(count(standin, "changed").await, 0);
}

/// Guards against an evicted answer that makes its ticket usable again.
#[tokio::test]
async fn evicted_answer_leaves_the_outcome_open() {
    let settings = r#""tickets": { "response_bytes": 1500 },"#;
    let Holder {
        entry,
        holder,
        mesh: _mesh,
        other: _other,
    } = holder("tickets-evicted", settings).await;
    let (_upstream, standin) = holder.start_upstream("ledger", 4);
    let mut bought = Vec::new();
    // Two answers of this size do not fit, and the third does not fit alone.
    for (id, bytes) in [("first", "1000"), ("second", "1000"), ("third", "2000")] {
        let purchase = request_ticket(entry.callers, LEDGER, "/reports").await;
        let mut buy = request_with_ticket(&purchase, LEDGER, "/reports", id, 0, id);
        let bytes = bytes.parse().expect("header value");
        buy.headers_mut().insert("x-echo-bytes", bytes);
        let response = send(entry.callers, buy).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        bought.push((id, purchase));
    }
    for (id, purchase) in &bought {
        let buy = request_with_ticket(purchase, LEDGER, "/reports", id, 0, id);
        let response = send(entry.callers, buy).await.unwrap();
        match *id {
            "second" => assert_eq!(response.body.len(), 1000, "{response:?}"),
            _ => assert_eq!(response.outcome(), Some("unknown"), "{id}: {response:?}"),
        }
        assert_eq!(count(standin, id).await, 1, "{id}");
    }
}

/// Guards against a run that depends on the caller's connection: its repeat must get the answer.
#[tokio::test]
async fn caller_that_left_gets_the_stored_answer() {
    let Holder {
        entry,
        other,
        holder,
        mesh: _mesh,
    } = holder("tickets-left", "").await;
    let (_upstream, standin) = holder.start_upstream("remise", 4);
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    let slow = request_with_ticket(&filing, REMISE, "/file", "filing", 1500, "remittance");
    let first = tokio::spawn(send(entry.callers, slow));
    wait_for_run(standin, "filing").await;
    first.abort();
    let response = file(&other, &filing, "filing").await;
    assert_eq!(
        (response.status.as_u16(), &response.body[..]),
        (200, &b"remittance"[..])
    );
    assert_eq!(count(standin, "filing").await, 1);
}

/// Guards against a queued filing that runs after its caller left, that keeps its ticket or its
/// place, or that loses a repeat which waits for it.
#[tokio::test]
async fn caller_that_leaves_the_queue_does_not_use_up_the_ticket() {
    let Holder {
        entry,
        holder,
        mesh: _mesh,
        other: _other,
    } = holder("tickets-queue", "").await;
    let (_upstream, standin) = holder.start_upstream("remise", 1);
    let filing = request_ticket(entry.callers, REMISE, "/file").await;
    let blocker = [("x-request-id", "blocker"), ("x-work-ms", "2000")];
    let blocker = request("POST", REMISE, "/other", &blocker, "");
    let blocker = tokio::spawn(send(entry.callers, blocker));
    wait_for_run(standin, "blocker").await;
    let queued = request_with_ticket(&filing, REMISE, "/file", "filing", 0, "remittance");
    let queued = tokio::spawn(send(entry.callers, queued));
    eventually("the filing is queued", || async {
        let status = holder.ctl_json(&["status"]);
        let waiting = status["upstreams"][0]["queued"].as_u64();
        (waiting == Some(1)).then_some(()).ok_or(status.to_string())
    })
    .await;
    queued.abort();
    assert_eq!(blocker.await.unwrap().unwrap().status, 200);
    let response = eventually("the filing runs", || async {
        let response = file(&entry, &filing, "filing").await;
        match response.outcome() {
            Some("not-run") => Err(format!("{response:?}")),
            _ => Ok(response),
        }
    })
    .await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(count(standin, "filing").await, 1);
}
