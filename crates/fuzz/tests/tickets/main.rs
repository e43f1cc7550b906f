//! Stateful fuzzing of the ticket table against the oracle of at-most-once execution.

mod world;

use std::cell::RefCell;

use cornelvalve_fuzz::generators::tickets::{Body, Event, events};
use cornelvalve_fuzz::oracles::tickets::{Answer, TicketOracle, Violation};
use cornelvalve_fuzz::runner;
use cornelvalve_model::{Fingerprint, Moment};
use proptest::test_runner::TestCaseError;
use world::{Tally, World};

/// Cases of a normal run.
const CASES: u32 = 1_000;

/// Guards against a ticket that runs twice, a false "not run", a wrong answer and a missing or
/// second answer, under repeats, restarts, pauses, drains, lost answers and evictions.
#[test]
fn tickets_run_at_most_once() {
    let total = RefCell::new(Tally::default());
    let result = runner(CASES).run(&events(), |events| {
        let mut world = World::new();
        let verdict = world.run(&events);
        total.borrow_mut().add(world.tally());
        verdict.map_err(|violation| TestCaseError::fail(violation.to_string()))
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let total = total.into_inner();
    println!("{total:?}");
    // A generator that no longer reaches a verdict would pass without testing it.
    assert!(total.reached_all(), "{total:?}");
}

/// Guards against a time to live that is checked when the request arrives but not at dispatch.
#[test]
fn queued_request_does_not_run_after_a_long_pause() {
    let mut world = World::new();
    let queued = [
        Event::Issue(0),
        Event::Send {
            ticket: 0,
            body: Body::Original,
        },
        Event::Deliver {
            packet: 0,
            stale: false,
        },
        Event::Pause(1_400),
        Event::Dispatch(0),
    ];
    assert_eq!(world.run(&queued), Ok(()));
    assert_eq!(world.tally().runs, 0);
}

const BODY: Fingerprint = Fingerprint(1);
const NOW: Moment = Moment(1);
const EXPIRY: Moment = Moment(2);

fn oracle_with_arrivals(count: u64) -> TicketOracle {
    let mut oracle = TicketOracle::default();
    oracle.issued("t", EXPIRY);
    for number in 0..count {
        oracle.sent(number, "t", BODY);
        oracle.arrived(number, number);
    }
    oracle
}

/// Guards against an oracle that accepts two runs, or a run of a burned or expired ticket.
#[test]
fn oracle_notices_runs_that_must_not_be() {
    let mut oracle = oracle_with_arrivals(1);
    assert_eq!(oracle.ran("t", BODY, b"1", NOW), Ok(()));
    let twice = Err(Violation::RanTwice("t".into()));
    assert_eq!(oracle.ran("t", BODY, b"2", NOW), twice);

    let mut oracle = oracle_with_arrivals(1);
    assert_eq!(oracle.answered(0, &Answer::Burned), Ok(()));
    let burned = Err(Violation::RanAfterBurned("t".into()));
    assert_eq!(oracle.ran("t", BODY, b"1", NOW), burned);

    let mut oracle = oracle_with_arrivals(1);
    let expired = Err(Violation::RanExpired("t".into()));
    assert_eq!(oracle.ran("t", BODY, b"1", EXPIRY), expired);
}

/// Guards against an oracle that accepts untrue, missing or repeated answers.
#[test]
fn oracle_notices_wrong_answers() {
    let mut oracle = oracle_with_arrivals(4);
    assert_eq!(oracle.ran("t", BODY, b"1", NOW), Ok(()));
    let untrue = Err(Violation::FalseNotRun("t".into()));
    assert_eq!(oracle.answered(0, &Answer::NotRun), untrue);
    let wrong = Err(Violation::WrongAnswer("t".into()));
    assert_eq!(oracle.answered(1, &Answer::Completed(b"2".to_vec())), wrong);
    assert_eq!(oracle.answered(2, &Answer::Unknown), Ok(()));
    assert_eq!(
        oracle.answered(2, &Answer::Unknown),
        Err(Violation::AnsweredTwice(2))
    );
    assert_eq!(oracle.finished(), Err(Violation::Unanswered(0)));
}
