//! Configuration state machine fed by log records in offset order.
//!
//! The order of the log is the only agreement mechanism: every [`Catalog`] that applies the same
//! records in the same order holds the same state and gives every record the same [`ApplyOutcome`].
//! Nothing here performs I/O or reads a clock.

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
pub use verdict::{ApplyOutcome, GapError, PastVerdict, Rejection, Result};
