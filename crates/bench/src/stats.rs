//! Counts and latencies of the requests of one caller. Those of all callers are merged at the end.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::report::{Counts, Latency, Window};

/// Length of the time windows for which counts are kept separately.
pub(crate) const WINDOW: Duration = Duration::from_millis(100);

/// Longest latency that the histograms can record, in microseconds. Longer ones are recorded as
/// this value. Callers give up earlier unless a deadline is about that long.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Number of significant digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of a request, as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The upstream sent a complete response with a success status.
    Completed,
    /// The upstream sent a complete response with another status.
    Failed,
    /// A daemon refused the request as not run, for this reason.
    Refused(String),
    /// A daemon responded that the request may have run, with this reason.
    Unknown(String),
    /// The connection failed, the response was truncated, or none came in time.
    Broken(String),
}

/// Measured result of one request.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Index of the request kind in the mix.
    pub(crate) kind: usize,
    /// Sequence number within the variant, and the request id if runs are tracked.
    pub(crate) number: u64,
    /// Scheduled time of the request since the start of the measurement.
    pub(crate) offset: Duration,
    /// Time from the scheduled time to the end of the request.
    pub(crate) latency: Duration,
    pub(crate) outcome: RequestOutcome,
    /// Whether the request ended after its deadline.
    pub(crate) late: bool,
}

/// Counts and latencies of a group of requests, such as one kind or window.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeStats {
    pub(crate) counts: Counts,
    latencies: Histogram<u64>,
}

impl Default for OutcomeStats {
    fn default() -> Self {
        Self {
            counts: Counts::default(),
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid constants"),
        }
    }
}

impl OutcomeStats {
    fn add(&mut self, sample: &Sample) {
        self.counts.sent += 1;
        let counter = match sample.outcome {
            RequestOutcome::Completed => &mut self.counts.completed,
            RequestOutcome::Failed => &mut self.counts.failed,
            RequestOutcome::Refused(_) => &mut self.counts.refused,
            RequestOutcome::Unknown(_) => &mut self.counts.unknown,
            RequestOutcome::Broken(_) => &mut self.counts.broken,
        };
        *counter += 1;
        if sample.outcome == RequestOutcome::Completed {
            // Only completed requests are counted as late.
            self.counts.late += u64::from(sample.late);
            let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(micros);
        }
    }

    fn merge(&mut self, other: &Self) {
        self.counts += other.counts;
        // Adding fails only for values out of range, and both histograms have the same range.
        let _ = self.latencies.add(&other.latencies);
    }

    /// Returns the latencies of completed requests.
    pub(crate) fn latency(&self) -> Latency {
        let h = &self.latencies;
        Latency {
            mean_us: h.mean(),
            p50_us: h.value_at_quantile(0.5),
            p90_us: h.value_at_quantile(0.9),
            p99_us: h.value_at_quantile(0.99),
            p999_us: h.value_at_quantile(0.999),
            max_us: h.max(),
        }
    }
}

/// Counts and latencies of one caller, or of several after merging.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerStats {
    pub(crate) all: OutcomeStats,
    pub(crate) kinds: Vec<OutcomeStats>,
    windows: Vec<OutcomeStats>,
    /// Number of refused, unknown and broken requests by reason.
    pub(crate) reasons: BTreeMap<String, u64>,
    /// Sequence numbers of the requests that were refused as not run.
    pub(crate) refused: Vec<u64>,
}

impl CallerStats {
    /// Creates empty statistics for a number of request kinds and windows.
    pub(crate) fn new(kinds: usize, windows: usize) -> Self {
        Self {
            kinds: vec![OutcomeStats::default(); kinds],
            windows: vec![OutcomeStats::default(); windows],
            ..Self::default()
        }
    }

    pub(crate) fn add(&mut self, sample: &Sample) {
        self.all.add(sample);
        self.kinds[sample.kind].add(sample);
        let window = sample.offset.as_millis() / WINDOW.as_millis();
        let window = usize::try_from(window).unwrap_or(usize::MAX);
        if let Some(stats) = self.windows.get_mut(window) {
            stats.add(sample);
        }
        let reason = match &sample.outcome {
            RequestOutcome::Completed | RequestOutcome::Failed => return,
            RequestOutcome::Refused(reason) => {
                self.refused.push(sample.number);
                format!("not run: {reason}")
            }
            RequestOutcome::Unknown(reason) => format!("unknown: {reason}"),
            RequestOutcome::Broken(reason) => format!("broken: {reason}"),
        };
        *self.reasons.entry(reason).or_default() += 1;
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.all.merge(&other.all);
        for (own, other) in self.kinds.iter_mut().zip(&other.kinds) {
            own.merge(other);
        }
        for (own, other) in self.windows.iter_mut().zip(&other.windows) {
            own.merge(other);
        }
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
        self.refused.extend(&other.refused);
    }

    /// Returns the windows for the report.
    pub(crate) fn windows(&self) -> Vec<Window> {
        let windows = (0_u64..).zip(&self.windows);
        windows
            .map(|(index, stats)| Window {
                start_ms: index * u64::try_from(WINDOW.as_millis()).unwrap_or(u64::MAX),
                counts: stats.counts,
                p99_us: stats.latency().p99_us,
            })
            .collect()
    }
}
