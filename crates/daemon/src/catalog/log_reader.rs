//! Task that reads the configuration stream of the log and sends each page to the catalog service.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_logstore::{Error, LogStore};
use cornelvalve_model::Offset;

use super::{CONFIGURATION_STREAM, CatalogMessage, LogRead};

/// Largest number of records in one read.
const PAGE_RECORDS: usize = 512;

/// Time for which the log store may hold a read while no new record arrives.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads records, starting at `from`, until the catalog service stops or the task is aborted.
///
/// Reads do not wait for new records until the end of the stream is reached, so that the empty
/// page that marks the end arrives without delay.
pub(super) async fn run_log_reader(
    store: Arc<dyn LogStore>,
    catalog: Mailbox<CatalogMessage>,
    mut from: Offset,
) {
    let mut wait = Duration::ZERO;
    loop {
        let read = match store
            .read(CONFIGURATION_STREAM, from, PAGE_RECORDS, wait)
            .await
        {
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
                log::debug!("reading the configuration log failed: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
                LogRead::Failed
            }
        };
        if catalog
            .send(CatalogMessage::LogReadFinished(read))
            .await
            .is_err()
        {
            return;
        }
    }
}
