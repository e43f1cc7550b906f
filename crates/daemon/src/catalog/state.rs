//! State of the catalog service: the applied configuration, where further records come from, and
//! which services have received it.

use std::net::SocketAddr;
use std::sync::Arc;

use cornelvalve_api::{Event, LogStoreState, PeerRecords};
use cornelvalve_catalog::{ApplyOutcome, Catalog, PastVerdict, SnapshotSchedule};
use cornelvalve_kernel::{Mailbox, ReplySender};
use cornelvalve_logstore::{LogStore, Page, Record};
use cornelvalve_model::{ChangeId, LogEntry, Moment, Offset, Revision};
use cornelvalve_wire::log::decode_entry;
use tokio::task::JoinHandle;

use super::domains::{EditedDomain, domain_event};
use super::introducers::{self, CheckSchedule};
use super::log_reader::run_log_reader;
use super::pulls::{pull_records, send_records};
use super::recent::RecentRecords;
use super::snapshots::write_snapshot;
use super::{CatalogMessage, LogRead};
use crate::budget::BudgetMessage;
use crate::guard::GuardMessage;
use crate::membership::{MembershipMessage, PullSource};
use crate::router::RouterMessage;
use crate::timeline::{self, ClockPropagator, TimelineMessage};

/// Mailboxes of the services that the catalog sends messages to, and its own.
#[derive(Clone)]
pub(super) struct Mailboxes {
    pub(super) own: Mailbox<CatalogMessage>,
    pub(super) guard: Mailbox<GuardMessage>,
    pub(super) router: Mailbox<RouterMessage>,
    pub(super) membership: Mailbox<MembershipMessage>,
    pub(super) budget: Mailbox<BudgetMessage>,
    pub(super) timeline: Mailbox<TimelineMessage>,
}

/// Pending request for the verdict on a change that is not applied yet.
struct Waiter {
    id: ChangeId,
    offset: Offset,
    reply: ReplySender<PastVerdict>,
}

/// What to do after a record of the log was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterRecord {
    /// Go on with the next record.
    Continue,
    /// Read the log again from the first offset that is not applied, because the record was a
    /// snapshot that replaced the state.
    RestartReader,
}

/// State of the catalog service, owned by its task.
pub(super) struct CatalogState {
    mailboxes: Mailboxes,
    store: Arc<dyn LogStore>,
    /// Shared with the services that it was distributed to, so applying the next change clones it.
    catalog: Arc<Catalog>,
    /// Whether the applied records reach the end of the log, or the end of the records of a peer
    /// whose configuration is in force. Until then the catalog may be older than a configuration
    /// that was in force before, and is not put in force.
    is_caught_up: bool,
    /// Whether the records that follow the applied ones are missing, because retention removed them
    /// from the log before this daemon read them.
    has_gap: bool,
    /// Revision that was last distributed to the other services.
    distributed_revision: Revision,
    recent: RecentRecords,
    waiters: Vec<Waiter>,
    log_store: LogStoreState,
    /// Task that reads the log; `None` if this daemon is not one of the readers of its failure
    /// domain.
    log_reader: Option<JoinHandle<()>>,
    snapshot_schedule: SnapshotSchedule,
    /// Whether this daemon is ranked first of the readers of its failure domain.
    is_preferred: bool,
    introducer_checks: CheckSchedule,
    peer_addr: SocketAddr,
    is_pulling: bool,
    /// Whether a service did not receive the latest configuration, for example because its mailbox
    /// was full.
    needs_resend: bool,
}

impl CatalogState {
    /// Creates the state of a service that has applied no records.
    pub(super) fn new(
        mailboxes: Mailboxes,
        store: Arc<dyn LogStore>,
        peer_addr: SocketAddr,
        now: Moment,
    ) -> Self {
        Self {
            mailboxes,
            store,
            catalog: Arc::new(Catalog::new()),
            is_caught_up: false,
            has_gap: false,
            distributed_revision: Revision(0),
            recent: RecentRecords::default(),
            waiters: Vec::new(),
            log_store: LogStoreState::NotRead,
            log_reader: None,
            snapshot_schedule: SnapshotSchedule::new(now),
            is_preferred: false,
            introducer_checks: CheckSchedule::new(rand::random(), now),
            peer_addr,
            is_pulling: false,
            needs_resend: false,
        }
    }

