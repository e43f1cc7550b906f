//! Tests configuration changes that are published through several daemons and a faulty log store.

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

/// Same as the default, which is not available in constants.
const NO_FAULTS: LogFaults = LogFaults {
    down: false,
    delay_ms: 0,
    lose_answers: 0,
    lose_by: LoseBy::Drop,
    freeze: false,
};

/// Makes the log store leave all requests unanswered until the fault is removed.
const UNRESPONSIVE: LogFaults = LogFaults {
    freeze: true,
    ..NO_FAULTS
};

/// Number of changes that are published concurrently; exceeds [`MAX_IN_FLIGHT`].
const BURST: u128 = 80;

/// Number of changes that a daemon has in flight at most, as in its module `publisher`.
const MAX_IN_FLIGHT: u128 = 64;

/// Returns a change with the id `n` that adds the region `region-n`.
pub(crate) fn put_region(n: u128) -> Change {
    Change {
        id: ChangeId(Uuid::from_u128(n)),
        author: "test".to_owned(),
        expects: None,
        operation: Operation::PutRegion {
            region: format!("region-{n}").parse().expect("valid"),
        },
    }
}

/// Returns a change that sets the state of one failure domain if its entry still has the revision
/// `expects`.
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

/// Returns the regions and the failure domains in the configuration of a daemon.
fn entries(daemon: &DaemonProcess) -> [serde_json::Value; 2] {
    ["region", "domain"].map(|kind| daemon.ctl_json(&[kind, "list"]))
}

/// Waits until all daemons have the revision in force and checks that their entries are equal.
async fn assert_same_entries(daemons: &[&DaemonProcess], revision: u64) {
    for daemon in daemons {
        daemon.wait_for_revision(revision).await;
        assert_eq!(entries(daemon), entries(daemons[0]));
    }
}

/// Guards against two concurrent edits of one entry that are both reported as accepted.
#[tokio::test]
async fn one_of_two_concurrent_changes_is_accepted() {
    let mesh = Mesh::start("race");
    let first = mesh.start_daemon(EST_A, &[]);
    let second = mesh.start_daemon(EST_B, &[first.peers]);
    first.ctl(&["region", "put", "qc-est"]);
    let mut expects = 0;
    for round in 0..8 {
        let in_service = put_domain(2 * round + 1, expects, DomainState::InService);
        let out_of_service = put_domain(2 * round + 2, expects, DomainState::OutOfService);
        let (via_first, via_second) =
            tokio::join!(first.publish(&in_service), second.publish(&out_of_service));
        let reports = [via_first, via_second].map(|r| r.expect("log store is up"));
        let accepted: Vec<u64> = reports
            .iter()
            .filter_map(|r| r["revision"].as_u64())
            .collect();
        assert_eq!(accepted.len(), 1, "{reports:?}");
        let rejected = |r: &&serde_json::Value| r["verdict"].get("rejected").is_some();
        assert_eq!(reports.iter().filter(rejected).count(), 1, "{reports:?}");
        expects = accepted[0];
        assert_same_entries(&[&first, &second], expects).await;
    }
}

/// Guards against a change that fails or takes effect twice because the response of the log store
/// was lost or late.
#[tokio::test]
async fn changes_take_effect_once_despite_lost_responses() {
    let mesh = Mesh::start("lost-responses");
    let first = mesh.start_daemon(EST_A, &[]);
    let second = mesh.start_daemon(EST_B, &[first.peers]);
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
            let report = first.publish(&change).await.expect("log store is up");
            assert_eq!(report["verdict"], "accepted", "{report}");
            let revision = report["revision"].as_u64().expect("accepted");
            assert!(revision > last, "{report} after {last}");
            last = revision;
        }
    }
    assert_same_entries(&[&first, &second], last).await;
}

