//! A short run of the soak, and every seed that ever failed.

use std::path::PathBuf;
use std::time::Duration;

use cornelvalve_soak::{Options, run};

/// Seeds of the short run in CI.
const SHORT: [u64; 2] = [2, 6];

/// Seeds that failed once, each with the cause in a line; none has yet.
const REGRESSIONS: [u64; 0] = [];

/// Returns the daemon program, which the test script builds before the tests.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("test has a path");
    let folder = test
        .ancestors()
        .nth(2)
        .expect("tests lie below the programs");
    folder.join("cornelvalve-platform")
}

#[tokio::test]
async fn no_promise_is_broken_under_random_faults() {
    for seed in SHORT.into_iter().chain(REGRESSIONS) {
        let options = Options {
            seed,
            length: Duration::from_secs(3),
            daemons: 3,
            program: program(),
        };
        let report = run(&options).await.expect("soak runs");
        let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
        assert!(
            violations.is_empty(),
            "seed {seed}: {violations:#?}, logs in {:?}",
            report.folder
        );
        assert!(report.served > 0, "seed {seed}: nothing was served");
    }
}
