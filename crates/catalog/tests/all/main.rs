//! Scenario tests and stateful fuzzing of the catalog, the publisher and the snapshot schedule.

mod fuzz;
mod operation;
mod publish_fuzz;
mod publisher;
mod scenario;
mod schedule;
