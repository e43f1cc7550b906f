//! Counts and latencies of one caller, merged at the end of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::report::{Counts, Latency, Window};

/// Length of the windows in which counts over time are kept.
pub(crate) const WINDOW: Duration = Duration::from_millis(100);

/// Longest latency that the histograms hold, in microseconds; callers give up before.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Digits that the histograms keep.
const DIGITS: u8 = 3;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Complete answer of the upstream.
    Completed,
    /// Complete answer of the upstream with a server error.
    Failed,
    /// Refused as not run, with the reason.
    Refused(String),
    /// Answered with the outcome `unknown`, with the reason.
    Unknown(String),
    /// The connection failed, the answer was cut short, or nothing came in time.
    Broken(String),
}

/// Result of one request.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    pub(crate) kind: usize,
    pub(crate) number: u64,
    /// Time of the intended start since the start of the measurement.
    pub(crate) offset: Duration,
    /// Time from the intended start to the end.
    pub(crate) latency: Duration,
    pub(crate) end: End,
    /// Whether the answer came after the deadline.
    pub(crate) late: bool,
}

/// Counts and latencies of one kind or window.
#[derive(Clone, Debug)]
pub(crate) struct Bin {
    pub(crate) counts: Counts,
    latencies: Histogram<u64>,
}

impl Default for Bin {
    fn default() -> Self {
        Self {
            counts: Counts::default(),
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
                .expect("the bounds are valid constants"),
        }
    }
}

impl Bin {
    fn add(&mut self, sample: &Sample) {
        self.counts.sent += 1;
        let counter = match sample.end {
            End::Completed => &mut self.counts.completed,
            End::Failed => &mut self.counts.failed,
            End::Refused(_) => &mut self.counts.refused,
            End::Unknown(_) => &mut self.counts.unknown,
            End::Broken(_) => &mut self.counts.broken,
        };
        *counter += 1;
        if sample.end == End::Completed {
            self.counts.late += u64::from(sample.late);
            let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(micros);
        }
    }

    fn merge(&mut self, other: &Self) {
        self.counts += other.counts;
        // Both have the same bounds, so that nothing can be out of range.
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

/// Everything that one caller counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) all: Bin,
    pub(crate) kinds: Vec<Bin>,
    windows: Vec<Bin>,
    pub(crate) reasons: BTreeMap<String, u64>,
    /// Numbers of the requests that were refused as not run.
    pub(crate) refused: Vec<u64>,
}

impl Tally {
    /// Creates a tally for a number of kinds and windows.
    pub(crate) fn new(kinds: usize, windows: usize) -> Self {
        Self {
            kinds: vec![Bin::default(); kinds],
            windows: vec![Bin::default(); windows],
            ..Self::default()
        }
    }

    pub(crate) fn add(&mut self, sample: &Sample) {
        self.all.add(sample);
        self.kinds[sample.kind].add(sample);
        let window = sample.offset.as_millis() / WINDOW.as_millis();
        let window = usize::try_from(window).unwrap_or(usize::MAX);
        if let Some(bin) = self.windows.get_mut(window) {
            bin.add(sample);
        }
        let reason = match &sample.end {
            End::Completed | End::Failed => return,
            End::Refused(reason) => {
                self.refused.push(sample.number);
                format!("not run: {reason}")
            }
            End::Unknown(reason) => format!("unknown: {reason}"),
            End::Broken(reason) => format!("broken: {reason}"),
        };
        *self.reasons.entry(reason).or_default() += 1;
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.all.merge(&other.all);
        for (mine, others) in self.kinds.iter_mut().zip(&other.kinds) {
            mine.merge(others);
        }
        for (mine, others) in self.windows.iter_mut().zip(&other.windows) {
            mine.merge(others);
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
            .map(|(index, bin)| Window {
                start_ms: index * u64::try_from(WINDOW.as_millis()).unwrap_or(u64::MAX),
                counts: bin.counts,
                p99_us: bin.latency().p99_us,
            })
            .collect()
    }
}
