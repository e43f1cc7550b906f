//! Run of the upstream process to which the admission controller sends requests.

use std::time::Duration;

use cornelvalve_model::{AnswerSignals, Incarnation, Moment};

use super::limit::Limit;
use crate::named_limit::{LimitChange, NamedLimit};
use crate::rate_limit::RateLimit;

/// State of the latest known run of the upstream process.
pub(super) struct CurrentUpstream {
    pub(super) incarnation: Incarnation,
    pub(super) limit: Limit,
    /// Number of requests running at this incarnation, whereas [`running`](super::AdmissionController::running)
    /// includes earlier ones.
    pub(super) in_flight: u32,
    pub(super) draining: bool,
    /// Limit on its requests per second that its responses name.
    named_limit: NamedLimit,
    /// The same as a limit on starts; `None` if it names none.
    rate_limit: Option<RateLimit>,
}

impl CurrentUpstream {
    /// Creates the state of an incarnation at which `in_flight` requests run.
    pub(super) fn new(incarnation: Incarnation, slots: u16, in_flight: u32) -> Self {
        Self {
            incarnation,
            limit: Limit::new(slots),
            in_flight,
            draining: false,
            named_limit: NamedLimit::default(),
            rate_limit: None,
        }
    }

    /// Applies what a response said; returns whether the upstream has begun to drain.
    ///
    /// Before its first response, an incarnation is protected by its cold limit.
    pub(super) fn apply_signals(&mut self, answer: &AnswerSignals, now: Moment) -> bool {
        if self.named_limit.apply(answer) == LimitChange::Changed {
            match (&mut self.rate_limit, self.named_limit.named()) {
                (Some(limit), Some(per_second)) => limit.set(per_second, now),
                (limit, named) => *limit = named.map(|n| RateLimit::new(n, now)),
            }
        }
        answer.signals.leaving && !std::mem::replace(&mut self.draining, true)
    }

    /// Returns the time until the limit that the upstream names allows a start after `ahead` others.
    pub(super) fn rate_wait(&self, ahead: usize, now: Moment) -> Duration {
        let limit = self.rate_limit.as_ref();
        limit.map_or(Duration::ZERO, |l| l.wait(ahead, now))
    }

    /// Returns whether the limit that the upstream names allows a start.
    pub(super) fn allows_start(&self, now: Moment) -> bool {
        let limit = self.rate_limit.as_ref();
        limit.is_none_or(|l| l.allows_start(now))
    }

    /// Counts a request as running.
    pub(super) fn record_start(&mut self, now: Moment) {
        self.in_flight += 1;
        if let Some(limit) = &mut self.rate_limit {
            limit.record_start(now);
        }
    }
}
