//! Guards against a timeline in which an effect precedes its cause.

use cornelvalve_api::{Event, TimelineEvent, Timestamp};
use cornelvalve_ctl::merge;

use crate::fake::id;

fn event(wall_ms: u64, logical: u32, vm: &str) -> TimelineEvent {
    TimelineEvent {
        at: Timestamp { wall_ms, logical },
        vm: id(vm),
        event: Event::Started,
    }
}

fn order(timelines: Vec<Vec<TimelineEvent>>) -> Vec<String> {
    let line = |e: &TimelineEvent| format!("{} {}", e.at, e.vm);
    merge(timelines).iter().map(line).collect()
}

#[test]
fn logical_counter_decides_within_a_millisecond() {
    let a = vec![event(100, 0, "vm-a"), event(100, 3, "vm-a")];
    let b = vec![
        event(100, 1, "vm-b"),
        event(100, 2, "vm-b"),
        event(101, 0, "vm-b"),
    ];
    let merged = order(vec![b, a]);
    let expected = [
        "100.0 vm-a",
        "100.1 vm-b",
        "100.2 vm-b",
        "100.3 vm-a",
        "101.0 vm-b",
    ];
    assert_eq!(merged, expected);
}

/// Merges of the same events must not differ by the order in which daemons answered.
#[test]
fn order_does_not_depend_on_the_order_of_answers() {
    let a = vec![event(100, 0, "vm-a"), event(102, 0, "vm-a")];
    let b = vec![event(100, 0, "vm-b"), event(101, 0, "vm-b")];
    assert_eq!(order(vec![a.clone(), b.clone()]), order(vec![b, a]));
}

/// A daemon that is named twice must not double its events.
#[test]
fn repeated_events_are_kept_once() {
    let a = vec![event(100, 0, "vm-a")];
    assert_eq!(order(vec![a.clone(), a]), ["100.0 vm-a"]);
}
