//! Result of the `in_force` call.

use cornelvalve_model::{Revision, VmName};
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
