//! Generators, one module a topic.

pub mod tickets;
