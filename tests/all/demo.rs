//! The command `cornelvalve demo`.

use crate::support::run;

/// Part of the line about the one check that may fail here, because a heavily loaded machine takes
/// longer.
const TIMED_CHECK: &str = "within 7 s";

/// Guards against a demo that stops before its end, and against an exit code that contradicts its
/// report.
#[test]
fn demo_reports_its_checks() {
    let output = run("cornelvalve", &["demo", "--seconds", "2"]);
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    for service in ["estimateur", "remise", "flotte"] {
        assert!(
            text.contains(service),
            "no line for {service}: {text}{errors}"
        );
    }
    assert!(text.contains("p50") && text.contains("p99"), "{text}");
    // The report has a line for each of its ten checks, which begins with `held` or `BROKEN`.
    let broken: Vec<&str> = text.lines().filter(|l| l.starts_with("BROKEN")).collect();
    assert_eq!(output.status.success(), broken.is_empty(), "{text}");
    assert!(broken.iter().all(|l| l.contains(TIMED_CHECK)), "{text}");
    let held = text.lines().filter(|l| l.starts_with("held")).count();
    assert_eq!(held + broken.len(), 10, "{text}");
}
