//! Request metadata that routing and admission decisions depend on. Request bodies are never part
//! of it.

use derive_more::{Debug, Display};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// Idempotency key as sent by the caller.
///
/// For routes of class [`RequestClass::AtMostOnce`](crate::RequestClass::AtMostOnce) it is a
/// ticket: a key that a daemon issued before, and by which that daemon detects repeated requests.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(pub Box<str>);

/// Hash by which a repeated request is detected without storing any part of the request.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[debug("{_0:016x}")]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the hash of a sequence of byte strings.
    ///
    /// The length of each part is hashed too, so that moving a boundary between two parts changes
    /// the hash.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        Self(hash(parts).digest())
    }

    /// Computes the hash of a sequence of byte strings, the last of which is in segments. The
    /// segments do not change the hash.
    #[must_use]
    pub fn of_segmented<'a>(parts: &[&[u8]], last: impl Iterator<Item = &'a [u8]> + Clone) -> Self {
        let mut hasher = hash(parts);
        let length: usize = last.clone().map(<[u8]>::len).sum();
        hasher.update(&(length as u64).to_le_bytes());
        last.for_each(|segment| hasher.update(segment));
        Self(hasher.digest())
    }
}

/// Returns a hasher with the lengths and contents of these byte strings.
fn hash(parts: &[&[u8]]) -> Xxh3Default {
    let mut hasher = Xxh3Default::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher
}

/// Trace id, shared by a request and all calls that are nested in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TraceId(pub u128);

/// Trace id and nesting depth of a request or of a call that it causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nesting {
    /// Trace that the call belongs to.
    pub trace: TraceId,
    /// Zero for the original request of a caller, and one more for each level of nested calls.
    pub depth: u8,
}

/// Load of an upstream, which the daemon on the upstream's VM attaches to its responses.
///
/// It describes the load when the response was sent and may be out of date on arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Number of requests running at the upstream.
    pub running: u16,
    /// Number of requests waiting for admission.
    pub queued: u16,
    /// Current admission limit: the number of requests that may run concurrently. It adapts to the
    /// observed latency.
    pub limit: u16,
}
