//! Core vocabulary shared by all crates: identifiers, time, outcomes, members and configuration
//! records.
//!
//! Nothing here performs I/O or reads a clock. Types that cross a process border derive `serde`
//! traits; how they are encoded is decided in `cornelvalve-wire`.

mod change;
mod id;
mod member;
mod outcome;
mod request;
mod time;

pub use change::{
    Change, ChangeId, DomainState, LogEntry, Operation, RecentChange, RecentVerdict, RequestClass,
    Route, Rule, Service, Snapshot, Target, VersionedEntry,
};
pub use id::{
    FailureDomain, IdError, Incarnation, Offset, Region, Revision, RouteName, RuleName,
    ServiceName, TeamName, VmName,
};
pub use member::{Member, MemberKey, MemberState, Upstream, UpstreamState};
pub use outcome::{Outcome, Reason, Refusal};
pub use request::{Fingerprint, IdempotencyKey, LoadHint, Nesting, TraceId};
pub use time::{Moment, WallTime};
