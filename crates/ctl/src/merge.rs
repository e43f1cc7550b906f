//! Merges the timelines of several daemons.

use cornelvalve_api::TimelineEvent;

/// Merges the timelines of several daemons into one order.
///
/// Events are ordered by hybrid logical timestamp, so a cause precedes its effect even if the wall
/// clocks of their VMs differ. Events with equal timestamps are ordered by VM name, so that every
/// merge of the same events gives the same order. A timestamp and a VM identify an
/// event; duplicates are kept once.
#[must_use]
pub fn merge(timelines: Vec<Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut events: Vec<TimelineEvent> = timelines.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.at, &a.vm).cmp(&(b.at, &b.vm)));
    events.dedup_by(|a, b| (a.at, &a.vm) == (b.at, &b.vm));
    events
}
