//! The operators' client against running daemons.

use std::net::SocketAddr;

use cornelvalve_standins::{LogFaults, LogStandIn};
use serde_json::{Value, json};

use crate::support::{DaemonPair, DaemonProcess, Mesh, cornelctl, eventually};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Address on which nothing listens: port 1 is reserved and unused.
const NOBODY: &str = "127.0.0.1:1";

/// Exit code and both outputs of the client, as JSON where they are JSON.
#[derive(Debug)]
struct Ended {
    code: Option<i32>,
    out: Value,
    err: Value,
}

/// Runs the client with JSON output, beside daemons of other processes.
fn ctl(daemon: &str, args: &[&str]) -> Ended {
    let mut full = vec!["--output", "json"];
    full.extend(args);
    let output = cornelctl(daemon, &full);
    Ended {
        code: output.status.code(),
        out: serde_json::from_slice(&output.stdout).unwrap_or(Value::Null),
        err: serde_json::from_slice(&output.stderr).unwrap_or(Value::Null),
    }
}

fn ctl_at(daemon: &DaemonProcess, args: &[&str]) -> Ended {
    ctl(&daemon.operators.to_string(), args)
}

/// Guards against a change that is reported otherwise than it ended, and against lists that do
/// not show it.
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
        let put = ctl_at(&pair.entry, args);
        assert_eq!(put.code, Some(0), "{args:?}: {put:?}");
        assert!(put.out["report"]["revision"].is_u64(), "{args:?}: {put:?}");
        let list = ctl_at(&pair.entry, &[args[0], "list"]);
        assert!(list.out.to_string().contains(name), "{args:?}: {list:?}");
    }
    let again = ctl_at(&pair.entry, puts[1]);
    assert_eq!(again.code, Some(4), "domain put only creates: {again:?}");
    assert_eq!(again.err["kind"], "rejected", "{again:?}");
    for (args, name) in puts.iter().zip(names).rev() {
        let stale = ctl_at(&pair.entry, &[args[0], "remove", name, "--expects", "0"]);
        assert_eq!(stale.code, Some(4), "{args:?}: {stale:?}");
        let removed = ctl_at(&pair.entry, &[args[0], "remove", name]);
        assert_eq!(removed.code, Some(0), "{args:?}: {removed:?}");
        let list = ctl_at(&pair.entry, &[args[0], "list"]);
        assert!(!list.out.to_string().contains(name), "{args:?}: {list:?}");
    }
}

/// Guards against views that are no JSON, and against exit codes other than the page's.
#[tokio::test]
async fn each_view_answers_also_with_one_daemon_unreachable() {
    let pair = DaemonPair::start("ctl-views").await;
    let revision = ctl_at(&pair.entry, &["status"]).out["revision"].clone();
    let revision = revision.as_u64().expect("number").to_string();
    let entry = pair.entry.operators.to_string();
    let explain = ["explain", "--host", "estimateur.test", "--path", "/"];
    // The first address does not answer, so the next one is asked.
    let views: [(&[&str], &str); 4] = [
        (&["status"], "/vm"),
        (&["members"], "/0/member/vm"),
        (&["in-force", &revision], "/revision"),
        (&explain, "/service"),
    ];
    for (args, pointer) in views {
        let args = [&["--daemon", entry.as_str()], args].concat();
        let view = ctl(NOBODY, &args);
        assert_eq!(view.code, Some(0), "{args:?}: {view:?}");
        assert!(view.out.pointer(pointer).is_some(), "{args:?}: {view:?}");
        let alone = ctl(NOBODY, &args[2..]);
        assert_eq!(alone.code, Some(3), "{args:?}: {alone:?}");
        assert_eq!(alone.err["kind"], "unreachable", "{alone:?}");
    }
    // A merged timeline needs every daemon, but shows the events of those that answer.
    let timeline = ctl(NOBODY, &["--daemon", &entry, "timeline"]);
    assert_eq!(timeline.code, Some(3), "{timeline:?}");
    assert!(timeline.out[0]["event"].is_string(), "{timeline:?}");
    let members = ctl_at(&pair.entry, &["timeline", "--members"]);
    let vms = members.out.to_string();
    assert!(vms.contains("est-a-1") && vms.contains("est-b-1"), "{vms}");

    let missing = ctl_at(&pair.entry, &["in-force", "9999"]);
    assert_eq!(missing.code, Some(5), "{missing:?}");
    assert_eq!(missing.out["confirmed"], json!(0), "{missing:?}");
    assert_eq!(ctl_at(&pair.entry, &["no-such-command"]).code, Some(2));
    let completion = cornelctl(&entry, &["completion", "bash"]);
    assert!(completion.status.success() && !completion.stdout.is_empty());
}

/// Guards against `--wait in-force` that returns before all members have applied the change.
#[tokio::test]
async fn domain_out_is_in_force_at_every_daemon_when_the_client_returns() {
    let pair = DaemonPair::start("ctl-in-force").await;
    let put = ctl_at(
        &pair.entry,
        &["domain", "put", "est-b", "--region", "qc-est"],
    );
    assert_eq!(put.code, Some(0), "{put:?}");
    let wait = ["--wait", "in-force", "--timeout", "60"];
    for command in ["out", "in"] {
        let args = [&["domain", command, "est-b"][..], &wait].concat();
        let changed = ctl_at(&pair.entry, &args);
        assert_eq!(changed.code, Some(0), "{changed:?}");
        assert_eq!(changed.out["report"]["verdict"], "in-force", "{changed:?}");
        assert_eq!(
            changed.out["report"]["unconfirmed"],
            json!([]),
            "{changed:?}"
        );
        for daemon in [&pair.entry, &pair.upstream_daemon] {
            let status = ctl_at(daemon, &["status"]).out;
            assert_eq!(
                status["revision"], changed.out["report"]["revision"],
                "{status}"
            );
        }
    }
}

/// Guards against a change that is reported as published during an outage of the log, and against
/// a failure domain that cannot be emptied then.
#[tokio::test(flavor = "multi_thread")]
async fn leave_works_while_the_log_is_down() {
    let (addr, log) = LogStandIn::start(LOOPBACK).await.unwrap();
    let mut pair = DaemonPair::start_in(Mesh::with_log_store("ctl-log-down", addr)).await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    log.set_faults(down).await;
    let put = ctl_at(&pair.entry, &["team", "put", "paie", "--timeout", "3"]);
    assert!(matches!(put.code, Some(6 | 7)), "{put:?}");
    let kind = if put.code == Some(6) {
        "unknown-outcome"
    } else {
        "daemon-error"
    };
    assert_eq!(put.err["kind"], kind, "{put:?}");
    let teams = ctl_at(&pair.entry, &["team", "list"]);
    assert_eq!(teams.out, json!([]), "{teams:?}");

    let wrong = ctl_at(&pair.entry, &["leave", "--domain", "nowhere"]);
    assert_eq!(wrong.code, Some(2), "{wrong:?}");
    let left = ctl_at(&pair.entry, &["leave", "--domain", "est-b"]);
    assert_eq!(left.code, Some(0), "{left:?}");
    assert_eq!(left.out[0]["vm"], "est-b-1", "{left:?}");
    assert_eq!(left.out[0]["state"], "leaving", "{left:?}");
    assert!(
        pair.upstream_daemon.process.wait(),
        "the daemon ends without an error"
    );
    eventually("the member is left", || async {
        let members = ctl_at(&pair.entry, &["members"]).out.to_string();
        let left = members.contains(r#""state":"left""#);
        left.then_some(()).ok_or(members)
    })
    .await;
}
