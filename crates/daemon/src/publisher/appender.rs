//! Task that appends the records of several changes to the log in one batch.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_logstore::{Error, LogStore, Result};
use cornelvalve_model::Offset;
use tokio::sync::{mpsc, oneshot};

use crate::catalog::CONFIGURATION_STREAM;

/// Size in bytes at which a batch is complete. The last record may exceed it.
const BATCH_TARGET_BYTES: usize = 1024 * 1024;

/// Pause after an append that the log store refused.
///
/// It is longer than the pause of each change before its retry (`RETRY_DELAY` in `publication`), so
/// that all refused records are resubmitted before the next batch is sent.
const REFUSAL_DELAY: Duration = Duration::from_millis(300);

/// Record that waits for the next append.
///
/// The appender claims a record immediately before it sends it to the log store. Until then, the
/// task of the change can withdraw the record and knows for certain that it was not appended.
#[derive(Debug)]
pub(super) struct PendingAppend {
    /// The encoded record.
    pub(super) record: Bytes,
    /// Notified when the appender claims the record. If the receiver is closed, the record is
    /// withdrawn and not sent.
    pub(super) claim_sender: oneshot::Sender<()>,
    /// Receives the offset of the record, or the error of the append.
    pub(super) offset_sender: oneshot::Sender<Result<Offset>>,
}

/// Appends records until all senders are dropped.
///
/// One append runs at a time, and the records that arrive meanwhile form the next batch. A burst of
/// changes therefore needs few appends, of which the log store accepts a limited number per second.
pub(super) async fn run_appender(
    store: Arc<dyn LogStore>,
    mut pending: mpsc::Receiver<PendingAppend>,
) {
    while let Some(first) = pending.recv().await {
        let mut batch = Batch::default();
        batch.add(first);
        while batch.bytes < BATCH_TARGET_BYTES
            && let Ok(next) = pending.try_recv()
        {
            batch.add(next);
        }
        if !batch.records.is_empty() {
            let appended = store.append(CONFIGURATION_STREAM, &batch.records).await;
            batch.finish(&appended);
            if matches!(appended, Err(Error::Unavailable(_))) {
                tokio::time::sleep(REFUSAL_DELAY).await;
            }
        }
    }
}

/// Records of one append, with the channels to report their offsets.
#[derive(Default)]
struct Batch {
    records: Vec<Bytes>,
    offset_senders: Vec<oneshot::Sender<Result<Offset>>>,
    bytes: usize,
}

impl Batch {
    /// Adds a record unless it was withdrawn.
    fn add(&mut self, append: PendingAppend) {
        if append.claim_sender.send(()).is_err() {
            return;
        }
        self.bytes += append.record.len();
        self.records.push(append.record);
        self.offset_senders.push(append.offset_sender);
    }

    /// Reports the result of the append, which holds the offset of the first record.
    fn finish(self, appended: &Result<Offset>) {
        for (index, offset_sender) in (0..).zip(self.offset_senders) {
            let offset = appended.clone().map(|first| Offset(first.0 + index));
            // If the receiver is gone, the change was reported with an unknown outcome.
            let _ = offset_sender.send(offset);
        }
    }
}
