//! Limit on its requests per second that an upstream process names in its responses.

use cornelvalve_model::{AnswerSignals, Moment, RateLimitSignal};

/// Requests per second that a process gets before its first response. It may be in need and have
/// told an earlier daemon.
const UNKNOWN_LIMIT_PER_SECOND: f64 = 5.0;

/// Limit that one process names.
#[derive(Clone, Copy, Debug, Default)]
pub struct NamedLimit {
    /// Whether a response has been received.
    known: bool,
    /// Limit in requests per second; `None` if the process names none.
    per_second: Option<f64>,
    /// Whether the latest response named a limit that is not a number.
    invalid: bool,
    /// Moment of the request whose response was applied last.
    as_of: Moment,
}

/// What a response changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing.
    Unchanged,
    /// The process named another limit, or none any more.
    Changed,
    /// The process began to name a limit that is not a number of requests per second.
    Invalid,
}

impl NamedLimit {
    /// Applies the limit that a response names, or that it names none.
    ///
    /// Responses overtake each other, so one to an earlier request than the last one applied is
    /// ignored. An invalid limit does not replace the one that is known.
    pub fn apply(&mut self, answer: &AnswerSignals) -> LimitChange {
        if answer.sent < self.as_of {
            return LimitChange::Unchanged;
        }
        self.as_of = answer.sent;
        let was_invalid = self.invalid;
        self.invalid = answer.signals.rate_limit == RateLimitSignal::Invalid;
        let per_second = match answer.signals.rate_limit {
            RateLimitSignal::Unlimited => None,
            RateLimitSignal::PerSecond(limit) => Some(limit),
            RateLimitSignal::Invalid if was_invalid => return LimitChange::Unchanged,
            RateLimitSignal::Invalid => return LimitChange::Invalid,
        };
        let changed = per_second != self.per_second;
        self.known = true;
        self.per_second = per_second;
        if changed {
            LimitChange::Changed
        } else {
            LimitChange::Unchanged
        }
    }

    /// Returns the limit that the process names; `None` if it names none.
    #[must_use]
    pub fn named(&self) -> Option<f64> {
        self.per_second
    }

    /// Returns the limit on the starts per second; `None` if there is none.
    #[must_use]
    pub fn enforced(&self) -> Option<f64> {
        if self.known {
            self.per_second
        } else {
            self.per_second.or(Some(UNKNOWN_LIMIT_PER_SECOND))
        }
    }
}

#[cfg(test)]
mod tests;
