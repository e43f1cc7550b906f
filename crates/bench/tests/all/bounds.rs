//! Tests of the limits that make every run end by itself, and of reading experiment files.

use std::path::PathBuf;

use cornelvalve_bench::{Error, Experiment, builtin_experiment, read_experiment, run_experiment};

fn path() -> Experiment {
    builtin_experiment("path").expect("the experiment is built in")
}

/// Guards against a run that overloads the machine or does not end.
#[tokio::test]
async fn experiments_out_of_bounds_do_not_run() {
    let cases = [
        (
            "rate",
            Experiment {
                rate: 1e6,
                ..path()
            },
        ),
        (
            "rate",
            Experiment {
                rate: f64::NAN,
                ..path()
            },
        ),
        (
            "duration_ms",
            Experiment {
                duration_ms: 3_600_000,
                ..path()
            },
        ),
        (
            "rate",
            Experiment {
                // 1,900,000 requests of each of the two variants exceed the limit on all requests.
                rate: 19_000.0,
                duration_ms: 100_000,
                ..path()
            },
        ),
        (
            "vms",
            Experiment {
                vms: vec![path().vms[0].clone(); 65],
                ..path()
            },
        ),
        (
            "callers",
            Experiment {
                callers: 0,
                ..path()
            },
        ),
        (
            "variants",
            Experiment {
                // Only direct calls, without a variant that starts upstreams.
                variants: vec![path().variants[0].clone()],
                ..path()
            },
        ),
        (
            "mix",
            Experiment {
                mix: Vec::new(),
                ..path()
            },
        ),
    ];
    for (expected, experiment) in cases {
        match run_experiment(experiment).await {
            Err(Error::OutOfBounds { key, .. }) => assert_eq!(key, expected),
            other => panic!("{expected}: {other:?}"),
        }
    }
}

/// Guards against rejecting comments, and against ignoring a misspelled key and running with the
/// default value instead.
#[test]
fn files_with_comments_are_read_and_unknown_keys_rejected() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let good = folder.join("good.jsonc");
    let text = serde_json::to_string_pretty(&path()).expect("experiment is serialized");
    std::fs::write(&good, format!("// An experiment.\n{text}")).expect("file is written");
    assert_eq!(read_experiment(&good).expect("file is read").name, "path");
    let bad = folder.join("bad.jsonc");
    std::fs::write(&bad, text.replacen("\"rate\"", "\"rates\"", 1)).expect("file is written");
    let error = read_experiment(&bad)
        .expect_err("the key is unknown")
        .to_string();
    assert!(error.contains("rates"), "{error}");
}
