//! Tests of the circuit breaker.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::{AttemptOutcome, BreakerState, CircuitBreaker, ConsecutiveFailureBreaker};

/// Returns a breaker that was opened by five failures.
fn opened(now: Moment) -> ConsecutiveFailureBreaker {
    let mut breaker = ConsecutiveFailureBreaker::new();
    for _ in 0..5 {
        assert!(breaker.allows(now));
        breaker.record_outcome(AttemptOutcome::Failed, now);
    }
    breaker
}

/// Guards against a breaker that opens because requests are cancelled.
#[test]
fn cancellations_do_not_open() {
    let mut breaker = ConsecutiveFailureBreaker::new();
    for _ in 0..20 {
        breaker.record_outcome(AttemptOutcome::Cancelled, Moment(0));
    }
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against a half-open breaker that allows several attempts at once, and against one that
/// stays half-open forever after a cancelled probe.
#[test]
fn half_open_allows_one_attempt() {
    let start = Moment::from_millis(1);
    let mut breaker = opened(start);
    assert!(!breaker.allows(start));
    let later = start + Duration::from_secs(1);
    assert!(breaker.allows(later));
    assert!(!breaker.allows(later));
    breaker.record_outcome(AttemptOutcome::Cancelled, later);
    assert!(breaker.allows(later));
    breaker.record_outcome(AttemptOutcome::Failed, later);
    assert!(!breaker.allows(later));
    let last = later + Duration::from_secs(1);
    assert!(breaker.allows(last));
    breaker.record_outcome(AttemptOutcome::Answered, last);
    assert_eq!(breaker.state(), BreakerState::Closed);
}
