//! Task that reads the log and hands each page to the catalog.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_logstore::{Error, LogStore};
use cornelvalve_model::Offset;

use super::{CatalogMessage, LogRead, STREAM};

/// Records asked for in one read.
const PAGE_RECORDS: usize = 512;

/// Time for which the log service may hold a read that finds nothing new.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads from `from` on until the catalog is gone or the task is aborted.
///
/// Until the end of the stream is reached, reads do not wait, so that the empty page that marks
/// the end comes at once.
pub(super) async fn follow(
    store: Arc<dyn LogStore>,
    catalog: Mailbox<CatalogMessage>,
    mut from: Offset,
) {
    let mut wait = Duration::ZERO;
    loop {
        let read = match store.read(STREAM, from, PAGE_RECORDS, wait).await {
            Ok(page) => {
                if page.records.is_empty() {
                    wait = POLL_WAIT;
                }
                from = page.next;
                LogRead::Page(page)
            }
            Err(Error::RecordsGone { first_retained }) => {
                from = first_retained;
                LogRead::Gone { first_retained }
            }
            Err(e) => {
                log::debug!("log was not read: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
                LogRead::Failed
            }
        };
        if catalog.send(CatalogMessage::Read(read)).await.is_err() {
            return;
        }
    }
}
