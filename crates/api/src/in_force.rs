//! Results of the `in_force` and `leave` calls.

use cornelvalve_model::{FailureDomain, MemberState, Revision, VmName};
use serde::{Deserialize, Serialize};

/// Members that have applied a revision of the configuration, and members that have not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InForceReport {
    /// The requested revision.
    pub revision: Revision,
    /// Number of members that have applied it.
    pub confirmed: u32,
    /// Members that have not applied it or did not respond.
    pub unconfirmed: Vec<VmName>,
}

/// State of a daemon that was asked to leave the mesh.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveReport {
    /// VM of the daemon.
    pub vm: VmName,
    /// Failure domain of the daemon.
    pub domain: FailureDomain,
    /// State that the daemon announces to other members now.
    pub state: MemberState,
    /// Number of requests that are still running at its upstreams.
    pub running: u32,
}
