//! Attempts of one request.

use cornelvalve_model::VmName;
use cornelvalve_policy::{AttemptResult, Attempts};

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).expect("name is valid")
}

/// Counts the attempts until no further one is allowed.
fn count(mut attempts: Attempts, result: AttemptResult) -> usize {
    (1..100)
        .find(|n| !attempts.record(vm(*n), result))
        .expect("attempts end")
}

// Guards against a request that runs on one upstream more than its route allows: the first score
// saw safe requests on 3 of 2.
#[test]
fn failing_upstreams_get_no_more_attempts_than_the_route_allows() {
    for limit in 1..4 {
        let attempts = Attempts::new(limit, true);
        let count = count(attempts, AttemptResult::MayHaveRun);
        assert_eq!(count, usize::from(limit));
    }
}

// Guards against arrivals beyond the limit where upstreams refuse what they get.
#[test]
fn refusing_upstreams_get_no_more_attempts_than_the_route_allows() {
    let attempts = Attempts::new(2, false);
    assert_eq!(count(attempts, AttemptResult::RefusedByUpstream), 2);
}

// Guards against a second run of a request that may run at most once.
#[test]
fn what_may_have_run_is_not_sent_again_unless_it_may_be_repeated() {
    let mut attempts = Attempts::new(3, false);
    assert!(attempts.record(vm(1), AttemptResult::RefusedByDaemon));
    assert!(!attempts.record(vm(2), AttemptResult::MayHaveRun));
    assert!(attempts.may_have_run());
}

// Guards against a request that daemons pass around until its deadline.
#[test]
fn daemons_that_refuse_are_not_asked_for_ever() {
    let refusals = count(Attempts::new(3, true), AttemptResult::RefusedByDaemon);
    assert!(refusals <= 8, "{refusals} refusals");
    let mut attempts = Attempts::new(3, true);
    for n in 0..3 {
        assert!(!attempts.hand_back_limit_reached());
        assert!(attempts.record(vm(n), AttemptResult::HandedBack));
    }
    assert!(attempts.hand_back_limit_reached());
}
