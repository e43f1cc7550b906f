//! Errors for invalid settings files.

use std::path::PathBuf;

use crate::support::run;

/// Valid settings file; each case changes one place of it.
const EXAMPLE: &str = include_str!("../../examples/cornelvalve.jsonc");

/// Guards against invalid settings that a command accepts, panics on, or refuses without a remedy.
#[test]
fn bad_settings_are_refused_with_file_key_and_remedy() {
    let cases = [
        (
            "unknown-key",
            "\"queue\": 64",
            "\"queues\": 64",
            "limits.queues",
        ),
        (
            "wrong-type",
            "\"queue\": 64",
            "\"queue\": \"many\"",
            "limits.queue",
        ),
        ("bad-address", "10.0.0.11:7102", "est-a-1", "listen.peers"),
        ("missing-key", "\"vm\": \"est-a-1\",", "", "vm"),
        ("bad-name", "\"est-a-1\"", "\"EST A\"", "vm"),
        ("syntax", "\"queue\": 64", "\"queue\" 64", "not JSON"),
    ];
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-settings");
    std::fs::create_dir_all(&folder).expect("folder can be created");
    for (name, valid, invalid, key) in cases {
        assert!(EXAMPLE.contains(valid), "the example has no {valid}");
        let file = folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, EXAMPLE.replacen(valid, invalid, 1)).expect("file can be written");
        assert_refused(file.to_str().expect("path is UTF-8"), key);
    }
    assert_refused("no-such-file.jsonc", "no-such-file.jsonc");
    let binary = folder.join("binary.jsonc");
    std::fs::write(&binary, [0xff, 0xfe, 0, 1]).expect("file can be written");
    assert_refused(binary.to_str().expect("path is UTF-8"), "binary.jsonc");
}

/// Checks that both commands that read settings refuse a file with an error that names the file,
/// the key and a remedy.
fn assert_refused(file: &str, key: &str) {
    for command in ["check", "run"] {
        let output = run("cornelvalve", &[command, file]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{command} {file}: {text}");
        assert!(
            text.contains(file) && text.contains(key),
            "{command} {file}: {text}"
        );
        // Errors have the form "problem; remedy".
        assert!(text.contains("; "), "no remedy: {text}");
        assert!(!text.contains("panicked"), "{text}");
        assert!(
            output.stdout.is_empty(),
            "{command} {file} wrote to standard output"
        );
    }
}