/// Guards against a change that takes effect twice, or gets different verdicts, when an operator
/// publishes it through two daemons.
#[tokio::test]
async fn one_change_through_two_daemons_takes_effect_once() {
    let mesh = Mesh::start("same-change");
    let first = mesh.start_daemon(EST_A, &[]);
    let second = mesh.start_daemon(EST_B, &[first.peers]);
    first.ctl(&["region", "put", "qc-est"]);
    for round in 0..8 {
        let state = DomainState::InService;
        let change = Change {
            expects: None,
            ..put_domain(100 + round, 0, state)
        };
        let (via_first, via_second) = tokio::join!(first.publish(&change), second.publish(&change));
        let (via_first, via_second) = (
            via_first.expect("log store is up"),
            via_second.expect("log store is up"),
        );
        assert_eq!(via_first, via_second);
        assert_eq!(via_first["verdict"], "accepted");
        let revision = via_first["revision"].as_u64().expect("accepted");
        assert_same_entries(&[&first, &second], revision).await;
    }
    // `stale` expects an old revision of the entry. A daemon that starts after the change was
    // rejected must return the same report for a retry.
    let stale = put_domain(200, 1, DomainState::OutOfService);
    let rejected = first.publish(&stale).await.expect("log store is up");
    assert!(rejected["verdict"].get("rejected").is_some(), "{rejected}");
    let late = mesh.start_daemon(OUEST_A, &[first.peers]);
    late.wait_for_revision(first.revision()).await;
    let retried = late.publish(&stale).await.expect("log store is up");
    assert_eq!(retried, rejected);
}

/// Guards against one append per change, which would exceed the append rate of the log store in a
/// burst of changes.
#[tokio::test]
async fn waiting_changes_are_appended_in_batches() {
    let mesh = Mesh::start_with("batch", &["--append-rate", "1"]);
    let daemon = mesh.start_daemon(EST_A, &[]);
    mesh.log_store.set_faults(UNRESPONSIVE).await;
    let changes: Vec<Change> = (0..40).map(put_region).collect();
    let calls = changes.iter().map(|c| daemon.publish(c));
    let (reports, ()) = tokio::join!(futures_util::future::join_all(calls), async {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        mesh.log_store.set_faults(NO_FAULTS).await;
    });
    for report in reports {
        let report = report.expect("log store is up again");
        assert_eq!(report["verdict"], "accepted", "{report}");
    }
    // The log store accepts one append per second, and the records of one append have the same
    // timestamp. One append per change would take 40 s and give 40 timestamps.
    let records = mesh.log_store.records("configuration").await;
    let appends: BTreeSet<u64> = records.iter().map(|r| r.at.0).collect();
    assert!(appends.len() <= 10, "{} appends", appends.len());
}

/// Guards against an unbounded number of changes that wait for a log store that does not respond,
/// and against a refusal that does not tell the operator that the change was not published.
#[tokio::test]
async fn changes_beyond_the_limit_are_refused() {
    let mesh = Mesh::start("overload");
    let daemon = mesh.start_daemon(EST_A, &[]);
    mesh.log_store.set_faults(UNRESPONSIVE).await;
    let changes: Vec<Change> = (0..BURST).map(put_region).collect();
    let mut calls: FuturesUnordered<_> = changes.iter().map(|c| daemon.publish(c)).collect();
    // No change is accepted while the log store does not respond, so the first responses are
    // refusals.
    for _ in MAX_IN_FLIGHT..BURST {
        let error = calls.next().await.expect("all calls are answered");
        let error = error.expect_err("log store does not respond");
        assert_eq!(error["data"]["kind"], "overloaded", "{error}");
    }
    mesh.log_store.set_faults(NO_FAULTS).await;
    while let Some(report) = calls.next().await {
        let report = report.expect("log store is up again");
        assert_eq!(report["verdict"], "accepted", "{report}");
    }
}

