//! Tests of the schedule by which readers of the log write snapshots.

use std::time::Duration;

use cornelvalve_catalog::{Catalog, SnapshotSchedule};
use cornelvalve_model::{Change, LogEntry, Moment, Offset, Operation, Snapshot};

use crate::operation::change_id;

/// Largest number of readers that the schedule is designed for: two in each of 12 failure domains.
const READERS: usize = 24;

/// Interval at which the simulated clock advances.
const STEP: Duration = Duration::from_millis(500);

/// Time after which all readers have read a snapshot; shorter than a step, so that they have read
/// it in the next step.
const READ_DELAY: Duration = Duration::from_millis(200);

/// Returns a snapshot of a catalog that has applied `covers` records.
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

/// Guards against records that retention removes before a snapshot covers them.
#[test]
fn snapshot_is_due_before_half_of_the_retained_records_are_uncovered() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(10));
    schedule.observe_snapshot(Offset(20), &snapshot(20), at(0));
    // At offset 30, 20 records are retained and 9 follow the snapshot. At offset 33 it is 23 and
    // 12, which is more than half.
    assert!(!schedule.take_due(Offset(30), true, 0.0, at(1)));
    assert!(schedule.take_due(Offset(33), true, 0.0, at(2)));
}

/// Guards against a stream whose latest snapshot is removed by age, because there are no changes
/// that would make a new one due.
#[test]
fn snapshot_is_renewed_without_changes() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_snapshot(Offset(2), &snapshot(2), at(0));
    assert!(!schedule.take_due(Offset(3), true, 0.0, at(599)));
    assert!(schedule.take_due(Offset(3), true, 0.0, at(600)));
}

/// Guards against a snapshot that new readers cannot start from, but that delays the next one: one
/// that a paused daemon wrote too late, and an inconsistent one.
#[test]
fn unusable_snapshots_are_ignored() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(30));
    schedule.observe_snapshot(Offset(60), &snapshot(20), at(0));
    assert!(
        schedule.take_due(Offset(61), true, 0.0, at(1)),
        "snapshot does not cover the removed records"
    );
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(30));
    let mut inconsistent = snapshot(40);
    inconsistent.entries.extend(inconsistent.entries.clone());
    schedule.observe_snapshot(Offset(40), &inconsistent, at(0));
    assert!(
        schedule.take_due(Offset(41), true, 0.0, at(1)),
        "snapshot is inconsistent"
    );
}

/// Guards against readers that all write a snapshot when one is due, and so use up the appends that
/// operators need.
#[test]
fn one_reader_writes_each_snapshot() {
    let mut schedules = vec![SnapshotSchedule::new(at(0)); READERS];
    let mut written: Vec<(Moment, Offset)> = Vec::new();
    let mut read = 0;
    let mut next = Offset(0);
    let mut now = at(0);
    while now < at(3600) {
        next = Offset(next.0 + 1);
        for (i, schedule) in schedules.iter_mut().enumerate() {
            // Each reader has another random number; the preferred reader is number 3.
            let random = (i * 7 % READERS) as f64 / READERS as f64;
            if schedule.take_due(next, i == 3, random, now) {
                written.push((now, next));
                next = Offset(next.0 + 1);
            }
        }
        now = now + STEP;
        while let Some((sent, offset)) = written.get(read)
            && now.since(*sent) >= READ_DELAY
        {
            let snapshot = Snapshot {
                covers: *offset,
                ..snapshot(1)
            };
            let record = |s: &mut SnapshotSchedule| s.observe_snapshot(*offset, &snapshot, now);
            schedules.iter_mut().for_each(record);
            read += 1;
        }
    }
    // An hour has 7,200 records. A snapshot is due every 1,024 records, which take 512 s, before
    // its age of 600 s makes one due.
    assert!((6..=9).contains(&written.len()), "{written:?}");
}

/// Guards against a reader that writes snapshots one after the other if its appends fail, so that
/// it never reads one of them. In 100 s it may try once every 10 s.
#[test]
fn failed_snapshot_is_retried_after_interval() {
    let mut schedule = SnapshotSchedule::new(at(0));
    schedule.observe_retention(Offset(5));
    let writes = (0..100u64)
        .filter(|s| schedule.take_due(Offset(10), true, 0.0, at(*s)))
        .count();
    assert_eq!(writes, 10);
}
