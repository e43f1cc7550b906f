//! Tests of the retry decision and of the retry and hedge budgets.

use std::time::Duration;

use cornelvalve_model::{Outcome, Reason, RequestClass};
use cornelvalve_policy::{HedgeBudget, RetryBudget, RetryDecision, retry_decision};

const AMPLE_TIME: Duration = Duration::from_secs(1);

/// Returns whether a first attempt with this outcome is retried.
fn is_retried(class: RequestClass, outcome: Outcome) -> bool {
    retry_decision(class, outcome, Reason::Connection, 1, AMPLE_TIME, true) == RetryDecision::Retry
}

/// Guards against retrying a request that may have run and is not idempotent.
#[test]
fn only_safe_requests_are_retried() {
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
        assert_eq!(is_retried(class, outcome), retried, "{class} {outcome}");
    }
}

/// Guards against retries beyond the maximum number of attempts, after the deadline, without a
/// replayable body, or for a reason that would recur at the next upstream, and against retries of a
/// crash suspect, which could crash the next upstream too.
#[test]
fn retries_stop_at_limits() {
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
        decide(Reason::Overloaded, 2, AMPLE_TIME, true),
        RetryDecision::Retry
    );
    assert_eq!(
        decide(Reason::Overloaded, 3, AMPLE_TIME, true),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::Overloaded, 1, Duration::ZERO, true),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::Overloaded, 1, AMPLE_TIME, false),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::CrashSuspect, 1, AMPLE_TIME, true),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(Reason::HomeRegion, 1, AMPLE_TIME, true),
        RetryDecision::Stop
    );
}

/// Guards against retries that multiply the load during an outage. Of 1,000 requests, 103 may be
/// retried: 10% and the three initial tokens.
#[test]
fn retries_are_limited_to_ten_percent() {
    let mut budget = RetryBudget::new();
    let mut taken = 0;
    for _ in 0..1_000 {
        budget.on_request();
        taken += u32::from(budget.try_take());
    }
    assert_eq!(taken, 103);
}

/// Guards against hedging requests that are not idempotent, and against a hedge delay far below the
/// 95th percentile of the latency, which would hedge too many requests.
#[test]
fn only_idempotent_requests_are_hedged() {
    let mut budget = HedgeBudget::new();
    assert!(!budget.try_take(RequestClass::Idempotent));
    // Latencies are spread evenly between 10 ms and 109 ms, so the 95th percentile is about 105 ms.
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
    // The budget holds five tokens at most.
    let taken = (0..100)
        .filter(|_| budget.try_take(RequestClass::Idempotent))
        .count();
    assert_eq!(taken, 5);
}
