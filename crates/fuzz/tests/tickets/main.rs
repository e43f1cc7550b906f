//! Fuzzes the ticket table and checks at-most-once execution with the ticket oracle.

mod simulation;

use std::cell::RefCell;

use cornelvalve_fuzz::generators::tickets::{Body, Event, events};
use cornelvalve_fuzz::oracles::tickets::{Response, TicketOracle, Violation};
use cornelvalve_fuzz::test_runner;
use cornelvalve_model::{Fingerprint, Moment};
use proptest::test_runner::TestCaseError;
use simulation::{Coverage, Simulation};

/// Number of cases unless `CORNELVALVE_FUZZ_CASES` is set.
const CASES: u32 = 1_000;

/// Guards against a ticket that runs twice, a request that ran but is reported as not run, and
/// wrong, missing or second responses, under retries, restarts, pauses, drains, lost responses and
/// evictions.
#[test]
fn tickets_run_at_most_once() {
    let total = RefCell::new(Coverage::default());
    let result = test_runner(CASES).run(&events(), |events| {
        let mut simulation = Simulation::new();
        let checked = simulation.run(&events);
        total.borrow_mut().add(simulation.coverage());
        checked.map_err(|violation| TestCaseError::fail(violation.to_string()))
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let total = total.into_inner();
    println!("{total:?}");
    // Without this check the test would also pass if the generator no longer reached some outcome.
    assert!(total.covers_all(), "{total:?}");
}

/// Guards against checking a ticket's expiry when the request arrives but not when it is
/// dispatched.
#[test]
fn queued_request_does_not_run_after_a_long_pause() {
    let mut simulation = Simulation::new();
    let queued = [
        Event::Issue(0),
        Event::Send {
            ticket: 0,
            body: Body::Original,
        },
        Event::Deliver {
            packet: 0,
            stale_clock: false,
        },
        // Longer than the lifetime of a ticket, which is 800 ms.
        Event::Pause(1_400),
        Event::Dispatch(0),
    ];
    assert_eq!(simulation.run(&queued), Ok(()));
    assert_eq!(simulation.coverage().runs, 0);
}

// Only the order of the moments matters.
const BODY: Fingerprint = Fingerprint(1);
// Only the order of these moments matters.
const NOW: Moment = Moment(1);
const EXPIRY: Moment = Moment(2);

/// Returns an oracle with one ticket and `count` requests with it that each arrived once.
fn oracle_with_arrivals(count: u64) -> TicketOracle {
    let mut oracle = TicketOracle::default();
    oracle.record_ticket("t", EXPIRY);
    for number in 0..count {
        oracle.record_request(number, "t", BODY);
        oracle.record_arrival(number, number);
    }
    oracle
}

/// Guards against an oracle that accepts two runs of a ticket, or a run of an invalidated or
/// expired ticket.
#[test]
fn oracle_detects_forbidden_runs() {
    let mut oracle = oracle_with_arrivals(1);
    assert_eq!(oracle.record_run("t", BODY, b"1", NOW), Ok(()));
    let twice = Err(Violation::RanTwice("t".into()));
    assert_eq!(oracle.record_run("t", BODY, b"2", NOW), twice);

    let mut oracle = oracle_with_arrivals(1);
    assert_eq!(
        oracle.record_daemon_response(0, &Response::Invalidated),
        Ok(())
    );
    let invalidated = Err(Violation::RanInvalidated("t".into()));
    assert_eq!(oracle.record_run("t", BODY, b"1", NOW), invalidated);

    let mut oracle = oracle_with_arrivals(1);
    let expired = Err(Violation::RanExpired("t".into()));
    assert_eq!(oracle.record_run("t", BODY, b"1", EXPIRY), expired);
}

/// Guards against an oracle that accepts false, missing or repeated responses.
#[test]
fn oracle_detects_wrong_and_missing_responses() {
    let mut oracle = oracle_with_arrivals(4);
    assert_eq!(oracle.record_run("t", BODY, b"1", NOW), Ok(()));
    let not_run = Err(Violation::FalseNotRun("t".into()));
    assert_eq!(oracle.record_daemon_response(0, &Response::NotRun), not_run);
    let wrong = Err(Violation::WrongResponse("t".into()));
    assert_eq!(
        oracle.record_daemon_response(1, &Response::Completed(b"2".to_vec())),
        wrong
    );
    assert_eq!(oracle.record_daemon_response(2, &Response::Unknown), Ok(()));
    assert_eq!(
        oracle.record_daemon_response(2, &Response::Unknown),
        Err(Violation::SecondResponse(2))
    );
    // No caller received a response. The first request is reported.
    assert_eq!(oracle.check_complete(), Err(Violation::NoResponse(0)));
}
