//! Appends the changes that wait together as one group.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_logstore::{Error, LogStore, Result};
use cornelvalve_model::Offset;
use tokio::sync::{mpsc, oneshot};

use crate::catalog::STREAM;

/// Bytes of records in one append, unless a single record is larger.
const MAX_GROUP_BYTES: usize = 1024 * 1024;

/// Pause after a refused append, longer than that of each change, so that all the refused records
/// share the next append.
const REFUSAL_DELAY: Duration = Duration::from_millis(300);

/// Record that waits for the next append.
#[derive(Debug)]
pub(super) struct PendingAppend {
    /// The record.
    pub(super) record: Bytes,
    /// Told before the record leaves; a closed receiver withdraws it.
    pub(super) claim: oneshot::Sender<()>,
    /// Receives the offset of the record.
    pub(super) done: oneshot::Sender<Result<Offset>>,
}

/// Appends records until all senders are gone.
///
/// One append runs at a time; the records that arrive meanwhile share the next one, so that a
/// burst of changes needs few of the appends that the service accepts.
pub(super) async fn run_appender(
    store: Arc<dyn LogStore>,
    mut waiting: mpsc::Receiver<PendingAppend>,
) {
    while let Some(first) = waiting.recv().await {
        let mut group = Group::default();
        group.add(first);
        while group.bytes < MAX_GROUP_BYTES
            && let Ok(next) = waiting.try_recv()
        {
            group.add(next);
        }
        if !group.records.is_empty() {
            let appended = store.append(STREAM, &group.records).await;
            group.finish(&appended);
            if matches!(appended, Err(Error::Unavailable(_))) {
                tokio::time::sleep(REFUSAL_DELAY).await;
            }
        }
    }
}

#[derive(Default)]
struct Group {
    records: Vec<Bytes>,
    done: Vec<oneshot::Sender<Result<Offset>>>,
    bytes: usize,
}

impl Group {
    fn add(&mut self, pending: PendingAppend) {
        if pending.claim.send(()).is_err() {
            return;
        }
        self.bytes += pending.record.len();
        self.records.push(pending.record);
        self.done.push(pending.done);
    }

    fn finish(self, appended: &Result<Offset>) {
        for (index, done) in (0..).zip(self.done) {
            let offset = appended.clone().map(|first| Offset(first.0 + index));
            // A caller that stopped waiting has reported that the outcome is unknown.
            let _ = done.send(offset);
        }
    }
}
