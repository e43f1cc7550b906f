//! Tests of the membership state machine under virtual time.

mod fuzz;
mod mesh;
mod rules;
mod scenarios;
