//! Adaptive concurrency limit for one run of an upstream process.
//!
//! The limit starts low, grows while latencies stay near their long-term average (the baseline) and
//! falls when requests fail or slow down.

use std::time::Duration;

use cornelvalve_model::Moment;

use super::RequestResult;

/// Limit for an upstream that has just started, in requests. It must be small, because upstreams
/// have little capacity during a cold start.
const COLD_LIMIT: f64 = 2.0;

/// Upper bound of the limit, in requests, even if more slots are configured: an upstream accepts
/// this number of connections.
const MAX_LIMIT: u16 = 250;

/// The limit grows while the recent latency is at most this multiple of the baseline.
const GROWTH_RATIO: f64 = 1.5;

/// The limit is decreased when the recent latency exceeds this multiple of the baseline.
const DECREASE_RATIO: f64 = 2.0;

/// The upstream is treated as cold when the recent latency exceeds this multiple of the baseline.
const COLD_RATIO: f64 = 3.0;

/// Factor applied to the limit after a failed request.
const FAILURE_DECREASE: f64 = 0.7;

/// Factor applied to the limit when the recent latency exceeds [`DECREASE_RATIO`].
const LATENCY_DECREASE: f64 = 0.85;

/// Lower bound of the limit, in requests; an upstream that gets no requests cannot show that it has
/// recovered.
const MIN_LIMIT: f64 = 1.0;

/// Weight of a sample in the recent latency. Individual latencies vary too much to be compared with
/// the baseline: with exponentially distributed service times, comparing single samples kept the
/// limit at 2, and with a weight of 0.25, 10% of the requests still failed at half load.
const RECENT_WEIGHT: f64 = 0.1;

/// Weight of a sample in the baseline; small, so that the baseline does not follow congestion.
const BASELINE_WEIGHT: f64 = 0.01;

/// Samples are capped at this multiple of the baseline when they update it, so that a few slow
/// responses of a cold upstream do not raise it.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// A recent latency below this multiple of the baseline means that the baseline dates from the cold
/// start; it is then updated with the larger [`RECENT_WEIGHT`].
const STALE_BASELINE_RATIO: f64 = 0.5;

/// Shorter latencies are recorded as this value; differences below it are scheduling noise.
const MIN_LATENCY: Duration = Duration::from_micros(500);

/// Concurrency limit and the latency averages that it follows.
#[derive(Debug)]
pub(crate) struct Limit {
    /// Limit in requests, before rounding down and clamping to the slots.
    value: f64,
    /// Number of requests that the upstream announced it can run concurrently.
    slots: u16,
    /// Long-term average of the latency.
    baseline: Option<Duration>,
    /// Short-term average of the latency.
    recent: Duration,
    /// Number of latencies recorded so far; a float because only its reciprocal is used.
    samples: f64,
    /// Last decrease; further responses to the same burst of requests do not decrease the limit
    /// again.
    decreased_at: Option<Moment>,
}

impl Limit {
    /// Creates the limit for an upstream that has just started.
    pub(crate) fn new(slots: u16) -> Self {
        Self {
            value: COLD_LIMIT,
            slots,
            baseline: None,
            recent: Duration::ZERO,
            samples: 0.0,
            decreased_at: None,
        }
    }

    /// Returns the announced slots, clamped to between 1 and [`MAX_LIMIT`].
    pub(crate) fn slots(&self) -> u16 {
        self.slots.clamp(1, MAX_LIMIT)
    }

    /// Changes the slots; the limit is clamped to them but not reset.
    pub(crate) fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
    }

    /// Returns the number of requests that may run concurrently.
    pub(crate) fn current(&self) -> u16 {
        (self.value as u16).clamp(MIN_LIMIT as u16, self.slots())
    }

    /// Adjusts the limit to a request that ended. `running` is the number of requests that were
    /// running at the upstream, including this one.
    pub(crate) fn on_finished(
        &mut self,
        result: RequestResult,
        service_time: Duration,
        running: u32,
        now: Moment,
    ) {
        match result {
            RequestResult::Success => self.on_success(service_time, running, now),
            RequestResult::Failure => self.decrease(FAILURE_DECREASE, now),
            RequestResult::ConnectionLost => self.cap_at_cold_limit(now),
            RequestResult::Cancelled => {}
        }
    }

    /// Adjusts the limit to the latency of a successful request.
    fn on_success(&mut self, service_time: Duration, running: u32, now: Moment) {
        let ratio = self.record_latency(service_time.max(MIN_LATENCY));
        if ratio > COLD_RATIO {
            self.cap_at_cold_limit(now);
        } else if ratio > DECREASE_RATIO {
            self.decrease(LATENCY_DECREASE, now);
        } else if ratio <= GROWTH_RATIO && running * 2 >= u32::from(self.current()) {
            // While less than half of the limit is used, good latencies do not show that the
            // upstream could handle a higher limit.
            self.value = (self.value + 1.0 / self.value).min(f64::from(self.slots()));
        }
    }

    /// Updates both averages and returns the ratio of the recent latency to the previous baseline.
    fn record_latency(&mut self, sample: Duration) -> f64 {
        let baseline = self.baseline.unwrap_or(sample);
        self.samples += 1.0;
        // Until the fixed weights are larger, each average is the plain mean of all samples, so
        // that the first sample does not dominate it.
        let mean_weight = 1.0 / self.samples;
        self.recent = average(self.recent, sample, RECENT_WEIGHT.max(mean_weight));
        let ratio = self.recent.as_secs_f64() / baseline.as_secs_f64();
        let weight = if ratio < STALE_BASELINE_RATIO {
            RECENT_WEIGHT
        } else {
            BASELINE_WEIGHT.max(mean_weight)
        };
        let capped = sample.min(baseline.mul_f64(MAX_SAMPLE_RATIO));
        self.baseline = Some(average(baseline, capped, weight));
        ratio
    }

    /// Lowers the limit to [`COLD_LIMIT`] if it is higher; the latency averages are kept.
    fn cap_at_cold_limit(&mut self, now: Moment) {
        self.value = self.value.min(COLD_LIMIT);
        self.decreased_at = Some(now);
    }

    /// Multiplies the limit by `factor`, at most once per baseline latency.
    fn decrease(&mut self, factor: f64, now: Moment) {
        let window = self.baseline.unwrap_or(MIN_LATENCY);
        if self.decreased_at.is_some_and(|at| now.since(at) < window) {
            return;
        }
        self.value = (self.value * factor).max(MIN_LIMIT);
        self.decreased_at = Some(now);
    }
}

/// Returns the exponential moving average after `sample`.
fn average(old: Duration, sample: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
