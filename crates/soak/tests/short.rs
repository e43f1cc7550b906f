//! Runs the soak with two seeds, and with the seeds that failed before.

use std::path::PathBuf;
use std::time::Duration;

use cornelvalve_soak::{Options, run};

/// Seeds that are run each time; the last one has a large desired state.
const SEEDS: [u64; 3] = [2, 6, 7];

/// Seeds that failed before; add each with its cause in a comment.
const REGRESSION_SEEDS: [u64; 5] = [
    // The soak resumed paused daemons late, while it waited for the drain of a target.
    14, // The same, while it waited for the exit of a terminated daemon.
    304,
    // The target said that it was healthy while it drained, so that a daemon that was restarted
    // during the drain sent it requests.
    33,
    // A restored store never answered the reads that all readers waited for at the same time.
    41, 49,
];

/// Returns the path of the daemon program, which `test.sh` builds before it runs the tests.
fn daemon_program() -> PathBuf {
    let test = std::env::current_exe().expect("test has a path");
    let folder = test
        .ancestors()
        .nth(2)
        .expect("test is two folders below the programs");
    folder.join("cornelvalve-platform")
}

/// Guards against violated guarantees while daemons, connections, the store and targets fail: a
/// request that runs twice or after a refusal, or daemons that do not recover.
#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    for seed in SEEDS.into_iter().chain(REGRESSION_SEEDS) {
        let options = Options {
            seed,
            fault_period: Duration::from_secs(3),
            daemons: 3,
            program: daemon_program(),
        };
        let report = run(&options).await.expect("soak runs");
        let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
        assert!(
            violations.is_empty(),
            "seed {seed}: {violations:#?}, logs in {:?}",
            report.folder
        );
        assert!(report.served > 0, "seed {seed}: no request was served");
    }
}
