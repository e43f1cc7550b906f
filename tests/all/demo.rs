//! The command `cornelvalve demo`.

use crate::support::run;

/// Text of the check of the demo that depends on time, and so may fail on a loaded machine.
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
    let broken: Vec<&str> = text.lines().filter(|l| l.starts_with("BROKEN")).collect();
    assert_eq!(output.status.success(), broken.is_empty(), "{text}");
    assert!(broken.iter().all(|l| l.contains(TIMED_CHECK)), "{text}");
    let held = text.lines().filter(|l| l.starts_with("held")).count();
    assert_eq!(held + broken.len(), 10, "{text}");
}
