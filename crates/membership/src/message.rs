//! Defines the messages that daemons exchange.

use std::net::SocketAddr;

use cornelvalve_model::{
    ConfigRevision, Incarnation, Member, MemberKey, MemberState, Region, VmName,
};
use serde::{Deserialize, Serialize};

/// A change of a member or of a region's reachability, which members pass on to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A complete member record.
    Record(Box<Member>),
    /// A member's state as observed by another member.
    State {
        /// VM name of the observed member.
        vm: VmName,
        /// Key of the record that the observer had.
        key: MemberKey,
        /// Observed state.
        state: MemberState,
    },
    /// A reader's report whether it can reach another region.
    Reachability {
        /// VM name of the reader.
        observer: VmName,
        /// Incarnation of the reader's process.
        incarnation: Incarnation,
        /// Sequence number of the report; a higher one of the same incarnation is newer.
        sequence: u32,
        /// Region that was probed.
        region: Region,
        /// Whether at least half of the reader's last eight probes of the region were acknowledged.
        reachable: bool,
    },
}

/// Hashes of one record, by which two members detect that their copies differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Summary {
    /// Hash of the VM name, see [`crate::vm_hash`].
    pub vm_hash: u32,
    /// Hash of the VM name, key and state; 0 for a member that left or died.
    pub record_hash: u32,
}

/// A message from one daemon to another, sent in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probes a member, which replies with [`Message::Ack`].
    Ping {
        /// Sequence number, repeated in the reply.
        sequence: u32,
        /// Hash of the target's VM name. A daemon with another name does not reply, because the
        /// address may have been reassigned.
        target_hash: u32,
        /// Configuration revision applied by the sender.
        revision: ConfigRevision,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Acknowledges a [`Message::Ping`].
    Ack {
        /// Sequence number of the ping.
        sequence: u32,
        /// Configuration revision applied by the sender.
        revision: ConfigRevision,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to probe a third member on behalf of the sender.
    IndirectPing {
        /// Sequence number, repeated in the reply.
        sequence: u32,
        /// Hash of the VM name of the member to probe.
        target_hash: u32,
        /// Address of the member to probe.
        addr: SocketAddr,
    },
    /// Replies to [`Message::IndirectPing`] when the third member has acknowledged the probe.
    IndirectAck {
        /// Sequence number of the indirect ping.
        sequence: u32,
    },
    /// Announces a daemon that wants to join.
    Join {
        /// Record of the joining daemon.
        member: Box<Member>,
    },
    /// Carries updates outside of probes: in reply to [`Message::Join`], in anti-entropy exchanges
    /// and when a daemon announces its own record.
    Updates {
        /// The updates.
        updates: Vec<Update>,
    },
    /// Starts an anti-entropy exchange. A receiver with an equal table does not reply.
    SyncRoot {
        /// Digest of the whole table, computed from the digests of its buckets.
        root: u64,
        /// Record of the sender, present if the receiver may not know it yet.
        member: Option<Box<Member>>,
    },
    /// Replies to a [`Message::SyncRoot`] whose digest differs from the receiver's.
    SyncBuckets {
        /// Digest of each bucket of the sender's table.
        buckets: Vec<u32>,
    },
    /// Replies to [`Message::SyncBuckets`] with the sender's records in the buckets that differ.
    SyncSummaries {
        /// Buckets of which all records are listed, so that the receiver can tell which of its
        /// records the sender lacks.
        buckets: Vec<u8>,
        /// Summaries of the records in these buckets.
        summaries: Vec<Summary>,
    },
    /// Asks for complete records.
    SyncRequest {
        /// Hashes of the VM names whose records are requested.
        vm_hashes: Vec<u32>,
    },
    /// Announces that a new configuration revision can be pulled from the sender.
    RevisionNotice {
        /// Configuration revision applied by the sender.
        revision: ConfigRevision,
    },
    /// Asks for the configuration revision that the receiver has applied.
    RevisionQuery,
    /// Replies to [`Message::RevisionQuery`].
    RevisionReply {
        /// Configuration revision applied by the sender.
        revision: ConfigRevision,
    },
}
