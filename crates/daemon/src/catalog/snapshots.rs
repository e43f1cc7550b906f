//! Writes snapshots of the configuration to the log.

use std::sync::Arc;

use bytes::Bytes;
use cornelvalve_catalog::Catalog;
use cornelvalve_logstore::LogStore;
use cornelvalve_model::LogEntry;
use cornelvalve_wire::log::encode_entry;

use super::STREAM;

/// Appends a snapshot of the applied configuration to the log.
///
/// A failed append is not retried here: the snapshot schedule makes another one due if no snapshot
/// is read from the log.
pub(super) async fn write_snapshot(store: Arc<dyn LogStore>, catalog: Arc<Catalog>) {
    let covers = catalog.next_offset();
    let record = match encode_entry(&LogEntry::Snapshot(catalog.snapshot())) {
        Ok(record) => Bytes::from(record),
        Err(e) => {
            log::error!("configuration is too large for a snapshot; remove entries: {e}");
            return;
        }
    };
    // A shared catalog would have to be copied when the next change is applied.
    drop(catalog);
    let size = record.len();
    match store.append(STREAM, &[record]).await {
        Ok(offset) => {
            log::info!(offset = offset.0, covers = covers.0, bytes = size; "snapshot written")
        }
        Err(e) => log::warn!("writing a snapshot failed and will be retried: {e}"),
    }
}
