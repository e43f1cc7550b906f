//! Tests of the circuit breaker.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::{AttemptOutcome, BreakerState, CircuitBreaker, ConsecutiveBreaker};

fn opened(now: Moment) -> ConsecutiveBreaker {
    let mut breaker = ConsecutiveBreaker::new();
    for _ in 0..5 {
        assert!(breaker.allows(now));
        breaker.on_end(AttemptOutcome::Failed, now);
    }
    breaker
}

/// Guards against a breaker that opens because callers give up.
#[test]
fn cancellations_do_not_open() {
    let mut breaker = ConsecutiveBreaker::new();
    for _ in 0..20 {
        breaker.on_end(AttemptOutcome::Cancelled, Moment(0));
    }
    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Guards against a burst of attempts at an endpoint that has just become half-open, and against
/// a breaker that stays half-open after a cancelled probe.
#[test]
fn half_open_lets_one_through() {
    let start = Moment::from_millis(1);
    let mut breaker = opened(start);
    assert!(!breaker.allows(start));
    let later = start + Duration::from_secs(1);
    assert!(breaker.allows(later));
    assert!(!breaker.allows(later));
    breaker.on_end(AttemptOutcome::Cancelled, later);
    assert!(breaker.allows(later));
    breaker.on_end(AttemptOutcome::Failed, later);
    assert!(!breaker.allows(later));
    let last = later + Duration::from_secs(1);
    assert!(breaker.allows(last));
    breaker.on_end(AttemptOutcome::Answered, last);
    assert_eq!(breaker.state(), BreakerState::Closed);
}
