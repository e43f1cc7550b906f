//! Schedule by which the daemons that read the log write snapshots to it.

use std::time::Duration;

use cornelvalve_model::{Moment, Offset, Snapshot};

use crate::{ApplyOutcome, Catalog};

/// Number of records after the latest snapshot at which the next one is due. A new reader applies
/// these records after the snapshot. At the design rate of 64,000 changes per day the number is
/// reached in 23 minutes.
const MAX_UNCOVERED_RECORDS: u64 = 1024;

/// Smallest number of records after the latest snapshot at which the next one is due. Without it,
/// every snapshot would make another one due in a stream that retains only a few records.
const MIN_UNCOVERED_RECORDS: u64 = 4;

/// Age of the latest snapshot at which the next one is due. Without changes, retention by age would
/// otherwise remove the snapshot. Reading a snapshot of 800 KB every 10 minutes takes 1.4 KB/s per
/// reader.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(600);

/// Shortest time between two snapshots by one daemon. If 24 readers, two in each of 12 failure
/// domains, all write, they use 2.4 of the several hundred appends per second that the log store
/// accepts.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Largest random delay of the preferred reader before a snapshot that is due. The other readers
/// wait two such delays more, so that they read the snapshot of the preferred reader first.
const MAX_JITTER: Duration = Duration::from_secs(10);

/// Largest random delay if retention has removed the start of the stream and no snapshot replaces
/// it, so that new readers cannot start.
const MAX_URGENT_JITTER: Duration = Duration::from_secs(2);

/// Snapshot record that was read from the stream.
#[derive(Clone, Copy, Debug)]
struct SnapshotRecord {
    offset: Offset,
    /// Offset after the last record that the snapshot covers.
    covers: Offset,
    read_at: Moment,
}

/// Whether the stream needs a new snapshot, and how soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Urgency {
    /// The latest snapshot is recent enough.
    None,
    /// The latest snapshot is too old, or too many records follow it.
    Due,
    /// New readers cannot start, because retention has removed records that no snapshot covers.
    Urgent,
}

/// Decides when one reader of the log writes a snapshot.
///
/// Any reader may write a snapshot at any time, because readers ignore a snapshot that covers no
/// more records than they have applied. The schedule only limits the number of snapshots: when one
/// is due, each reader waits for a random time, the preferred reader waits the shortest, and the
/// others do not write once they have read its snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    latest: Option<SnapshotRecord>,
    first_retained: Offset,
    created_at: Moment,
    /// Time at which the next snapshot is written unless another reader writes one first.
    due_at: Option<Moment>,
    /// Time at which this reader last wrote a snapshot.
    written_at: Option<Moment>,
}

impl SnapshotSchedule {
    /// Creates the schedule of a reader that has not read any records.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            latest: None,
            first_retained: Offset(0),
            created_at: now,
            due_at: None,
            written_at: None,
        }
    }

    /// Records a snapshot that was read from the log at an offset.
    ///
    /// A snapshot that a new reader could not start from is ignored.
    pub fn observe_snapshot(&mut self, offset: Offset, snapshot: &Snapshot, now: Moment) {
        let covers = snapshot.covers;
        let is_newer = self.latest.is_none_or(|latest| covers > latest.covers);
        let is_usable = || {
            let outcome = Catalog::new().restore(snapshot);
            covers <= offset && matches!(outcome, ApplyOutcome::SnapshotRestored { .. })
        };
        if is_newer && is_usable() {
            self.latest = Some(SnapshotRecord {
                offset,
                covers,
                read_at: now,
            });
        }
    }

    /// Records the first offset that the log store still retains.
    pub fn observe_retention(&mut self, first_retained: Offset) {
        self.first_retained = self.first_retained.max(first_retained);
    }

    /// Returns whether the caller must write a snapshot now. If so, this starts the minimum
    /// interval before the next one.
    ///
    /// The caller must have read the stream to its end, at offset `next`. `is_preferred` says
    /// whether this daemon is the preferred reader, which is the first in a list of readers that is
    /// the same on all daemons. `random` is a number between 0 and 1 that differs between daemons.
    pub fn take_due(&mut self, next: Offset, is_preferred: bool, random: f64, now: Moment) -> bool {
        let urgency = self.urgency(next, now);
        if urgency == Urgency::None {
            self.due_at = None;
            return false;
        }
        let due_at = *self.due_at.get_or_insert_with(|| {
            let jitter = match urgency {
                Urgency::Urgent => MAX_URGENT_JITTER,
                _ => MAX_JITTER,
            };
            let delay = if is_preferred {
                Duration::ZERO
            } else {
                jitter * 2
            };
            now + delay + jitter.mul_f64(random.clamp(0.0, 1.0))
        });
        let is_too_soon = self
            .written_at
            .is_some_and(|at| now.since(at) < MIN_INTERVAL);
        if now < due_at || is_too_soon {
            return false;
        }
        self.due_at = None;
        self.written_at = Some(now);
        true
    }

    /// Returns whether the stream, which ends at offset `next`, needs a new snapshot.
    fn urgency(&self, next: Offset, now: Moment) -> Urgency {
        if next == Offset(0) {
            return Urgency::None;
        }
        let first = self.first_retained;
        // A new reader needs the snapshot and all records that it does not cover.
        let usable = self
            .latest
            .filter(|s| s.offset >= first && s.covers >= first);
        let Some(latest) = usable else {
            let is_due =
                now.since(self.created_at) >= MAX_SNAPSHOT_AGE || next.0 >= MAX_UNCOVERED_RECORDS;
            return match first {
                Offset(0) if is_due => Urgency::Due,
                Offset(0) => Urgency::None,
                _ => Urgency::Urgent,
            };
        };
        // The snapshot record itself is not covered either and does not count, hence the `+ 1`.
        let uncovered = next.0.saturating_sub(latest.covers.0 + 1);
        let is_old = now.since(latest.read_at) >= MAX_SNAPSHOT_AGE;
        if is_old || uncovered >= self.max_uncovered(next) {
            Urgency::Due
        } else {
            Urgency::None
        }
    }

    /// Returns the number of uncovered records at which a snapshot is due: half of the records that
    /// the service retains, or the maximum if it has not removed any yet.
    fn max_uncovered(&self, next: Offset) -> u64 {
        if self.first_retained == Offset(0) {
            return MAX_UNCOVERED_RECORDS;
        }
        let retained = next.0.saturating_sub(self.first_retained.0);
        (retained / 2).clamp(MIN_UNCOVERED_RECORDS, MAX_UNCOVERED_RECORDS)
    }
}
