//! Results of the `status` and `members` calls, and the kinds of configuration entries.

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
    /// Entry that declares a region.
    #[display("region")]
    Region,
    /// Entry that declares a failure domain of a region.
    #[display("domain")]
    Domain,
    /// Entry that declares a service with its hosts and routes.
    #[display("service")]
    Service,
    /// Entry that declares a team.
    #[display("team")]
    Team,
    /// Residency rule, which restricts requests to some regions.
    #[display("rule")]
    Rule,
}

impl EntryKind {
    /// Returns the kind of the entry that an operation changes.
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

/// Whether a daemon can reach the log store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogStoreState {
    /// The log store responded to the last call.
    #[display("reachable")]
    Reachable,
    /// The last call failed or timed out.
    #[display("unreachable")]
    Unreachable,
    /// The daemon has not called the log store; it receives the configuration from peers.
    #[display("not-read")]
    NotRead,
}

/// Number of members in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberCounts {
    /// Members that respond to probes.
    pub alive: u32,
    /// Members that did not respond to recent probes.
    pub suspect: u32,
    /// Members that announced that they will stop.
    pub leaving: u32,
    /// Members that stopped after announcing it.
    pub left: u32,
    /// Suspect members that did not respond in time and are considered failed.
    pub dead: u32,
    /// Members of regions that the daemon considers unreachable because most recent probes of them
    /// failed. They are not counted in the other fields, whatever their state.
    pub unreachable: u32,
}

/// Upstream on the VM of a daemon, and its request admission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamStatus {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Loopback port.
    pub port: u16,
    /// Number of requests that, as announced by the upstream, it can run concurrently. It may
    /// handle fewer for a time after its start.
    pub slots: u16,
    /// Incarnation of the upstream process, which increases with every start.
    pub incarnation: Incarnation,
    /// Whether the upstream accepts requests, drains or is lost.
    pub state: UpstreamState,
    /// Current limit on concurrent requests.
    pub limit: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for admission.
    pub queued: u32,
}

/// Record of the configuration log that cannot be applied and that every daemon skips.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BadRecord {
    /// Offset in the log.
    pub offset: Offset,
    /// Why the record is skipped.
    pub reason: String,
}

/// Status of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// VM of the daemon.
    pub vm: VmName,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Incarnation of the daemon process, which increases with every start.
    pub incarnation: Incarnation,
    /// Configuration revision that the daemon has applied; `None` before the first one.
    pub revision: Option<Revision>,
    /// Offset of the first configuration record that the daemon has not processed yet.
    pub next_offset: Offset,
    /// State of the log store.
    pub log_store: LogStoreState,
    /// Number of members in each state.
    pub members: MemberCounts,
    /// Upstreams on the VM of the daemon.
    pub upstreams: Vec<UpstreamStatus>,
    /// Skipped records, oldest first; the daemon retains only the most recent ones.
    pub bad_records: Vec<BadRecord>,
}

/// Member of the mesh, as seen by the daemon that handles the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberReport {
    /// Membership record.
    pub member: Member,
    /// Whether the region of the member is reachable.
    pub reachable: bool,
}
