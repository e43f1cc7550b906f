//! Bounded buffer of timeline events.

use std::collections::VecDeque;

use cornelvalve_api::{Event, TimelineEvent, TimelinePage, Timestamp};
use cornelvalve_model::VmName;

/// Most recent events of one daemon, in the order of their timestamps.
#[derive(Clone, Debug)]
pub struct EventBuffer {
    vm: VmName,
    capacity: usize,
    events: VecDeque<TimelineEvent>,
    /// Timestamp of the latest event that was dropped because the buffer was full.
    last_dropped: Option<Timestamp>,
}

impl EventBuffer {
    /// Creates an empty buffer for at most `capacity` events.
    #[must_use]
    pub fn new(vm: VmName, capacity: usize) -> Self {
        Self {
            vm,
            capacity,
            events: VecDeque::new(),
            last_dropped: None,
        }
    }

    /// Stores an event, and drops the oldest one if the buffer is full.
    ///
    /// # Panics
    ///
    /// In debug builds, panics if `at` is not later than the timestamps of all stored events.
    pub fn push(&mut self, at: Timestamp, event: Event) {
        debug_assert!(self.events.back().is_none_or(|last| last.at < at));
        if self.events.len() >= self.capacity {
            self.last_dropped = self.events.pop_front().map(|oldest| oldest.at);
        }
        self.events.push_back(TimelineEvent {
            at,
            vm: self.vm.clone(),
            event,
        });
    }

    /// Returns at most `limit` events later than `after`, oldest first, and whether events later
    /// than `after` were dropped before.
    #[must_use]
    pub fn read(&self, after: Option<Timestamp>, limit: usize) -> TimelinePage {
        let start = self.events.partition_point(|e| Some(e.at) <= after);
        let events: Vec<TimelineEvent> = self
            .events
            .iter()
            .skip(start)
            .take(limit)
            .cloned()
            .collect();
        TimelinePage {
            next: events.last().map(|e| e.at).or(after),
            gap: self.last_dropped > after,
            events,
        }
    }
}
