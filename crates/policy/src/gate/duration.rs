//! Estimated durations of calls.

use std::time::Duration;

use cornelvalve_model::Moment;

use super::{Gate, Running, WorkKey};

/// Baseline duration assumed for a kind of call until the first one has ended.
const DEFAULT_BASELINE: Duration = Duration::from_millis(60);

/// Gain of the baseline estimate, which follows a quantile of the samples: a sample above the
/// estimate raises it by `BASELINE_STEP * BASELINE_QUANTILE` of itself, a sample below lowers it by
/// `BASELINE_STEP * (1 - BASELINE_QUANTILE)`.
const BASELINE_STEP: f64 = 0.06;

/// Quantile of the samples that the baseline estimate follows. It is below the median because a
/// call that waits for its own nested calls occupies its slot longer without more work.
const BASELINE_QUANTILE: f64 = 0.4;

/// Expected remaining length of a slow period. Corresponds to `SLOW_PERIOD_REMAINING_MS` of the
/// placement.
const SLOW_PERIOD_REMAINING: Duration = Duration::from_millis(250);

impl Gate {
    /// Returns the expected time from a free slot to the end of a call: its duration at the current
    /// speed, or the rest of the slow period and its baseline duration if that is shorter.
    pub(super) fn expected_duration(&self, key: WorkKey) -> Duration {
        let baseline = self.baseline_duration(key);
        baseline
            .mul_f64(self.slowdown)
            .min(baseline + SLOW_PERIOD_REMAINING)
    }

    /// Adjusts the baseline estimate of a kind of call by a call that has ended.
    pub(super) fn update_baseline(&mut self, running: Running, now: Moment) {
        let sample = now.since(running.started).as_secs_f64() / running.slowdown;
        let baseline = self.baselines.entry(running.work);
        let baseline = baseline.or_insert(DEFAULT_BASELINE.as_secs_f64());
        let step = if sample > *baseline {
            BASELINE_QUANTILE
        } else {
            BASELINE_QUANTILE - 1.0
        };
        *baseline *= 1.0 + BASELINE_STEP * step;
    }

    /// Returns the estimated baseline duration of a kind of call.
    #[must_use]
    pub fn baseline_duration(&self, key: WorkKey) -> Duration {
        let seconds = self.baselines.get(&key);
        seconds.map_or(DEFAULT_BASELINE, |s| Duration::from_secs_f64(*s))
    }
}
