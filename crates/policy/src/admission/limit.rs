//! Limit of requests that run at once, learned for one incarnation of an upstream.

use std::time::Duration;

use cornelvalve_model::Moment;

use super::FinishResult;

/// Limit of an upstream that has just started; required to be small, because back ends have
/// little capacity during a cold start.
const COLD_LIMIT: f64 = 2.0;

/// Connections that a target accepts.
const MAX_LIMIT: u16 = 250;

/// A success within this multiple of the baseline latency raises the limit.
const LATENCY_BOUND: f64 = 3.0;

/// A latency beyond this multiple of the baseline counts towards a cold restart.
const JUMP_BOUND: f64 = 5.0;

/// Jumps in a row after which the upstream counts as cold; one slow request is no sign.
const JUMPS_TO_COLD: u32 = 3;

/// Factor on the limit after a failure.
const FAILURE_DECREASE: f64 = 0.7;

/// Factor on the limit after a success beyond the latency bound.
const SLOW_DECREASE: f64 = 0.85;

/// Least limit, so that an upstream can show that it has recovered.
const MIN_LIMIT: f64 = 1.0;

/// Weight of a latency below the baseline; high, because warming up lowers the baseline for good.
const BASELINE_FALL: f64 = 0.3;

/// Weight of a latency above the baseline; low, so that congestion is not taken for normal.
const BASELINE_RISE: f64 = 0.02;

/// Least baseline; shorter differences are scheduling noise.
const MIN_BASELINE: Duration = Duration::from_micros(500);

#[derive(Debug)]
pub(crate) struct Limit {
    value: f64,
    slots: u16,
    baseline: Option<Duration>,
    jumps: u32,
    /// Last decrease; answers to requests of the same burst do not decrease the limit again.
    decreased: Option<Moment>,
}

impl Limit {
    pub(crate) fn new(slots: u16) -> Self {
        Self {
            value: COLD_LIMIT,
            slots,
            baseline: None,
            jumps: 0,
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
        result: FinishResult,
        service_time: Duration,
        running: u32,
        now: Moment,
    ) {
        match result {
            FinishResult::Success => self.on_success(service_time, running, now),
            FinishResult::Failure => self.decrease(FAILURE_DECREASE, now),
            FinishResult::ConnectionLost => self.turn_cold(now),
            FinishResult::Cancelled => {}
        }
    }

    fn on_success(&mut self, service_time: Duration, running: u32, now: Moment) {
        let baseline = self.baseline.unwrap_or(service_time).max(MIN_BASELINE);
        let ratio = service_time.as_secs_f64() / baseline.as_secs_f64();
        self.learn_baseline(baseline, service_time);
        if ratio > JUMP_BOUND {
            self.jumps += 1;
        } else {
            self.jumps = 0;
        }
        if self.jumps >= JUMPS_TO_COLD {
            self.turn_cold(now);
        } else if ratio > LATENCY_BOUND {
            self.decrease(SLOW_DECREASE, now);
        } else if running * 2 >= u32::from(self.current()) {
            // A limit that is mostly unused is no evidence that a larger one would hold.
            self.value = (self.value + 1.0 / self.value).min(f64::from(self.slots()));
        }
    }

    fn learn_baseline(&mut self, baseline: Duration, sample: Duration) {
        let weight = if sample < baseline {
            BASELINE_FALL
        } else {
            BASELINE_RISE
        };
        // A few answers of a cold upstream must not pass for a new baseline.
        let sample = sample.min(baseline.mul_f64(LATENCY_BOUND));
        self.baseline = Some(baseline.mul_f64(1.0 - weight) + sample.mul_f64(weight));
    }

    fn turn_cold(&mut self, now: Moment) {
        self.value = self.value.min(COLD_LIMIT);
        self.jumps = 0;
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
