//! Results of applying log records, and the reasons for which changes are rejected.

use cornelvalve_model::{Offset, Revision, ServiceName, Target};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Result of checking a change; the error is the reason for which it is rejected.
pub type CheckResult<T> = Result<T, Rejection>;

/// Reason why a well-formed change was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The edited entry has changed since the operator read it.
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
        /// Service that lacks the route.
        service: ServiceName,
        /// Name of the missing route.
        route: String,
    },
    /// Another entry refers to the entry or route that the change removes.
    #[display("{by} still refers to it; change or remove that first")]
    Referenced {
        /// First entry that refers to it.
        by: Target,
    },
    /// The host belongs to another service.
    #[display("host {host} belongs to service {service}; remove it there first")]
    HostTaken {
        /// Host that would belong to two services.
        host: String,
        /// Service that the host belongs to.
        service: ServiceName,
    },
    /// A field has an invalid value.
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

/// Error for an offset that is not the next one to apply.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("records {expected} to {found} are missing; start from a snapshot")]
pub struct GapError {
    /// First offset that has not been applied.
    pub expected: Offset,
    /// Offset that was passed instead; the record at this offset is not missing itself.
    pub found: Offset,
}

/// Outcome of [`Catalog::apply`](crate::Catalog::apply) or
/// [`Catalog::restore`](crate::Catalog::restore).
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was applied to the configuration.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// New revision of the configuration and of the edited entry.
        revision: Revision,
    },
    /// An earlier record had the same change id; the verdict on that record stands.
    #[display("duplicate")]
    Duplicate,
    /// The change is well-formed but was rejected.
    #[display("rejected: {_0}")]
    Rejected(Rejection),
    /// The record was skipped, because it could not be decoded or is an inconsistent snapshot. It
    /// is listed in [`Catalog::bad_records`](crate::Catalog::bad_records) if it came from the log.
    #[display("malformed: {reason}")]
    BadRecord {
        /// Reason why it was skipped.
        reason: String,
    },
    /// The snapshot replaced the state. Reading continues after the records that it covers.
    #[display("snapshot taken, continue at {next}")]
    SnapshotRestored {
        /// Offset to read next; may be lower than the offset of the snapshot record.
        next: Offset,
    },
    /// The snapshot covers no more records than have been applied; the state is unchanged.
    #[display("snapshot ignored")]
    SnapshotIgnored,
    /// A record at this offset has already been applied; the state is unchanged.
    #[display("out of order, already applied up to {next}")]
    AlreadyApplied {
        /// First offset that has not been applied.
        next: Offset,
    },
    /// Records before this one have not been applied; the state is unchanged.
    #[display("gap: {_0}")]
    Gap(GapError),
}

/// Verdict on a change whose record was applied earlier.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PastVerdict {
    /// The change was accepted.
    #[display("accepted as revision {_0}")]
    Accepted(Revision),
    /// The change was rejected, with the reason.
    #[display("rejected: {_0}")]
    Rejected(String),
    /// All records up to the offset of the change are applied, but there is no verdict on it: it
    /// was evicted, or the records did not contain the change.
    #[display("applied, verdict not retained")]
    NotRetained,
}
