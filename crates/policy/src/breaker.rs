//! Circuit breaker, a candidate that was measured against admission and ejection.
//!
//! It prevents failures under fast failure as ejection does and nothing more, so the daemon does not
//! use it; the example `choice` repeats the measurement.

use std::time::Duration;

use cornelvalve_model::Moment;

use crate::AttemptOutcome;

/// Failures in a row that open the breaker.
const OPEN_AFTER: u32 = 5;

/// Time for which an open breaker rejects before it lets one attempt through.
const OPEN_FOR: Duration = Duration::from_secs(1);

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Lets attempts through.
    Closed,
    /// Rejects attempts until the given moment.
    Open(Moment),
    /// Waits for the end of one attempt that it let through.
    HalfOpen,
}

/// Decides per endpoint whether an attempt may be made.
pub trait CircuitBreaker {
    /// Tells whether an attempt may start now; a half-open breaker lets one through.
    fn allows(&mut self, now: Moment) -> bool;

    /// Takes the end of an attempt that was let through.
    fn on_end(&mut self, outcome: AttemptOutcome, now: Moment);
}

/// Opens after several failures in a row.
#[derive(Clone, Debug)]
pub struct ConsecutiveBreaker {
    state: BreakerState,
    failures: u32,
}

impl ConsecutiveBreaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: BreakerState::Closed,
            failures: 0,
        }
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> BreakerState {
        self.state
    }
}

impl Default for ConsecutiveBreaker {
    fn default() -> Self {
        Self::new()
    }
}

impl CircuitBreaker for ConsecutiveBreaker {
    fn allows(&mut self, now: Moment) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open(until) if now >= until => {
                self.state = BreakerState::HalfOpen;
                true
            }
            BreakerState::Open(_) | BreakerState::HalfOpen => false,
        }
    }

    fn on_end(&mut self, outcome: AttemptOutcome, now: Moment) {
        match outcome {
            AttemptOutcome::Answered => {
                self.failures = 0;
                self.state = BreakerState::Closed;
            }
            AttemptOutcome::Failed | AttemptOutcome::Refused(_) => {
                self.failures = self.failures.saturating_add(1);
                if self.state == BreakerState::HalfOpen || self.failures >= OPEN_AFTER {
                    self.state = BreakerState::Open(now + OPEN_FOR);
                }
            }
            // A caller that gave up says nothing about the endpoint; the next attempt probes it.
            AttemptOutcome::Cancelled => {
                if self.state == BreakerState::HalfOpen {
                    self.state = BreakerState::Open(now);
                }
            }
        }
    }
}

/// Lets every attempt through; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct NeverBreaks;

impl CircuitBreaker for NeverBreaks {
    fn allows(&mut self, _now: Moment) -> bool {
        true
    }

    fn on_end(&mut self, _outcome: AttemptOutcome, _now: Moment) {}
}
