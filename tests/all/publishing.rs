//! Configuration changes through several daemons and a faulty log.

use std::collections::BTreeSet;
use std::time::Instant;

use cornelvalve_model::{Change, ChangeId, DomainState, Operation, Revision};
use cornelvalve_standins::{LogFaults, LoseBy};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use uuid::Uuid;

use crate::support::{DaemonProcess, Mesh, VmSpec, eventually};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");
const OUEST_A: VmSpec = VmSpec::new("ouest-a-1", "qc-ouest", "ouest-a");

const NO_FAULTS: LogFaults = LogFaults {
    down: false,
    delay_ms: 0,
    lose_answers: 0,
    lose_by: LoseBy::Drop,
    freeze: false,
};

const FROZEN: LogFaults = LogFaults {
    freeze: true,
    ..NO_FAULTS
};

/// Calls at once; more than a daemon takes.
const BURST: u128 = 80;

/// Changes that a daemon takes at once.
const MAX_IN_FLIGHT: u128 = 64;

fn put_region(n: u128) -> Change {
    Change {
        id: ChangeId(Uuid::from_u128(n)),
        author: "test".to_owned(),
        expects: None,
        operation: Operation::PutRegion {
            region: format!("region-{n}").parse().expect("valid"),
        },
    }
}

fn put_domain(id: u128, expects: u64, state: DomainState) -> Change {
    Change {
        id: ChangeId(Uuid::from_u128(id)),
        author: "test".to_owned(),
        expects: Some(Revision(expects)),
        operation: Operation::PutDomain {
            domain: "est-a".parse().expect("valid"),
            region: "qc-est".parse().expect("valid"),
            state,
        },
    }
}

fn entries(daemon: &DaemonProcess) -> [serde_json::Value; 2] {
    ["region", "domain"].map(|kind| daemon.ctl_json(&[kind, "list"]))
}

/// Waits until all daemons have the same revision in force and compares their entries.
async fn wait_until_equal(daemons: &[&DaemonProcess], revision: u64) {
    for daemon in daemons {
        daemon.wait_for_revision(revision).await;
        assert_eq!(entries(daemon), entries(daemons[0]));
    }
}

/// Guards against two operators who both learn that their edit of one entry was accepted.
#[tokio::test]
async fn one_of_two_racing_changes_is_accepted() {
    let mesh = Mesh::start("race");
    let one = mesh.start_daemon(EST_A, &[]);
    let other = mesh.start_daemon(EST_B, &[one.peers]);
    one.ctl(&["region", "put", "qc-est"]);
    let mut expects = 0;
    for round in 0..8 {
        let left = put_domain(2 * round + 1, expects, DomainState::InService);
        let right = put_domain(2 * round + 2, expects, DomainState::OutOfService);
        let (left, right) = tokio::join!(one.publish(&left), other.publish(&right));
        let reports = [left, right].map(|r| r.expect("the log is up"));
        let accepted: Vec<u64> = reports
            .iter()
            .filter_map(|r| r["revision"].as_u64())
            .collect();
        assert_eq!(accepted.len(), 1, "{reports:?}");
        let rejected = |r: &&serde_json::Value| r["verdict"].get("rejected").is_some();
        assert_eq!(reports.iter().filter(rejected).count(), 1, "{reports:?}");
        expects = accepted[0];
        wait_until_equal(&[&one, &other], expects).await;
    }
}

/// Guards against a change that fails or takes effect twice because the log's answer was lost or
/// came late.
#[tokio::test]
async fn lost_answers_do_not_lose_or_repeat_changes() {
    let mesh = Mesh::start("lost-answers");
    let one = mesh.start_daemon(EST_A, &[]);
    let other = mesh.start_daemon(EST_B, &[one.peers]);
    let mut last = 0;
    let lost = |lose_by| LogFaults {
        lose_answers: 3,
        lose_by,
        ..NO_FAULTS
    };
    let slow = LogFaults {
        delay_ms: 200,
        ..NO_FAULTS
    };
    let all_faults = [lost(LoseBy::Drop), lost(LoseBy::Status), slow];
    for (n, faults) in all_faults.into_iter().enumerate() {
        mesh.log_store.set_faults(faults).await;
        for k in 0..4 {
            let change = put_region(10 * n as u128 + k);
            let report = one.publish(&change).await.expect("the log is up");
            assert_eq!(report["verdict"], "accepted", "{report}");
            let revision = report["revision"].as_u64().expect("accepted");
            assert!(revision > last, "{report} after {last}");
            last = revision;
        }
    }
    wait_until_equal(&[&one, &other], last).await;
}

