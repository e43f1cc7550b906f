//! Messages between daemons and estimates of their encoded size.

use std::net::SocketAddr;

use cornelvalve_model::{Incarnation, Member, MemberKey, MemberState, Region, Revision, VmName};
use serde::{Deserialize, Serialize};

/// One update of a member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A complete member record.
    Record(Box<Member>),
    /// A state that another member than its owner found for the record with this key.
    State {
        /// Member concerned.
        vm: VmName,
        /// Record that the finding is about.
        key: MemberKey,
        /// State found.
        state: MemberState,
    },
    /// A reader's finding about another region.
    Reachability {
        /// Reader that made the finding.
        observer: VmName,
        /// Start of the observer's process.
        incarnation: Incarnation,
        /// Counts the observer's findings.
        sequence: u32,
        /// Region concerned.
        region: Region,
        /// Whether most probes of the region were answered.
        reachable: bool,
    },
}

/// Digest of one record: enough to see that two tables differ in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Summary {
    /// Short hash of the VM name.
    pub vm_hash: u32,
    /// Short hash of key and state.
    pub record_hash: u32,
}

/// A message between two daemons; travels in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the target for an [`Message::Ack`].
    Ping {
        /// Correlates the reply.
        sequence: u32,
        /// Short hash of the VM name that should answer; another VM may have got its address.
        target_hash: u32,
        /// Configuration revision applied by the sender.
        revision: Revision,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answers a [`Message::Ping`].
    Ack {
        /// Sequence of the ping.
        sequence: u32,
        /// Configuration revision applied by the sender.
        revision: Revision,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks for a probe of a third member.
    IndirectPing {
        /// Correlates the reply.
        sequence: u32,
        /// Short hash of the VM name to be probed.
        target_hash: u32,
        /// Address to be probed.
        addr: SocketAddr,
    },
    /// Reports that the third member answered.
    IndirectAck {
        /// Sequence of the request.
        sequence: u32,
    },
    /// Announces a daemon that has just started.
    Join {
        /// Its record.
        member: Box<Member>,
    },
    /// Updates outside of a probe: answers to [`Message::Join`] and to anti-entropy.
    Updates {
        /// The updates.
        updates: Vec<Update>,
    },
    /// Starts anti-entropy; unanswered if the receiver's table is equal.
    SyncRoot {
        /// Digest of the whole table.
        root: u64,
        /// Record of a sender that may still be unknown.
        member: Option<Box<Member>>,
    },
    /// Answers a [`Message::SyncRoot`] that differs.
    SyncBuckets {
        /// Digest of each bucket.
        buckets: Vec<u32>,
    },
    /// Lists the sender's records of the buckets that differ.
    SyncSummaries {
        /// Buckets that are listed completely.
        buckets: Vec<u8>,
        /// Records of these buckets.
        summaries: Vec<Summary>,
    },
    /// Asks for records.
    SyncRequest {
        /// Short hashes of the VM names wanted.
        vm_hashes: Vec<u32>,
    },
    /// Tells that a new configuration revision can be pulled from the sender.
    RevisionNotice {
        /// The revision.
        revision: Revision,
    },
    /// Asks for the applied configuration revision.
    RevisionQuery,
    /// Answers [`Message::RevisionQuery`].
    RevisionReply {
        /// Configuration revision applied by the sender.
        revision: Revision,
    },
}