    /// Handles a message to the service.
    pub(super) fn handle_message(&mut self, message: CatalogMessage, now: Moment) {
        match message {
            CatalogMessage::LogReadFinished(read) => self.handle_read(read, now),
            CatalogMessage::Role {
                is_reader,
                is_preferred,
            } => {
                self.is_preferred = is_preferred;
                self.restart_log_reader(is_reader);
            }
            CatalogMessage::PeerAhead { peer, revision } => self.start_pull(peer, revision),
            CatalogMessage::PullFinished { peer, records } => self.handle_pulled(peer, records),
            CatalogMessage::ServePull { from, max, reply } => {
                let records = self.records_from(from, max);
                tokio::spawn(send_records(records, reply, self.mailboxes.budget.clone()));
            }
            CatalogMessage::Confirm(message) => self.handle_confirm(message, now),
            CatalogMessage::Republish => self.distribute(),
            CatalogMessage::InForce { reply } => reply.send(self.in_force()),
            CatalogMessage::Verdict { id, offset, reply } => {
                self.waiters.push(Waiter { id, offset, reply });
                self.answer_waiters();
            }
            CatalogMessage::LogStoreState { reply } => reply.send(self.log_store),
            CatalogMessage::IntroducersChecked(result) => {
                self.introducer_checks.record(result, now)
            }
            CatalogMessage::Tick => self.tick(now),
        }
    }

    /// Performs periodic work: sends a configuration again that a service did not receive, and
    /// starts a snapshot and a check of the stream `introducers` if they are due.
    fn tick(&mut self, now: Moment) {
        self.waiters.retain(|w| !w.reply.is_abandoned());
        if self.needs_resend {
            self.distribute();
        }
        self.write_due_snapshot(now);
        if let Some(options) = self.introducer_checks.poll(self.log_reader.is_some(), now) {
            let check = introducers::check(
                Arc::clone(&self.store),
                self.mailboxes.membership.clone(),
                self.peer_addr,
                options,
            );
            let own = self.mailboxes.own.clone();
            tokio::spawn(async move {
                // If the catalog service restarted meanwhile, it starts a check of its own.
                let _ = own
                    .send(CatalogMessage::IntroducersChecked(check.await))
                    .await;
            });
        }
    }

    /// Writes a snapshot if one is due and this daemon has applied the log to its end.
    fn write_due_snapshot(&mut self, now: Moment) {
        let may_write = self.log_reader.is_some()
            && self.log_store == LogStoreState::Reachable
            && self.is_caught_up
            && !self.has_gap;
        let next = self.catalog.next_offset();
        if may_write
            && self
                .snapshot_schedule
                .take_due(next, self.is_preferred, rand::random(), now)
        {
            let store = Arc::clone(&self.store);
            // The result is not awaited: a written snapshot is noticed when it is read back from
            // the log.
            tokio::spawn(write_snapshot(store, Arc::clone(&self.catalog)));
        }
    }

    /// Returns the configuration in force, or an empty one if there is none yet.
    pub(super) fn in_force(&self) -> Arc<Catalog> {
        if self.is_caught_up {
            Arc::clone(&self.catalog)
        } else {
            Arc::new(Catalog::new())
        }
    }

    /// Stops the task that reads the log.
    pub(super) fn stop_log_reader(&mut self) {
        if let Some(log_reader) = self.log_reader.take() {
            log_reader.abort();
        }
    }

    /// Stops reading the log and, if this daemon is a reader, starts again at the first offset
    /// that is not applied.
    fn restart_log_reader(&mut self, is_reader: bool) {
        self.stop_log_reader();
        self.has_gap = false;
        if is_reader {
            let store = Arc::clone(&self.store);
            let log_reader = run_log_reader(
                store,
                self.mailboxes.own.clone(),
                self.catalog.next_offset(),
            );
            self.log_reader = Some(tokio::spawn(log_reader));
        } else {
            self.set_log_store(LogStoreState::NotRead);
        }
    }

