//! Oracles: checkers that decide whether observed behaviour was correct.

pub mod tickets;
