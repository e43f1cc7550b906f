//! One change on its way into the log.

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
use crate::catalog::{CatalogMessage, STREAM};

/// Pause before an append or a read is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Records read at once in the search for a change.
const PAGE_RECORDS: usize = 512;

/// Task that drives the state machine of one change.
pub(super) struct Publication {
    pub(super) store: Arc<dyn LogStore>,
    pub(super) appends: mpsc::Sender<PendingAppend>,
    pub(super) catalog: Mailbox<CatalogMessage>,
    pub(super) id: ChangeId,
    pub(super) record: Bytes,
    pub(super) await_verdict: bool,
    pub(super) deadline: Instant,
}

impl Publication {
    /// Publishes the change and returns what is known about it when the time is over.
    pub(super) async fn run(self) -> PublishOutcome {
        let current = self.catalog.ask(|reply| CatalogMessage::Current { reply });
        let Ok(catalog) = current.await else {
            return PublishOutcome::NotPublished;
        };
        let mut publisher = Publisher::new(self.id, catalog.next_offset());
        let mut actions = match catalog.verdict_of(self.id) {
            Some(verdict) => publisher.handle_event(PublisherEvent::CatalogVerdict(verdict)),
            None => publisher.start(),
        };
        // Holding it would make the catalog copy itself on the next change.
        drop(catalog);
        loop {
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
                    let step = self.step(&mut publisher, action);
                    match timeout_at(self.deadline, step).await {
                        Ok(actions) => actions,
                        Err(_) => publisher.handle_event(PublisherEvent::CallerTimedOut),
                    }
                }
            };
        }
    }

    /// Hands the record to the appender and waits for its offset.
    async fn append(&self, publisher: &mut Publisher) -> PublisherActions {
        let (claim, mut claimed) = oneshot::channel();
        let (done, mut appended) = oneshot::channel();
        let pending = PendingAppend {
            record: self.record.clone(),
            claim,
            done,
        };
        // The channel has room for all changes in flight.
        if self.appends.try_send(pending).is_err() {
            return publisher.handle_event(PublisherEvent::AppendFailed);
        }
        match timeout_at(self.deadline, &mut appended).await {
            Ok(Ok(appended)) => return publisher.handle_event(append_event(&appended)),
            Ok(Err(_)) => return publisher.handle_event(PublisherEvent::AppendOutcomeUnknown),
            Err(_) => {}
        }
        // After `close` the appender can no longer take the record.
        claimed.close();
        if claimed.try_recv().is_err() {
            publisher.handle_event(PublisherEvent::AppendFailed);
        }
        publisher.handle_event(PublisherEvent::CallerTimedOut)
    }

    async fn step(&self, publisher: &mut Publisher, action: PublisherAction) -> PublisherActions {
        match action {
            PublisherAction::Read { from } => {
                let read = self
                    .store
                    .read(STREAM, from, PAGE_RECORDS, Duration::ZERO)
                    .await;
                on_read(publisher, read)
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
            PublisherAction::Append | PublisherAction::Finish(_) => PublisherActions::new(),
        }
    }

    async fn verdict(&self, offset: Offset) -> Option<PastVerdict> {
        let id = self.id;
        let asked = self
            .catalog
            .ask(|reply| CatalogMessage::Verdict { id, offset, reply });
        asked.await.ok()
    }
}

fn append_event(appended: &Result<Offset>) -> PublisherEvent<'static> {
    match appended {
        Ok(offset) => PublisherEvent::Appended { offset: *offset },
        Err(Error::Unavailable(_)) => PublisherEvent::AppendFailed,
        Err(_) => PublisherEvent::AppendOutcomeUnknown,
    }
}

fn on_read(publisher: &mut Publisher, read: Result<Page>) -> PublisherActions {
    match read {
        Ok(page) => {
            let changes = change_records(&page);
            publisher.handle_event(PublisherEvent::Read {
                changes: &changes,
                next: page.next,
                // A short page may only be limited by its size.
                at_end: page.records.is_empty(),
            })
        }
        Err(Error::RecordsGone { first_retained }) => {
            publisher.handle_event(PublisherEvent::RecordsGone { first_retained })
        }
        Err(_) => publisher.handle_event(PublisherEvent::ReadFailed),
    }
}

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
