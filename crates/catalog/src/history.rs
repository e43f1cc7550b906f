//! Bounded history of recent changes and of records that could not be applied.

use std::collections::{BTreeMap, VecDeque};

use cornelvalve_model::{ChangeId, Offset, RecentChange, RecentVerdict};

use crate::PastVerdict;

/// Largest number of recent changes that are kept to detect duplicates. At the design rate of
/// 64,000 changes per day they cover 90 minutes.
pub const MAX_RECENT_CHANGES: usize = 4096;

/// Largest number of bad records that are kept for operators.
pub const MAX_BAD_RECORDS: usize = 64;

/// Longest reason that is kept for a bad record, in bytes; limits the memory that malicious records
/// can take.
const MAX_REASON_BYTES: usize = 512;

/// Log record that was skipped because it could not be decoded or applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Reason why it was skipped, truncated if it is long.
    pub reason: String,
}

/// The most recently applied changes with their verdicts.
///
/// If there are more than [`MAX_RECENT_CHANGES`], the oldest are evicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChanges {
    /// Ids of the changes, oldest first.
    order: VecDeque<ChangeId>,
    verdicts: BTreeMap<ChangeId, PastVerdict>,
}

impl RecentChanges {
    /// Creates the history from the recent changes of a snapshot.
    pub(crate) fn from_snapshot(changes: &[RecentChange]) -> Self {
        let mut recent = Self::default();
        for change in changes {
            let verdict = match &change.verdict {
                RecentVerdict::Accepted(revision) => PastVerdict::Accepted(*revision),
                RecentVerdict::Rejected(reason) => PastVerdict::Rejected(reason.clone()),
            };
            recent.insert(change.id, verdict);
        }
        recent
    }

    /// Returns the verdict on a change, or `None` if it is not among the recent ones.
    pub(crate) fn verdict(&self, id: ChangeId) -> Option<&PastVerdict> {
        self.verdicts.get(&id)
    }

    /// Adds a change and evicts the oldest one if there are too many.
    pub(crate) fn insert(&mut self, id: ChangeId, verdict: PastVerdict) {
        if self.order.len() == MAX_RECENT_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.order.push_back(id);
        self.verdicts.insert(id, verdict);
    }

    /// Returns the changes as a snapshot stores them, oldest first.
    pub(crate) fn to_recent_changes(&self) -> Vec<RecentChange> {
        let recent_change = |id: &ChangeId| {
            let verdict = match self.verdicts.get(id)? {
                PastVerdict::Accepted(revision) => RecentVerdict::Accepted(*revision),
                PastVerdict::Rejected(reason) => RecentVerdict::Rejected(reason.clone()),
                // Only accepted and rejected changes are inserted.
                PastVerdict::NotRetained => return None,
            };
            Some(RecentChange { id: *id, verdict })
        };
        self.order.iter().filter_map(recent_change).collect()
    }
}

/// The latest bad records, oldest first.
///
/// If there are more than [`MAX_BAD_RECORDS`], the oldest are evicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct BadRecords {
    records: VecDeque<BadRecord>,
}

impl BadRecords {
    /// Adds a bad record unless it is already listed.
    pub(crate) fn insert(&mut self, offset: Offset, reason: &str) {
        // After a gap the next offset stays the same, so a reader that waits for a snapshot may
        // apply the same bad record again.
        if self.records.iter().any(|bad| bad.offset == offset) {
            return;
        }
        if self.records.len() == MAX_BAD_RECORDS {
            self.records.pop_front();
        }
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        self.records.push_back(BadRecord {
            offset,
            reason: reason[..end].to_owned(),
        });
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &BadRecord> {
        self.records.iter()
    }
}
