//! Results of calls that concern several daemons.

use cornelvalve_model::{FailureDomain, MemberState, Revision, VmName};
use serde::{Deserialize, Serialize};

/// Which members have applied a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InForceReport {
    /// Revision that was asked for.
    pub revision: Revision,
    /// Number of members that have applied it.
    pub confirmed: u32,
    /// Members that have not applied it or did not answer.
    pub unconfirmed: Vec<VmName>,
}

/// State of a daemon that was asked to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveReport {
    /// VM of the daemon.
    pub vm: VmName,
    /// Failure domain of the daemon.
    pub domain: FailureDomain,
    /// State that it announces now.
    pub state: MemberState,
    /// Requests that still run at its upstreams.
    pub running: u32,
}
