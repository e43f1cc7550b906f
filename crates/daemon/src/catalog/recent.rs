//! Recently applied records, kept for peers that are a little behind.

use std::collections::VecDeque;

use cornelvalve_api::PeerRecord;
use cornelvalve_model::{LogEntry, Offset};

/// Records kept; at 64,000 changes a day they cover about an hour and a half.
const MAX_RECORDS: usize = 4096;

/// Contiguous run of the latest records.
#[derive(Debug, Default)]
pub(super) struct RecentRecords {
    records: VecDeque<PeerRecord>,
}

impl RecentRecords {
    /// Adds a record that was applied; a gap before it drops the older ones.
    pub(super) fn push(&mut self, offset: Offset, entry: Option<LogEntry>) {
        let follows = self
            .records
            .back()
            .is_none_or(|r| r.offset.next() == offset);
        if !follows {
            self.records.clear();
        }
        self.records.push_back(PeerRecord { offset, entry });
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Drops all records, as when a snapshot replaced them.
    pub(super) fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns up to `max` records from `after` on, or `None` if some of them are missing.
    pub(super) fn since(&self, after: Offset, max: usize) -> Option<Vec<PeerRecord>> {
        let first = self.records.front()?.offset;
        if after < first {
            return None;
        }
        let skip = usize::try_from(after.0 - first.0).ok()?;
        Some(self.records.iter().skip(skip).take(max).cloned().collect())
    }
}
