//! When to ask the upstream's health path.

use std::time::Duration;

use cornelvalve_model::Moment;

/// Wait for a health answer before the next question.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between questions while the upstream cannot be reached or is not known.
const LOST_PERIOD: Duration = Duration::from_millis(250);

/// Age of the load information at which a slow upstream is asked for it. Slow times last parts of a
/// second, and a slow upstream gets few requests whose answers would tell.
const SLOW_PERIOD: Duration = Duration::from_millis(120);

/// Age of the load information at which an upstream is asked for it while calls wait for the end of
/// its slow time.
const HOLD_PERIOD: Duration = Duration::from_millis(25);

/// Age of the load information at which any other upstream is asked for it.
const IDLE_PERIOD: Duration = Duration::from_millis(700);

/// Longest time between questions: only the health path tells that an upstream has turned cold.
const HEALTH_PERIOD: Duration = Duration::from_secs(1);

/// Age of the load information above which it is asked for before a call is admitted. Work that
/// begins in a slow time takes several times as long, and the answer costs about a millisecond.
const FRESH: Duration = Duration::from_millis(30);

/// What the guard believes of the upstream, as far as it decides how often to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sight {
    /// It announced that it leaves, and is not asked any more.
    Leaving,
    /// It cannot be reached or is not known.
    Lost,
    /// It is slow and calls wait for the end of its slow time.
    Holding,
    /// It is slow.
    Slow,
    /// It works as usual.
    Usual,
}

/// Questions to the upstream's health path and the age of what is known of its load.
#[derive(Debug)]
pub(super) struct Probing {
    /// Time of the newest load information.
    informed: Moment,
    /// Time of the last question.
    asked: Moment,
    /// Time of the question that is not answered yet.
    pending: Option<Moment>,
}

impl Probing {
    /// Creates the state of a guard that has asked nothing.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            informed: now,
            asked: now,
            pending: None,
        }
    }

    /// Returns the moment at which the next question is due.
    pub(super) fn due(&self, sight: Sight) -> Option<Moment> {
        if let Some(asked) = self.pending {
            return Some(asked + PROBE_TIMEOUT);
        }
        let period = match sight {
            Sight::Leaving => return None,
            Sight::Lost => LOST_PERIOD,
            Sight::Holding => HOLD_PERIOD,
            Sight::Slow => SLOW_PERIOD,
            Sight::Usual => IDLE_PERIOD,
        };
        Some((self.informed + period).min(self.asked + HEALTH_PERIOD))
    }

    /// Notes that the health path is asked.
    pub(super) fn ask(&mut self, now: Moment) {
        self.pending = Some(now);
        self.asked = now;
    }

    /// Notes that the question was answered, or that the upstream could not be reached.
    pub(super) fn answered(&mut self, now: Moment) {
        self.pending = None;
        self.informed = now;
    }

    /// Notes load information that came with an answer of the upstream.
    pub(super) fn informed(&mut self, now: Moment) {
        self.informed = now;
    }

    /// Tells whether a question is not answered yet.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Tells whether what is known of the load is fresh enough to admit a call by it.
    pub(super) fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.informed) <= FRESH
    }
}
