//! Writing snapshots to the log.

use std::sync::Arc;

use bytes::Bytes;
use cornelvalve_catalog::Catalog;
use cornelvalve_logstore::LogStore;
use cornelvalve_model::LogEntry;
use cornelvalve_wire::log::encode_entry;

use super::STREAM;

/// Appends a snapshot of the applied configuration, once.
///
/// A failure needs no repeat: the schedule notices that the snapshot is still missing.
pub(super) async fn write_snapshot(store: Arc<dyn LogStore>, catalog: Arc<Catalog>) {
    let covers = catalog.next_offset();
    let record = match encode_entry(&LogEntry::Snapshot(catalog.snapshot())) {
        Ok(record) => Bytes::from(record),
        Err(e) => {
            log::error!("configuration does not fit into a snapshot, remove entries: {e}");
            return;
        }
    };
    drop(catalog);
    let size = record.len();
    match store.append(STREAM, &[record]).await {
        Ok(offset) => {
            log::info!(offset = offset.0, covers = covers.0, bytes = size; "snapshot written")
        }
        Err(e) => log::warn!("snapshot was not written and will be tried again: {e}"),
    }
}
