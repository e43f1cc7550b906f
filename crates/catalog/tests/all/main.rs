//! Scenarios and stateful fuzzing of the configuration state machine and the publisher.

mod fuzz;
mod operation;
mod publish_fuzz;
mod publisher;
mod scenario;
mod schedule;
