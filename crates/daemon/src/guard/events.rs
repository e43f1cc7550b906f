//! Timeline events of the guard: pauses of the process and changes of admission limits.

use std::collections::BTreeMap;

use cornelvalve_api::Event;
use cornelvalve_kernel::{Mailbox, Tick};
use cornelvalve_model::ServiceName;

use super::UpstreamLoad;
use super::validator::PAUSE_THRESHOLD;
use crate::timeline::{self, TimelineMessage};

/// Smallest factor by which an admission limit must change to be recorded. The limits adapt in
/// small steps, which would push other events out of the bounded timeline.
const MIN_CHANGE_FACTOR: u16 = 2;

/// Records the events, and keeps the limit of each service that was recorded last.
pub(super) struct GuardEvents {
    timeline: Mailbox<TimelineMessage>,
    limits: BTreeMap<ServiceName, u16>,
}

impl GuardEvents {
    /// Creates a recorder without recorded limits.
    pub(super) fn new(timeline: Mailbox<TimelineMessage>) -> Self {
        Self {
            timeline,
            limits: BTreeMap::new(),
        }
    }

    /// Records a pause if the tick is late, and limits that changed significantly.
    pub(super) fn tick(&mut self, tick: Tick, loads: &[UpstreamLoad]) {
        if tick.lateness > PAUSE_THRESHOLD {
            let millis = u64::try_from(tick.lateness.as_millis()).unwrap_or(u64::MAX);
            log::warn!(millis = millis;
                "process was paused; refusing requests until the configuration is confirmed");
            timeline::record(&self.timeline, Event::Paused { millis });
        }
        for load in loads {
            self.record_limit(&load.upstream.service, load.load.limit);
        }
    }

    /// Records a limit if it differs enough from the one recorded last.
    fn record_limit(&mut self, service: &ServiceName, limit: u16) {
        let recorded = self.limits.get(service).copied();
        if !recorded.is_none_or(|old| is_significant(old, limit)) {
            return;
        }
        self.limits.insert(service.clone(), limit);
        let event = Event::AdmissionChanged {
            service: service.clone(),
            limit: limit.into(),
        };
        timeline::record(&self.timeline, event);
    }
}

/// Returns whether one limit is at least [`MIN_CHANGE_FACTOR`] times the other.
fn is_significant(old: u16, new: u16) -> bool {
    let (low, high) = (old.min(new), old.max(new));
    low != high && high >= low.saturating_mul(MIN_CHANGE_FACTOR)
}
