use cornelvalve_model::UpstreamSignals;

use super::*;

fn answer(sent_ms: u64, rate_limit: RateLimitSignal) -> AnswerSignals {
    AnswerSignals {
        sent: Moment::from_millis(sent_ms),
        signals: UpstreamSignals {
            rate_limit,
            leaving: false,
        },
    }
}

// Guards against a limit that a response from before the need ends, or that the end of the need
// leaves in force.
#[test]
fn a_response_to_an_earlier_request_changes_nothing() {
    let mut limit = NamedLimit::default();
    let named = answer(20, RateLimitSignal::PerSecond(7.5));
    assert_eq!(limit.apply(&named), LimitChange::Changed);
    let earlier = answer(10, RateLimitSignal::Unlimited);
    assert_eq!(limit.apply(&earlier), LimitChange::Unchanged);
    assert_eq!(limit.enforced(), Some(7.5));
    let later = answer(30, RateLimitSignal::Unlimited);
    assert_eq!(limit.apply(&later), LimitChange::Changed);
    assert_eq!(limit.enforced(), None);
}

// Guards against a malformed limit that counts as none, and against a log line for each response.
#[test]
fn an_invalid_limit_keeps_the_known_one() {
    let mut limit = NamedLimit::default();
    limit.apply(&answer(10, RateLimitSignal::PerSecond(7.5)));
    let invalid = answer(20, RateLimitSignal::Invalid);
    assert_eq!(limit.apply(&invalid), LimitChange::Invalid);
    assert_eq!(limit.apply(&invalid), LimitChange::Unchanged);
    assert_eq!(limit.enforced(), Some(7.5));
    limit.apply(&answer(30, RateLimitSignal::PerSecond(3.0)));
    assert_eq!(limit.enforced(), Some(3.0));
}

// Guards against a daemon that starts beside an upstream in need and takes the limit that it does
// not know yet for none.
#[test]
fn a_process_that_has_not_answered_is_limited() {
    let mut limit = NamedLimit::default();
    assert_eq!(limit.enforced(), Some(UNKNOWN_LIMIT_PER_SECOND));
    assert_eq!(limit.named(), None);
    limit.apply(&answer(10, RateLimitSignal::Invalid));
    assert_eq!(limit.enforced(), Some(UNKNOWN_LIMIT_PER_SECOND));
    limit.apply(&answer(20, RateLimitSignal::Unlimited));
    assert_eq!(limit.enforced(), None);
}
