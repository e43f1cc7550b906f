//! Tests of the operators' client against fake daemons with fixed results.

#[path = "../../../api/tests/all/fake.rs"]
mod fake;

mod docs;
mod help;
mod merge;
mod run;
mod trace;
