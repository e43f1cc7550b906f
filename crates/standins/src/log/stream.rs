//! Records of one log stream and their eviction.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use cornelvalve_model::{Offset, WallTime};
use tokio::time::Instant;

use super::LogOptions;

/// Record of a stream.
#[derive(Clone, Debug)]
pub(super) struct StoredRecord {
    pub(super) offset: Offset,
    /// Wall time of the append, for readers.
    pub(super) appended_at: WallTime,
    /// Content in base64, as it was sent; the service does not interpret it.
    pub(super) data: String,
    /// Monotonic time of the append, for the age limit; wall time can step back.
    append_instant: Instant,
}

/// Retained records of a stream, and the offset of the next one.
#[derive(Debug, Default)]
pub(super) struct Stream {
    records: VecDeque<StoredRecord>,
    end: Offset,
}

impl Stream {
    /// Returns the offset that the next record gets.
    pub(super) fn end(&self) -> Offset {
        self.end
    }

    /// Returns the offset of the first retained record, or the end if there is none.
    pub(super) fn first_retained(&self) -> Offset {
        self.records.front().map_or(self.end, |r| r.offset)
    }

    /// Appends records and returns the offset of the first.
    pub(super) fn append(&mut self, records: Vec<String>) -> Offset {
        let first = self.end;
        let appended_at = wall_time();
        let append_instant = Instant::now();
        for data in records {
            let offset = self.end;
            self.records.push_back(StoredRecord {
                offset,
                appended_at,
                data,
                append_instant,
            });
            self.end = offset.next();
        }
        first
    }

    /// Removes the oldest records while there are too many, and those that are too old.
    pub(super) fn evict(&mut self, options: &LogOptions) {
        while self.records.len() > options.retain_records {
            self.records.pop_front();
        }
        let is_expired = |r: &StoredRecord| r.append_instant.elapsed() >= options.retain_age;
        while self.records.front().is_some_and(is_expired) {
            self.records.pop_front();
        }
    }

    /// Returns at most `max` retained records, starting at the offset `from`.
    pub(super) fn read(&self, from: Offset, max: usize) -> Vec<StoredRecord> {
        let skipped = from.0.saturating_sub(self.first_retained().0);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        self.records
            .iter()
            .skip(skipped)
            .take(max)
            .cloned()
            .collect()
    }
}

/// Returns the current wall time, or zero if the clock is set before the Unix epoch.
fn wall_time() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}
