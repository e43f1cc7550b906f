//! Parameters and result of the `publish` call.

use cornelvalve_model::{Revision, VmName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Stage that a published change must reach before the call returns.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitFor {
    /// The log store has stored it.
    #[display("published")]
    Published,
    /// The daemon that handles the call has accepted and applied it.
    #[default]
    #[display("accepted")]
    Accepted,
    /// All reachable members have applied it.
    #[display("in-force")]
    InForce,
}

/// Outcome of a published change, as far as the daemon knows.
///
/// A change is accepted if it is valid when daemons read it from the log store. It is in force once
/// all reachable members have applied it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Stored in the log store; not yet known whether it is accepted.
    #[display("published")]
    Published,
    /// Accepted, and not known to be in force.
    #[display("accepted")]
    Accepted,
    /// Accepted and in force.
    #[display("in force")]
    InForce,
    /// Read from the log store and rejected; every daemon rejects it for the same reason.
    #[display("rejected: {reason}")]
    Rejected {
        /// Why the change was rejected, and what to do about it.
        reason: String,
    },
    /// It is unknown whether the change was stored; publishing it again with the same id is safe.
    /// Displayed as `published unknown`: whether the change was published is unknown.
    #[display("published unknown")]
    Unknown,
}

/// Result of publishing a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishReport {
    /// Outcome of the change.
    pub verdict: Verdict,
    /// Revision that the change created; `None` unless it is known to be accepted.
    pub revision: Option<Revision>,
    /// Members that have not confirmed the revision; empty unless the call waited for
    /// [`WaitFor::InForce`].
    pub unconfirmed: Vec<VmName>,
}
