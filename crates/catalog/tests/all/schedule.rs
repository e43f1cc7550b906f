//! When readers write snapshots.

use std::time::Duration;

use cornelvalve_catalog::{Catalog, SnapshotSchedule};
use cornelvalve_model::{Change, LogEntry, Moment, Offset, Operation, Snapshot};

use crate::operation::change_id;

/// Readers at the design scale: two in each of 12 failure domains.
const READERS: usize = 24;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(500);

/// Time in which a snapshot is read by the other readers.
const DELIVERY: Duration = Duration::from_millis(200);

fn snapshot(covers: u64) -> Snapshot {
    let mut catalog = Catalog::new();
    for offset in 0..covers {
        let change = Change {
            id: change_id(&offset.to_string()),
            author: "operator".to_owned(),
            expects: None,
            operation: Operation::PutRegion {
                region: "east".parse().expect("valid"),
            },
        };
        catalog.apply(Offset(offset), Ok(&LogEntry::Change(change)));
    }
    catalog.snapshot()
}

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1000)
}

/// Guards against records that leave the log before a snapshot covers them.
#[test]
fn snapshot_is_due_before_half_of_the_retained_records_are_uncovered() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(10));
    schedule.observe_snapshot(Offset(20), &snapshot(20), at(0));
    // 20 records are retained, of which 9 follow the snapshot; then 23 and 12.
    assert!(!schedule.take_due(Offset(30), true, 0.0, at(1)));
    assert!(schedule.take_due(Offset(33), true, 0.0, at(2)));
}

/// Guards against a stream whose records expire although nobody changes anything.
#[test]
fn snapshot_is_renewed_without_changes() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_snapshot(Offset(2), &snapshot(2), at(0));
    assert!(!schedule.take_due(Offset(3), true, 0.0, at(599)));
    assert!(schedule.take_due(Offset(3), true, 0.0, at(600)));
}

/// Guards against a stale snapshot of a paused writer that passes for a recent one, and against
/// one that contradicts itself.
#[test]
fn useless_snapshots_do_not_count() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(30));
    schedule.observe_snapshot(Offset(60), &snapshot(20), at(0));
    assert!(
        schedule.take_due(Offset(61), true, 0.0, at(1)),
        "covers too little"
    );
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(30));
    let mut torn = snapshot(40);
    torn.entries.extend(torn.entries.clone());
    schedule.observe_snapshot(Offset(40), &torn, at(0));
    assert!(
        schedule.take_due(Offset(41), true, 0.0, at(1)),
        "contradicts itself"
    );
}

/// Guards against two dozen readers that all write the same snapshot, and against a rate of
/// snapshots that takes the appends of operators.
#[test]
fn readers_spread_their_snapshots() {
    let mut schedules = vec![SnapshotSchedule::new(at(0)); READERS];
    let mut written: Vec<(Moment, Offset)> = Vec::new();
    let mut delivered = 0;
    let mut next = Offset(0);
    let mut now = at(0);
    while now < at(3600) {
        next = Offset(next.0 + 1);
        for (i, schedule) in schedules.iter_mut().enumerate() {
            let random = (i * 7 % READERS) as f64 / READERS as f64;
            if schedule.take_due(next, i == 3, random, now) {
                written.push((now, next));
                next = Offset(next.0 + 1);
            }
        }
        now = now + STEP;
        while let Some((sent, offset)) = written.get(delivered)
            && now.since(*sent) >= DELIVERY
        {
            let taken = Snapshot {
                covers: *offset,
                ..snapshot(1)
            };
            let seen = |s: &mut SnapshotSchedule| s.observe_snapshot(*offset, &taken, now);
            schedules.iter_mut().for_each(seen);
            delivered += 1;
        }
    }
    // 7,200 records in an hour are due for a snapshot every 512 s, which is below the period.
    assert!((6..=9).contains(&written.len()), "{written:?}");
}

/// Guards against a reader that repeats snapshots as fast as the log refuses them.
#[test]
fn failed_snapshots_are_not_repeated_at_once() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(5));
    let writes = (0..100u64)
        .filter(|s| schedule.take_due(Offset(10), true, 0.0, at(*s)))
        .count();
    assert_eq!(writes, 10);
}
