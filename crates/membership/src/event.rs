//! Events into and actions out of the state machine.

use std::net::SocketAddr;

pub use cornelvalve_budget::TrafficClass;
use cornelvalve_model::{Region, Revision, Upstream, VmName};
use smallvec::SmallVec;

use crate::Message;

/// What the state machine reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The upstreams beside this daemon changed.
    SetUpstreams(SmallVec<[Upstream; 1]>),
    /// This daemon applied a configuration revision.
    SetRevision(Revision),
    /// Other members should learn at once that this daemon has a new revision.
    NotifyRevision,
    /// This daemon stops accepting work. A second `Leave` ends the membership: the state becomes
    /// left and nothing but that news is sent afterwards.
    Leave,
    /// Further addresses to join through.
    AddSeeds(SmallVec<[SocketAddr; 4]>),
    /// An operator waits for a revision; asks all members for theirs.
    QueryRevisions,
}

/// What the owner of the state machine should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Whether it leaves the region; unknown addresses (seeds) count as crossing.
        crosses_region: bool,
        /// Class for the budget.
        class: TrafficClass,
        /// The message.
        message: Message,
    },
    /// The record or the state of a member changed, or the member was removed.
    MemberChanged(VmName),
    /// The answer of [`crate::Membership::is_region_reachable`] for a region changed.
    RegionChanged(Region),
    /// A peer has a higher configuration revision than this daemon.
    PeerRevision {
        /// VM of the peer.
        vm: VmName,
        /// Address for configuration pulls.
        operator_addr: SocketAddr,
        /// Revision of the peer.
        revision: Revision,
    },
    /// A peer answered a query for its revision, whatever that revision is.
    RevisionReported {
        /// VM of the peer.
        vm: VmName,
        /// Revision of the peer.
        revision: Revision,
    },
}
