//! Complete responses kept for repeats, and their byte bound.

use std::collections::VecDeque;
use std::sync::Arc;

use cornelvalve_model::Moment;
use derive_more::Debug;

use super::state::Key;

/// Encoded complete response; clones share the bytes.
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

/// Order and total size of the stored answers.
#[derive(Debug, Default)]
pub(super) struct AnswerLedger {
    /// Oldest first, with the moment of completion and the size.
    order: VecDeque<(Key, Moment, usize)>,
    /// Sum of the sizes.
    bytes: usize,
}

impl AnswerLedger {
    /// Records a stored answer.
    pub(super) fn push(&mut self, key: Key, now: Moment, size: usize) {
        self.order.push_back((key, now, size));
        self.bytes += size;
    }

    /// Removes and returns the oldest answer if the total exceeds the bound or `expired` holds for
    /// the moment at which it was stored.
    pub(super) fn pop_excess(
        &mut self,
        max_bytes: usize,
        expired: impl Fn(Moment) -> bool,
    ) -> Option<Key> {
        let (_, stored_at, _) = self.order.front()?;
        if self.bytes <= max_bytes && !expired(*stored_at) {
            return None;
        }
        let (key, _, size) = self.order.pop_front()?;
        self.bytes -= size;
        Some(key)
    }
}
