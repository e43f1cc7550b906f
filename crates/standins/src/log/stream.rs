//! Records of one stream and their retention.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use cornelvalve_model::{Offset, WallTime};
use tokio::time::Instant;

use super::LogOptions;

/// Record as stored; `data` stays in its encoded form, because the service does not look at it.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) offset: Offset,
    pub(super) at: WallTime,
    pub(super) data: String,
    age_from: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Stream {
    records: VecDeque<Stored>,
    end: Offset,
}

impl Stream {
    /// Offset that the next record gets.
    pub(super) fn end(&self) -> Offset {
        self.end
    }

    pub(super) fn first_retained(&self) -> Offset {
        self.records.front().map_or(self.end, |r| r.offset)
    }

    /// Appends records and returns the offset of the first.
    pub(super) fn append(&mut self, records: Vec<String>) -> Offset {
        let first = self.end;
        let at = wall_time();
        let age_from = Instant::now();
        for data in records {
            let offset = self.end;
            self.records.push_back(Stored {
                offset,
                at,
                data,
                age_from,
            });
            self.end = offset.next();
        }
        first
    }

    /// Removes the records that are too many or too old.
    pub(super) fn evict(&mut self, options: &LogOptions) {
        while self.records.len() > options.retain_records {
            self.records.pop_front();
        }
        let expired = |r: &Stored| r.age_from.elapsed() >= options.retain_age;
        while self.records.front().is_some_and(expired) {
            self.records.pop_front();
        }
    }

    pub(super) fn read(&self, from: Offset, max: usize) -> Vec<Stored> {
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

fn wall_time() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    WallTime(u64::try_from(millis).unwrap_or(u64::MAX))
}
