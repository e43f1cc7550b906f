//! Token bucket under an explicit clock.

use cornelvalve_model::Moment;

use crate::RateLimit;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Token bucket that counts in nanobytes, so that no fraction of a byte is lost or gained.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate: RateLimit,
    tokens: u128,
    /// What was sent beyond the tokens; repaid before new tokens are gained.
    debt: u128,
    refilled: Moment,
}

impl Bucket {
    /// Creates a bucket that is empty at the origin of the clock, which is the start of the
    /// process: a daemon that restarts in a loop must not gain a burst each time.
    pub(crate) fn new(rate: RateLimit) -> Self {
        Self {
            rate,
            tokens: 0,
            debt: 0,
            refilled: Moment::default(),
        }
    }

    pub(crate) fn refill(&mut self, now: Moment) {
        let gained = now.since(self.refilled).as_nanos() * u128::from(self.rate.bytes_per_second);
        let repaid = gained.min(self.debt);
        self.debt -= repaid;
        let full = u128::from(self.rate.burst_bytes) * NANOS_PER_SECOND;
        self.tokens = (self.tokens + gained - repaid).min(full);
        // A moment that lies before the last one must not be credited twice.
        self.refilled = self.refilled.max(now);
    }

    pub(crate) fn holds(&self, bytes: u32) -> bool {
        self.tokens >= u128::from(bytes) * NANOS_PER_SECOND
    }

    /// Tells whether a message may be sent that can be larger than a burst, which needs a full
    /// bucket.
    pub(crate) fn admits(&self, bytes: u32) -> bool {
        self.holds(bytes.min(self.rate.burst_bytes))
    }

    /// Takes tokens; what is missing becomes debt.
    pub(crate) fn take(&mut self, bytes: u32) {
        let cost = u128::from(bytes) * NANOS_PER_SECOND;
        self.debt += cost.saturating_sub(self.tokens);
        self.tokens = self.tokens.saturating_sub(cost);
    }
}
