//! Tests of tickets and crash suspects: scenario files, and unit tests of single rules.

mod rules;
mod scenario;
mod suspects;
mod text;
