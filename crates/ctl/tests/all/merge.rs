//! Tests of merging timelines.

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

/// Merges the timelines and returns the timestamp and VM of each event.
fn merged_order(timelines: Vec<Vec<TimelineEvent>>) -> Vec<String> {
    let line = |e: &TimelineEvent| format!("{} {}", e.at, e.vm);
    merge(timelines).iter().map(line).collect()
}

/// Guards against an effect that precedes its cause within the same millisecond.
#[test]
fn logical_counter_orders_events_within_a_millisecond() {
    let a = vec![event(100, 0, "vm-a"), event(100, 3, "vm-a")];
    let b = vec![
        event(100, 1, "vm-b"),
        event(100, 2, "vm-b"),
        event(101, 0, "vm-b"),
    ];
    let merged = merged_order(vec![b, a]);
    let expected = [
        "100.0 vm-a",
        "100.1 vm-b",
        "100.2 vm-b",
        "100.3 vm-a",
        "101.0 vm-b",
    ];
    assert_eq!(merged, expected);
}

/// Guards against a merge that depends on the order in which daemons answered.
#[test]
fn order_does_not_depend_on_the_order_of_answers() {
    let a = vec![event(100, 0, "vm-a"), event(102, 0, "vm-a")];
    let b = vec![event(100, 0, "vm-b"), event(101, 0, "vm-b")];
    assert_eq!(
        merged_order(vec![a.clone(), b.clone()]),
        merged_order(vec![b, a])
    );
}

/// Guards against events that appear twice if the command line names a daemon twice.
#[test]
fn duplicate_events_are_removed() {
    let a = vec![event(100, 0, "vm-a")];
    assert_eq!(merged_order(vec![a.clone(), a]), ["100.0 vm-a"]);
}
