//! Integration tests, one module a topic.

mod demo;
mod outcome;
mod path;
mod stop;
mod support;
mod tickets;
