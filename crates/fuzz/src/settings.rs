//! Number of cases and seed, from the environment.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Names the variable that sets the number of cases.
const CASES_VARIABLE: &str = "CORNELVALVE_FUZZ_CASES";

/// Names the variable that sets the seed.
const SEED_VARIABLE: &str = "CORNELVALVE_FUZZ_SEED";

/// Most attempts to shrink a failing case.
const MAX_SHRINKS: u32 = 20_000;

/// Returns a test runner with a fixed seed that runs `cases` cases.
///
/// The environment variables `CORNELVALVE_FUZZ_CASES` and `CORNELVALVE_FUZZ_SEED` take
/// precedence.
///
/// # Panics
///
/// Panics if one of the variables is set to something other than a number.
#[must_use]
pub fn runner(cases: u32) -> TestRunner {
    let cases = variable(CASES_VARIABLE).map_or(cases, |n| u32::try_from(n).unwrap_or(u32::MAX));
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINKS,
        ..Config::default()
    };
    let mut seed = [0; 32];
    let [first, ..] = seed.as_chunks_mut::<8>().0 else {
        unreachable!("the seed has 32 bytes");
    };
    *first = variable(SEED_VARIABLE).unwrap_or(1).to_le_bytes();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    TestRunner::new_with_rng(config, rng)
}

fn variable(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    match text.parse() {
        Ok(number) => Some(number),
        Err(error) => panic!("{name} is not a number ({error}); set a whole number or unset it"),
    }
}
