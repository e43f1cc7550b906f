//! Queues updates until they are piggybacked on probes and acknowledgements.

use std::collections::BTreeMap;

use cornelvalve_model::VmName;
use smallvec::SmallVec;

use crate::{Update, size};

/// Maximum number of queued updates. Evicted updates reach other members through anti-entropy
/// exchanges.
const MAX_QUEUED_UPDATES: usize = 1024;

/// Which part of a member record an update carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateKind {
    /// The key and state only.
    State,
    /// The complete record.
    Record,
}

/// An update in the queue.
#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    kind: UpdateKind,
    /// Number of times that the update has been sent.
    sends: u32,
}

/// The updates that are to be sent, at most one for each member. Each is sent a limited number of
/// times, and those sent least often are sent first.
///
/// The content of an update is read from the member table when it is sent, so the queue never holds
/// outdated content.
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

    /// Adds an update. If the member already has one, the number of sends starts again at 0 and the
    /// complete record takes precedence over the state.
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

    /// Removes the update that has been sent most often, which needs further sends least.
    fn evict_most_sent(&mut self) {
        let most = self.queued.iter().max_by_key(|(_, q)| q.sends);
        if let Some(vm) = most.map(|(vm, _)| vm.clone()) {
            self.queued.remove(&vm);
        }
    }

    /// Appends queued updates to `updates`, those sent least often first, until the next one does
    /// not fit in the remaining bytes.
    ///
    /// Removes updates from the queue that have been sent `max_sends` times, and those for which
    /// `make_update` returns `None`.
    pub(crate) fn append_updates(
        &mut self,
        updates: &mut Vec<Update>,
        mut remaining_bytes: usize,
        max_sends: u32,
        make_update: impl Fn(&VmName, UpdateKind) -> Option<Update>,
    ) {
        let mut candidates: SmallVec<[(u32, VmName); 16]> = SmallVec::new();
        candidates.extend(self.queued.iter().map(|(vm, q)| (q.sends, vm.clone())));
        candidates.sort_unstable();
        for (sends, vm) in candidates {
            let Some(queued) = self.queued.get_mut(&vm) else {
                continue;
            };
            let Some(update) = make_update(&vm, queued.kind) else {
                self.queued.remove(&vm);
                continue;
            };
            let bytes = size::update_bytes(&update);
            if bytes > remaining_bytes {
                // Skipping a large update in favor of smaller ones could delay it forever.
                break;
            }
            remaining_bytes -= bytes;
            updates.push(update);
            queued.sends = sends + 1;
            if queued.sends >= max_sends {
                self.queued.remove(&vm);
            }
        }
    }
}
