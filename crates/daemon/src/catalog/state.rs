//! State of the catalog service.

use std::sync::Arc;

use cornelvalve_api::{Event, LogStoreState, PeerRecords};
use cornelvalve_catalog::{Catalog, PastVerdict, Verdict};
use cornelvalve_kernel::{Mailbox, Reply};
use cornelvalve_logstore::{LogStore, Page, Record};
use cornelvalve_model::{ChangeId, LogEntry, Offset, Revision};
use cornelvalve_wire::log::decode_entry;
use tokio::task::JoinHandle;

use super::follower::follow;
use super::pulls::{hand_over, pull_from};
use super::recent::RecentRecords;
use super::{CatalogMessage, LogRead};
use crate::budget::BudgetMessage;
use crate::guard::GuardMessage;
use crate::membership::{MembershipMessage, PeerAddress};
use crate::router::RouterMessage;
use crate::timeline::{self, TimelineMessage};

/// Services that the catalog talks to.
#[derive(Clone)]
pub(super) struct Outbound {
    pub(super) own: Mailbox<CatalogMessage>,
    pub(super) guard: Mailbox<GuardMessage>,
    pub(super) router: Mailbox<RouterMessage>,
    pub(super) membership: Mailbox<MembershipMessage>,
    pub(super) budget: Mailbox<BudgetMessage>,
    pub(super) timeline: Mailbox<TimelineMessage>,
}

/// Asks for the verdict on a change that was not applied yet.
struct Waiter {
    id: ChangeId,
    offset: Offset,
    reply: Reply<PastVerdict>,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// It was applied or skipped in its place.
    Applied,
    /// It was a snapshot that replaced the state.
    Restored,
}

/// Everything that the catalog service knows; owned by its task.
pub(super) struct CatalogState {
    outbound: Outbound,
    store: Arc<dyn LogStore>,
    catalog: Catalog,
    published: Revision,
    recent: RecentRecords,
    waiters: Vec<Waiter>,
    log_store: LogStoreState,
    follower: Option<JoinHandle<()>>,
    is_pulling: bool,
    /// Whether a service missed the latest configuration.
    is_unpublished: bool,
}

impl CatalogState {
    /// Creates an empty catalog.
    pub(super) fn new(outbound: Outbound, store: Arc<dyn LogStore>) -> Self {
        Self {
            outbound,
            store,
            catalog: Catalog::new(),
            published: Revision(0),
            recent: RecentRecords::default(),
            waiters: Vec::new(),
            log_store: LogStoreState::NotRead,
            follower: None,
            is_pulling: false,
            is_unpublished: false,
        }
    }

