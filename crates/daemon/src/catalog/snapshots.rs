//! Writes snapshots of the configuration to the log.

use std::sync::Arc;

use bytes::Bytes;
use cornelvalve_catalog::Catalog;
use cornelvalve_logstore::LogStore;
use cornelvalve_model::LogEntry;
use cornelvalve_wire::log::encode_entry;

use super::CONFIGURATION_STREAM;

/// Appends a snapshot of the applied configuration to the log.
///
/// A failed append is not retried here: if no snapshot is read back from the log, the snapshot
/// schedule lets a later tick write another one.
pub(super) async fn write_snapshot(store: Arc<dyn LogStore>, catalog: Arc<Catalog>) {
    let covers = catalog.next_offset();
    let record = match encode_entry(&LogEntry::Snapshot(catalog.snapshot())) {
        Ok(record) => Bytes::from(record),
        Err(e) => {
            log::error!(
                "configuration cannot be encoded as a snapshot; remove entries to reduce its size: \
                 {e}"
            );
            return;
        }
    };
    // While this `Arc` is alive, applying the next change clones the catalog.
    drop(catalog);
    let size = record.len();
    match store.append(CONFIGURATION_STREAM, &[record]).await {
        Ok(offset) => {
            log::info!(offset = offset.0, covers = covers.0, bytes = size; "snapshot written")
        }
        Err(e) => log::warn!("writing a snapshot failed; another one will be written later: {e}"),
    }
}
