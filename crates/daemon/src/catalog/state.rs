//! State of the catalog service.

use std::net::SocketAddr;
use std::sync::Arc;

use cornelvalve_api::{Event, LogStoreState, PeerRecords};
use cornelvalve_catalog::{ApplyOutcome, Catalog, PastVerdict, SnapshotSchedule};
use cornelvalve_kernel::{Mailbox, ReplySender};
use cornelvalve_logstore::{LogStore, Page, Record};
use cornelvalve_model::{ChangeId, LogEntry, Moment, Offset, Revision};
use cornelvalve_wire::log::decode_entry;
use tokio::task::JoinHandle;

use super::domains::{DomainView, domain_event};
use super::follower::follow;
use super::introducers::{self, Introducers};
use super::pulls::{hand_over, pull_from};
use super::recent::RecentRecords;
use super::snapshots::write_snapshot;
use super::{CatalogMessage, LogRead};
use crate::budget::BudgetMessage;
use crate::guard::GuardMessage;
use crate::membership::{MembershipMessage, PeerAddress};
use crate::router::RouterMessage;
use crate::timeline::{self, ClockPropagator, TimelineMessage};

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
    reply: ReplySender<PastVerdict>,
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
    /// Shared with the services that it was published to; copied on the next change.
    catalog: Arc<Catalog>,
    /// Whether the state may be put in force: it reached the end of the log, or that of a peer
    /// whose configuration is in force. Until then it may be older than one that was in force.
    is_current: bool,
    /// Whether records of the log are missing after the applied ones.
    has_gap: bool,
    published: Revision,
    recent: RecentRecords,
    waiters: Vec<Waiter>,
    log_store: LogStoreState,
    follower: Option<JoinHandle<()>>,
    schedule: SnapshotSchedule,
    is_preferred: bool,
    introducers: Introducers,
    peer_addr: SocketAddr,
    is_pulling: bool,
    /// Whether a service missed the latest configuration.
    is_unpublished: bool,
}

impl CatalogState {
    /// Creates an empty catalog.
    pub(super) fn new(
        outbound: Outbound,
        store: Arc<dyn LogStore>,
        peer_addr: SocketAddr,
        now: Moment,
    ) -> Self {
        Self {
            outbound,
            store,
            catalog: Arc::new(Catalog::new()),
            is_current: false,
            has_gap: false,
            published: Revision(0),
            recent: RecentRecords::default(),
            waiters: Vec::new(),
            log_store: LogStoreState::NotRead,
            follower: None,
            schedule: SnapshotSchedule::new(now),
            is_preferred: false,
            introducers: Introducers::new(rand::random(), now),
            peer_addr,
            is_pulling: false,
            is_unpublished: false,
        }
    }

    /// Handles a message.
    pub(super) fn handle(&mut self, message: CatalogMessage, now: Moment) {
        match message {
            CatalogMessage::Read(read) => self.take_read(read, now),
            CatalogMessage::Role {
                is_reader,
                is_preferred,
            } => {
                self.is_preferred = is_preferred;
                self.set_role(is_reader);
            }
            CatalogMessage::PeerAhead { peer, revision } => self.pull(peer, revision),
            CatalogMessage::Pulled { peer, records } => self.take_pulled(peer, records),
            CatalogMessage::Pull { after, max, reply } => {
                let records = self.records(after, max);
                tokio::spawn(hand_over(records, reply, self.outbound.budget.clone()));
            }
            CatalogMessage::Confirm(message) => self.confirm(message, now),
            CatalogMessage::Republish => self.publish(),
            CatalogMessage::Current { reply } => reply.send(self.in_force()),
            CatalogMessage::Verdict { id, offset, reply } => {
                self.waiters.push(Waiter { id, offset, reply });
                self.answer_waiters();
            }
            CatalogMessage::LogStore { reply } => reply.send(self.log_store),
            CatalogMessage::Introduced(checked) => self.introducers.checked(checked, now),
            CatalogMessage::Tick => self.tick(now),
        }
    }

    fn tick(&mut self, now: Moment) {
        self.waiters.retain(|w| !w.reply.is_abandoned());
        if self.is_unpublished {
            self.publish();
        }
        self.consider_snapshot(now);
        if let Some(check) = self.introducers.poll(self.follower.is_some(), now) {
            let checked = introducers::check(
                Arc::clone(&self.store),
                self.outbound.membership.clone(),
                self.peer_addr,
                check,
            );
            let own = self.outbound.own.clone();
            tokio::spawn(async move {
                // If the catalog restarted meanwhile, it checks again by itself.
                let _ = own.send(CatalogMessage::Introduced(checked.await)).await;
            });
        }
    }

    /// Writes a snapshot if this daemon reads the log and one is due.
    fn consider_snapshot(&mut self, now: Moment) {
        let may_write = self.follower.is_some()
            && self.log_store == LogStoreState::Reachable
            && self.is_current
            && !self.has_gap;
        let next = self.catalog.next_offset();
        if may_write
            && self
                .schedule
                .take_due(next, self.is_preferred, rand::random(), now)
        {
            let store = Arc::clone(&self.store);
            // The reader learns from the log whether it was written.
            tokio::spawn(write_snapshot(store, Arc::clone(&self.catalog)));
        }
    }

    /// Returns the configuration in force, or an empty one if there is none yet.
    pub(super) fn in_force(&self) -> Arc<Catalog> {
        if self.is_current {
            Arc::clone(&self.catalog)
        } else {
            Arc::new(Catalog::new())
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
        self.has_gap = false;
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
            (LogStoreState::Reachable | LogStoreState::NotRead, LogStoreState::Unreachable) => {
                Some(Event::LogStoreLost)
            }
            (LogStoreState::Unreachable, LogStoreState::Reachable) => Some(Event::LogStoreReturned),
            _ => None,
        };
        if let Some(event) = event {
            timeline::record(&self.outbound.timeline, event);
        }
        self.log_store = state;
    }