    /// Handles a message.
    pub(super) fn handle(&mut self, message: CatalogMessage) {
        match message {
            CatalogMessage::Read(read) => self.take_read(read),
            CatalogMessage::Role { is_reader } => self.set_role(is_reader),
            CatalogMessage::PeerAhead { peer, revision } => self.pull(peer, revision),
            CatalogMessage::Pulled(pulled) => self.take_pulled(pulled),
            CatalogMessage::Pull { after, max, reply } => {
                let records = self.records(after, max);
                tokio::spawn(hand_over(records, reply, self.outbound.budget.clone()));
            }
            CatalogMessage::Confirm(message) => self.confirm(message),
            CatalogMessage::Republish => self.publish(Arc::new(self.catalog.clone())),
            CatalogMessage::Current { reply } => reply.send(Arc::new(self.catalog.clone())),
            CatalogMessage::Verdict { id, offset, reply } => {
                self.waiters.push(Waiter { id, offset, reply });
                self.answer_waiters();
            }
            CatalogMessage::LogStore { reply } => reply.send(self.log_store),
            CatalogMessage::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        self.waiters.retain(|w| !w.reply.is_abandoned());
        if self.is_unpublished {
            self.publish(Arc::new(self.catalog.clone()));
        }
    }

    /// Stops the tasks that belong to the catalog.
    pub(super) fn stop(&mut self) {
        if let Some(follower) = self.follower.take() {
            follower.abort();
        }
    }

    fn set_role(&mut self, is_reader: bool) {
        self.stop();
        if is_reader {
            let store = Arc::clone(&self.store);
            let follower = follow(store, self.outbound.own.clone(), self.catalog.next_offset());
            self.follower = Some(tokio::spawn(follower));
        } else {
            self.set_log_store(LogStoreState::NotRead);
        }
    }

    fn set_log_store(&mut self, state: LogStoreState) {
        let event = match (self.log_store, state) {
            (LogStoreState::Reachable, LogStoreState::Unreachable) => Some(Event::LogStoreLost),
            (LogStoreState::Unreachable, LogStoreState::Reachable) => Some(Event::LogStoreReturned),
            _ => None,
        };
        if let Some(event) = event {
            timeline::record(&self.outbound.timeline, event);
        }
        self.log_store = state;
    }

    fn take_read(&mut self, read: LogRead) {
        match read {
            LogRead::Page(page) => {
                self.set_log_store(LogStoreState::Reachable);
                self.apply_page(&page);
            }
            LogRead::Gone { first_retained } => {
                log::warn!(
                    "records before offset {first_retained} are gone; waiting for a snapshot"
                );
            }
            LogRead::Failed => self.set_log_store(LogStoreState::Unreachable),
        }
    }

    pub(super) fn apply_page(&mut self, page: &Page) {
        for record in &page.records {
            if self.apply_record(record) == Progress::Restored {
                // Records between the covered offset and the snapshot were skipped before.
                self.set_role(true);
                break;
            }
        }
        self.publish_changes();
    }

    fn apply_record(&mut self, record: &Record) -> Progress {
        match decode_entry(&record.data) {
            Ok(entry) => self.apply(record.offset, Ok(&entry)),
            Err(e) => self.apply(record.offset, Err(&e.to_string())),
        }
    }

    fn apply(&mut self, offset: Offset, entry: Result<&LogEntry, &str>) -> Progress {
        match self.catalog.apply(offset, entry) {
            Verdict::OutOfOrder { .. } => {}
            Verdict::Gap(gap) => log::debug!("configuration record was not applied: {gap}"),
            Verdict::SnapshotTaken { .. } => {
                self.recent.clear();
                return Progress::Restored;
            }
            verdict => {
                log::info!(offset = offset.0; "configuration record {verdict}");
                self.recent.push(offset, entry.ok().cloned());
            }
        }
        Progress::Applied
    }

    /// Publishes the configuration if its revision rose; it never falls.
    fn publish_changes(&mut self) {
        self.answer_waiters();
        let revision = self.catalog.revision();
        if revision <= self.published {
            return;
        }
        self.published = revision;
        let event = Event::ConfigurationApplied { revision };
        timeline::record(&self.outbound.timeline, event);
        self.publish(Arc::new(self.catalog.clone()));
    }

    /// Passes the configuration on; if that fails, the next tick tries again.
    fn publish(&mut self, catalog: Arc<Catalog>) {
        let revision = catalog.revision();
        let router = RouterMessage::Catalog(Arc::clone(&catalog));
        let sent = [
            self.outbound.guard.try_send(GuardMessage::Catalog(catalog)),
            self.outbound.router.try_send(router),
            self.outbound
                .membership
                .try_send(MembershipMessage::Applied(revision)),
        ];
        self.is_unpublished = sent.iter().any(Result::is_err);
        for e in sent.into_iter().filter_map(Result::err) {
            log::warn!("configuration was not passed on and will be sent again: {e}");
        }
    }

    fn answer_waiters(&mut self) {
        let next = self.catalog.next_offset();
        let (due, waiting) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|w| w.offset < next);
        self.waiters = waiting;
        for waiter in due {
            let verdict = self.catalog.verdict_of(waiter.id).cloned();
            waiter.reply.send(verdict.unwrap_or(PastVerdict::Covered));
        }
    }

    /// Asks a peer for the records that this daemon lacks; one pull at a time.
    fn pull(&mut self, peer: PeerAddress, revision: Revision) {
        if self.is_pulling || revision <= self.catalog.revision() {
            return;
        }
        self.is_pulling = true;
        let after = self.catalog.next_offset();
        let own = self.outbound.own.clone();
        let budget = self.outbound.budget.clone();
        tokio::spawn(async move {
            let pulled = pull_from(peer, after, &budget).await;
            // If the catalog restarted meanwhile, it pulls again by itself.
            let _ = own.send(CatalogMessage::Pulled(pulled)).await;
        });
    }

    fn take_pulled(&mut self, pulled: Option<PeerRecords>) {
        self.is_pulling = false;
        if let Some(pulled) = pulled {
            self.apply_pulled(pulled);
        }
    }

    /// Applies what a peer handed over.
    pub(super) fn apply_pulled(&mut self, pulled: PeerRecords) {
        if let Some(snapshot) = &pulled.snapshot
            && matches!(
                self.catalog.restore(snapshot),
                Verdict::SnapshotTaken { .. }
            )
        {
            self.recent.clear();
        }
        for record in pulled.records {
            let entry = record.entry.as_ref();
            self.apply(record.offset, entry.ok_or("record cannot be decoded"));
        }
        self.publish_changes();
    }

    /// Returns the configuration.
    pub(super) fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the log store.
    pub(super) fn store(&self) -> Arc<dyn LogStore> {
        Arc::clone(&self.store)
    }

    /// Returns the other services.
    pub(super) fn outbound(&self) -> &Outbound {
        &self.outbound
    }

    /// Tells whether this daemon reads the log.
    pub(super) fn is_reader(&self) -> bool {
        self.follower.is_some()
    }

    fn records(&self, after: Offset, max: usize) -> Option<PeerRecords> {
        if after > self.catalog.next_offset() {
            return None;
        }
        let recent = self.recent.since(after, max);
        let snapshot = recent.is_none().then(|| self.catalog.snapshot());
        Some(PeerRecords {
            revision: self.catalog.revision(),
            next: self.catalog.next_offset(),
            snapshot,
            records: recent.unwrap_or_default(),
        })
    }
}
