//! Configuration of the fuzzing test runner from environment variables.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Environment variable that sets the number of cases.
const CASES_ENV: &str = "CORNELVALVE_FUZZ_CASES";

/// Environment variable that sets the seed.
const SEED_ENV: &str = "CORNELVALVE_FUZZ_SEED";

/// Maximum number of steps in which proptest shrinks a failing case.
const MAX_SHRINK_ITERS: u32 = 20_000;

/// Returns a test runner that runs `cases` cases with a fixed seed.
///
/// The environment variables `CORNELVALVE_FUZZ_CASES` and `CORNELVALVE_FUZZ_SEED` override the
/// number of cases and the seed. Failing cases are not written to files; the
/// same seed and number of cases reproduce them.
///
/// # Panics
///
/// Panics if one of the variables is set but is not a whole number.
#[must_use]
pub fn test_runner(cases: u32) -> TestRunner {
    let cases = env_number(CASES_ENV).map_or(cases, |n| u32::try_from(n).unwrap_or(u32::MAX));
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERS,
        ..Config::default()
    };
    let mut seed = [0; 32];
    let [first, ..] = seed.as_chunks_mut::<8>().0 else {
        unreachable!("the seed has 32 bytes");
    };
    *first = env_number(SEED_ENV).unwrap_or(1).to_le_bytes();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    TestRunner::new_with_rng(config, rng)
}

/// Returns the value of an environment variable, or `None` if it is not set.
fn env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    match text.parse() {
        Ok(number) => Some(number),
        Err(error) => panic!("{name} is not a number ({error}); set a whole number or unset it"),
    }
}
