//! Retry and hedging policy: which requests may be sent again, and budgets for the extra load.
//!
//! A hedge is a second attempt that is sent while the first one is still running, if that one takes
//! unusually long.

use std::time::Duration;

use cornelvalve_model::{Outcome, Reason, RequestClass};

/// Maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Minimum time before the deadline for another attempt; establishing a connection alone takes
/// about 1 ms.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// Retry tokens earned per new request, so that retries add at most 10% to the load.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;

/// Initial retry tokens, so that a service with few requests can retry before it earns a token.
const INITIAL_RETRY_TOKENS: f64 = 3.0;

/// Maximum number of retry tokens; bounds a burst of retries after a period without any.
const MAX_RETRY_TOKENS: f64 = 20.0;

/// Hedge tokens earned per new request. A hedge is due after about the 95th percentile of the
/// latency, so about one request in twenty needs one.
const HEDGE_TOKENS_PER_REQUEST: f64 = 0.05;

/// Maximum number of hedge tokens; bounds a burst of hedges.
const MAX_HEDGE_TOKENS: f64 = 5.0;

/// Step size of the quantile estimator: one sample moves the estimate by less than this fraction.
const QUANTILE_STEP: f64 = 0.02;

/// Latency quantile after which a hedge is sent, the 95th percentile.
const HEDGE_QUANTILE: f64 = 0.95;

/// Hedge delay until a latency has been observed.
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Minimum hedge delay, so that scheduling noise does not cause hedges for fast services.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Whether a request may be sent again after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt is allowed if the retry budget has a token.
    Retry,
    /// No further attempt; the outcome is returned to the caller.
    Stop,
}

/// Decides whether a request may be sent again after an attempt that got no answer.
///
/// `class` must be the result of [`RequestClass::resolve`], which classifies GET, PUT and other
/// idempotent methods; an unresolved [`RequestClass::ByMethod`] is treated as not idempotent.
/// `attempts` is the number of attempts made so far. `body_replayable` tells whether the request
/// body can be sent again.
#[must_use]
pub fn retry_decision(
    class: RequestClass,
    outcome: Outcome,
    reason: Reason,
    attempts: u32,
    time_left: Duration,
    body_replayable: bool,
) -> RetryDecision {
    let safe_to_repeat = match (class, outcome) {
        // At-most-once requests are not retried, not even if they did not run. Their ticket, an
        // idempotency key, is valid only at the daemon that issued it, and a request without a
        // ticket may be sent only once.
        (RequestClass::AtMostOnce, _) | (_, Outcome::Completed) => false,
        (_, Outcome::NotRun) | (RequestClass::Idempotent, Outcome::Unknown) => true,
        (RequestClass::ByMethod, Outcome::Unknown) => false,
    };
    let allowed = safe_to_repeat
        && body_replayable
        && attempts < MAX_ATTEMPTS
        && time_left >= MIN_TIME_LEFT
        && may_succeed_elsewhere(reason);
    if allowed {
        RetryDecision::Retry
    } else {
        RetryDecision::Stop
    }
}

/// Returns whether the request may succeed at another daemon or upstream.
fn may_succeed_elsewhere(reason: Reason) -> bool {
    match reason {
        Reason::NoConfiguration
        | Reason::NoUpstream
        | Reason::DomainOut
        | Reason::Draining
        | Reason::Overloaded
        | Reason::Connection
        | Reason::StaleConfiguration
        | Reason::Internal => true,
        // A request that is suspected of crashing upstreams could crash the next one, too.
        Reason::CrashSuspect
        | Reason::UnknownService
        | Reason::UnknownTeam
        | Reason::HomeRegion
        | Reason::Deadline
        | Reason::BadRequest
        | Reason::TooDeep
        | Reason::BadTicket
        | Reason::TicketGone => false,
    }
}

/// Token bucket that is refilled by requests instead of time.
#[derive(Clone, Debug)]
struct TokenBucket {
    tokens: f64,
    /// Number of tokens that one new request earns.
    per_request: f64,
    max_tokens: f64,
}

impl TokenBucket {
    /// Adds the tokens earned by one new request.
    fn refill(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.max_tokens);
    }

    /// Takes a token if there is one; returns whether there was.
    fn try_take(&mut self) -> bool {
        // Ten refills of 0.1 add up to slightly less than 1 in floating-point arithmetic.
        let available = self.tokens >= 1.0 - 1e-9;
        if available {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        available
    }
}

/// Budget that limits the retries of a service to a fraction of its new requests.
///
/// Its settings are constants. `RetryBudgetSettings` configures `RetryBudgetShare`, the retry
/// budget of the crate `cornelvalve-relay`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Creates a budget with the initial tokens, enough for three retries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            bucket: TokenBucket {
                tokens: INITIAL_RETRY_TOKENS,
                per_request: RETRY_TOKENS_PER_REQUEST,
                max_tokens: MAX_RETRY_TOKENS,
            },
        }
    }

    /// Adds the tokens earned by a new request; must not be called for retries and hedges.
    pub fn on_request(&mut self) {
        self.bucket.refill();
    }

    /// Takes a token for one retry and returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        self.bucket.try_take()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Budget that limits the hedges of a service, and the delay after which a hedge is sent.
///
/// Used only by the simulation in `examples/choice`.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    bucket: TokenBucket,
    /// Estimate of the 95th percentile of the latency, in nanoseconds.
    p95_ns: Option<f64>,
}

impl HedgeBudget {
    /// Creates a budget without tokens.
    #[must_use]
    pub fn new() -> Self {
        Self {
            bucket: TokenBucket {
                tokens: 0.0,
                per_request: HEDGE_TOKENS_PER_REQUEST,
                max_tokens: MAX_HEDGE_TOKENS,
            },
            p95_ns: None,
        }
    }

    /// Adds the tokens earned by a new request; must not be called for retries and hedges.
    pub fn on_request(&mut self) {
        self.bucket.refill();
    }

    /// Updates the hedge delay with the latency of an answered attempt.
    pub fn on_latency(&mut self, latency: Duration) {
        let sample = latency.as_nanos() as f64;
        // Stochastic approximation: upward and downward steps cancel out at the quantile.
        self.p95_ns = Some(match self.p95_ns {
            None => sample,
            Some(q) if sample > q => q * (1.0 + QUANTILE_STEP * HEDGE_QUANTILE),
            Some(q) => q * (1.0 - QUANTILE_STEP * (1.0 - HEDGE_QUANTILE)),
        });
    }

    /// Returns how long to wait for the first attempt before sending a hedge.
    #[must_use]
    pub fn delay(&self) -> Duration {
        match self.p95_ns {
            Some(ns) => Duration::from_nanos(ns as u64).max(MIN_HEDGE_DELAY),
            None => INITIAL_HEDGE_DELAY,
        }
    }

    /// Takes a token for one hedge and returns whether the hedge may be sent. Only idempotent
    /// requests may be hedged; for others no token is taken.
    pub fn try_take(&mut self, class: RequestClass) -> bool {
        class == RequestClass::Idempotent && self.bucket.try_take()
    }
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self::new()
    }
}
