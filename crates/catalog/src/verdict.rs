//! What became of a log record.

use cornelvalve_model::{Offset, Revision, ServiceName, Target};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Result alias of checks on one change.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Reports why a well-formed change was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The edited entry changed since the operator read it.
    #[display("expected revision {expected} but the entry has {actual}; read it again and retry")]
    Stale {
        /// Revision that the change expects.
        expected: Revision,
        /// Revision of the entry; zero if it does not exist.
        actual: Revision,
    },
    /// The edited entry, or one that the change refers to, does not exist.
    #[display("{_0} does not exist; create it first")]
    Unknown(#[error(not(source))] Target),
    /// The change refers to a route that the service does not have.
    #[display("service {service} has no route {route}; add the route first")]
    UnknownRoute {
        /// Service that was looked at.
        service: ServiceName,
        /// Name of the missing route.
        route: String,
    },
    /// Another entry refers to what the change removes.
    #[display("{by} still refers to it; change or remove that first")]
    Referenced {
        /// First entry that refers to it.
        by: Target,
    },
    /// Another service has the host.
    #[display("host {host} belongs to service {service}; remove it there first")]
    HostTaken {
        /// Host that two services would share.
        host: String,
        /// Service that has it.
        service: ServiceName,
    },
    /// A field has a value that is not allowed.
    #[display("{field} is invalid: {remedy}")]
    Invalid {
        /// Field of the edited entry.
        field: String,
        /// What a valid value looks like.
        remedy: String,
    },
}

impl Rejection {
    pub(crate) fn invalid(field: &str, remedy: &str) -> Self {
        Self::Invalid {
            field: field.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

/// Reports that records are missing between the applied ones and the given one.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("records {expected} to {found} are missing; start from a snapshot")]
pub struct GapError {
    /// First offset that is not applied yet.
    pub expected: Offset,
    /// Offset that was given instead.
    pub found: Offset,
}

/// What became of a record that was given to [`Catalog::apply`](crate::Catalog::apply).
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in the configuration.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// Revision of the configuration and of the edited entry from now on.
        revision: Revision,
    },
    /// The change was seen before; its first verdict stands.
    #[display("duplicate")]
    Duplicate,
    /// The change is well-formed and was not accepted.
    #[display("rejected: {_0}")]
    Rejected(Rejection),
    /// The record could not be decoded, or is a snapshot that contradicts itself; it was skipped.
    #[display("malformed: {reason}")]
    Malformed {
        /// Why it could not be used.
        reason: String,
    },
    /// The snapshot replaced the state; reading goes on at the offset that it covers.
    #[display("snapshot taken, continue at {next}")]
    SnapshotRestored {
        /// First offset to read next; may be below the offset of the snapshot record.
        next: Offset,
    },
    /// The snapshot covers no more than what is applied already.
    #[display("snapshot ignored")]
    SnapshotIgnored,
    /// The offset was applied before; nothing changed.
    #[display("out of order, already applied up to {next}")]
    AlreadyApplied {
        /// First offset that is not applied yet.
        next: Offset,
    },
    /// Records before this one are missing; nothing changed.
    #[display("gap: {_0}")]
    Gap(GapError),
}

/// Verdict on a change that was applied earlier.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PastVerdict {
    /// The change was accepted.
    #[display("accepted as revision {_0}")]
    Accepted(Revision),
    /// The change was rejected, with the reason.
    #[display("rejected: {_0}")]
    Rejected(String),
    /// The change was applied so long ago that its verdict was evicted.
    #[display("applied, verdict not retained")]
    NotRetained,
}
