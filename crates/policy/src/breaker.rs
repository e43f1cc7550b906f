//! Circuit breaker per endpoint, used only by the simulation in `examples/choice`.
//!
//! The daemon does not use it: ejection by the [`Balancer`](crate::Balancer) already covers
//! endpoints that fail fast, and a circuit breaker adds nothing to that. The example compares the
//! two.

use std::time::Duration;

use cornelvalve_model::Moment;

use crate::AttemptOutcome;

/// Number of consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 5;

/// Time for which an open breaker rejects attempts before it allows a probe.
const OPEN_DURATION: Duration = Duration::from_secs(1);

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Allows attempts.
    Closed,
    /// Rejects attempts until the given moment.
    Open(Moment),
    /// Waits for the end of the one attempt that it allowed as a probe.
    HalfOpen,
}

/// Decides whether an attempt may be sent to one endpoint.
pub trait CircuitBreaker {
    /// Returns whether an attempt may start now.
    ///
    /// An open breaker becomes half-open after a fixed time and then allows a single attempt.
    fn allows(&mut self, now: Moment) -> bool;

    /// Records how an allowed attempt ended.
    fn record_outcome(&mut self, outcome: AttemptOutcome, now: Moment);
}

/// Circuit breaker that opens after five consecutive failures.
#[derive(Clone, Debug)]
pub struct ConsecutiveFailureBreaker {
    state: BreakerState,
    consecutive_failures: u32,
}

impl ConsecutiveFailureBreaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: BreakerState::Closed,
            consecutive_failures: 0,
        }
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> BreakerState {
        self.state
    }
}

impl Default for ConsecutiveFailureBreaker {
    fn default() -> Self {
        Self::new()
    }
}

impl CircuitBreaker for ConsecutiveFailureBreaker {
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

    fn record_outcome(&mut self, outcome: AttemptOutcome, now: Moment) {
        match outcome {
            AttemptOutcome::Answered => {
                self.consecutive_failures = 0;
                self.state = BreakerState::Closed;
            }
            // The breaker does not distinguish the reasons for refusals, unlike the balancer.
            AttemptOutcome::Failed | AttemptOutcome::Refused(_) => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                if self.state == BreakerState::HalfOpen
                    || self.consecutive_failures >= FAILURES_TO_OPEN
                {
                    self.state = BreakerState::Open(now + OPEN_DURATION);
                }
            }
            // A cancelled attempt says nothing about the endpoint; the next attempt is the probe.
            AttemptOutcome::Cancelled => {
                if self.state == BreakerState::HalfOpen {
                    self.state = BreakerState::Open(now);
                }
            }
        }
    }
}

/// Circuit breaker that allows every attempt, for comparison with [`ConsecutiveFailureBreaker`].
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopBreaker;

impl CircuitBreaker for NoopBreaker {
    fn allows(&mut self, _now: Moment) -> bool {
        true
    }

    fn record_outcome(&mut self, _outcome: AttemptOutcome, _now: Moment) {}
}
