//! Coldness of the upstream, from which the admission gate limits its starts.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::ColdRate;

use super::state::GuardState;
use super::upstream::UpstreamProcess;
use crate::messages::StatsMessage;

/// Minimum time from the last request of a daemon to the start of the guard in the next one. A
/// process supervisor waits for 100 ms or more, and the start takes as long on a small VM.
const MIN_RESTART_TIME: Duration = Duration::from_millis(200);

impl GuardState {
    /// Treats the upstream as cold until its health path reports otherwise.
    pub(super) fn assume_cold(&mut self, now: Moment) {
        let cold_duration = self.service().map_or(Duration::ZERO, |s| s.cold_duration);
        if let Some(process) = &mut self.process {
            process.extend_cold(cold_duration, now);
        }
        self.probe(now);
    }

    /// Tells the gate what is known about the coldness of the upstream.
    ///
    /// While the desired state does not describe the upstream's service, its rate counts as zero,
    /// so that only the starts that it tolerates at any rate are allowed.
    pub(super) fn update_cold_limit(&mut self, now: Moment) {
        let Some(process) = &self.process else {
            return;
        };
        let rate = self.service().map_or(0.0, |s| s.cold_rate);
        let cold = ColdRate {
            until: process.cold_until,
            warm_at: process.warm_at,
            per_second: self.settings.tolerance.limit(rate),
            spare: self.settings.tolerance.spare(rate),
            unrecorded_until: self
                .may_lack_starts(process)
                .then_some(self.started - MIN_RESTART_TIME),
        };
        self.log_cold_change(&cold, now);
        let actions = self.gate.set_cold_rate(cold, now);
        self.apply_actions(actions, now);
        self.publish_load(now);
    }

    /// Returns whether an earlier daemon may have sent requests to the process since it turned
    /// cold.
    fn may_lack_starts(&self, process: &UpstreamProcess) -> bool {
        let cold_duration = self.service().map(|s| s.cold_duration);
        let turned_cold = process.earliest_warm.zip(cold_duration);
        turned_cold.is_none_or(|(end, duration)| {
            // Nothing is subtracted, as the clock may have started with this process.
            duration.is_zero() || end + MIN_RESTART_TIME < self.started + duration
        })
    }

    /// Logs that the upstream has become cold or warm.
    fn log_cold_change(&mut self, cold: &ColdRate, now: Moment) {
        let Some(process) = self.process.as_ref() else {
            return;
        };
        let is_cold = now < cold.until;
        if is_cold == self.logged_cold {
            return;
        }
        self.logged_cold = is_cold;
        let instance = process.instance.as_ref();
        let recent_starts = self.gate.recent_starts(now);
        if is_cold {
            log::info!(event = "upstream-cold", instance = instance, cold_ms = process.cold_until.since(now).as_millis() as u64, limit = cold.per_second, rate_known = self.service().is_some(), recent_starts = recent_starts; "upstream is cold; starts are limited");
        } else {
            log::info!(event = "upstream-warm", instance = instance, recent_starts = recent_starts; "upstream is no longer cold");
        }
    }

    /// Counts a start at a cold upstream in the metrics.
    pub(super) fn count_cold_start(&self) {
        let rate_known = self.service().is_some();
        let message = StatsMessage::ColdStart { rate_known };
        if let Err(e) = self.channels.stats.try_send(message) {
            log::debug!("start at a cold upstream is missing in the metrics: {e}");
        }
    }
}
