//! Defines the events that the state machine handles and the actions that it returns.

use std::net::SocketAddr;

pub use cornelvalve_budget::TrafficClass;
use cornelvalve_model::{ConfigRevision, Region, Upstream, VmName};
use smallvec::SmallVec;

use crate::Message;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Runs the periodic work that is due.
    Tick,
    /// Handles a message from another daemon.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Replaces the upstreams that this daemon serves.
    SetUpstreams(SmallVec<[Upstream; 1]>),
    /// Records that this daemon has applied a configuration revision.
    SetRevision(ConfigRevision),
    /// Sends a [`Message::RevisionNotice`] with this daemon's configuration revision to
    /// [`notice_fanout`](crate::MembershipSettings::notice_fanout) random members of its region.
    NotifyRevision,
    /// Announces that this daemon leaves. The daemon sends it twice: first when it starts to drain
    /// and again when it stops. The first `Leave` sets its state to leaving, which means that it
    /// accepts no new requests. The second one sets the state to left; all later events are
    /// ignored.
    Leave,
    /// Adds addresses of daemons through which this daemon can join.
    AddSeeds(SmallVec<[SocketAddr; 4]>),
    /// Asks all members for their applied configuration revision, because an operator waits for
    /// one to be applied everywhere.
    QueryRevisions,
}

/// An output of the state machine, to be carried out by its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Whether the message is sent to another region. This is `true` for addresses of unknown
        /// members, such as seeds.
        crosses_region: bool,
        /// Traffic class whose budget is charged. [`TrafficClass::News`] covers updates outside of
        /// probes, including joins and anti-entropy exchanges.
        class: TrafficClass,
        /// The message.
        message: Message,
    },
    /// Tells the owner that the record or state of a member changed, or that the member was
    /// removed.
    MemberChanged(VmName),
    /// Tells the owner that the result of [`crate::Membership::is_region_reachable`] changed for a
    /// region.
    RegionChanged(Region),
    /// Tells the owner that a peer has applied a configuration revision that is ahead of this
    /// daemon's.
    PeerRevision {
        /// VM name of the peer.
        vm: VmName,
        /// Address from which the configuration can be pulled.
        operator_addr: SocketAddr,
        /// Configuration revision applied by the peer.
        revision: ConfigRevision,
    },
    /// Passes on a peer's reply to [`Event::QueryRevisions`], whether or not its revision is newer.
    RevisionReported {
        /// VM name of the peer.
        vm: VmName,
        /// Configuration revision applied by the peer.
        revision: ConfigRevision,
    },
}