    /// Sets the state of the log store and records a timeline event if its reachability changed.
    fn set_log_store(&mut self, state: LogStoreState) {
        let event = match (self.log_store, state) {
            (LogStoreState::Reachable | LogStoreState::NotRead, LogStoreState::Unreachable) => {
                Some(Event::LogStoreLost)
            }
            (LogStoreState::Unreachable, LogStoreState::Reachable) => Some(Event::LogStoreReturned),
            _ => None,
        };
        if let Some(event) = event {
            timeline::record(&self.mailboxes.timeline, event);
        }
        self.log_store = state;
    }

    /// Handles the result of a read of the log.
    fn handle_read(&mut self, read: LogRead, now: Moment) {
        match read {
            LogRead::Page(page) => {
                self.set_log_store(LogStoreState::Reachable);
                self.snapshot_schedule
                    .observe_retention(page.first_retained);
                self.apply_page(&page, now);
            }
            LogRead::Gone { first_retained } => {
                self.snapshot_schedule.observe_retention(first_retained);
                self.has_gap = first_retained > self.catalog.next_offset();
                log::warn!(
                    "configuration records before offset {first_retained} are gone; waiting for a \
                     snapshot"
                );
            }
            LogRead::Failed => self.set_log_store(LogStoreState::Unreachable),
        }
    }

    /// Applies a page of the log and distributes the result.
    pub(super) fn apply_page(&mut self, page: &Page, now: Moment) {
        // Only an empty page marks the end of the log; the log store also limits pages by size.
        if page.records.is_empty() && page.next == self.catalog.next_offset() {
            self.is_caught_up = true;
        }
        for record in &page.records {
            if self.apply_record(record, now) == AfterRecord::RestartReader {
                // The snapshot covers the log only up to an offset before its own record. The
                // records in between were skipped because of the gap and must be read again.
                self.restart_log_reader(true);
                self.distribute_changes();
                return;
            }
        }
        self.has_gap = page.next > self.catalog.next_offset();
        self.distribute_changes();
    }

    /// Decodes and applies a record of the log.
    fn apply_record(&mut self, record: &Record, now: Moment) -> AfterRecord {
        match decode_entry(&record.data) {
            Ok(entry) => {
                if let LogEntry::Snapshot(snapshot) = &entry {
                    self.snapshot_schedule
                        .observe_snapshot(record.offset, snapshot, now);
                }
                self.apply(record.offset, Ok(&entry))
            }
            Err(e) => self.apply(record.offset, Err(&e.to_string())),
        }
    }

    /// Applies an entry, or the error of a record that could not be decoded, and records a
    /// timeline event if the entry changed the state of a failure domain.
    fn apply(&mut self, offset: Offset, entry: Result<&LogEntry, &str>) -> AfterRecord {
        // Records below `next_offset` are already applied. Skipping them here avoids a clone of the
        // shared catalog by `Arc::make_mut`.
        if offset < self.catalog.next_offset() {
            return AfterRecord::Continue;
        }
        let before = EditedDomain::of(&self.catalog, entry.ok());
        let after_record = self.apply_entry(offset, entry);
        let after = EditedDomain::of(&self.catalog, entry.ok());
        if let Some(event) = domain_event(before, after) {
            timeline::record(&self.mailboxes.timeline, event);
        }
        after_record
    }

    /// Applies an entry to the catalog and updates the buffer of recent records.
    fn apply_entry(&mut self, offset: Offset, entry: Result<&LogEntry, &str>) -> AfterRecord {
        match Arc::make_mut(&mut self.catalog).apply(offset, entry) {
            ApplyOutcome::AlreadyApplied { .. } => {}
            ApplyOutcome::Gap(gap) => log::debug!("configuration record was not applied: {gap}"),
            ApplyOutcome::SnapshotRestored { .. } => {
                self.recent.clear();
                return AfterRecord::RestartReader;
            }
            verdict => {
                log::info!(offset = offset.0; "configuration record handled: {verdict}");
                self.recent.push(offset, entry.ok().cloned());
            }
        }
        AfterRecord::Continue
    }

    /// Replies to the requests for verdicts that are known now, and distributes the configuration
    /// if it may be put in force and its revision increased. A lower revision is never distributed.
    fn distribute_changes(&mut self) {
        self.answer_waiters();
        let revision = self.catalog.revision();
        if !self.is_caught_up || revision <= self.distributed_revision {
            return;
        }
        self.distributed_revision = revision;
        let event = Event::ConfigurationApplied { revision };
        timeline::record(&self.mailboxes.timeline, event);
        self.distribute();
    }