/// Guards against a daemon that keeps an old configuration forever after a pause in which the log
/// store has removed records that the daemon had not read.
#[tokio::test]
async fn daemon_recovers_after_unread_records_were_removed() {
    let mesh = Mesh::start_with("unread-records", &["--retain-records", "8"]);
    let writer = mesh.start_daemon(EST_A, &[]);
    let paused = mesh.start_daemon(EST_B, &[]);
    writer.ctl(&["region", "put", "first"]);
    paused.wait_for_revision(1).await;
    paused.process.signal("STOP");
    for n in 0..20 {
        let report = writer
            .publish(&put_region(n))
            .await
            .expect("log store is up");
        assert_eq!(report["verdict"], "accepted", "{report}");
    }
    paused.process.signal("CONT");
    assert_same_entries(&[&writer, &paused], writer.revision()).await;
}

/// Guards against daemons that stop reading at a bad record, differ in how they treat it, or do not
/// report it.
#[tokio::test]
async fn bad_records_are_skipped_by_all_daemons_and_reported() {
    let mesh = Mesh::start("bad-records");
    let first = mesh.start_daemon(EST_A, &[]);
    let second = mesh.start_daemon(EST_B, &[first.peers]);
    mesh.log_store.append("not JSON").await;
    mesh.log_store.append(r#"{"v":99,"entry":{}}"#).await;
    let mut unknown = serde_json::json!({ "v": 1, "entry": { "change": put_region(9) } });
    unknown["entry"]["change"]["urgent"] = true.into();
    mesh.log_store.append(unknown.to_string()).await;
    let report = first
        .publish(&put_region(1))
        .await
        .expect("log store is up");
    assert_eq!(report["revision"], 4, "{report}");
    let late = mesh.start_daemon(OUEST_A, &[]);
    assert_same_entries(&[&first, &second, &late], 4).await;
    let bad = |d: &DaemonProcess| d.status()["bad_records"].clone();
    let reasons = bad(&first).to_string();
    for text in ["not JSON", "schema version 99", "unknown field urgent"] {
        assert!(reasons.contains(text), "{text} in {reasons}");
    }
    assert_eq!(bad(&first).as_array().map(Vec::len), Some(3));
    assert_eq!(bad(&first), bad(&second));
    assert_eq!(bad(&first), bad(&late));
}

/// Guards against a daemon that reverts to an older configuration, in particular after a restart.
/// The time until changes are in force is printed and not checked, because it depends on the load
/// of the test machine.
#[tokio::test]
async fn revisions_never_decrease_while_daemons_restart() {
    let mesh = Mesh::start("restarts");
    let stable = mesh.start_daemon(EST_A, &[]);
    let specs = [EST_B, OUEST_A];
    let start = |spec| mesh.start_daemon(spec, &[stable.peers]);
    let mut daemons: Vec<DaemonProcess> = specs.into_iter().map(start).collect();
    for round in 0..6usize {
        let before = stable.revision();
        for daemon in &daemons {
            eventually("daemon has caught up", || async {
                let found = daemon.revision();
                (found >= before).then_some(()).ok_or(format!("{found}"))
            })
            .await;
        }
        let index = round % daemons.len();
        daemons[index].process.signal("KILL");
        let change = put_region(round as u128);
        let report = stable.publish(&change).await.expect("log store is up");
        let revision = report["revision"].as_u64().expect("accepted");
        daemons[index] = start(specs[index]);
        let published = Instant::now();
        let mut last_seen = vec![before; daemons.len()];
        eventually("change in force at all daemons", || {
            for (daemon, last) in daemons.iter().zip(&mut last_seen) {
                let found = daemon.revision();
                // A daemon that has just started has no configuration in force yet.
                if found > 0 {
                    assert!(found >= *last, "revision {found} after {last}");
                    *last = found;
                }
            }
            let is_done = last_seen.iter().all(|last| *last >= revision);
            let state = format!("{last_seen:?}");
            async move { is_done.then_some(()).ok_or(state) }
        })
        .await;
        println!(
            "round {round}: in force everywhere after {:?}",
            published.elapsed()
        );
    }
}
