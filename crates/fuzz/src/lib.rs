//! Generators and oracles for stateful fuzzing.
//!
//! Generators produce random inputs and do not know what the correct behaviour is. Oracles check
//! the recorded requests, runs and responses of the code under test, and share no logic with it.
//!
//! By default the tests use a fixed seed and a moderate number of cases. To run more cases or to
//! use another seed:
//!
//! ```text
//! CORNELVALVE_FUZZ_CASES=200000 CORNELVALVE_FUZZ_SEED=7 \
//!     cargo test --release -p cornelvalve-fuzz --test tickets -- --nocapture
//! ```

pub mod generators;
pub mod oracles;
mod settings;

pub use settings::test_runner;
