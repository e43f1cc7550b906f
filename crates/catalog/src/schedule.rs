//! When a reader of the log writes a snapshot.

use std::time::Duration;

use cornelvalve_model::{Moment, Offset, Snapshot};

use crate::{ApplyOutcome, Catalog};

/// Records after the latest snapshot at which the next one is due. At 64,000 changes a day they
/// arrive in 23 minutes.
const MAX_UNCOVERED: u64 = 1024;

/// Fewest records after the latest snapshot that make another one due, so that snapshots do not
/// follow each other in a stream that retains only a few records.
const MIN_UNCOVERED: u64 = 4;

/// Age of the latest snapshot at which the next one is due. A record of 800 KB each 10 minutes
/// costs a reader 1.4 KB/s.
const PERIOD: Duration = Duration::from_secs(600);

/// Shortest time between two snapshots by one daemon. Should all 24 readers write, they take 2.4
/// of the several hundred appends a second that the log service accepts.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// Range of the random delay before a snapshot that is due.
const SPREAD: Duration = Duration::from_secs(10);

/// Range of the random delay when the start of the stream is gone and no snapshot replaces it.
const URGENT_SPREAD: Duration = Duration::from_secs(2);

/// Snapshot record in the stream.
#[derive(Clone, Copy, Debug)]
struct Seen {
    offset: Offset,
    covers: Offset,
    at: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    None,
    Due,
    Urgent,
}

/// Decides when a reader writes a snapshot.
///
/// Any reader may write at any time, because a snapshot that covers no more than what is applied
/// has no effect. The schedule only keeps the number of snapshots small: each reader waits for a
/// random time, readers that are not ranked first wait longer, and nobody writes after having
/// read the snapshot of another.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    latest: Option<Seen>,
    first_retained: Offset,
    started: Moment,
    due: Option<Moment>,
    written: Option<Moment>,
}

impl SnapshotSchedule {
    /// Creates the schedule of a reader that has read nothing yet.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            latest: None,
            first_retained: Offset(0),
            started: now,
            due: None,
            written: None,
        }
    }

    /// Notes a snapshot that was read; one that no fresh reader can start from does not count.
    pub fn observe_snapshot(&mut self, offset: Offset, snapshot: &Snapshot, now: Moment) {
        let covers = snapshot.covers;
        let is_newer = self.latest.is_none_or(|seen| covers > seen.covers);
        let is_usable = || {
            let verdict = Catalog::new().restore(snapshot);
            covers <= offset && matches!(verdict, ApplyOutcome::SnapshotRestored { .. })
        };
        if is_newer && is_usable() {
            self.latest = Some(Seen {
                offset,
                covers,
                at: now,
            });
        }
    }

    /// Notes the first offset that the log service still has.
    pub fn observe_retention(&mut self, first_retained: Offset) {
        self.first_retained = self.first_retained.max(first_retained);
    }

    /// Tells whether to write a snapshot now; the caller is at the end of the stream, at `next`.
    ///
    /// `random` lies between 0 and 1 and differs between daemons.
    pub fn take_due(&mut self, next: Offset, is_first: bool, random: f64, now: Moment) -> bool {
        let need = self.need(next, now);
        if need == Need::None {
            self.due = None;
            return false;
        }
        let due = *self.due.get_or_insert_with(|| {
            let spread = match need {
                Need::Urgent => URGENT_SPREAD,
                _ => SPREAD,
            };
            let head_start = if is_first { Duration::ZERO } else { spread * 2 };
            now + head_start + spread.mul_f64(random.clamp(0.0, 1.0))
        });
        let rests = self.written.is_some_and(|at| now.since(at) < MIN_INTERVAL);
        if now < due || rests {
            return false;
        }
        self.due = None;
        self.written = Some(now);
        true
    }

    fn need(&self, next: Offset, now: Moment) -> Need {
        if next == Offset(0) {
            return Need::None;
        }
        let first = self.first_retained;
        // A fresh reader needs all records from the covered offset on.
        let usable = self
            .latest
            .filter(|s| s.offset >= first && s.covers >= first);
        let Some(latest) = usable else {
            let is_old = now.since(self.started) >= PERIOD || next.0 >= MAX_UNCOVERED;
            return match first {
                Offset(0) if is_old => Need::Due,
                Offset(0) => Need::None,
                _ => Need::Urgent,
            };
        };
        // The snapshot record itself needs no cover.
        let uncovered = next.0.saturating_sub(latest.covers.0 + 1);
        let is_old = now.since(latest.at) >= PERIOD;
        if is_old || uncovered >= self.limit(next) {
            Need::Due
        } else {
            Need::None
        }
    }

    /// Returns how many records may follow a snapshot: half of those that the service retains.
    fn limit(&self, next: Offset) -> u64 {
        if self.first_retained == Offset(0) {
            return MAX_UNCOVERED;
        }
        let retained = next.0.saturating_sub(self.first_retained.0);
        (retained / 2).clamp(MIN_UNCOVERED, MAX_UNCOVERED)
    }
}
