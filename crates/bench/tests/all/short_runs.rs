//! End-to-end tests of short runs and of the built-in experiments.

use cornelvalve_bench::{
    BUILTIN_EXPERIMENTS, Experiment, Placement, builtin_experiment, render_table, run_experiment,
};

fn short(name: &str) -> Experiment {
    Experiment {
        rate: 40.0,
        warmup_ms: 200,
        duration_ms: 1000,
        slice_ms: 0,
        placement: Placement::Threads,
        track_runs: true,
        ..builtin_experiment(name).expect("the experiment is built in")
    }
}

/// Guards against requests that a report counts twice or not at all, and against missing parts of
/// the table. Does not check how high the latencies are.
#[tokio::test(flavor = "multi_thread")]
async fn report_of_a_short_run_is_complete_and_consistent() {
    let report = run_experiment(short("path")).await.expect("the run ends");
    assert_eq!(report.inconsistencies(), Vec::<String>::new());
    assert_eq!(report.variants.len(), 2);
    for variant in &report.variants {
        // 40 requests/s for 1 s.
        assert_eq!(variant.counts.sent, 40, "{}", variant.name);
        assert!(variant.counts.completed > 0, "{variant:?}");
        assert!(variant.latency.p50_us > 0);
    }
    let system = &report.variants[1];
    assert_eq!(system.control.len(), 2);
    assert_eq!(system.false_refusals, Some(0));
    assert_eq!(system.upstreams.len(), 1);
    let text = render_table(&report);
    for part in ["direct", "system", "p99", "system less direct", "control"] {
        assert!(text.contains(part), "{part:?} is missing in:\n{text}");
    }
    let json = serde_json::to_string(&report).expect("the report is JSON");
    assert!(json.contains("\"experiment\":\"path\""));
}

/// Guards against a deadlock of nested calls, in which a call waits for capacity that the calls
/// above it in the chain hold.
#[tokio::test(flavor = "multi_thread")]
async fn chains_of_nested_calls_complete() {
    let report = run_experiment(Experiment {
        rate: 5.0,
        ..short("nested")
    });
    let report = report.await.expect("the run ends");
    for variant in &report.variants {
        let counts = &variant.counts;
        assert_eq!(counts.completed, counts.sent, "{variant:?}");
    }
}

/// Guards against a built-in experiment that is out of bounds or that cannot be read again after it
/// was serialized.
#[test]
fn built_in_experiments_are_valid_files() {
    for name in BUILTIN_EXPERIMENTS {
        let experiment = builtin_experiment(name).expect("the name is known");
        assert_eq!(experiment.validate(), Ok(()), "{name}");
        let text = serde_json::to_string(&experiment).expect("it is JSON");
        let again: Experiment = serde_json::from_str(&text).expect("it is read back");
        assert_eq!(again.name, *name);
    }
}
