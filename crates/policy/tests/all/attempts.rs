//! Limits on the attempts of one request.

use cornelvalve_model::VmName;
use cornelvalve_policy::{AttemptResult, Attempts};

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}")).expect("name is valid")
}

/// Records attempts with this result until none is allowed any more, and returns their number.
fn count(mut attempts: Attempts, result: AttemptResult) -> usize {
    (1..100)
        .find(|n| !attempts.record(vm(*n), result))
        .expect("attempts are limited")
}

// Guards against a repeatable request that is sent to more upstreams than its route allows, such as
// to three instead of two.
#[test]
fn failed_attempts_do_not_exceed_the_route_limit() {
    for limit in 1..4 {
        let attempts = Attempts::new(limit, true);
        let count = count(attempts, AttemptResult::MayHaveRun);
        assert_eq!(count, usize::from(limit));
    }
}

// Guards against more attempts than the route allows when upstreams refuse the request.
#[test]
fn refused_attempts_do_not_exceed_the_route_limit() {
    let attempts = Attempts::new(2, false);
    assert_eq!(count(attempts, AttemptResult::RefusedByUpstream), 2);
}

// Guards against a second run of a request that may run at most once.
#[test]
fn non_repeatable_request_is_not_retried_if_it_may_have_run() {
    let mut attempts = Attempts::new(3, false);
    assert!(attempts.record(vm(1), AttemptResult::RefusedByDaemon));
    assert!(!attempts.record(vm(2), AttemptResult::MayHaveRun));
    assert!(attempts.may_have_run());
}

// Guards against a request that daemons refuse or hand back until its deadline.
#[test]
fn refusals_and_hand_backs_by_daemons_are_limited() {
    let refusals = count(Attempts::new(3, true), AttemptResult::RefusedByDaemon);
    // Any small limit is acceptable.
    assert!(refusals <= 8, "{refusals} refusals");
    let mut attempts = Attempts::new(3, true);
    for n in 0..3 {
        assert!(!attempts.hand_back_limit_reached());
        assert!(attempts.record(vm(n), AttemptResult::HandedBack));
    }
    assert!(attempts.hand_back_limit_reached());
}
