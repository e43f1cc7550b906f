//! Limit of requests that run at once, learned for one incarnation of an upstream.

use std::time::Duration;

use cornelvalve_model::Moment;

use super::RequestResult;

/// Limit of an upstream that has just started; required to be small, because back ends have
/// little capacity during a cold start.
const COLD_LIMIT: f64 = 2.0;

/// Connections that a target accepts.
const MAX_LIMIT: u16 = 250;

/// The limit rises while the recent latency is within this multiple of the baseline.
const GROWTH_BOUND: f64 = 1.5;

/// The limit falls when the recent latency is beyond this multiple of the baseline.
const LATENCY_BOUND: f64 = 2.0;

/// The upstream counts as cold when the recent latency is beyond this multiple of the baseline.
const JUMP_BOUND: f64 = 3.0;

/// Factor on the limit after a failure.
const FAILURE_DECREASE: f64 = 0.7;

/// Factor on the limit after a success beyond the latency bound.
const SLOW_DECREASE: f64 = 0.85;

/// Least limit, so that an upstream can show that it has recovered.
const MIN_LIMIT: f64 = 1.0;

/// Weight of a sample in the recent latency. Single latencies spread too much to be compared with
/// the baseline: with exponential service times, bounds on single samples kept the limit at 2, and
/// a weight of 0.25 still lost a tenth of the requests at half load.
const RECENT_WEIGHT: f64 = 0.1;

/// Weight of a sample in the baseline; small, so that congestion is not soon taken for normal.
const BASELINE_WEIGHT: f64 = 0.01;

/// Largest ratio to the baseline that a sample counts with, so that a few answers of a cold
/// upstream do not pass for a new baseline.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// While the recent latency is below this multiple of the baseline, the baseline follows faster,
/// because the upstream has warmed up.
const WARMED_RATIO: f64 = 0.5;

/// Least baseline; shorter differences are scheduling noise.
const MIN_BASELINE: Duration = Duration::from_micros(500);

#[derive(Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: u16,
    baseline: Option<Duration>,
    recent: Duration,
    samples: f64,
    /// Last decrease; answers to requests of the same burst do not decrease the limit again.
    decreased: Option<Moment>,
}

impl Limit {
    pub(crate) fn new(slots: u16) -> Self {
        Self {
            value: COLD_LIMIT,
            slots,
            baseline: None,
            recent: Duration::ZERO,
            samples: 0.0,
            decreased: None,
        }
    }

    pub(crate) fn slots(&self) -> u16 {
        self.slots.clamp(1, MAX_LIMIT)
    }

    pub(crate) fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
    }

    pub(crate) fn current(&self) -> u16 {
        (self.value as u16).clamp(MIN_LIMIT as u16, self.slots())
    }

    /// Learns from a request that ended; `running` includes it.
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
            RequestResult::ConnectionLost => self.turn_cold(now),
            RequestResult::Cancelled => {}
        }
    }

    fn on_success(&mut self, service_time: Duration, running: u32, now: Moment) {
        let ratio = self.learn_latency(service_time.max(MIN_BASELINE));
        if ratio > JUMP_BOUND {
            self.turn_cold(now);
        } else if ratio > LATENCY_BOUND {
            self.decrease(SLOW_DECREASE, now);
        } else if ratio <= GROWTH_BOUND && running * 2 >= u32::from(self.current()) {
            // A limit that is mostly unused is no evidence that a larger one would hold.
            self.value = (self.value + 1.0 / self.value).min(f64::from(self.slots()));
        }
    }

    /// Takes a latency into both averages and returns the ratio of the recent one to the baseline.
    fn learn_latency(&mut self, sample: Duration) -> f64 {
        let baseline = self.baseline.unwrap_or(sample);
        self.samples += 1.0;
        // The first samples count equally, so that none of them alone is the baseline.
        let first = 1.0 / self.samples;
        self.recent = average(self.recent, sample, RECENT_WEIGHT.max(first));
        let ratio = self.recent.as_secs_f64() / baseline.as_secs_f64();
        let weight = if ratio < WARMED_RATIO {
            RECENT_WEIGHT
        } else {
            BASELINE_WEIGHT.max(first)
        };
        let bounded = sample.min(baseline.mul_f64(MAX_SAMPLE_RATIO));
        self.baseline = Some(average(baseline, bounded, weight));
        ratio
    }

    fn turn_cold(&mut self, now: Moment) {
        self.value = self.value.min(COLD_LIMIT);
        self.decreased = Some(now);
    }

    fn decrease(&mut self, factor: f64, now: Moment) {
        let window = self.baseline.unwrap_or(MIN_BASELINE);
        if self.decreased.is_some_and(|at| now.since(at) < window) {
            return;
        }
        self.value = (self.value * factor).max(MIN_LIMIT);
        self.decreased = Some(now);
    }
}

fn average(old: Duration, sample: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
