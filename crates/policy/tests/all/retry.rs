//! Tests of the retry decision and of the budgets.

use std::time::Duration;

use cornelvalve_model::{Outcome, Reason, RequestClass};
use cornelvalve_policy::{HedgeBudget, RetryBudget, RetryDecision, retry_decision};

const PLENTY: Duration = Duration::from_secs(1);

fn retries(class: RequestClass, outcome: Outcome) -> bool {
    retry_decision(class, outcome, Reason::Connection, 1, PLENTY, true) == RetryDecision::Retry
}

/// Guards against a second run of a request that may have run and may not be repeated.
#[test]
fn only_safe_repeats_are_retried() {
    let expected = [
        (RequestClass::Idempotent, Outcome::NotRun, true),
        (RequestClass::Idempotent, Outcome::Unknown, true),
        (RequestClass::Idempotent, Outcome::Completed, false),
        (RequestClass::ByMethod, Outcome::NotRun, true),
        (RequestClass::ByMethod, Outcome::Unknown, false),
        (RequestClass::ByMethod, Outcome::Completed, false),
        (RequestClass::AtMostOnce, Outcome::NotRun, false),
        (RequestClass::AtMostOnce, Outcome::Unknown, false),
        (RequestClass::AtMostOnce, Outcome::Completed, false),
    ];
    for (class, outcome, retried) in expected {
        assert_eq!(retries(class, outcome), retried, "{class} {outcome}");
    }
}

/// Guards against retries that cannot succeed or that spread a crash.
#[test]
fn bounds_hold_for_idempotent_requests() {
    let decide = |reason, attempts, time_left, replayable| {
        let class = RequestClass::Idempotent;
        retry_decision(
            class,
            Outcome::NotRun,
            reason,
            attempts,
            time_left,
            replayable,
        )
    };
    assert_eq!(
        decide(Reason::Overloaded, 2, PLENTY, true),
        RetryDecision::Retry
    );
    assert_eq!(
        decide(Reason::Overloaded, 3, PLENTY, true),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::Overloaded, 1, Duration::ZERO, true),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::Overloaded, 1, PLENTY, false),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::CrashSuspect, 1, PLENTY, true),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::HomeRegion, 1, PLENTY, true),
        RetryDecision::Stop
    );
}

/// Guards against retries that multiply the load during an outage.
#[test]
fn retries_stay_within_a_tenth() {
    let mut budget = RetryBudget::new();
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.on_request();
        taken += u32::from(budget.try_take());
    }
    assert_eq!(taken, 103);
}

/// Guards against hedges of requests that may not be repeated, and against hedges at the median.
#[test]
fn hedges_are_rare_and_idempotent() {
    let mut budget = HedgeBudget::new();
    assert!(!budget.try_take(RequestClass::Idempotent));
    for n in 0..10_000_u64 {
        budget.on_request();
        budget.on_latency(Duration::from_millis(10 + n * 7 % 100));
    }
    let delay = budget.delay();
    assert!(
        delay > Duration::from_millis(90) && delay < Duration::from_millis(115),
        "{delay:?}"
    );
    assert!(!budget.try_take(RequestClass::AtMostOnce));
    assert!(!budget.try_take(RequestClass::ByMethod));
    let taken = (0..100)
        .filter(|_| budget.try_take(RequestClass::Idempotent))
        .count();
    assert_eq!(taken, 5);
}
