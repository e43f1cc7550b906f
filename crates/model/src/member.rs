//! Member records, each of which describes one daemon and the upstreams on its VM.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{FailureDomain, Incarnation, Region, ServiceName, VmName};

/// State of a member according to the membership protocol.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member answers probes.
    #[display("alive")]
    Alive,
    /// The member missed probes. It becomes alive again if it refutes the suspicion in time.
    #[display("suspect")]
    Suspect,
    /// The member announced that it is stopping, and receives no new requests.
    #[display("leaving")]
    Leaving,
    /// The member announced that it was stopping, and has since stopped.
    #[display("left")]
    Left,
    /// The member did not refute a suspicion in time.
    #[display("dead")]
    Dead,
}

impl MemberState {
    /// Returns whether new requests may be sent to a member in this state.
    #[must_use]
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// State of an upstream, as determined by the daemon on its VM.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// The upstream accepts requests.
    #[display("ready")]
    Ready,
    /// The upstream completes its running requests and accepts no new ones.
    #[display("draining")]
    Draining,
    /// The upstream has left, did not renew its announcement before the lease expired, or refused
    /// connections.
    #[display("lost")]
    Lost,
}

/// Upstream that announced itself to the daemon on its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Loopback port on which the upstream accepts requests.
    pub port: u16,
    /// Number of requests that the upstream can run concurrently once it has warmed up after its
    /// start. Until then, fewer are admitted.
    pub slots: u16,
    /// Incarnation of the upstream process.
    pub incarnation: Incarnation,
    /// Current state.
    pub state: UpstreamState,
}

/// Version of a member record, ordered by incarnation first. Of two records of the same VM, the one
/// with the larger key is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberKey {
    /// Incarnation of the daemon process.
    pub incarnation: Incarnation,
    /// Number of changes that the daemon has made to its record since it started.
    pub version: u32,
}

/// Record by which a daemon describes itself and the upstreams on its VM to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM on which the daemon runs.
    pub vm: VmName,
    /// Version of this record.
    pub key: MemberKey,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Address on which the daemon receives forwarded requests (TCP) and membership messages (UDP).
    pub peer_addr: SocketAddr,
    /// Address on which the daemon accepts requests of callers.
    pub caller_addr: SocketAddr,
    /// Address of the operator API, through which other daemons also pull the configuration.
    pub operator_addr: SocketAddr,
    /// Last known state of the daemon.
    pub state: MemberState,
    /// Upstreams on the daemon's VM, usually one.
    pub upstreams: SmallVec<[Upstream; 1]>,
}
