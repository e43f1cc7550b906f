//! Description of a daemon and its members.

use cornelvalve_model::{
    FailureDomain, Incarnation, Member, Offset, Operation, Region, Revision, ServiceName,
    UpstreamState, VmName,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of a configuration entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryKind {
    /// Regions.
    #[display("region")]
    Region,
    /// Failure domains.
    #[display("domain")]
    Domain,
    /// Services.
    #[display("service")]
    Service,
    /// Teams.
    #[display("team")]
    Team,
    /// Residency rules.
    #[display("rule")]
    Rule,
}

impl EntryKind {
    /// Returns the kind of the entry that an operation edits.
    #[must_use]
    pub fn of(operation: &Operation) -> Self {
        match operation {
            Operation::PutRegion { .. } | Operation::RemoveRegion { .. } => Self::Region,
            Operation::PutDomain { .. } | Operation::RemoveDomain { .. } => Self::Domain,
            Operation::PutService(_) | Operation::RemoveService { .. } => Self::Service,
            Operation::PutTeam { .. } | Operation::RemoveTeam { .. } => Self::Team,
            Operation::PutRule(_) | Operation::RemoveRule { .. } => Self::Rule,
        }
    }
}

/// State of the log store as one daemon sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogStoreState {
    /// The last call was answered.
    #[display("reachable")]
    Reachable,
    /// The last call failed or timed out.
    #[display("unreachable")]
    Unreachable,
    /// This daemon has not called it; it gets the configuration from peers.
    #[display("not-read")]
    NotRead,
}

/// Number of members in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberCounts {
    /// Members that answer probes.
    pub alive: u32,
    /// Members that missed probes.
    pub suspect: u32,
    /// Members that announced their stop.
    pub leaving: u32,
    /// Members that stopped as announced.
    pub left: u32,
    /// Members that did not refute a suspicion.
    pub dead: u32,
    /// Members of a region that cannot be reached; counted besides their state.
    pub unreachable: u32,
}

/// Upstream beside a daemon and the admission of requests to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamStatus {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Loopback port.
    pub port: u16,
    /// Requests that it announced to run at once when warm.
    pub slots: u16,
    /// Start of the upstream process.
    pub incarnation: Incarnation,
    /// State.
    pub state: UpstreamState,
    /// Requests that it is given at once at present.
    pub limit: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for admission.
    pub queued: u32,
}

/// Record of the configuration stream that every daemon skips.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Why it is skipped.
    pub reason: String,
}

/// Description of the daemon that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// VM of the daemon.
    pub vm: VmName,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Start of the daemon process.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force here; `None` before the first.
    pub revision: Option<Revision>,
    /// Offset of the first record that was not yet applied.
    pub next_offset: Offset,
    /// State of the log store.
    pub log_store: LogStoreState,
    /// Members by state.
    pub members: MemberCounts,
    /// Upstreams beside the daemon.
    pub upstreams: Vec<UpstreamStatus>,
    /// Skipped records, oldest first; the daemon keeps the most recent ones.
    pub bad_records: Vec<BadRecord>,
}

/// Member as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberReport {
    /// Record of the member.
    pub member: Member,
    /// Whether its region can be reached.
    pub reachable: bool,
}
