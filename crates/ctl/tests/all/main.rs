//! Tests of the operators' client against daemons with fixed answers.

#[path = "../../../api/tests/all/fake.rs"]
mod fake;

mod docs;
mod help;
mod merge;
mod run;
mod trace;
