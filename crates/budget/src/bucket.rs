//! Token bucket whose caller supplies the time; it reads no clock itself.

use cornelvalve_model::Moment;

use crate::RateLimit;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Token bucket with a burst limit.
///
/// Tokens are counted in nanobytes, so that refilling does not round fractions of a byte.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate: RateLimit,
    token_nanobytes: u128,
    /// Nanobytes that bulk transfers took beyond the available tokens; refilling repays them before
    /// it adds tokens.
    debt_nanobytes: u128,
    /// Time up to which tokens were added.
    refilled_at: Moment,
}

impl Bucket {
    /// Creates a bucket that is empty at moment zero, which is the start of the process. A bucket
    /// that started full would let a daemon that keeps restarting send a burst after each restart.
    pub(crate) fn new(rate: RateLimit) -> Self {
        Self {
            rate,
            token_nanobytes: 0,
            debt_nanobytes: 0,
            refilled_at: Moment::default(),
        }
    }

    /// Adds the tokens of the time since the last refill, after repaying debt.
    pub(crate) fn refill(&mut self, now: Moment) {
        let gained =
            now.since(self.refilled_at).as_nanos() * u128::from(self.rate.bytes_per_second);
        let repaid = gained.min(self.debt_nanobytes);
        self.debt_nanobytes -= repaid;
        let capacity = u128::from(self.rate.burst_bytes) * NANOS_PER_SECOND;
        self.token_nanobytes = (self.token_nanobytes + gained - repaid).min(capacity);
        // Times may arrive out of order. Moving back would credit the same time span twice.
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether there are tokens for a message.
    pub(crate) fn has_tokens(&self, bytes: u32) -> bool {
        self.token_nanobytes >= u128::from(bytes) * NANOS_PER_SECOND
    }

    /// Like [`Bucket::has_tokens`], but for a message larger than a burst a full bucket is enough.
    pub(crate) fn allows_bulk(&self, bytes: u32) -> bool {
        self.has_tokens(bytes.min(self.rate.burst_bytes))
    }

    /// Takes the tokens for a message; tokens that are missing become debt.
    pub(crate) fn take(&mut self, bytes: u32) {
        let cost = u128::from(bytes) * NANOS_PER_SECOND;
        self.debt_nanobytes += cost.saturating_sub(self.token_nanobytes);
        self.token_nanobytes = self.token_nanobytes.saturating_sub(cost);
    }
}
