//! `cornelctl`, the command-line client of operators, against running daemons.

use std::net::SocketAddr;

use cornelvalve_standins::{LogFaults, LogStandIn};
use serde_json::{Value, json};

use crate::support::{DaemonPair, DaemonProcess, Mesh, cornelctl, eventually};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Address on which nothing listens; TCP port 1 is reserved.
const UNUSED_ADDR: &str = "127.0.0.1:1";

/// Exit code and outputs of `cornelctl`; an output that is not JSON is `Null`.
#[derive(Debug)]
struct CtlOutput {
    /// Exit code: 0 success, 2 usage error, 3 daemon unreachable, 4 change rejected, 5 change not
    /// in force, 6 unknown outcome, 7 error of the daemon.
    code: Option<i32>,
    stdout: Value,
    stderr: Value,
}

/// Runs `cornelctl` with JSON output against the daemon at an address. This blocks the thread, so
/// the daemon must run in another process.
fn ctl_at_addr(daemon: &str, args: &[&str]) -> CtlOutput {
    let mut all_args = vec!["--output", "json"];
    all_args.extend(args);
    let output = cornelctl(daemon, &all_args);
    CtlOutput {
        code: output.status.code(),
        stdout: serde_json::from_slice(&output.stdout).unwrap_or(Value::Null),
        stderr: serde_json::from_slice(&output.stderr).unwrap_or(Value::Null),
    }
}

/// Runs `cornelctl` with JSON output against a daemon.
fn ctl_at_daemon(daemon: &DaemonProcess, args: &[&str]) -> CtlOutput {
    ctl_at_addr(&daemon.operators.to_string(), args)
}

/// Guards against a change that is reported as accepted but does not show in the list, and against
/// a stale change that is accepted.
#[tokio::test]
async fn each_kind_of_entry_is_put_listed_and_removed() {
    let pair = DaemonPair::start("ctl-entries").await;
    let puts: [&[&str]; 5] = [
        &["region", "put", "qc-ouest"],
        &["domain", "put", "ouest-a", "--region", "qc-ouest"],
        &["team", "put", "paie"],
        &[
            "service",
            "put",
            "--name",
            "remise",
            "--host",
            "remise.test",
        ],
        &[
            "rule", "put", "home", "--team", "paie", "--region", "qc-est",
        ],
    ];
    let names = ["qc-ouest", "ouest-a", "paie", "remise", "home"];
    for (args, name) in puts.iter().zip(names) {
        let put = ctl_at_daemon(&pair.entry, args);
        assert_eq!(put.code, Some(0), "{args:?}: {put:?}");
        assert!(
            put.stdout["report"]["revision"].is_u64(),
            "{args:?}: {put:?}"
        );
        let list = ctl_at_daemon(&pair.entry, &[args[0], "list"]);
        assert!(list.stdout.to_string().contains(name), "{args:?}: {list:?}");
    }
    // `domain put` does not replace an existing failure domain.
    let again = ctl_at_daemon(&pair.entry, puts[1]);
    assert_eq!(again.code, Some(4), "domain put only creates: {again:?}");
    assert_eq!(again.stderr["kind"], "rejected", "{again:?}");
    for (args, name) in puts.iter().zip(names).rev() {
        let stale = ctl_at_daemon(&pair.entry, &[args[0], "remove", name, "--expects", "0"]);
        assert_eq!(stale.code, Some(4), "{args:?}: {stale:?}");
        let removed = ctl_at_daemon(&pair.entry, &[args[0], "remove", name]);
        assert_eq!(removed.code, Some(0), "{args:?}: {removed:?}");
        let list = ctl_at_daemon(&pair.entry, &[args[0], "list"]);
        assert!(
            !list.stdout.to_string().contains(name),
            "{args:?}: {list:?}"
        );
    }
}

