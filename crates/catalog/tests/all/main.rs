//! Scenarios and stateful fuzzing of the configuration state machine and the publisher.

mod fuzz;
mod operation;
mod publisher;
mod scenario;
