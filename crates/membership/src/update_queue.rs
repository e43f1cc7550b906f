//! Queue of updates that wait to be piggybacked.

use std::collections::BTreeMap;

use cornelvalve_model::VmName;
use smallvec::SmallVec;

use crate::{Update, size};

/// Updates kept at most; what is displaced spreads by anti-entropy.
const MAX_QUEUED_UPDATES: usize = 1024;

/// Form in which an update is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateKind {
    /// Key and state only.
    State,
    /// The complete record.
    Record,
}

#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    kind: UpdateKind,
    sends: u32,
}

/// Names of the members whose updates are to be sent, each a bounded number of times.
///
/// The content is read from the table when it is sent, so that the queue never holds an outdated
/// update.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    queued: BTreeMap<VmName, QueuedUpdate>,
}

impl UpdateQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.queued.clear();
    }

    pub(crate) fn push(&mut self, vm: &VmName, kind: UpdateKind) {
        if let Some(queued) = self.queued.get_mut(vm) {
            queued.kind = queued.kind.max(kind);
            queued.sends = 0;
            return;
        }
        if self.queued.len() >= MAX_QUEUED_UPDATES {
            self.evict_most_sent();
        }
        self.queued
            .insert(vm.clone(), QueuedUpdate { kind, sends: 0 });
    }

    fn evict_most_sent(&mut self) {
        let most = self.queued.iter().max_by_key(|(_, p)| p.sends);
        if let Some(vm) = most.map(|(vm, _)| vm.clone()) {
            self.queued.remove(&vm);
        }
    }

    /// Adds the updates sent least often until `room` bytes are used; drops those that have been
    /// sent `limit` times or that `read` no longer finds.
    pub(crate) fn append_updates(
        &mut self,
        updates: &mut Vec<Update>,
        mut remaining: usize,
        limit: u32,
        make_update: impl Fn(&VmName, UpdateKind) -> Option<Update>,
    ) {
        let mut candidates: SmallVec<[(u32, VmName); 16]> = SmallVec::new();
        candidates.extend(self.queued.iter().map(|(vm, p)| (p.sends, vm.clone())));
        candidates.sort_unstable();
        for (sends, vm) in candidates {
            let Some(queued) = self.queued.get_mut(&vm) else {
                continue;
            };
            let Some(update) = make_update(&vm, queued.kind) else {
                self.queued.remove(&vm);
                continue;
            };
            let bytes = size::update(&update);
            if bytes > remaining {
                // Smaller updates behind a large one must not overtake it for ever.
                break;
            }
            remaining -= bytes;
            updates.push(update);
            queued.sends = sends + 1;
            if queued.sends >= limit {
                self.queued.remove(&vm);
            }
        }
    }
}
