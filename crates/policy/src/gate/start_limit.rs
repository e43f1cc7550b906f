//! Limit on the starts at a cold upstream, which has started recently and runs slowly at first.

use std::collections::VecDeque;
use std::time::Duration;

use cornelvalve_model::Moment;

/// Window in which starts are counted. The upstream counts over one second; the window is longer
/// because starts reach it with some milliseconds of jitter.
const WINDOW: Duration = Duration::from_millis(1100);

/// Fraction of the tolerance of a cold upstream that is used; the rest covers starts that the
/// upstream counts in a different second than the gate.
const USED_TOLERANCE_FRACTION: f64 = 0.6;

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
}

/// Limit on the starts at a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Moment from which the upstream counts as warm and has no limit.
    pub until: Moment,
    /// Number of starts that are allowed within the window in which starts are counted, which is
    /// slightly longer than a second.
    pub per_second: f64,
}

/// Counts the recent starts at an upstream and limits them while it is cold.
#[derive(Debug, Default)]
pub(super) struct StartLimit {
    cold: Option<ColdRate>,
    /// Moments of recent starts, oldest first. Those older than [`WINDOW`] are removed at the next
    /// start.
    starts: VecDeque<Moment>,
}

impl StartLimit {
    /// Sets or removes the limit.
    pub(super) fn set_cold_rate(&mut self, cold: Option<ColdRate>) {
        self.cold = cold;
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self, now: Moment) -> bool {
        self.cold.is_some_and(|c| now < c.until)
    }

    /// Returns the number of starts within the last [`WINDOW`].
    pub(super) fn recent_starts(&self, now: Moment) -> usize {
        let recent = self.starts.iter().rev();
        recent.take_while(|s| now.since(**s) < WINDOW).count()
    }

    /// Returns whether the limit allows a start now.
    pub(super) fn allows_start(&self, now: Moment) -> bool {
        match self.cold {
            Some(cold) if now < cold.until => {
                (self.recent_starts(now) as f64) < cold.per_second.max(1.0)
            }
            _ => true,
        }
    }

    /// Records a start.
    pub(super) fn record_start(&mut self, now: Moment) {
        while self.starts.front().is_some_and(|s| now.since(*s) >= WINDOW) {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Returns the time until the limit allows another start after `ahead` others.
    pub(super) fn wait(&self, ahead: usize, now: Moment) -> Duration {
        let Some(cold) = self.cold.filter(|c| now < c.until) else {
            return Duration::ZERO;
        };
        let recent = self.recent_starts(now);
        let limit = cold.per_second.max(1.0) as usize;
        let over = (recent + ahead + 1).saturating_sub(limit);
        let wait = match over {
            0 => Duration::ZERO,
            over if over <= recent => {
                let leaves_window = self.starts[self.starts.len() - recent + over - 1];
                (leaves_window + WINDOW).since(now)
            }
            over => WINDOW.mul_f64(over as f64 / limit as f64),
        };
        wait.min(cold.until.since(now))
    }

    /// Returns the next moment at which a start leaves the window of a cold upstream, so that
    /// another may be allowed.
    pub(super) fn next_release(&self, now: Moment) -> Option<Moment> {
        let mut recent = self.starts.iter().filter(|s| now.since(**s) < WINDOW);
        let oldest = recent.next().filter(|_| self.is_cold(now));
        oldest.map(|s| *s + WINDOW)
    }
}
