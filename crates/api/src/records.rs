//! Configuration records that one daemon hands to another.

use cornelvalve_model::{LogEntry, Offset, Revision, Snapshot};
use serde::{Deserialize, Serialize};

/// Record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// The record; `None` if it could not be decoded, which every daemon skips alike.
    pub entry: Option<LogEntry>,
}

/// Records from an offset on, in offset order and without a gap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerRecords {
    /// Revision of the daemon that answers.
    pub revision: Revision,
    /// Offset from which to ask next.
    pub next: Offset,
    /// Snapshot to apply first, if the records before it are no longer held.
    pub snapshot: Option<Snapshot>,
    /// The records.
    pub records: Vec<PeerRecord>,
}
