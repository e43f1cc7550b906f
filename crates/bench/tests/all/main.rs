//! Tests of the experiment tool.

mod bounds;
mod short_runs;
