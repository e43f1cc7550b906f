//! Share of calls that fail somewhere, as recent results tell.

use std::time::Duration;

use cornelvalve_model::Moment;

/// Time in which a remembered result loses most of its weight.
const LIFE: Duration = Duration::from_secs(3);

/// Weight of a new result in the share of failures.
const RESULT_WEIGHT: f64 = 0.25;

/// Weight of a refusal to run a call against a failure: the call can be sent again, but that takes
/// time and a part of the retry budget.
const REFUSAL_WEIGHT: f64 = 0.1;

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered.
    Succeeded,
    /// It failed, or its answer was spoiled.
    Failed,
    /// It was refused and has not run.
    Refused,
}

/// Share of failing calls, forgotten with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    share: f64,
    /// Time of the last result.
    last: Option<Moment>,
}

impl FailureRate {
    /// Notes the result of a call.
    pub fn record(&mut self, result: CallResult, now: Moment) {
        let failed = match result {
            CallResult::Succeeded => 0.0,
            CallResult::Failed => 1.0,
            CallResult::Refused => REFUSAL_WEIGHT,
        };
        self.share *= self.known(now);
        self.share += (failed - self.share) * RESULT_WEIGHT;
        self.last = Some(now);
    }

    /// Returns how much of the remembered results still holds: one just after a result, zero without
    /// any.
    #[must_use]
    pub fn known(&self, now: Moment) -> f64 {
        self.last.map_or(0.0, |at| fade(now.since(at), LIFE))
    }

    /// Returns the share of failing calls where `prior` is what is assumed without results.
    #[must_use]
    pub fn rate(&self, prior: f64, now: Moment) -> f64 {
        let known = self.known(now);
        self.share * known + prior * (1.0 - known)
    }
}

/// Returns the weight of what is `age` old: one when fresh, falling exponentially.
pub(crate) fn fade(age: Duration, life: Duration) -> f64 {
    (-age.as_secs_f64() / life.as_secs_f64()).exp()
}