/// Guards against commands that fail although another daemon is reachable, that do not print JSON,
/// or that exit with another code than the documented one.
#[tokio::test]
async fn each_view_works_with_one_daemon_unreachable() {
    let pair = DaemonPair::start("ctl-views").await;
    let revision = ctl_at_daemon(&pair.entry, &["status"]).stdout["revision"].clone();
    let revision = revision.as_u64().expect("number").to_string();
    let entry = pair.entry.operators.to_string();
    let explain = ["explain", "--host", "estimateur.test", "--path", "/"];
    // Nothing listens on the first address, so the client uses the next one.
    let commands: [(&[&str], &str); 4] = [
        (&["status"], "/vm"),
        (&["members"], "/0/member/vm"),
        (&["in-force", &revision], "/revision"),
        (&explain, "/service"),
    ];
    for (args, pointer) in commands {
        let args = [&["--daemon", entry.as_str()], args].concat();
        let output = ctl_at_addr(UNUSED_ADDR, &args);
        assert_eq!(output.code, Some(0), "{args:?}: {output:?}");
        assert!(
            output.stdout.pointer(pointer).is_some(),
            "{args:?}: {output:?}"
        );
        let failed = ctl_at_addr(UNUSED_ADDR, &args[2..]);
        assert_eq!(failed.code, Some(3), "{args:?}: {failed:?}");
        assert_eq!(failed.stderr["kind"], "unreachable", "{failed:?}");
    }
    // The timeline fails if a daemon does not respond, but shows the events of those that do.
    let timeline = ctl_at_addr(UNUSED_ADDR, &["--daemon", &entry, "timeline"]);
    assert_eq!(timeline.code, Some(3), "{timeline:?}");
    assert!(timeline.stdout[0]["event"].is_string(), "{timeline:?}");
    let members = ctl_at_daemon(&pair.entry, &["timeline", "--members"]);
    let vms = members.stdout.to_string();
    assert!(vms.contains("est-a-1") && vms.contains("est-b-1"), "{vms}");

    let missing = ctl_at_daemon(&pair.entry, &["in-force", "9999"]);
    assert_eq!(missing.code, Some(5), "{missing:?}");
    assert_eq!(missing.stdout["confirmed"], json!(0), "{missing:?}");
    assert_eq!(
        ctl_at_daemon(&pair.entry, &["no-such-command"]).code,
        Some(2)
    );
    let completion = cornelctl(&entry, &["completion", "bash"]);
    assert!(completion.status.success() && !completion.stdout.is_empty());
}

/// Guards against `--wait in-force` that returns before the change is in force, that is, applied by
/// all members.
#[tokio::test]
async fn domain_out_is_in_force_at_every_daemon_when_the_client_returns() {
    let pair = DaemonPair::start("ctl-in-force").await;
    let put = ctl_at_daemon(
        &pair.entry,
        &["domain", "put", "est-b", "--region", "qc-est"],
    );
    assert_eq!(put.code, Some(0), "{put:?}");
    let wait = ["--wait", "in-force", "--timeout", "60"];
    for command in ["out", "in"] {
        let args = [&["domain", command, "est-b"][..], &wait].concat();
        let changed = ctl_at_daemon(&pair.entry, &args);
        assert_eq!(changed.code, Some(0), "{changed:?}");
        assert_eq!(
            changed.stdout["report"]["verdict"], "in-force",
            "{changed:?}"
        );
        assert_eq!(
            changed.stdout["report"]["unconfirmed"],
            json!([]),
            "{changed:?}"
        );
        for daemon in [&pair.entry, &pair.upstream_daemon] {
            let status = ctl_at_daemon(daemon, &["status"]).stdout;
            assert_eq!(
                status["revision"], changed.stdout["report"]["revision"],
                "{status}"
            );
        }
    }
}

/// Guards against a change that is reported as published during an outage of the log store, and
/// against a `leave` command that needs the log store.
#[tokio::test(flavor = "multi_thread")]
async fn leave_works_while_the_log_store_is_down() {
    // The log stand-in runs in this process and must respond while `cornelctl` blocks a thread.
    let (addr, log) = LogStandIn::start(LOOPBACK).await.unwrap();
    let mut pair = DaemonPair::start_in_mesh(Mesh::with_log_store("ctl-log-down", addr)).await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    log.set_faults(down).await;
    let put = ctl_at_daemon(&pair.entry, &["team", "put", "paie", "--timeout", "3"]);
    // The daemon may report that the outcome of the change is unknown, or an error.
    assert!(matches!(put.code, Some(6 | 7)), "{put:?}");
    let kind = if put.code == Some(6) {
        "unknown-outcome"
    } else {
        "daemon-error"
    };
    assert_eq!(put.stderr["kind"], kind, "{put:?}");
    let teams = ctl_at_daemon(&pair.entry, &["team", "list"]);
    assert_eq!(teams.stdout, json!([]), "{teams:?}");

    let wrong = ctl_at_daemon(&pair.entry, &["leave", "--domain", "nowhere"]);
    assert_eq!(wrong.code, Some(2), "{wrong:?}");
    let left = ctl_at_daemon(&pair.entry, &["leave", "--domain", "est-b"]);
    assert_eq!(left.code, Some(0), "{left:?}");
    assert_eq!(left.stdout[0]["vm"], "est-b-1", "{left:?}");
    assert_eq!(left.stdout[0]["state"], "leaving", "{left:?}");
    assert!(
        pair.upstream_daemon.process.wait(),
        "daemon exits without an error"
    );
    eventually("member has left", || async {
        let members = ctl_at_daemon(&pair.entry, &["members"]).stdout.to_string();
        let has_left = members.contains(r#""state":"left""#);
        has_left.then_some(()).ok_or(members)
    })
    .await;
}
