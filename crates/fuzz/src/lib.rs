//! Generators and oracles for stateful fuzzing.
//!
//! Generators produce inputs and know nothing about correct behaviour. Oracles know only what was
//! sent, run and answered, and share no code with the state machines they judge.
//!
//! The tests run a fixed seed. A longer run, or another seed:
//!
//! ```text
//! CORNELVALVE_FUZZ_CASES=200000 CORNELVALVE_FUZZ_SEED=7 \
//!     cargo test --release -p cornelvalve-fuzz --test tickets -- --nocapture
//! ```

pub mod generators;
pub mod oracles;
mod settings;

pub use settings::runner;
