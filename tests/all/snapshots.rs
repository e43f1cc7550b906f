//! Start of daemons from snapshots, from peers and without either.

use cornelvalve_catalog::Catalog;
use cornelvalve_model::{Change, ChangeId, LogEntry, Offset, Operation, Revision, Snapshot};
use cornelvalve_standins::LogFaults;
use cornelvalve_wire::log::encode_entry;

use crate::support::{DaemonProcess, Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

const DOWN: LogFaults = LogFaults {
    down: true,
    delay_ms: 0,
    lose_answers: 0,
    lose_by: cornelvalve_standins::LoseBy::Drop,
    freeze: false,
};

/// Returns the change that puts a region of its own.
fn change(n: u128) -> LogEntry {
    LogEntry::Change(Change {
        id: ChangeId(uuid::Uuid::from_u128(n)),
        author: "test".to_owned(),
        expects: None,
        operation: Operation::PutRegion {
            region: format!("region-{n}").parse().expect("valid"),
        },
    })
}

/// Returns the snapshot of a log that starts with so many changes.
fn snapshot(changes: u64) -> Snapshot {
    let mut catalog = Catalog::new();
    for offset in 0..changes {
        catalog.apply(Offset(offset), Ok(&change(offset.into())));
    }
    catalog.snapshot()
}

async fn append_change(mesh: &Mesh, n: u128) -> Offset {
    let record = encode_entry(&change(n)).expect("change is small");
    mesh.log_store.append(record).await
}

async fn refusal(daemon: &DaemonProcess) -> String {
    let get = request("GET", "estimateur.test", "/", &[], "");
    let response = send(daemon.callers, get).await.expect("daemon answers");
    assert!(!response.status.is_success(), "{response:?}");
    response.json()["reason"].to_string()
}

/// Waits until the daemon has reported so often that records are gone.
async fn wait_for_gap(mesh: &Mesh, spec: VmSpec, times: usize) {
    eventually("gap", || async {
        let text = std::fs::read_to_string(mesh.log_file(spec)).map_err(|e| e.to_string())?;
        match text.matches("are gone; waiting for a snapshot").count() {
            found if found >= times => Ok(()),
            found => Err(format!("{found} gaps reported")),
        }
    })
    .await;
}

/// Guards against a fresh daemon that serves by the state of an old snapshot although later
/// records are gone, so that a configuration reverts.
#[tokio::test]
async fn old_snapshot_before_a_gap_is_not_put_in_force() {
    let mesh = Mesh::start_with("old-snapshot", &["--retain-records", "3"]);
    for n in 0..4 {
        append_change(&mesh, n).await;
    }
    mesh.log_store.append_snapshot(snapshot(1)).await;
    append_change(&mesh, 5).await;
    // Retained are the change at 3, the snapshot of offset 0 only and the change at 5.
    let daemon = mesh.start_daemon(EST_A, &[]);
    wait_for_gap(&mesh, EST_A, 2).await;
    for _ in 0..10 {
        assert_eq!(daemon.status()["revision"], serde_json::Value::Null);
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(refusal(&daemon).await, r#""no-configuration""#);

    let mut whole = snapshot(4);
    whole.covers = Offset(6);
    whole.revision = Revision(6);
    mesh.log_store.append_snapshot(whole).await;
    let first = eventually("configuration", || async {
        match daemon.revision() {
            0 => Err("no configuration".to_owned()),
            revision => Ok(revision),
        }
    })
    .await;
    assert_eq!(
        first, 6,
        "the first configuration in force is the complete one"
    );
}

/// Guards against records that retention removes before a snapshot covers them.
#[tokio::test]
async fn snapshots_replace_records_before_they_are_gone() {
    let mesh = Mesh::start_with("retention", &["--retain-records", "12"]);
    let writer = mesh.start_daemon(EST_A, &[]);
    for n in 0..30 {
        writer.ctl(&["region", "put", &format!("region-{n}")]);
    }
    let revision = writer.revision();
    eventually("snapshot", || async {
        let first = mesh.log_store.records("configuration").await[0].offset;
        let snapshots = mesh.log_store.snapshots().await;
        match snapshots.iter().any(|(_, s)| s.covers >= first) {
            true => Ok(()),
            false => Err(format!("{} snapshots from {first} on", snapshots.len())),
        }
    })
    .await;
    let fresh = mesh.start_daemon(EST_B, &[]);
    fresh.wait_for_revision(revision).await;
    assert_eq!(
        fresh.ctl_json(&["region", "list"]),
        writer.ctl_json(&["region", "list"])
    );
}

/// Guards against a snapshot of a paused writer that takes back what was accepted since.
#[tokio::test]
async fn stale_snapshot_changes_nothing() {
    let mesh = Mesh::start("stale-snapshot");
    let daemon = mesh.start_daemon(EST_A, &[]);
    for n in 0..4 {
        append_change(&mesh, n).await;
    }
    daemon.wait_for_revision(4).await;
    let before = daemon.ctl_json(&["region", "list"]);
    mesh.log_store.append_snapshot(snapshot(2)).await;
    eventually("snapshot is read", || async {
        match daemon.status()["next_offset"].as_u64() {
            Some(5) => Ok(()),
            other => Err(format!("next offset {other:?}")),
        }
    })
    .await;
    assert_eq!(daemon.revision(), 4);
    assert_eq!(daemon.ctl_json(&["region", "list"]), before);
    let fresh = mesh.start_daemon(EST_B, &[]);
    fresh.wait_for_revision(4).await;
    assert_eq!(fresh.ctl_json(&["region", "list"]), before);
}

/// Guards against a daemon that cannot start while the log is down, and against one that serves
/// without any configuration.
#[tokio::test]
async fn daemon_starts_from_a_peer_while_the_log_is_down() {
    let mesh = Mesh::start("log-down");
    let old = mesh.start_daemon(EST_A, &[]);
    old.ctl(&["region", "put", "qc-est"]);
    let revision = old.revision();
    mesh.log_store.set_faults(DOWN).await;
    let alone = mesh.start_daemon(
        VmSpec {
            vm: "est-a-9",
            ..EST_A
        },
        &[],
    );
    let fresh = mesh.start_daemon(EST_B, &[old.peers]);
    fresh.wait_for_revision(revision).await;
    // The peer may answer before the first read of the log has failed.
    eventually("failed read of the log", || async {
        let state = fresh.status()["log_store"].clone();
        assert_ne!(state, "reachable", "the log is down");
        (state == "unreachable")
            .then_some(())
            .ok_or(state.to_string())
    })
    .await;
    assert_eq!(refusal(&fresh).await, r#""unknown-service""#);
    assert_eq!(alone.status()["revision"], serde_json::Value::Null);
    assert_eq!(refusal(&alone).await, r#""no-configuration""#);

    mesh.log_store.set_faults(LogFaults::default()).await;
    alone.wait_for_revision(revision).await;
}

/// Guards against a daemon that waits for a snapshot which nobody writes, although a peer has the
/// configuration.
#[tokio::test]
async fn gap_without_snapshot_is_filled_by_a_peer() {
    // The logs hold the same changes, but the second has lost the first ones.
    let whole = Mesh::start("gap-peer");
    let torn = Mesh::start_with("gap-torn", &["--retain-records", "1"]);
    for n in 0..4 {
        append_change(&whole, n).await;
        append_change(&torn, n).await;
    }
    let peer = whole.start_daemon(EST_A, &[]);
    peer.wait_for_revision(4).await;
    let daemon = torn.start_daemon(EST_B, &[peer.peers]);
    daemon.wait_for_revision(4).await;
    assert_eq!(
        daemon.ctl_json(&["region", "list"]),
        peer.ctl_json(&["region", "list"])
    );
    // It reads on behind the gap.
    append_change(&torn, 4).await;
    daemon.wait_for_revision(5).await;
}
