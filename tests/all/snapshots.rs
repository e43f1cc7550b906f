//! Tests how daemons obtain their configuration from snapshots in the log store and from peers.

use cornelvalve_catalog::Catalog;
use cornelvalve_model::{Change, ChangeId, LogEntry, Offset, Operation, Revision, Snapshot};
use cornelvalve_standins::LogFaults;
use cornelvalve_wire::log::encode_entry;

use crate::support::{DaemonProcess, Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Makes all calls to the log store fail.
const DOWN: LogFaults = LogFaults {
    down: true,
    delay_ms: 0,
    lose_answers: 0,
    lose_by: cornelvalve_standins::LoseBy::Drop,
    freeze: false,
};

/// Returns a change with the id `n` that adds the region `region-n`.
fn put_region(n: u128) -> LogEntry {
    LogEntry::Change(Change {
        id: ChangeId(uuid::Uuid::from_u128(n)),
        author: "test".to_owned(),
        expects: None,
        operation: Operation::PutRegion {
            region: format!("region-{n}").parse().expect("valid"),
        },
    })
}

/// Returns the snapshot of a log that consists of the given number of changes.
fn snapshot(changes: u64) -> Snapshot {
    let mut catalog = Catalog::new();
    for offset in 0..changes {
        catalog.apply(Offset(offset), Ok(&put_region(offset.into())));
    }
    catalog.snapshot()
}

/// Appends the change of [`put_region`] to the log store and returns its offset.
async fn append_change(mesh: &Mesh, n: u128) -> Offset {
    let record = encode_entry(&put_region(n)).expect("change is small");
    mesh.log_store.append(record).await
}

/// Sends a request that must be refused and returns the reason as JSON.
async fn refusal_reason(daemon: &DaemonProcess) -> String {
    let get = request("GET", "estimateur.test", "/", &[], "");
    let response = send(daemon.callers, get).await.expect("daemon responds");
    assert!(!response.status.is_success(), "{response:?}");
    response.json()["reason"].to_string()
}

/// Waits until the daemon has logged `times` lines about records that were removed before it read
/// them.
async fn wait_for_removed_records(mesh: &Mesh, spec: VmSpec, times: usize) {
    eventually("log lines about removed records", || async {
        let text = std::fs::read_to_string(mesh.log_file(spec)).map_err(|e| e.to_string())?;
        match text.matches("are gone; waiting for a snapshot").count() {
            found if found >= times => Ok(()),
            found => Err(format!("{found} log lines")),
        }
    })
    .await;
}

/// Guards against a new daemon that puts an old snapshot in force although the log store has
/// removed records after it, which would revert the configuration.
#[tokio::test]
async fn old_snapshot_before_removed_records_is_not_put_in_force() {
    let mesh = Mesh::start_with("old-snapshot", &["--retain-records", "3"]);
    for n in 0..4 {
        append_change(&mesh, n).await;
    }
    mesh.log_store.append_snapshot(snapshot(1)).await;
    append_change(&mesh, 5).await;
    // Offsets 0 to 3 are changes, offset 4 is the snapshot, which includes offset 0 only, and
    // offset 5 is a change. The log store retains offsets 3 to 5.
    let daemon = mesh.start_daemon(EST_A, &[]);
    // The second line shows that the daemon has continued after the first one, and that the
    // snapshot did not make up for the removed records.
    wait_for_removed_records(&mesh, EST_A, 2).await;
    for _ in 0..10 {
        assert_eq!(daemon.status()["revision"], serde_json::Value::Null);
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(refusal_reason(&daemon).await, r#""no-configuration""#);

    let mut complete = snapshot(4);
    // `covers` is the first offset that a snapshot does not include.
    complete.covers = Offset(6);
    complete.revision = Revision(6);
    mesh.log_store.append_snapshot(complete).await;
    let first = eventually("configuration in force", || async {
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

/// Guards against missing snapshots: each record must be included in a snapshot before the log
/// store removes it.
#[tokio::test]
async fn snapshots_cover_records_before_they_are_removed() {
    let mesh = Mesh::start_with("retention", &["--retain-records", "12"]);
    let writer = mesh.start_daemon(EST_A, &[]);
    for n in 0..30 {
        writer.ctl(&["region", "put", &format!("region-{n}")]);
    }
    let revision = writer.revision();
    eventually("snapshot that includes the removed records", || async {
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

/// Guards against an old snapshot, appended late by a daemon that was paused, that reverts changes
/// accepted in the meantime.
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

/// Guards against a daemon that cannot start while the log store is down although a peer has the
/// configuration, and against one that serves requests without a configuration.
#[tokio::test]
async fn daemon_starts_from_a_peer_while_the_log_store_is_down() {
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
    // The peer may respond before the first read of the log store has failed.
    eventually("failed read of the log store", || async {
        let state = fresh.status()["log_store"].clone();
        assert_ne!(state, "reachable", "the log store is down");
        (state == "unreachable")
            .then_some(())
            .ok_or(state.to_string())
    })
    .await;
    assert_eq!(refusal_reason(&fresh).await, r#""unknown-service""#);
    assert_eq!(alone.status()["revision"], serde_json::Value::Null);
    assert_eq!(refusal_reason(&alone).await, r#""no-configuration""#);

    mesh.log_store.set_faults(LogFaults::default()).await;
    alone.wait_for_revision(revision).await;
}

/// Guards against a daemon that cannot read removed records and waits for a snapshot that no daemon
/// writes, although a peer has the configuration.
#[tokio::test]
async fn removed_records_are_replaced_by_the_configuration_of_a_peer() {
    // Both log stores get the same changes, but the second one retains only the last.
    let complete = Mesh::start("removed-peer");
    let truncated = Mesh::start_with("removed-truncated", &["--retain-records", "1"]);
    for n in 0..4 {
        append_change(&complete, n).await;
        append_change(&truncated, n).await;
    }
    let peer = complete.start_daemon(EST_A, &[]);
    peer.wait_for_revision(4).await;
    let daemon = truncated.start_daemon(EST_B, &[peer.peers]);
    daemon.wait_for_revision(4).await;
    assert_eq!(
        daemon.ctl_json(&["region", "list"]),
        peer.ctl_json(&["region", "list"])
    );
    // The daemon continues with the records after the removed ones.
    append_change(&truncated, 4).await;
    daemon.wait_for_revision(5).await;
}
