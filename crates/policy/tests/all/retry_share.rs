//! The retry budget that daemons share without talking.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::{RetryBudgetSettings, RetryBudgetShare};

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    burst: 62.0,
    window: Duration::from_secs(10),
};

/// Plays daemons that want to repeat every request; returns the most retries in any window and the
/// requests in that window.
fn play(daemons: usize, gap_ms: u64, repeated: f64) -> (f64, f64) {
    let mut shares = vec![RetryBudgetShare::new(SETTINGS); daemons];
    let mut events = Vec::new();
    for now in (0..60_000).step_by(usize::try_from(gap_ms).expect("test set-up works")) {
        for share in &mut shares {
            let moment = Moment::from_millis(now);
            share.record_request(repeated, moment);
            let retried = share.try_retry(daemons, moment);
            events.push((now, f64::from(u8::from(retried)) + repeated));
        }
    }
    let window = |start: u64| {
        let inside = events
            .iter()
            .filter(|(at, _)| (start..start + 10_000).contains(at));
        inside.fold((0.0, 0.0), |(retries, requests), (_, more)| {
            (retries + more, requests + 1.0)
        })
    };
    let windows = (0..50).map(|s| window(s * 1000));
    windows
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .expect("test set-up works")
}

// Guards against daemons that together repeat more than the whole system may.
#[test]
fn all_daemons_together_stay_within_the_common_budget() {
    for (daemons, gap_ms) in [(1, 5), (14, 60), (14, 1000), (90, 400)] {
        let (retries, requests) = play(daemons, gap_ms, 0.0);
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

// Guards against calls that repeated requests make again and nobody counts: caaq scale-1 saw 854
// arrivals of 842 allowed.
#[test]
fn calls_of_repeats_count_as_retries() {
    let (retries, requests) = play(14, 60, 0.1);
    let allowed = requests * SETTINGS.ratio + SETTINGS.burst;
    assert!(retries <= allowed, "{retries} of {allowed}");
}
