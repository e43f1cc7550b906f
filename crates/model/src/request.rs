//! What the decisions need to know about a request; never its body.

use derive_more::{Debug, Display};
use serde::{Deserialize, Serialize};

/// Idempotency key as the caller sent it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(pub Box<str>);

/// Hash that identifies the same request sent again, without keeping any part of it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[debug("{_0:016x}")]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

/// Identifies a request together with all calls that are nested in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TraceId(pub u128);

/// Place of a call among those nested in one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nesting {
    /// The request that all of them belong to.
    pub trace: TraceId,
    /// Number of calls that this one is nested in.
    pub depth: u8,
}

/// Load of an upstream as its guard saw it when it wrote an answer; stale from then on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Requests running at the upstream.
    pub running: u16,
    /// Requests waiting for admission.
    pub queued: u16,
    /// Current admission limit.
    pub limit: u16,
}
