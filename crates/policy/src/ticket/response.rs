//! Stored responses, with which repeated requests are answered, and the order in which they are
//! evicted.

use std::collections::VecDeque;
use std::sync::Arc;

use cornelvalve_model::Moment;
use derive_more::Debug;

use super::state::Key;

/// Complete response in encoded form; clones share the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[debug("StoredResponse({} bytes)", _0.len())]
pub struct StoredResponse(Arc<[u8]>);

impl StoredResponse {
    /// Returns the encoded response.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the size in bytes.
    pub(crate) fn size(&self) -> usize {
        self.0.len()
    }
}

impl From<Vec<u8>> for StoredResponse {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Arc::from(bytes))
    }
}

/// Eviction order and total size of the stored responses.
#[derive(Debug, Default)]
pub(super) struct EvictionQueue {
    /// Key, moment of storage and size in bytes of each stored response, oldest first.
    queue: VecDeque<(Key, Moment, usize)>,
    /// Sum of the sizes in bytes.
    total: usize,
}

impl EvictionQueue {
    /// Adds a stored response.
    pub(super) fn push(&mut self, key: Key, now: Moment, size: usize) {
        self.queue.push_back((key, now, size));
        self.total += size;
    }

    /// Removes the oldest response from the queue and returns its key, if the total size exceeds
    /// `max_bytes` or `expired` returns true for the moment at which the response was stored.
    pub(super) fn pop_evicted(
        &mut self,
        max_bytes: usize,
        expired: impl Fn(Moment) -> bool,
    ) -> Option<Key> {
        let (_, stored_at, _) = self.queue.front()?;
        if self.total <= max_bytes && !expired(*stored_at) {
            return None;
        }
        let (key, _, size) = self.queue.pop_front()?;
        self.total -= size;
        Some(key)
    }
}
