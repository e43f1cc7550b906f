//! Latency percentiles and failure rate of a simulation run.

use std::collections::HashMap;
use std::time::Duration;

use cornelvalve_model::Moment;

/// Result of a simulation run.
pub(crate) struct Summary {
    pub(crate) p50: Duration,
    pub(crate) p99: Duration,
    pub(crate) p999: Duration,
    /// Highest 99th percentile among groups of requests that started in the same second.
    pub(crate) worst_second: Duration,
    /// Fraction of requests that failed.
    pub(crate) failed_share: f64,
}

impl Summary {
    /// Summarizes a run from the start and latency of each successful request and the numbers of
    /// failed requests and of all requests.
    pub(crate) fn of(latencies: &mut [(Moment, Duration)], failed: u64, total: u64) -> Self {
        let mut by_second: HashMap<u64, Vec<Duration>> = HashMap::new();
        for (start, latency) in latencies.iter() {
            by_second
                .entry(start.0 / 1_000_000_000)
                .or_default()
                .push(*latency);
        }
        let mut all: Vec<Duration> = latencies.iter().map(|(_, l)| *l).collect();
        let worst = by_second.values_mut().map(|s| quantile(s, 0.99)).max();
        Self {
            p50: quantile(&mut all, 0.5),
            p99: quantile(&mut all, 0.99),
            p999: quantile(&mut all, 0.999),
            worst_second: worst.unwrap_or_default(),
            failed_share: failed as f64 / total as f64,
        }
    }
}

/// Returns the `q` quantile of the values, or zero if there are none.
fn quantile(values: &mut [Duration], q: f64) -> Duration {
    if values.is_empty() {
        return Duration::ZERO;
    }
    let index = ((values.len() - 1) as f64 * q) as usize;
    *values.select_nth_unstable(index).1
}
