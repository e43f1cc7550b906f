//! Limit on the starts at an upstream that is cold, or may be.
//!
//! An upstream that has started recently is cold: it runs slowly and tolerates few requests per
//! second. It may also turn cold while it runs. Only its check-ins and its health path tell.

use std::collections::VecDeque;
use std::time::Duration;

use cornelvalve_model::Moment;

/// Window in which starts are counted. The upstream counts over one second; the window is longer
/// because starts reach it with some milliseconds of jitter.
const WINDOW: Duration = Duration::from_millis(1100);

/// Fraction of the tolerance of a cold upstream that is used; the rest covers starts that the
/// upstream counts in a different second than the gate.
const USED_TOLERANCE_FRACTION: f64 = 0.6;

/// Fraction of the limit at which an upstream that may be warm should be asked, so that its answer
/// arrives before the limit holds calls back.
const CONFIRMATION_FRACTION: f64 = 0.5;

/// Tolerance of cold upstreams for starts beyond their rate, the number of starts per second for
/// which they are configured.
///
/// An upstream with rate `r` accepts up to `r * factor + slack` starts in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor by which the rate may be exceeded.
    pub factor: f64,
    /// Further starts, independent of the rate.
    pub slack: f64,
}

impl ColdTolerance {
    /// Tolerates no starts beyond the rate.
    pub const NONE: Self = Self {
        factor: 1.0,
        slack: 0.0,
    };

    /// Returns the number of starts per second to allow at a cold upstream with this rate.
    #[must_use]
    pub fn limit(&self, rate: f64) -> f64 {
        let beyond = rate * (self.factor - 1.0) + self.slack;
        rate + beyond.max(0.0) * USED_TOLERANCE_FRACTION
    }

    /// Returns the number of starts per second that a cold upstream with this rate tolerates beyond
    /// [`ColdTolerance::limit`].
    #[must_use]
    pub fn spare(&self, rate: f64) -> f64 {
        let beyond = rate * (self.factor - 1.0) + self.slack;
        beyond.max(0.0) * (1.0 - USED_TOLERANCE_FRACTION)
    }
}

/// What is known about an upstream that is cold or may have turned cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Moment until which the upstream is known to be cold; in the past if it is not.
    pub until: Moment,
    /// Latest moment at which the upstream was certainly warm; `None` if it is not known to have
    /// been warm.
    pub warm_at: Option<Moment>,
    /// Number of starts that a cold upstream is allowed within the window in which starts are
    /// counted, which is slightly longer than a second.
    pub per_second: f64,
    /// Number of starts that it tolerates beyond that. They cover jitter, and are allowed while
    /// earlier starts are unknown.
    pub spare: f64,
    /// Moment up to which another process may have started calls that are not recorded here, as
    /// many as the limit allows; `None` if there was none.
    pub unrecorded_until: Option<Moment>,
}

impl ColdRate {
    /// Sets no limit on the starts.
    pub const UNLIMITED: Self = Self {
        until: Moment(0),
        warm_at: None,
        per_second: f64::INFINITY,
        spare: 0.0,
        unrecorded_until: None,
    };

    /// Returns whether the upstream is known to be cold.
    fn is_cold(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns the number of starts allowed within the window. At least one is allowed, so that
    /// every upstream gets work, unless there may be unrecorded starts.
    fn limit(&self, now: Moment) -> f64 {
        match self.unrecorded_in_window(now) {
            Some(_) => self.spare.min(self.per_second),
            None => self.per_second.max(1.0),
        }
    }

    /// Returns the moment up to which unrecorded starts may have reached the upstream while it was
    /// cold, if that lies within the window.
    fn unrecorded_in_window(&self, now: Moment) -> Option<Moment> {
        let warm_at = self.warm_at.filter(|_| !self.is_cold(now));
        self.unrecorded_until
            .filter(|u| now.since(*u) < WINDOW && warm_at.is_none_or(|w| w < *u))
    }
}

/// Counts the recent starts at an upstream and limits those that may reach it while it is cold.
///
/// A start counts from when the call is sent, because that may be long after its start on a VM with
/// little processor time.
///
/// An upstream may turn cold at any moment, which is known only later. A start counts unless the
/// upstream is known to have been warm after it.
#[derive(Debug)]
pub(super) struct StartLimit {
    cold: ColdRate,
    /// Number of started calls that have not been sent yet; they may arrive at any moment.
    unsent: usize,
    /// Moments at which recent calls were sent, oldest first. Those older than [`WINDOW`] are
    /// removed when the next one is sent.
    sent: VecDeque<Moment>,
}

impl StartLimit {
    /// Creates a limit that allows all starts.
    pub(super) fn unlimited() -> Self {
        Self {
            cold: ColdRate::UNLIMITED,
            unsent: 0,
            sent: VecDeque::new(),
        }
    }

