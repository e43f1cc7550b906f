//! Generators and oracles for stateful fuzzing.
