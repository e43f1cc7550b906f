//! Schedule of health probes to the upstream.
//!
//! Responses to requests carry the upstream's load too, so a probe is sent only when the latest
//! load information is too old or the last probe was [`MAX_PROBE_INTERVAL`] ago. How old the
//! information may be depends on the upstream: one that shares its VM with other work has slow
//! periods, in which requests take several times as long as usual.

use std::time::Duration;

use cornelvalve_model::Moment;

/// Time after which an unanswered probe is considered lost and the next one is sent. Longer than
/// the monitor service's own timeout, so that a probe is lost only if that service gives no reply.
const LOST_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between probes while the upstream is unreachable or not yet known.
const UNREACHABLE_INTERVAL: Duration = Duration::from_millis(250);

/// Age of the load information at which a slow upstream is probed again. Slow periods last only
/// fractions of a second, and a slow upstream receives few requests whose responses would carry its
/// load.
const SLOW_MAX_AGE: Duration = Duration::from_millis(120);

/// Age of the load information at which the upstream is probed again while the admission gate
/// delays calls until its slow period ends.
const HOLDING_MAX_AGE: Duration = Duration::from_millis(25);

/// Age of the load information at which an upstream at normal speed is probed again.
const NORMAL_MAX_AGE: Duration = Duration::from_millis(700);

/// Maximum interval between probes, however fresh the load information is: responses to requests do
/// not report that an upstream has become cold again, but the health path does.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between probes of an upstream that must confirm that it is warm. It confirms that in
/// its first response unless it gives none or does not say.
const UNCONFIRMED_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum age of the load information that a call may be admitted with; above it the upstream is
/// probed first. A request that starts in a slow period takes several times as long, while a probe
/// takes about a millisecond.
const MAX_ADMISSION_AGE: Duration = Duration::from_millis(30);

/// Condition of the upstream that determines how often it is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UpstreamCondition {
    /// It announced its shutdown and is no longer probed.
    Leaving,
    /// It is unreachable or not yet known.
    Unreachable,
    /// It may have turned cold since it was last known to be warm, and so many requests have
    /// started since that the admission gate will soon hold further ones.
    Unconfirmed,
    /// It is slow, and the admission gate delays the start of calls until the slow period ends.
    Holding,
    /// It is slow.
    Slow,
    /// It runs at normal speed.
    Normal,
}

/// Schedule of health probes, and the age of the load information.
#[derive(Debug)]
pub(super) struct ProbeSchedule {
    /// Time of the latest load information, or of the latest probe if that ended without any.
    load_updated: Moment,
    /// Time of the last probe.
    last_probe: Moment,
    /// Time of the probe that has not been answered yet.
    pending: Option<Moment>,
}

impl ProbeSchedule {
    /// Creates the schedule of a guard that has not probed the upstream yet.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            load_updated: now,
            last_probe: now,
            pending: None,
        }
    }

    /// Returns the moment at which the next probe is due; `None` if no probe is to be sent.
    pub(super) fn next_probe(&self, condition: UpstreamCondition) -> Option<Moment> {
        if let Some(sent) = self.pending {
            return Some(sent + LOST_PROBE_TIMEOUT);
        }
        let max_age = match condition {
            UpstreamCondition::Leaving => return None,
            // How fresh the load information is does not matter here.
            UpstreamCondition::Unconfirmed => return Some(self.last_probe + UNCONFIRMED_INTERVAL),
            UpstreamCondition::Unreachable => UNREACHABLE_INTERVAL,
            UpstreamCondition::Holding => HOLDING_MAX_AGE,
            UpstreamCondition::Slow => SLOW_MAX_AGE,
            UpstreamCondition::Normal => NORMAL_MAX_AGE,
        };
        Some((self.load_updated + max_age).min(self.last_probe + MAX_PROBE_INTERVAL))
    }

    /// Records that a probe is sent.
    pub(super) fn probe_sent(&mut self, now: Moment) {
        self.pending = Some(now);
        self.last_probe = now;
    }

    /// Records that the pending probe ended, with a response or because the upstream is
    /// unreachable.
    ///
    /// The load information counts as fresh in both cases, so that calls do not wait for another
    /// probe of an unreachable upstream.
    pub(super) fn probe_ended(&mut self, now: Moment) {
        self.pending = None;
        self.load_updated = now;
    }

    /// Records that the upstream reported its load.
    pub(super) fn load_reported(&mut self, now: Moment) {
        self.load_updated = now;
    }

    /// Returns whether a probe is waiting for its answer.
    pub(super) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns whether the load information is fresh enough to admit a call.
    pub(super) fn is_load_fresh(&self, now: Moment) -> bool {
        now.since(self.load_updated) <= MAX_ADMISSION_AGE
    }
}
