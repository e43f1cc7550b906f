//! Share of one daemon in the retry budget of a service, which covers all daemons.
//!
//! Without exchanging messages, each daemon may retry a fraction of its own recent requests, and in
//! addition an equal part of the burst that the whole system is allowed. The shares of all daemons
//! add up to no more than the budget, which bounds the additional load when callers retry
//! immediately or upstreams fail some of their requests.
//!
//! A request that runs again makes its nested calls again. The daemon whose upstream makes a nested
//! call adds to its retries the probability that a retried request made the call, which is the
//! fraction of retries among the requests that run at the upstream.

use std::collections::VecDeque;
use std::time::Duration;

use cornelvalve_model::Moment;

/// Fraction of the common budget that is used; the rest covers differences in what daemons count.
const USED_FRACTION: f64 = 0.75;

/// Fraction of the budget up to which hedges are allowed; the rest is kept for retries.
const HEDGE_FRACTION: f64 = 0.5;

/// Number of buckets into which the window is divided.
const BUCKETS: u32 = 10;

/// Limits of the retry budget of a service over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request, as a fraction.
    pub ratio: f64,
    /// Number of further retries allowed in each window, over all daemons.
    pub burst: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// Counts of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Start time of the bucket divided by the length of a bucket.
    index: u64,
    requests: u32,
    /// Retries, including the probable ones among the nested calls.
    retries: f64,
}

/// Share of one daemon in the retry budget of one service, with the requests and retries that it
/// has counted.
#[derive(Clone, Debug)]
pub struct RetryBudgetShare {
    settings: RetryBudgetSettings,
    /// Buckets of the window with counts, oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryBudgetShare {
    /// Creates a share without recorded requests.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
        }
    }

    /// Records a request; `retry_probability` is the probability that a retried request made it.
    pub fn record_request(&mut self, retry_probability: f64, now: Moment) {
        let bucket = self.bucket(now);
        bucket.requests += 1;
        bucket.retries += retry_probability.clamp(0.0, 1.0);
    }

    /// Takes one retry from the budget and returns whether the budget allowed it.
    ///
    /// `daemons` is the number of daemons that share the budget.
    pub fn try_retry(&mut self, daemons: usize, now: Moment) -> bool {
        self.try_take(1.0, daemons, now)
    }

    /// Takes one hedge from the budget and returns whether the budget allowed it.
    ///
    /// Hedges are allowed only up to a part of the budget, so that they leave the rest for retries.
    /// `daemons` is the number of daemons that share the budget.
    pub fn try_hedge(&mut self, daemons: usize, now: Moment) -> bool {
        self.try_take(HEDGE_FRACTION, daemons, now)
    }

    /// Takes one retry if the count stays within a fraction of the budget, and returns whether it
    /// did.
    fn try_take(&mut self, fraction: f64, daemons: usize, now: Moment) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: f64 = self.buckets.iter().map(|b| b.retries).sum();
        let burst = self.settings.burst / daemons.max(1) as f64;
        let allowed =
            (f64::from(requests) * self.settings.ratio + burst) * USED_FRACTION * fraction;
        if retries + 1.0 > allowed {
            return false;
        }
        self.bucket(now).retries += 1.0;
        true
    }

    /// Removes buckets that have left the window and returns the current one.
    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let span = self.settings.window / BUCKETS;
        let span_nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX).max(1);
        let index = now.0 / span_nanos;
        while let Some(front) = self.buckets.front()
            && front.index + u64::from(BUCKETS) <= index
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.index != index) {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
