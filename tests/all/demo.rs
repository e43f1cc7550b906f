//! The demo.

use crate::support::run;

/// Promise about time, which a busy machine may break.
const TIMED: &str = "within 7 s";

/// Guards against a demo that does not run to its end, and against an exit code that contradicts
/// the report.
#[test]
fn demo_reports_its_promises() {
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
    assert!(broken.iter().all(|l| l.contains(TIMED)), "{text}");
    let held = text.lines().filter(|l| l.starts_with("held")).count();
    assert_eq!(held + broken.len(), 10, "{text}");
}
