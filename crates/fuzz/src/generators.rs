//! Generators of random inputs.

pub mod tickets;