/// Guards against a change that takes effect twice, or whose verdict depends on the daemon that
/// was asked, when an operator repeats a call elsewhere.
#[tokio::test]
async fn one_change_through_two_daemons_takes_effect_once() {
    let mesh = Mesh::start("same-change");
    let one = mesh.start_daemon(EST_A, &[]);
    let other = mesh.start_daemon(EST_B, &[one.peers]);
    one.ctl(&["region", "put", "qc-est"]);
    for round in 0..8 {
        let state = DomainState::InService;
        let change = Change {
            expects: None,
            ..put_domain(100 + round, 0, state)
        };
        let (left, right) = tokio::join!(one.publish(&change), other.publish(&change));
        let (left, right) = (left.expect("log is up"), right.expect("log is up"));
        assert_eq!(left, right);
        assert_eq!(left["verdict"], "accepted");
        let revision = left["revision"].as_u64().expect("accepted");
        wait_until_equal(&[&one, &other], revision).await;
    }
    // The repeat of a rejected change is rejected by a daemon that started since.
    let stale = put_domain(200, 1, DomainState::OutOfService);
    let first = one.publish(&stale).await.expect("log is up");
    assert!(first["verdict"].get("rejected").is_some(), "{first}");
    let late = mesh.start_daemon(OUEST_A, &[one.peers]);
    late.wait_for_revision(one.revision()).await;
    let again = late.publish(&stale).await.expect("log is up");
    assert_eq!(again, first);
}

/// Guards against a burst of changes that exceeds the appends that the log accepts.
#[tokio::test]
async fn changes_that_wait_together_share_an_append() {
    let mesh = Mesh::start_with("group", &["--append-rate", "1"]);
    let daemon = mesh.start_daemon(EST_A, &[]);
    mesh.log_store.set_faults(FROZEN).await;
    let changes: Vec<Change> = (0..40).map(put_region).collect();
    let calls = changes.iter().map(|c| daemon.publish(c));
    let (reports, ()) = tokio::join!(futures_util::future::join_all(calls), async {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        mesh.log_store.set_faults(NO_FAULTS).await;
    });
    for report in reports {
        let report = report.expect("the log is up again");
        assert_eq!(report["verdict"], "accepted", "{report}");
    }
    // The records of one append carry the same time; single appends would be 1 s apart.
    let records = mesh.log_store.records("configuration").await;
    let appends: BTreeSet<u64> = records.iter().map(|r| r.at.0).collect();
    assert!(appends.len() <= 10, "{} appends", appends.len());
}

/// Guards against an unbounded number of changes that wait for a frozen log, and against an
/// answer that leaves the operator in doubt whether such a change was taken.
#[tokio::test]
async fn changes_beyond_the_limit_are_refused() {
    let mesh = Mesh::start("overload");
    let daemon = mesh.start_daemon(EST_A, &[]);
    mesh.log_store.set_faults(FROZEN).await;
    let changes: Vec<Change> = (0..BURST).map(put_region).collect();
    let mut calls: FuturesUnordered<_> = changes.iter().map(|c| daemon.publish(c)).collect();
    // Nothing is accepted while the log is frozen, so the first answers are the refusals.
    for _ in MAX_IN_FLIGHT..BURST {
        let error = calls.next().await.expect("all calls are answered");
        let error = error.expect_err("the log is frozen");
        assert_eq!(error["data"]["kind"], "overloaded", "{error}");
    }
    mesh.log_store.set_faults(NO_FAULTS).await;
    while let Some(report) = calls.next().await {
        let report = report.expect("the log is up again");
        assert_eq!(report["verdict"], "accepted", "{report}");
    }
}

