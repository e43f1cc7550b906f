//! Tests of tickets and crash suspects: scenario files and checks of single rules.

mod rules;
mod scenario;
mod suspects;
mod text;
