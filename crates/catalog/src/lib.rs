//! Configuration of the mesh as a state machine that applies log records in offset order.
//!
//! The configuration is kept in a [`Catalog`]: the regions, failure domains, teams, services and
//! residency rules that operators have defined.
//!
//! Daemons agree on the configuration through the order of the log alone: every [`Catalog`] that
//! applies the same records in the same order has the same state and returns the same
//! [`ApplyOutcome`] for each record. This crate performs no I/O and reads no clock.

mod catalog;
mod history;
mod host;
mod lookup;
mod publisher;
mod schedule;
mod tables;
mod verdict;

pub use catalog::Catalog;
pub use history::{BadRecord, MAX_BAD_RECORDS, MAX_RECENT_CHANGES};
pub use lookup::{Residency, RouteMatch, RoutedRequest};
pub use publisher::{
    ChangeRecord, PublishOutcome, Publisher, PublisherAction, PublisherActions, PublisherEvent,
};
pub use schedule::SnapshotSchedule;
pub use tables::{Domain, Entry};
pub use verdict::{ApplyOutcome, CheckResult, GapError, PastVerdict, Rejection};
