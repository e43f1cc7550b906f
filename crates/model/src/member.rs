//! Member records: one daemon each, with the upstreams that announced themselves to it.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{FailureDomain, Incarnation, Region, ServiceName, VmName};

/// State of a member as the membership protocol sees it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Missed probes; may refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// Announced that it stops; gets no new work.
    #[display("leaving")]
    Leaving,
    /// Stopped as announced.
    #[display("left")]
    Left,
    /// Did not refute a suspicion in time.
    #[display("dead")]
    Dead,
}

impl MemberState {
    /// Tells whether new requests may be sent to a member in this state.
    #[must_use]
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// State of an upstream beside its daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Takes requests.
    #[display("ready")]
    Ready,
    /// Finishes what runs and takes nothing new.
    #[display("draining")]
    Draining,
    /// Let its lease lapse or refused connections.
    #[display("lost")]
    Lost,
}

/// An upstream as it announced itself to the daemon on its own VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Loopback port on which it takes requests.
    pub port: u16,
    /// Requests that it runs at once when warm.
    pub slots: u16,
    /// Start of the upstream process.
    pub incarnation: Incarnation,
    /// Current state.
    pub state: UpstreamState,
}

/// Order of two records of the same VM: the larger key is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberKey {
    /// Start of the daemon process.
    pub incarnation: Incarnation,
    /// Counts changes of the record that its owner made since that start.
    pub version: u32,
}

/// A daemon and what stands beside it, as the daemon itself describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM on which the daemon runs.
    pub vm: VmName,
    /// Age of this record.
    pub key: MemberKey,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Address for forwarded requests (TCP) and membership (UDP).
    pub peer_addr: SocketAddr,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for operators' calls and configuration pulls.
    pub operator_addr: SocketAddr,
    /// State as last reported.
    pub state: MemberState,
    /// Upstreams beside the daemon, usually one.
    pub upstreams: SmallVec<[Upstream; 1]>,
}
