//! Oracles, one module a topic.

pub mod tickets;