    /// Sets what is known about the upstream.
    pub(super) fn set_cold_rate(&mut self, cold: ColdRate) {
        self.cold = cold;
    }

    /// Returns whether the upstream is known to be cold.
    pub(super) fn is_cold(&self, now: Moment) -> bool {
        self.cold.is_cold(now)
    }

    /// Returns the number of calls that were sent within the last [`WINDOW`] or still will be.
    pub(super) fn recent_starts(&self, now: Moment) -> usize {
        let recent = self.sent.iter().rev();
        self.unsent + recent.take_while(|s| now.since(**s) < WINDOW).count()
    }

    /// Returns the number of recently sent calls that may have reached the upstream while it was
    /// cold.
    fn counted_sent(&self, now: Moment) -> usize {
        let warm_at = self.cold.warm_at.filter(|_| !self.is_cold(now));
        let recent = self.sent.iter().rev();
        let recent = recent.take_while(|s| now.since(**s) < WINDOW);
        recent
            .take_while(|s| warm_at.is_none_or(|w| w <= **s))
            .count()
    }

    /// Returns the number of starts that count towards the limit.
    fn counted_starts(&self, now: Moment) -> usize {
        self.unsent + self.counted_sent(now)
    }

    /// Returns whether the limit allows a start now.
    pub(super) fn allows_start(&self, now: Moment) -> bool {
        (self.counted_starts(now) as f64) < self.cold.limit(now).floor()
    }

    /// Returns whether the limit will soon be reached although the upstream may be warm, so that it
    /// should be asked.
    pub(super) fn needs_confirmation(&self, now: Moment) -> bool {
        let counted = self.counted_starts(now) as f64;
        !self.is_cold(now) && counted >= self.cold.limit(now) * CONFIRMATION_FRACTION
    }

    /// Records a start.
    pub(super) fn record_start(&mut self) {
        self.unsent += 1;
    }

    /// Records that a call was sent after its start.
    pub(super) fn record_sent(&mut self, now: Moment) {
        self.unsent = self.unsent.saturating_sub(1);
        while self.sent.front().is_some_and(|s| now.since(*s) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Returns the time until the limit allows another start after `ahead` others.
    pub(super) fn wait(&self, ahead: usize, now: Moment) -> Duration {
        let cold = self.is_cold(now);
        let confirmed = self.cold.warm_at.is_some_and(|w| now.since(w) < WINDOW);
        let sent = self.counted_sent(now);
        let limit = self.cold.limit(now) as usize;
        let over = (self.unsent + sent + ahead + 1).saturating_sub(limit);
        // A warm upstream confirms that within milliseconds, and its earlier starts then no longer
        // count.
        if over == 0 || (!cold && confirmed) {
            return Duration::ZERO;
        }
        let wait = if let Some(until) = self.cold.unrecorded_in_window(now) {
            (until + WINDOW).since(now)
        } else if over <= sent {
            let leaves_window = self.sent[self.sent.len() - sent + over - 1];
            (leaves_window + WINDOW).since(now)
        } else {
            WINDOW.mul_f64(over as f64 / limit as f64)
        };
        if cold {
            wait.min(self.cold.until.since(now))
        } else {
            wait
        }
    }

    /// Returns the next moment at which a sent call leaves the window, if the limit is reached.
    pub(super) fn next_release(&self, now: Moment) -> Option<Moment> {
        if self.allows_start(now) {
            return None;
        }
        let oldest = self.sent.len() - self.counted_sent(now);
        let oldest = self.sent.get(oldest).copied();
        let unrecorded = self.cold.unrecorded_in_window(now);
        let first = oldest.into_iter().chain(unrecorded).min()?;
        Some(first + WINDOW)
    }
}
