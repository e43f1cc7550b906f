//! Queue of updates that wait to be piggybacked.

use std::collections::BTreeMap;

use cornelvalve_model::VmName;
use smallvec::SmallVec;

use crate::{Update, size};

/// Updates kept at most; what is displaced spreads by anti-entropy.
const MAX_QUEUED: usize = 1024;

/// Form in which an update is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Form {
    /// Key and state only.
    State,
    /// The complete record.
    Record,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    form: Form,
    sends: u32,
}

/// Names of the members whose updates are to be sent, each a bounded number of times.
///
/// The content is read from the table when it is sent, so that the queue never holds an outdated
/// update.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    pending: BTreeMap<VmName, Pending>,
}

impl NewsQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    pub(crate) fn push(&mut self, vm: &VmName, form: Form) {
        if let Some(pending) = self.pending.get_mut(vm) {
            pending.form = pending.form.max(form);
            pending.sends = 0;
            return;
        }
        if self.pending.len() >= MAX_QUEUED {
            self.displace();
        }
        self.pending.insert(vm.clone(), Pending { form, sends: 0 });
    }

    fn displace(&mut self) {
        let most = self.pending.iter().max_by_key(|(_, p)| p.sends);
        if let Some(vm) = most.map(|(vm, _)| vm.clone()) {
            self.pending.remove(&vm);
        }
    }

    /// Adds the updates sent least often until `room` bytes are used; drops those that have been
    /// sent `limit` times or that `read` no longer finds.
    pub(crate) fn fill(
        &mut self,
        updates: &mut Vec<Update>,
        mut room: usize,
        limit: u32,
        read: impl Fn(&VmName, Form) -> Option<Update>,
    ) {
        let mut order: SmallVec<[(u32, VmName); 16]> = SmallVec::new();
        order.extend(self.pending.iter().map(|(vm, p)| (p.sends, vm.clone())));
        order.sort_unstable();
        for (sends, vm) in order {
            let Some(pending) = self.pending.get_mut(&vm) else {
                continue;
            };
            let Some(update) = read(&vm, pending.form) else {
                self.pending.remove(&vm);
                continue;
            };
            let bytes = size::update(&update);
            if bytes > room {
                // Smaller updates behind a large one must not overtake it for ever.
                break;
            }
            room -= bytes;
            updates.push(update);
            pending.sends = sends + 1;
            if pending.sends >= limit {
                self.pending.remove(&vm);
            }
        }
    }
}
