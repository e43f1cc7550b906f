//! Failure rate of the calls to one target, estimated from their recent results.

use std::time::Duration;

use cornelvalve_model::Moment;

/// Time constant with which recorded results lose their weight.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Weight of a new result in the moving average.
const RESULT_WEIGHT: f64 = 0.25;

/// Weight of a refused call relative to a failed one: the call can be sent again, but that takes
/// time and uses the retry budget.
const REFUSAL_WEIGHT: f64 = 0.1;

/// Result of a call at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The upstream answered the call successfully.
    Succeeded,
    /// The call failed, or its answer was incomplete or invalid.
    Failed,
    /// The upstream refused the call and has not run it.
    Refused,
}

/// Exponential moving average of the failures among recent calls.
///
/// A refused call counts as a fraction of a failure. The weight of the average decreases with the
/// time since the last result; the remaining weight goes to a prior that the caller passes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    average: f64,
    /// Moment of the last result; `None` without any result.
    last: Option<Moment>,
}

impl FailureRate {
    /// Records the result of a call.
    pub fn record(&mut self, result: CallResult, now: Moment) {
        let failed = match result {
            CallResult::Succeeded => 0.0,
            CallResult::Failed => 1.0,
            CallResult::Refused => REFUSAL_WEIGHT,
        };
        self.average *= self.weight(now);
        self.average += (failed - self.average) * RESULT_WEIGHT;
        self.last = Some(now);
    }

    /// Returns the weight of the recorded results: one just after a result, zero without any.
    #[must_use]
    pub fn weight(&self, now: Moment) -> f64 {
        self.last
            .map_or(0.0, |at| decay(now.since(at), TIME_CONSTANT))
    }

    /// Returns the estimated failure rate, between 0 and 1.
    ///
    /// `prior` is the rate that is assumed without results; its weight grows with the age of the
    /// last result.
    #[must_use]
    pub fn rate(&self, prior: f64, now: Moment) -> f64 {
        let weight = self.weight(now);
        self.average * weight + prior * (1.0 - weight)
    }
}

/// Returns the weight of a value that is `age` old: one when fresh, decaying exponentially.
pub(crate) fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