    /// Sends the configuration in force to the guard, which admits requests to the local upstreams,
    /// to the router and to the membership service. If one of them does not receive it, the next
    /// tick sends it again.
    fn distribute(&mut self) {
        if !self.is_caught_up {
            return;
        }
        let catalog = Arc::clone(&self.catalog);
        let revision = catalog.revision();
        let router = RouterMessage::Catalog(Arc::clone(&catalog));
        let sent = [
            self.mailboxes
                .guard
                .try_send(GuardMessage::Catalog(catalog)),
            self.mailboxes.router.try_send(router),
            self.mailboxes
                .membership
                .try_send(MembershipMessage::RevisionApplied(revision)),
        ];
        self.needs_resend = sent.iter().any(Result::is_err);
        for e in sent.into_iter().filter_map(Result::err) {
            log::warn!("sending the configuration to a service failed and will be retried: {e}");
        }
    }

    /// Replies to the requests for verdicts on changes that are applied by now.
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

    /// Starts to pull missing records from a peer that has applied `revision`, unless a pull is
    /// running or no records are missing.
    fn start_pull(&mut self, peer: PullSource, revision: Revision) {
        let is_needed = !self.is_caught_up || self.has_gap || revision > self.catalog.revision();
        if self.is_pulling || !is_needed {
            return;
        }
        self.is_pulling = true;
        let from = self.catalog.next_offset();
        let own = self.mailboxes.own.clone();
        let budget = self.mailboxes.budget.clone();
        let propagator = ClockPropagator::new(self.mailboxes.timeline.clone());
        tokio::spawn(async move {
            let records = pull_records(peer, from, &budget, propagator).await;
            let pulled = CatalogMessage::PullFinished { peer, records };
            // If the catalog service restarted meanwhile, it starts a pull of its own.
            let _ = own.send(pulled).await;
        });
    }

    /// Applies the result of a pull and starts the next one if the peer has more records.
    fn handle_pulled(&mut self, peer: PullSource, records: Option<PeerRecords>) {
        self.is_pulling = false;
        let Some(pulled) = records else {
            return;
        };
        let (revision, end) = (pulled.revision, pulled.next);
        let before = self.catalog.next_offset();
        self.apply_pulled(pulled);
        let next = self.catalog.next_offset();
        if next > before && next < end {
            self.start_pull(peer, revision);
        }
    }

    /// Applies records that a peer returned and distributes the result.
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
            self.is_caught_up = true;
        }
        if had_gap && next > before {
            // The task that reads the log is already past the gap, and the records that it read
            // there were not applied.
            self.restart_log_reader(self.log_reader.is_some());
        }
        self.distribute_changes();
    }

    /// Returns the applied configuration, which may not be in force yet.
    pub(super) fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the log store.
    pub(super) fn store(&self) -> Arc<dyn LogStore> {
        Arc::clone(&self.store)
    }

    /// Returns the mailboxes of the services that the catalog sends messages to.
    pub(super) fn mailboxes(&self) -> &Mailboxes {
        &self.mailboxes
    }

    /// Returns whether this daemon is one of the readers of its failure domain.
    pub(super) fn is_reader(&self) -> bool {
        self.log_reader.is_some()
    }

    /// Returns at most `max` records for a peer, starting with the one at offset `from`, or a
    /// snapshot if the buffer of recent records does not have them.
    ///
    /// Returns `None` if no configuration is in force or if the records before `from` are not
    /// applied.
    fn records_from(&self, from: Offset, max: usize) -> Option<PeerRecords> {
        // A peer puts what it pulls in force, so it must not get a state that this daemon itself
        // may not put in force.
        if !self.is_caught_up || from > self.catalog.next_offset() {
            return None;
        }
        let recent = self.recent.starting_at(from, max);
        let snapshot = recent.is_none().then(|| self.catalog.snapshot());
        Some(PeerRecords {
            revision: self.catalog.revision(),
            next: self.catalog.next_offset(),
            snapshot,
            records: recent.unwrap_or_default(),
        })
    }
}
