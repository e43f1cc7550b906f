//! Retry budget that daemons share without exchanging messages.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::{RetryBudgetSettings, RetryBudgetShare};

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    burst: 62.0,
    window: Duration::from_secs(10),
};

/// Simulates daemons that try to retry every request, with one request per daemon every `gap_ms`.
///
/// Returns the largest number of retries in any window and the number of requests in that window.
fn simulate(daemons: usize, gap_ms: u64, retry_probability: f64) -> (f64, f64) {
    let mut shares = vec![RetryBudgetShare::new(SETTINGS); daemons];
    let mut events = Vec::new();
    for now in (0..60_000).step_by(usize::try_from(gap_ms).expect("gap fits")) {
        for share in &mut shares {
            let moment = Moment::from_millis(now);
            share.record_request(retry_probability, moment);
            let retried = share.try_retry(daemons, moment);
            events.push((now, f64::from(u8::from(retried)) + retry_probability));
        }
    }
    let window = |start: u64| {
        let inside = events
            .iter()
            .filter(|(at, _)| (start..start + 10_000).contains(at));
        inside.fold((0.0, 0.0), |(retries, requests), (_, added)| {
            (retries + added, requests + 1.0)
        })
    };
    let windows = (0..50).map(|s| window(s * 1000));
    windows
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .expect("there are windows")
}

// Guards against daemons that together retry more requests than the common budget allows.
#[test]
fn retries_of_all_daemons_stay_within_the_common_budget() {
    for (daemons, gap_ms) in [(1, 5), (14, 60), (14, 1000), (90, 400)] {
        let (retries, requests) = simulate(daemons, gap_ms, 0.0);
        let allowed = requests * SETTINGS.ratio + SETTINGS.burst;
        assert!(
            retries <= allowed,
            "{daemons} daemons: {retries} of {allowed}"
        );
        assert!(
            retries >= requests * 0.1,
            "{daemons} daemons: only {retries}"
        );
    }
}

// Guards against nested calls that retried requests make again and that are not counted as retries.
// This exceeded the budget, with 854 attempts where 842 were allowed.
#[test]
fn nested_calls_of_retried_requests_count_as_retries() {
    let (retries, requests) = simulate(14, 60, 0.1);
    let allowed = requests * SETTINGS.ratio + SETTINGS.burst;
    assert!(retries <= allowed, "{retries} of {allowed}");
}
