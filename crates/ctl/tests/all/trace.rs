//! Tests of `trace`, which collects the events of one request from the logs of several daemons.

use std::path::PathBuf;

use cornelvalve_ctl::Exit;
use insta::assert_snapshot;
use tempfile::TempDir;

/// Log of the daemon that received the request. Its first line has columns that a log collector put
/// before the JSON object.
const INGRESS_LOG: &str = r#"
1.287 vm-1 {"timestamp":"2026-10-26T05:32:13.253453+00:00","level":"INFO","target":"t","message":"attempt","kvs":{"event":"placed","request":"a1","vm":"vm-2","expected_ms":84}}
{"timestamp":"2026-10-26T05:32:13.900000+00:00","level":"INFO","target":"t","message":"answered","kvs":{"event":"request-answered","request":"a1","status":200}}
{"timestamp":"2026-10-26T05:32:13.900001+00:00","level":"INFO","target":"t","message":"answered","kvs":{"event":"request-answered","request":"a12","status":200}}
not a log line
"#;

/// Log of the daemon beside the upstream. It contains a nested call that the request made there.
const UPSTREAM_LOG: &str = r#"
{"timestamp":"2026-10-26T05:32:13.300000+00:00","level":"INFO","target":"t","message":"attempt","kvs":{"event":"placed","request":"a1.b2","vm":"vm-3"}}
{"timestamp":"2026-10-26T05:32:13.400000+00:00","level":"INFO","target":"t","message":"daemon started","kvs":{"event":"started"}}
{"timestamp":"2026-10-26T05:32:13.800000+00:00","level":"INFO","target":"t","message":"exchange with the upstream ended","kvs":{"event":"upstream-ended","request":"a1","held_ms":500}}
"#;

/// Log files in a temporary folder.
struct Logs {
    _folder: TempDir,
    files: Vec<PathBuf>,
}

fn write_logs() -> Logs {
    let folder = TempDir::new().expect("folder");
    let write = |(name, text): (&str, &str)| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).expect("file is written");
        file
    };
    let files = [("vm-1.log", INGRESS_LOG), ("vm-2.log", UPSTREAM_LOG)].map(write);
    Logs {
        files: files.to_vec(),
        _folder: folder,
    }
}

/// Runs `trace`; returns its result, output and errors.
async fn trace(args: &[&str], files: &[PathBuf]) -> (Exit, String, String) {
    let mut line: Vec<String> = ["cornelctl", "trace"].map(str::to_owned).into();
    line.extend(args.iter().map(|a| (*a).to_owned()));
    line.extend(files.iter().map(|f| f.display().to_string()));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cornelvalve_ctl::run(line, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (exit, text(out), text(err))
}

/// Guards against a trace that lacks the nested calls of a request or contains lines of another
/// one.
#[tokio::test]
async fn lines_of_all_daemons_are_in_order() {
    let logs = write_logs();
    let (exit, out, err) = trace(&["a1"], &logs.files).await;
    assert_eq!(exit, Exit::Success);
    assert_snapshot!(out, @r#"
    2026-10-26T05:32:13.253453+00:00 vm-1 a1 placed expected_ms=84 vm="vm-2": attempt
    2026-10-26T05:32:13.300000+00:00 vm-2 a1.b2 placed vm="vm-3": attempt
    2026-10-26T05:32:13.800000+00:00 vm-2 a1 upstream-ended held_ms=500: exchange with the upstream ended
    2026-10-26T05:32:13.900000+00:00 vm-1 a1 request-answered status=200: answered
    "#);
    assert_snapshot!(err, @"note: 1 lines are no log lines");
}

/// Guards against success for a request that no log contains.
#[tokio::test]
async fn unknown_request_is_an_error() {
    let logs = write_logs();
    let (exit, out, err) = trace(&["b"], &logs.files).await;
    assert_eq!((exit, out.as_str()), (Exit::Usage, ""));
    assert!(err.contains("no log line has the request id b"), "{err}");
}

/// Guards against an error that does not name the file that cannot be read.
#[tokio::test]
async fn missing_file_is_named() {
    let (exit, _, err) = trace(&["a1"], &[PathBuf::from("missing.log")]).await;
    assert_eq!(exit, Exit::Usage);
    assert!(err.contains("missing.log"), "{err}");
}
