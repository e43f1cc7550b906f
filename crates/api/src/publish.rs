//! Publishing a change.

use cornelvalve_model::{Revision, VmName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How far a change must have got before the call returns.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitFor {
    /// The log store has stored it.
    #[display("published")]
    Published,
    /// The daemon that answers has applied it.
    #[default]
    #[display("accepted")]
    Accepted,
    /// All members that can be reached have applied it.
    #[display("in-force")]
    InForce,
}

/// What is known about a change.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Stored in the log; not yet known whether it is accepted.
    #[display("published")]
    Published,
    /// Accepted; not known to be in force everywhere.
    #[display("accepted")]
    Accepted,
    /// Accepted and in force at every member that can be reached.
    #[display("in force")]
    InForce,
    /// Read from the log and refused, with the reason; the same at every daemon.
    #[display("rejected: {reason}")]
    Rejected {
        /// Why it was refused, with a remedy.
        reason: String,
    },
    /// The append may or may not have taken effect; a repeat with the same change id is safe.
    #[display("published unknown")]
    Unknown,
}

/// Result of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishReport {
    /// What is known about the change.
    pub verdict: Verdict,
    /// Revision that the change created, if it is accepted.
    pub revision: Option<Revision>,
    /// Members that have not confirmed the revision; empty unless the call waited for in force.
    pub unconfirmed: Vec<VmName>,
}
