//! Retry budget that all daemons share without talking about it.
//!
//! Answers callers that repeat at once and upstreams that fail a part of their requests: each
//! daemon may repeat a share of its own recent requests, and an equal part of the burst that the
//! whole system is allowed. The parts add up to no more than the common budget. A request that is
//! run again makes its own calls again; these count where they begin, by the share of repeats among
//! what runs there.

use std::collections::VecDeque;
use std::time::Duration;

use cornelvalve_model::Moment;

/// Share of the common budget that is used; the rest covers what daemons count differently.
const USED_SHARE: f64 = 0.75;

/// Part of the budget that hedges may use up.
const HEDGE_PART: f64 = 0.5;

/// Parts into which the window is divided.
const BUCKETS: u32 = 10;

/// Limits of the common budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window besides, over all daemons.
    pub burst: f64,
    /// Span in which requests and retries are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: f64,
}

/// Part of one daemon in the common retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudgetShare {
    settings: RetryBudgetSettings,
    buckets: VecDeque<Bucket>,
}

impl RetryBudgetShare {
    /// Creates an empty account.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request, of which `repeated` is the chance that a repeat made it.
    pub fn record_request(&mut self, repeated: f64, now: Moment) {
        let bucket = self.bucket(now);
        bucket.requests += 1;
        bucket.retries += repeated.clamp(0.0, 1.0);
    }

    /// Takes one retry if the budget allows it; `daemons` is the number that share it.
    pub fn try_retry(&mut self, daemons: usize, now: Moment) -> bool {
        self.try_take(1.0, daemons, now)
    }

    /// Takes one hedge if that leaves the rest of the budget for retries.
    pub fn try_hedge(&mut self, daemons: usize, now: Moment) -> bool {
        self.try_take(HEDGE_PART, daemons, now)
    }

    fn try_take(&mut self, part_of_budget: f64, daemons: usize, now: Moment) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: f64 = self.buckets.iter().map(|b| b.retries).sum();
        let part = self.settings.burst / daemons.max(1) as f64;
        let allowed =
            (f64::from(requests) * self.settings.ratio + part) * USED_SHARE * part_of_budget;
        if retries + 1.0 > allowed {
            return false;
        }
        self.bucket(now).retries += 1.0;
        true
    }

    /// Returns the bucket of the present moment after it has removed those that are too old.
    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let span = self.settings.window / BUCKETS;
        let span = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX).max(1);
        let number = now.0 / span;
        while let Some(front) = self.buckets.front()
            && front.number + u64::from(BUCKETS) <= number
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number != number) {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
