//! Bounded buffer of events.

use std::collections::VecDeque;

use cornelvalve_api::{Event, TimelineEvent, TimelinePage, Timestamp};
use cornelvalve_model::VmName;

/// Most recent events of one daemon in the order of their timestamps.
#[derive(Clone, Debug)]
pub struct Ring {
    vm: VmName,
    capacity: usize,
    events: VecDeque<TimelineEvent>,
    /// Timestamp of the latest event that was dropped for want of room.
    dropped: Option<Timestamp>,
}

impl Ring {
    /// Creates an empty buffer for at most `capacity` events.
    #[must_use]
    pub fn new(vm: VmName, capacity: usize) -> Self {
        Self {
            vm,
            capacity,
            events: VecDeque::new(),
            dropped: None,
        }
    }

    /// Stores an event, whose timestamp must exceed those stored before.
    pub fn push(&mut self, at: Timestamp, event: Event) {
        debug_assert!(self.events.back().is_none_or(|last| last.at < at));
        if self.events.len() >= self.capacity {
            self.dropped = self.events.pop_front().map(|oldest| oldest.at);
        }
        self.events.push_back(TimelineEvent {
            at,
            vm: self.vm.clone(),
            event,
        });
    }

    /// Returns at most `limit` events later than `after`.
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
            gap: self.dropped > after,
            events,
        }
    }
}
