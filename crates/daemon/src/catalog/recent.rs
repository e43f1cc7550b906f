//! Buffer of recently applied records, for peers that miss only a few.

use std::collections::VecDeque;

use cornelvalve_api::PeerRecord;
use cornelvalve_model::{LogEntry, Offset};

/// Largest number of records in the buffer; at 64,000 changes a day they cover about 90 minutes.
const MAX_RECORDS: usize = 4096;

/// The latest records that were applied, without gaps between their offsets.
#[derive(Debug, Default)]
pub(super) struct RecentRecords {
    records: VecDeque<PeerRecord>,
}

impl RecentRecords {
    /// Adds a record that was applied. If its offset does not follow the last one, all older
    /// records are dropped.
    pub(super) fn push(&mut self, offset: Offset, entry: Option<LogEntry>) {
        let is_contiguous = self
            .records
            .back()
            .is_none_or(|r| r.offset.next() == offset);
        if !is_contiguous {
            self.records.clear();
        }
        self.records.push_back(PeerRecord { offset, entry });
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Drops all records, for example because a snapshot replaced the state.
    pub(super) fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns up to `max` records, starting with the one at offset `from`, or `None` if the buffer
    /// is empty or its oldest record has a larger offset.
    pub(super) fn starting_at(&self, from: Offset, max: usize) -> Option<Vec<PeerRecord>> {
        let first = self.records.front()?.offset;
        if from < first {
            return None;
        }
        let skip = usize::try_from(from.0 - first.0).ok()?;
        Some(self.records.iter().skip(skip).take(max).cloned().collect())
    }
}
