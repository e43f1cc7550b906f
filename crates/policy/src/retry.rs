//! Retries and hedges: when they are allowed and how many a service may cost.

use std::time::Duration;

use cornelvalve_model::{Outcome, Reason, RequestClass};

/// Attempts of one request, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// Least time left for which another attempt is made; a connection alone takes about 1 ms.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// Tokens earned by a fresh request, so that retries add at most a tenth to the load.
const RETRY_EARNING: f64 = 0.1;

/// Retries allowed before any request has earned one, so that a quiet service can still retry.
const RETRY_RESERVE: f64 = 3.0;

/// Most retries that can be saved up; bounds the burst after a quiet period.
const RETRY_CAPACITY: f64 = 20.0;

/// Tokens earned by a fresh request for hedges: the delay is about the 95th percentile, so about
/// one request in twenty asks for a hedge.
const HEDGE_EARNING: f64 = 0.05;

/// Most hedges that can be saved up.
const HEDGE_CAPACITY: f64 = 5.0;

/// Number of latencies over which the hedge delay moves by about its own size.
const QUANTILE_STEP: f64 = 0.02;

/// Quantile of the latency after which a hedge is sent.
const HEDGE_QUANTILE: f64 = 0.95;

/// Hedge delay before any latency was observed.
const INITIAL_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Least hedge delay, so that fast services are not hedged on scheduling noise.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Whether a failed attempt may be followed by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt is allowed if the budget has a token.
    Retry,
    /// The outcome goes to the caller.
    Stop,
}

/// Decides whether a request may be sent again after an attempt that was not answered.
///
/// `class` must be resolved by method; [`RequestClass::ByMethod`] counts as not idempotent.
/// `attempts` is the number of attempts made so far.
#[must_use]
pub fn retry_decision(
    class: RequestClass,
    outcome: Outcome,
    reason: Reason,
    attempts: u32,
    time_left: Duration,
    body_replayable: bool,
) -> RetryDecision {
    let repeatable = match (class, outcome) {
        // A ticket is valid at one guard only, and a request without one is sent once.
        (RequestClass::AtMostOnce, _) | (_, Outcome::Completed) => false,
        (_, Outcome::NotRun) | (RequestClass::Idempotent, Outcome::Unknown) => true,
        (RequestClass::ByMethod, Outcome::Unknown) => false,
    };
    let allowed = repeatable
        && body_replayable
        && attempts < MAX_ATTEMPTS
        && time_left >= MIN_TIME_LEFT
        && may_differ_elsewhere(reason);
    if allowed {
        RetryDecision::Retry
    } else {
        RetryDecision::Stop
    }
}

/// Tells whether another daemon or upstream may answer differently.
fn may_differ_elsewhere(reason: Reason) -> bool {
    match reason {
        Reason::NoConfiguration
        | Reason::NoUpstream
        | Reason::DomainOut
        | Reason::Draining
        | Reason::Overloaded
        | Reason::Connection
        | Reason::StaleConfiguration
        | Reason::Internal => true,
        // A crash suspect would take the next upstream down as well.
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

#[derive(Clone, Debug)]
struct TokenBucket {
    tokens: f64,
    earning: f64,
    capacity: f64,
}

impl TokenBucket {
    fn earn(&mut self) {
        self.tokens = (self.tokens + self.earning).min(self.capacity);
    }

    fn take(&mut self) -> bool {
        // Ten earnings of 0.1 sum to slightly less than 1 in binary fractions.
        let affordable = self.tokens >= 1.0 - 1e-9;
        if affordable {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        affordable
    }
}

/// Token bucket that bounds the retries of a service by a share of its fresh requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Creates a budget that holds only its reserve.
    #[must_use]
    pub fn new() -> Self {
        Self {
            bucket: TokenBucket {
                tokens: RETRY_RESERVE,
                earning: RETRY_EARNING,
                capacity: RETRY_CAPACITY,
            },
        }
    }

    /// Counts a fresh request, which is one that is not itself a retry or hedge.
    pub fn on_request(&mut self) {
        self.bucket.earn();
    }

    /// Takes a token for one retry; returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        self.bucket.take()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Token bucket for hedges of a service, with the delay after which one is sent.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    bucket: TokenBucket,
    quantile_ns: Option<f64>,
}

impl HedgeBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            bucket: TokenBucket {
                tokens: 0.0,
                earning: HEDGE_EARNING,
                capacity: HEDGE_CAPACITY,
            },
            quantile_ns: None,
        }
    }

    /// Counts a fresh request.
    pub fn on_request(&mut self) {
        self.bucket.earn();
    }

    /// Takes the latency of an answered attempt into the estimate of the delay.
    pub fn on_latency(&mut self, latency: Duration) {
        let sample = latency.as_nanos() as f64;
        // Stochastic approximation: the up and down steps balance at the quantile.
        self.quantile_ns = Some(match self.quantile_ns {
            None => sample,
            Some(q) if sample > q => q * (1.0 + QUANTILE_STEP * HEDGE_QUANTILE),
            Some(q) => q * (1.0 - QUANTILE_STEP * (1.0 - HEDGE_QUANTILE)),
        });
    }

    /// Returns the time to wait for the first attempt before a hedge is sent.
    #[must_use]
    pub fn delay(&self) -> Duration {
        match self.quantile_ns {
            Some(ns) => Duration::from_nanos(ns as u64).max(MIN_HEDGE_DELAY),
            None => INITIAL_HEDGE_DELAY,
        }
    }

    /// Takes a token for one hedge of an idempotent request; returns whether there was one.
    pub fn try_take(&mut self, class: RequestClass) -> bool {
        class == RequestClass::Idempotent && self.bucket.take()
    }
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self::new()
    }
}