/// Guards against a daemon that keeps an old configuration for good after an outage longer than
/// the retention of the log.
#[tokio::test]
async fn daemon_recovers_from_an_outage_longer_than_the_retention() {
    let mesh = Mesh::start_with("outage", &["--retain-records", "8"]);
    let writer = mesh.start_daemon(EST_A, &[]);
    let paused = mesh.start_daemon(EST_B, &[]);
    writer.ctl(&["region", "put", "first"]);
    paused.wait_for_revision(1).await;
    paused.process.signal("STOP");
    for n in 0..20 {
        let report = writer.publish(&put_region(n)).await.expect("log is up");
        assert_eq!(report["verdict"], "accepted", "{report}");
    }
    paused.process.signal("CONT");
    wait_until_equal(&[&writer, &paused], writer.revision()).await;
}

/// Guards against readers that stop at a bad record, treat it differently or hide it.
#[tokio::test]
async fn bad_records_are_skipped_alike_and_shown() {
    let mesh = Mesh::start("bad-records");
    let one = mesh.start_daemon(EST_A, &[]);
    let other = mesh.start_daemon(EST_B, &[one.peers]);
    mesh.log_store.append("not JSON").await;
    mesh.log_store.append(r#"{"v":99,"entry":{}}"#).await;
    let mut unknown = serde_json::json!({ "v": 1, "entry": { "change": put_region(9) } });
    unknown["entry"]["change"]["urgent"] = true.into();
    mesh.log_store.append(unknown.to_string()).await;
    let report = one.publish(&put_region(1)).await.expect("log is up");
    assert_eq!(report["revision"], 4, "{report}");
    let late = mesh.start_daemon(OUEST_A, &[]);
    wait_until_equal(&[&one, &other, &late], 4).await;
    let bad = |d: &DaemonProcess| d.status()["bad_records"].clone();
    let reasons = bad(&one).to_string();
    for words in ["not JSON", "schema version 99", "unknown field urgent"] {
        assert!(reasons.contains(words), "{words} in {reasons}");
    }
    assert_eq!(bad(&one).as_array().map(Vec::len), Some(3));
    assert_eq!(bad(&one), bad(&other));
    assert_eq!(bad(&one), bad(&late));
}

/// Guards against a daemon that reverts to an older configuration, in particular when it starts
/// again. Prints the time until changes are in force, which depends on the machine.
#[tokio::test]
async fn revisions_never_fall_while_daemons_restart() {
    let mesh = Mesh::start("restarts");
    let stable = mesh.start_daemon(EST_A, &[]);
    let specs = [EST_B, OUEST_A];
    let start = |spec| mesh.start_daemon(spec, &[stable.peers]);
    let mut daemons: Vec<DaemonProcess> = specs.into_iter().map(start).collect();
    for round in 0..6usize {
        let before = stable.revision();
        for daemon in &daemons {
            eventually("catching up", || async {
                let found = daemon.revision();
                (found >= before).then_some(()).ok_or(format!("{found}"))
            })
            .await;
        }
        let victim = round % daemons.len();
        daemons[victim].process.signal("KILL");
        let change = put_region(round as u128);
        let report = stable.publish(&change).await.expect("log is up");
        let revision = report["revision"].as_u64().expect("accepted");
        daemons[victim] = start(specs[victim]);
        let published = Instant::now();
        let mut lows = vec![before; daemons.len()];
        eventually("in force everywhere", || {
            for (daemon, low) in daemons.iter().zip(&mut lows) {
                let found = daemon.revision();
                // A daemon that has just started has no configuration in force yet.
                if found > 0 {
                    assert!(found >= *low, "revision {found} after {low}");
                    *low = found;
                }
            }
            let is_done = lows.iter().all(|low| *low >= revision);
            let state = format!("{lows:?}");
            async move { is_done.then_some(()).ok_or(state) }
        })
        .await;
        println!(
            "round {round}: in force everywhere after {:?}",
            published.elapsed()
        );
    }
}
