//! Holding of waiting calls while the upstream is slow, and the latest moment of their start.

use std::time::Duration;

use cornelvalve_model::Moment;

use super::{Gate, Waiting};

/// Fraction of the time from arrival to deadline after which a waiting call that will miss its
/// objective is refused, so that its caller still has time to retry.
const LATE_WAIT_FRACTION: f64 = 0.5;

/// Minimum slowdown at which calls may be held.
const MIN_HOLD_SLOWDOWN: f64 = 2.0;

/// Shortest hold that is worthwhile; slow periods rarely end sooner.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// Time within which most slow periods end. A call that can wait this long and then meet its
/// deadline at normal speed is held, although it misses the deadline if the slow period lasts
/// longer.
const HOLD_HORIZON: Duration = Duration::from_millis(400);

/// Safety factor on the duration of a held call that has to start while the upstream is still slow,
/// so that it ends before its deadline.
const HOLD_MARGIN: f64 = 1.1;

impl Gate {
    /// Returns the latest moment at which a waiting call may start; after it the call is refused.
    ///
    /// The call is assumed to run at baseline speed. While the upstream is slow, the call may start
    /// as long as it can meet its deadline. Otherwise a call that can no longer meet its objective
    /// is refused once it has waited for [`LATE_WAIT_FRACTION`] of the time from arrival to
    /// deadline.
    pub(super) fn latest_start(&self, waiting: &Waiting) -> Moment {
        let call = &waiting.call;
        let baseline = self.baseline_duration(call.work);
        let start_to_end_at = |end: Moment| end - baseline;
        if self.slowdown >= MIN_HOLD_SLOWDOWN {
            return start_to_end_at(call.deadline);
        }
        let time = call.deadline.since(waiting.arrived);
        let longest_wait = waiting.arrived + time.mul_f64(LATE_WAIT_FRACTION);
        let for_objective = start_to_end_at(call.objective);
        start_to_end_at(call.deadline).min(longest_wait.max(for_objective))
    }

    /// Returns whether calls wait while the upstream is slow; they are held or wait for a slot.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.slowdown >= MIN_HOLD_SLOWDOWN && !self.queue.is_empty()
    }

    /// Returns the moment until which a waiting call is held while the upstream is slow, or `None`
    /// if it should start as soon as possible.
    pub(super) fn hold_until(&self, waiting: &Waiting) -> Option<Moment> {
        if self.slowdown < MIN_HOLD_SLOWDOWN {
            return None;
        }
        let call = &waiting.call;
        let slow_duration = self.baseline_duration(call.work).mul_f64(self.slowdown);
        if waiting.arrived + slow_duration <= call.objective {
            return None;
        }
        // At the current slowdown, the call would have missed its deadline even if it had started
        // on arrival, so it waits for the slow period to end.
        if waiting.arrived + slow_duration > call.deadline {
            return Some(self.latest_start(waiting));
        }
        let slow_duration = slow_duration.mul_f64(HOLD_MARGIN);
        let until = call.deadline - slow_duration;
        let latest = self.latest_start(waiting);
        if waiting.arrived + MIN_HOLD <= until {
            // Even at the current slowdown, the call meets its deadline if it starts by then.
            Some(until)
        } else {
            // The deadline is put at risk only if the slow period is likely to end in time.
            (waiting.arrived + HOLD_HORIZON <= latest).then_some(latest)
        }
    }

    /// Returns whether a waiting call is held at this moment.
    pub(super) fn is_held(&self, waiting: &Waiting, now: Moment) -> bool {
        self.hold_until(waiting).is_some_and(|until| now < until)
    }
}
