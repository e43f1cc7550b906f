//! Limit on the rate of starts that an upstream in need names.

use std::time::Duration;

use cornelvalve_model::Moment;

/// Time whose starts may be saved up, so that an upstream that was idle for a moment still gets all
/// that it accepts.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Largest limit in starts per second; one above it is no limit in practice.
const MAX_PER_SECOND: f64 = 1e6;

/// Longest wait for a start, also if none is allowed at all.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Part of a start that may be missing, because sums of many small fractions are inexact.
const ROUNDING: f64 = 1e-6;

/// Token bucket that limits the starts per second at an upstream.
#[derive(Debug)]
pub(crate) struct RateLimit {
    /// Starts per second.
    per_second: f64,
    /// Starts that are allowed at once, as of `updated`.
    tokens: f64,
    updated: Moment,
}

impl RateLimit {
    /// Creates a limit that allows one start at once.
    ///
    /// `per_second` may be zero, which allows no start. A value that is not a number counts as
    /// zero.
    pub(crate) fn new(per_second: f64, now: Moment) -> Self {
        let per_second = usable(per_second);
        Self {
            per_second,
            tokens: if per_second > 0.0 { 1.0 } else { 0.0 },
            updated: now,
        }
    }

    /// Returns the number of starts per second.
    pub(crate) fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Changes the number of starts per second and keeps what is saved up of it.
    pub(crate) fn set(&mut self, per_second: f64, now: Moment) {
        self.tokens = self.tokens(now);
        self.updated = now;
        self.per_second = usable(per_second);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Returns the largest number of starts that are saved up: at least one, unless none is
    /// allowed.
    fn burst(&self) -> f64 {
        if self.per_second > 0.0 {
            (self.per_second * BURST_TIME.as_secs_f64()).max(1.0)
        } else {
            0.0
        }
    }

    /// Returns the number of starts that are allowed now; negative if more were recorded.
    fn tokens(&self, now: Moment) -> f64 {
        let gained = now.since(self.updated).as_secs_f64() * self.per_second;
        (self.tokens + gained).min(self.burst())
    }

    /// Returns whether a start is allowed now.
    pub(crate) fn allows_start(&self, now: Moment) -> bool {
        self.tokens(now) + ROUNDING >= 1.0
    }

    /// Records a start.
    pub(crate) fn record_start(&mut self, now: Moment) {
        self.tokens = self.tokens(now) - 1.0;
        self.updated = now;
    }

    /// Returns the time until a start is allowed after `ahead` others, at most [`MAX_WAIT`].
    pub(crate) fn wait(&self, ahead: usize, now: Moment) -> Duration {
        let missing = (ahead as f64 + 1.0 - self.tokens(now)).max(0.0);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        let wait = Duration::try_from_secs_f64(missing / self.per_second);
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    /// Returns the next moment at which a start is allowed, if none is allowed now.
    pub(crate) fn next_release(&self, now: Moment) -> Option<Moment> {
        (!self.allows_start(now)).then(|| now + self.wait(0, now))
    }
}

/// Returns a number of starts per second that is neither negative nor absurdly large.
fn usable(per_second: f64) -> f64 {
    if per_second.is_nan() {
        0.0
    } else {
        per_second.clamp(0.0, MAX_PER_SECOND)
    }
}

#[cfg(test)]
mod tests;
