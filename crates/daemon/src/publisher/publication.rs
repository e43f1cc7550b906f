//! Task that publishes one change: appends it to the log and determines its outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_catalog::{
    ChangeRecord, PastVerdict, PublishOutcome, Publisher, PublisherAction, PublisherActions,
    PublisherEvent,
};
use cornelvalve_kernel::Mailbox;
use cornelvalve_logstore::{Error, LogStore, Page, Result};
use cornelvalve_model::{ChangeId, LogEntry, Offset};
use cornelvalve_wire::log::decode_entry;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use super::appender::PendingAppend;
use crate::catalog::{CONFIGURATION_STREAM, CatalogMessage};

/// Pause before an append or a read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Largest number of records in one read of the log.
const PAGE_RECORDS: usize = 512;

/// Task that performs the actions of the state machine [`Publisher`] for one change.
pub(super) struct Publication {
    pub(super) store: Arc<dyn LogStore>,
    pub(super) append_sender: mpsc::Sender<PendingAppend>,
    pub(super) catalog: Mailbox<CatalogMessage>,
    pub(super) id: ChangeId,
    pub(super) record: Bytes,
    pub(super) await_verdict: bool,
    pub(super) deadline: Instant,
}

impl Publication {
    /// Publishes the change and returns its outcome, as far as it is known at the deadline.
    pub(super) async fn run(self) -> PublishOutcome {
        let current = self.catalog.ask(|reply| CatalogMessage::InForce { reply });
        let Ok(catalog) = current.await else {
            return PublishOutcome::NotPublished;
        };
        let mut publisher = Publisher::new(self.id, catalog.next_offset());
        let mut actions = match catalog.verdict_of(self.id) {
            Some(verdict) => publisher.handle_event(PublisherEvent::CatalogVerdict(verdict)),
            None => publisher.start(),
        };
        // While this `Arc` is alive, applying the next change clones the catalog.
        drop(catalog);
        loop {
            // Not reached: the state machine returns one action for each event that it expects.
            let Some(action) = actions.pop() else {
                return PublishOutcome::StillUnknown;
            };
            actions = match action {
                PublisherAction::Finish(outcome) => return outcome,
                PublisherAction::AwaitVerdict { offset } if !self.await_verdict => {
                    return PublishOutcome::Published(offset);
                }
                PublisherAction::Append => self.append(&mut publisher).await,
                action => {
                    let performed = self.perform(&mut publisher, action);
                    match timeout_at(self.deadline, performed).await {
                        Ok(actions) => actions,
                        Err(_) => publisher.handle_event(PublisherEvent::CallerTimedOut),
                    }
                }
            };
        }
    }

    /// Sends the record to the appender and waits for its offset until the deadline.
    async fn append(&self, publisher: &mut Publisher) -> PublisherActions {
        let (claim_sender, mut claim_receiver) = oneshot::channel();
        let (offset_sender, mut offset_receiver) = oneshot::channel();
        let pending = PendingAppend {
            record: self.record.clone(),
            claim_sender,
            offset_sender,
        };
        // The channel has a slot for each change that is being published, so only an appender that
        // has ended refuses the record.
        if self.append_sender.try_send(pending).is_err() {
            return publisher.handle_event(PublisherEvent::AppendFailed);
        }
        match timeout_at(self.deadline, &mut offset_receiver).await {
            Ok(Ok(appended)) => {
                if let Ok(offset) = &appended
                    && *offset < publisher.search_start()
                {
                    log::error!(
                        offset = offset.0, applied = publisher.search_start().0;
                        "the log has lost records: it gives an offset out again that is applied \
                         already; the configuration stays as it is and follows the log again after \
                         a restart of all daemons"
                    );
                }
                return publisher.handle_event(append_event(&appended));
            }
            Ok(Err(_)) => return publisher.handle_event(PublisherEvent::AppendOutcomeUnknown),
            Err(_) => {}
        }
        // After `close` the appender cannot claim the record any more. Without a claim, the record
        // was certainly not sent.
        claim_receiver.close();
        if claim_receiver.try_recv().is_err() {
            // Marks the append as without effect, so that `CallerTimedOut` results in
            // `NotPublished` instead of `StillUnknown`. The returned actions are dropped, because
            // the deadline is reached and nothing is retried.
            publisher.handle_event(PublisherEvent::AppendFailed);
        }
        publisher.handle_event(PublisherEvent::CallerTimedOut)
    }

    /// Performs an action other than [`PublisherAction::Append`] and returns the actions that
    /// follow.
    async fn perform(
        &self,
        publisher: &mut Publisher,
        action: PublisherAction,
    ) -> PublisherActions {
        match action {
            PublisherAction::Read { from } => {
                let read = self
                    .store
                    .read(CONFIGURATION_STREAM, from, PAGE_RECORDS, Duration::ZERO)
                    .await;
                handle_read(publisher, read)
            }
            PublisherAction::WaitBeforeRetry => {
                tokio::time::sleep(RETRY_DELAY).await;
                publisher.handle_event(PublisherEvent::RetryDue)
            }
            PublisherAction::AwaitVerdict { offset } | PublisherAction::AskCatalog { offset } => {
                match self.verdict(offset).await {
                    Some(verdict) => {
                        publisher.handle_event(PublisherEvent::CatalogVerdict(&verdict))
                    }
                    None => publisher.handle_event(PublisherEvent::CallerTimedOut),
                }
            }
            // `run` handles these two itself.
            PublisherAction::Append | PublisherAction::Finish(_) => PublisherActions::new(),
        }
    }

    /// Waits until the catalog has applied the record at `offset` and returns its verdict on the
    /// change; returns `None` if the catalog service is down.
    async fn verdict(&self, offset: Offset) -> Option<PastVerdict> {
        let id = self.id;
        let asked = self
            .catalog
            .ask(|reply| CatalogMessage::Verdict { id, offset, reply });
        asked.await.ok()
    }
}

/// Converts the result of an append to an event of the state machine.
fn append_event(appended: &Result<Offset>) -> PublisherEvent<'static> {
    match appended {
        Ok(offset) => PublisherEvent::Appended { offset: *offset },
        Err(Error::Unavailable(_)) => PublisherEvent::AppendFailed,
        Err(_) => PublisherEvent::AppendOutcomeUnknown,
    }
}

/// Reports the result of a read to the state machine and returns the actions that follow.
fn handle_read(publisher: &mut Publisher, read: Result<Page>) -> PublisherActions {
    match read {
        Ok(page) => {
            let changes = change_records(&page);
            publisher.handle_event(PublisherEvent::Read {
                changes: &changes,
                next: page.next,
                // Only an empty page marks the end; the log store also limits pages by size.
                at_end: page.records.is_empty(),
            })
        }
        Err(Error::RecordsGone { first_retained }) => {
            publisher.handle_event(PublisherEvent::RecordsGone { first_retained })
        }
        Err(_) => publisher.handle_event(PublisherEvent::ReadFailed),
    }
}

/// Returns the changes in a page; snapshots and records that cannot be decoded are left out.
fn change_records(page: &Page) -> Vec<ChangeRecord> {
    let entries = page
        .records
        .iter()
        .filter_map(|r| Some((r.offset, decode_entry(&r.data).ok()?)));
    entries
        .filter_map(|(offset, entry)| match entry {
            LogEntry::Change(change) => Some(ChangeRecord {
                offset,
                id: change.id,
            }),
            LogEntry::Snapshot(_) => None,
        })
        .collect()
}
