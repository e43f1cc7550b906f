//! Publisher service: appends configuration changes to the log and finds out what became of them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_catalog::{Action, Actions, Event, PublishOutcome, Publisher, SeenChange};
use cornelvalve_kernel::{Context, Mailbox, Reply, ServiceResult};
use cornelvalve_logstore::{Error, LogStore, Page};
use cornelvalve_model::{Change, ChangeId, LogEntry, Offset};
use cornelvalve_wire::log::{decode_entry, encode_entry};
use tokio::time::Instant;

use crate::catalog::{CatalogMessage, STREAM};
use crate::names::CATALOG;

/// Pause before an append or a read is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Records read at once in the search for a change.
const PAGE_RECORDS: usize = 512;

/// Messages to the publisher.
#[derive(Debug)]
pub(crate) enum PublisherMessage {
    /// Publishes a change.
    Publish {
        /// The change.
        change: Box<Change>,
        /// Whether to wait for the verdict after the append.
        wait_for_verdict: bool,
        /// Time after which the outcome so far is reported.
        timeout: Duration,
        /// Receives the outcome.
        reply: Reply<PublishOutcome>,
    },
}

/// Runs the publisher service.
pub(crate) async fn run_publisher(
    mut context: Context<PublisherMessage>,
    store: Arc<dyn LogStore>,
) -> ServiceResult {
    let catalog = context.registry.mailbox(CATALOG)?;
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        let Some(PublisherMessage::Publish {
            change,
            wait_for_verdict,
            timeout,
            reply,
        }) = message
        else {
            return Ok(());
        };
        let publication = Publication {
            store: Arc::clone(&store),
            catalog: catalog.clone(),
            id: change.id,
            wait_for_verdict,
            deadline: Instant::now() + timeout,
        };
        // Each change has a task of its own, so that a slow log does not delay the next one.
        tokio::spawn(async move { reply.send(publication.run(*change).await) });
    }
}

/// One change on its way into the log.
struct Publication {
    store: Arc<dyn LogStore>,
    catalog: Mailbox<CatalogMessage>,
    id: ChangeId,
    wait_for_verdict: bool,
    deadline: Instant,
}

impl Publication {
    async fn run(self, change: Change) -> PublishOutcome {
        let Ok(record) = encode_entry(&LogEntry::Change(change)) else {
            return PublishOutcome::NotPublished;
        };
        let record = Bytes::from(record);
        let Ok(catalog) = self
            .catalog
            .ask(|reply| CatalogMessage::Current { reply })
            .await
        else {
            return PublishOutcome::NotPublished;
        };
        let mut publisher = Publisher::new(self.id, catalog.next_offset());
        let mut actions = match catalog.verdict_of(self.id) {
            Some(verdict) => publisher.on(Event::Applied(verdict)),
            None => publisher.start(),
        };
        loop {
            let Some(action) = actions.pop() else {
                return PublishOutcome::StillUnknown;
            };
            actions = match action {
                Action::Finish(outcome) => return outcome,
                Action::AwaitVerdict { offset } if !self.wait_for_verdict => {
                    return PublishOutcome::Published(offset);
                }
                action => self.carry_out(&mut publisher, action, &record).await,
            };
        }
    }

    async fn carry_out(
        &self,
        publisher: &mut Publisher,
        action: Action,
        record: &Bytes,
    ) -> Actions {
        let step = self.step(publisher, action, record);
        match tokio::time::timeout_at(self.deadline, step).await {
            Ok(actions) => actions,
            Err(_) => publisher.on(Event::Expired),
        }
    }

    async fn step(&self, publisher: &mut Publisher, action: Action, record: &Bytes) -> Actions {
        match action {
            Action::Append => {
                let appended = self
                    .store
                    .append(STREAM, std::slice::from_ref(record))
                    .await;
                publisher.on(append_event(&appended))
            }
            Action::Read { from } => {
                let read = self
                    .store
                    .read(STREAM, from, PAGE_RECORDS, Duration::ZERO)
                    .await;
                on_read(publisher, read)
            }
            Action::WaitBeforeRetry => {
                tokio::time::sleep(RETRY_DELAY).await;
                publisher.on(Event::RetryDue)
            }
            Action::AwaitVerdict { offset } => {
                let id = self.id;
                let asked = self
                    .catalog
                    .ask(|reply| CatalogMessage::Verdict { id, offset, reply });
                match asked.await {
                    Ok(verdict) => publisher.on(Event::Applied(&verdict)),
                    Err(_) => publisher.on(Event::Expired),
                }
            }
            Action::Finish(_) => Actions::new(),
        }
    }
}

fn append_event(appended: &cornelvalve_logstore::Result<Offset>) -> Event<'static> {
    match appended {
        Ok(offset) => Event::Appended { offset: *offset },
        Err(Error::Unavailable(_)) => Event::AppendRefused,
        Err(_) => Event::AppendUnknown,
    }
}

fn on_read(publisher: &mut Publisher, read: cornelvalve_logstore::Result<Page>) -> Actions {
    match read {
        Ok(page) => {
            let changes = seen_changes(&page);
            publisher.on(Event::Read {
                changes: &changes,
                next: page.next,
                at_end: page.records.len() < PAGE_RECORDS,
            })
        }
        Err(Error::OffsetGone { first_retained }) => {
            publisher.on(Event::ReadGone { first_retained })
        }
        Err(_) => publisher.on(Event::ReadFailed),
    }
}

fn seen_changes(page: &Page) -> Vec<SeenChange> {
    let entries = page
        .records
        .iter()
        .filter_map(|r| Some((r.offset, decode_entry(&r.data).ok()?)));
    entries
        .filter_map(|(offset, entry)| match entry {
            LogEntry::Change(change) => Some(SeenChange {
                offset,
                id: change.id,
            }),
            LogEntry::Snapshot(_) => None,
        })
        .collect()
}