    fn take_read(&mut self, read: LogRead, now: Moment) {
        match read {
            LogRead::Page(page) => {
                self.set_log_store(LogStoreState::Reachable);
                self.schedule.observe_retention(page.first_retained);
                self.apply_page(&page, now);
            }
            LogRead::Gone { first_retained } => {
                self.schedule.observe_retention(first_retained);
                self.has_gap = first_retained > self.catalog.next_offset();
                log::warn!(
                    "records before offset {first_retained} are gone; waiting for a snapshot"
                );
            }
            LogRead::Failed => self.set_log_store(LogStoreState::Unreachable),
        }
    }

    /// Applies a page of the log.
    pub(super) fn apply_page(&mut self, page: &Page, now: Moment) {
        // An empty page marks the end; a short one may only be limited by its size.
        if page.records.is_empty() && page.next == self.catalog.next_offset() {
            self.is_current = true;
        }
        for record in &page.records {
            if self.apply_record(record, now) == Progress::Restored {
                // Records between the covered offset and the snapshot were skipped before.
                self.set_role(true);
                self.publish_changes();
                return;
            }
        }
        self.has_gap = page.next > self.catalog.next_offset();
        self.publish_changes();
    }

    fn apply_record(&mut self, record: &Record, now: Moment) -> Progress {
        match decode_entry(&record.data) {
            Ok(entry) => {
                if let LogEntry::Snapshot(snapshot) = &entry {
                    self.schedule.observe_snapshot(record.offset, snapshot, now);
                }
                self.apply(record.offset, Ok(&entry))
            }
            Err(e) => self.apply(record.offset, Err(&e.to_string())),
        }
    }

    fn apply(&mut self, offset: Offset, entry: Result<&LogEntry, &str>) -> Progress {
        // Spares the copy of a configuration that is in force.
        if offset < self.catalog.next_offset() {
            return Progress::Applied;
        }
        let before = DomainView::of(&self.catalog, entry.ok());
        let progress = self.apply_entry(offset, entry);
        let after = DomainView::of(&self.catalog, entry.ok());
        if let Some(event) = domain_event(before, after) {
            timeline::record(&self.outbound.timeline, event);
        }
        progress
    }

    fn apply_entry(&mut self, offset: Offset, entry: Result<&LogEntry, &str>) -> Progress {
        match Arc::make_mut(&mut self.catalog).apply(offset, entry) {
            ApplyOutcome::AlreadyApplied { .. } => {}
            ApplyOutcome::Gap(gap) => log::debug!("configuration record was not applied: {gap}"),
            ApplyOutcome::SnapshotRestored { .. } => {
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

    /// Publishes the configuration if it may be in force and its revision rose; it never falls.
    fn publish_changes(&mut self) {
        self.answer_waiters();
        let revision = self.catalog.revision();
        if !self.is_current || revision <= self.published {
            return;
        }
        self.published = revision;
        let event = Event::ConfigurationApplied { revision };
        timeline::record(&self.outbound.timeline, event);
        self.publish();
    }

    /// Passes the configuration in force on; if that fails, the next tick tries again.
    fn publish(&mut self) {
        if !self.is_current {
            return;
        }
        let catalog = Arc::clone(&self.catalog);
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
            waiter
                .reply
                .send(verdict.unwrap_or(PastVerdict::NotRetained));
        }
    }

    /// Asks a peer for the records that this daemon lacks; one pull at a time.
    fn pull(&mut self, peer: PeerAddress, revision: Revision) {
        let is_needed = !self.is_current || self.has_gap || revision > self.catalog.revision();
        if self.is_pulling || !is_needed {
            return;
        }
        self.is_pulling = true;
        let after = self.catalog.next_offset();
        let own = self.outbound.own.clone();
        let budget = self.outbound.budget.clone();
        let link = ClockPropagator::new(self.outbound.timeline.clone());
        tokio::spawn(async move {
            let records = pull_from(peer, after, &budget, link).await;
            let pulled = CatalogMessage::Pulled { peer, records };
            // If the catalog restarted meanwhile, it pulls again by itself.
            let _ = own.send(pulled).await;
        });
    }

    fn take_pulled(&mut self, peer: PeerAddress, records: Option<PeerRecords>) {
        self.is_pulling = false;
        let Some(pulled) = records else {
            return;
        };
        let (revision, end) = (pulled.revision, pulled.next);
        let before = self.catalog.next_offset();
        self.apply_pulled(pulled);
        let next = self.catalog.next_offset();
        if next > before && next < end {
            self.pull(peer, revision);
        }
    }

    /// Applies what a peer handed over.
    pub(super) fn apply_pulled(&mut self, pulled: PeerRecords) {
        let before = self.catalog.next_offset();
        let had_gap = self.has_gap;
        if let Some(snapshot) = &pulled.snapshot {
            let restored = Arc::make_mut(&mut self.catalog).restore(snapshot);
            if matches!(restored, ApplyOutcome::SnapshotRestored { .. }) {
                self.recent.clear();
            }
        }
        for record in pulled.records {
            let entry = record.entry.as_ref();
            self.apply(record.offset, entry.ok_or("record cannot be decoded"));
        }
        let next = self.catalog.next_offset();
        if next >= pulled.next {
            self.is_current = true;
        }
        if had_gap && next > before {
            // The follower is beyond the records that filled the gap.
            self.set_role(self.follower.is_some());
        }
        self.publish_changes();
    }

    /// Returns the configuration as far as it was applied.
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
        // What is not in force here must not come into force elsewhere.
        if !self.is_current || after > self.catalog.next_offset() {
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
