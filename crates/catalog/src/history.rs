//! Bounded memory of recent changes and of records that could not be used.

use std::collections::{BTreeMap, VecDeque};

use cornelvalve_model::{ChangeId, Offset, RecentChange, RecentVerdict};

use crate::PastVerdict;

/// Change ids kept to recognise duplicates. At 64,000 changes a day this covers 90 minutes.
pub const MAX_RECENT_CHANGES: usize = 4096;

/// Unusable records kept for operators.
pub const MAX_BAD_RECORDS: usize = 64;

/// Longest kept reason in bytes, so that hostile records cannot fill the memory.
const MAX_REASON_BYTES: usize = 512;

/// Record that could not be used and was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Why it could not be used.
    pub reason: String,
}

/// Changes that were applied recently, oldest first, with their verdicts.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentChanges {
    order: VecDeque<ChangeId>,
    verdicts: BTreeMap<ChangeId, PastVerdict>,
}

impl RecentChanges {
    /// Creates the memory that a snapshot describes.
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

    pub(crate) fn verdict(&self, id: ChangeId) -> Option<&PastVerdict> {
        self.verdicts.get(&id)
    }

    pub(crate) fn insert(&mut self, id: ChangeId, verdict: PastVerdict) {
        if self.order.len() == MAX_RECENT_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.order.push_back(id);
        self.verdicts.insert(id, verdict);
    }

    /// Returns the changes as a snapshot lists them, oldest first.
    pub(crate) fn to_snapshot(&self) -> Vec<RecentChange> {
        let listed = |id: &ChangeId| {
            let verdict = match self.verdicts.get(id)? {
                PastVerdict::Accepted(revision) => RecentVerdict::Accepted(*revision),
                PastVerdict::Rejected(reason) => RecentVerdict::Rejected(reason.clone()),
                PastVerdict::NotRetained => return None,
            };
            Some(RecentChange { id: *id, verdict })
        };
        self.order.iter().filter_map(listed).collect()
    }
}

/// Recent unusable records, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct BadRecords {
    records: VecDeque<BadRecord>,
}

impl BadRecords {
    pub(crate) fn insert(&mut self, offset: Offset, reason: &str) {
        // A reader that waits for a snapshot may present the same record several times.
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
