//! Result of the `leave` call.

use cornelvalve_model::{FailureDomain, MemberState, VmName};
use serde::{Deserialize, Serialize};

/// State of a daemon that was asked to leave the cluster.
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
