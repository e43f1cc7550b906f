//! Core types shared by all crates: identifiers, points in time, request outcomes, member records
//! and configuration records.
//!
//! This crate performs no I/O and reads no clock. Types that are exchanged between processes derive
//! the `serde` traits; the `cornelvalve-wire` crate defines their encoding.

mod change;
mod id;
mod member;
mod outcome;
mod position;
mod request;
mod signals;
mod time;

pub use change::{
    Change, ChangeId, DomainState, LogEntry, Operation, RecentChange, RecentVerdict, RequestClass,
    Route, Rule, Service, Snapshot, Target, VersionedEntry,
};
pub use id::{
    FailureDomain, IdError, Incarnation, Offset, Region, Revision, RouteName, RuleName,
    ServiceName, StoreEra, TeamName, VmName,
};
pub use member::{Member, MemberKey, MemberState, Upstream, UpstreamState};
pub use outcome::{Outcome, Reason, Refusal};
pub use position::{ConfigRevision, LogPosition};
pub use request::{Fingerprint, IdempotencyKey, LoadHint, Nesting, TraceId};
pub use signals::{AnswerSignals, RateLimitSignal, UpstreamSignals};
pub use time::{Moment, WallTime};
