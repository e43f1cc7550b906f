//! Result of the `peer_records` call: configuration records that one daemon sends to another.

use cornelvalve_model::{LogEntry, Offset, Revision, Snapshot};
use serde::{Deserialize, Serialize};

/// Record of the configuration log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerRecord {
    /// Offset in the log.
    pub offset: Offset,
    /// Decoded entry; `None` if the record cannot be decoded. Every daemon skips such a record.
    pub entry: Option<LogEntry>,
}

/// Records from an offset on, in offset order and without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerRecords {
    /// Configuration revision of the daemon that handles the call.
    pub revision: Revision,
    /// Offset to request next.
    pub next: Offset,
    /// Snapshot to apply before the records; set if the daemon no longer retains all requested
    /// records.
    pub snapshot: Option<Snapshot>,
    /// Records to apply, after the snapshot if there is one.
    pub records: Vec<PeerRecord>,
}
