//! Confirmation that the configuration is up to date.
//!
//! The guard, the service that admits requests to the local upstreams, requests it after the
//! process was paused, because the configuration may have changed during the pause.
//!
//! A confirmation reads the log or asks peers, and succeeds once the catalog has applied everything
//! that they returned. The reads start after the request, so that data which waited in a buffer
//! during the pause cannot confirm a stale configuration.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_api::PeerRecords;
use cornelvalve_kernel::Mailbox;
use cornelvalve_logstore::{LogStore, Page};
use cornelvalve_model::{Moment, Offset, Revision};
use futures_util::future::join_all;
use tokio::time::{Instant, timeout};

use super::pulls::pull_records;
use super::state::{CatalogState, Mailboxes};
use super::{CONFIGURATION_STREAM, CatalogMessage};
use crate::guard::GuardMessage;
use crate::membership::{MembershipMessage, PullSource};
use crate::timeline::ClockPropagator;

/// Time after which no further round starts. If neither the log store nor a peer has answered by
/// then, the guard continues without confirmation.
const MAX_RETRY_TIME: Duration = Duration::from_secs(2);

/// Timeout of each read of the log and of each pull from a peer. A round asks both sources in turn,
/// so one in which neither answers takes 1.8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between two rounds.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Largest number of records in one read of the log.
const PAGE_RECORDS: usize = 512;

/// Messages to the catalog service about a confirmation.
#[derive(Debug)]
pub(crate) enum ConfirmMessage {
    /// Starts a confirmation; sent by the guard.
    Request {
        /// Identifies the confirmation; returned to the guard when it succeeds.
        confirmation_id: u64,
    },
    /// Applies records that were read from the log.
    ReadPage(Page),
    /// Applies records that a peer returned.
    PulledRecords(PeerRecords),
    /// Ends a confirmation; sent after all of its records.
    Finished {
        /// Identifies the confirmation.
        confirmation_id: u64,
        /// Point that the catalog must have reached; `None` if neither log nor peers answered.
        target: Option<Target>,
    },
}

/// Point that the catalog must have reached for a confirmation to succeed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target {
    /// All records before the end of the log are applied.
    LogEnd(Offset),
    /// The highest revision that a peer reported is applied.
    PeerRevision(Revision),
}

impl CatalogState {
    /// Handles a message about a confirmation.
    pub(super) fn handle_confirm(&mut self, message: ConfirmMessage, now: Moment) {
        match message {
            ConfirmMessage::Request { confirmation_id } => {
                let confirmation = Confirmation {
                    store: self.store(),
                    mailboxes: self.mailboxes().clone(),
                    next_offset: self.catalog().next_offset(),
                    is_reader: self.is_reader(),
                };
                tokio::spawn(confirmation.run(confirmation_id));
            }
            ConfirmMessage::ReadPage(page) => self.apply_page(&page, now),
            ConfirmMessage::PulledRecords(records) => self.apply_pulled(records),
            ConfirmMessage::Finished {
                confirmation_id,
                target,
            } => self.finish_confirmation(confirmation_id, target),
        }
    }

    /// Reports the confirmation to the guard if the catalog has reached the target.
    fn finish_confirmation(&self, confirmation_id: u64, target: Option<Target>) {
        let is_applied = match target {
            Some(Target::LogEnd(end)) => self.catalog().next_offset() >= end,
            Some(Target::PeerRevision(revision)) => self.catalog().revision() >= revision,
            None => {
                log::warn!(
                    "neither the log store nor any peer answered after a pause of this process; \
                     continuing with the present configuration, which may be outdated"
                );
                true
            }
        };
        // Some records could not be applied yet, for example after a gap. The guard asks again.
        if !is_applied {
            return;
        }
        let catalog = self.in_force();
        // If the message is lost, the guard asks again.
        let confirmed = GuardMessage::CatalogConfirmed {
            confirmation_id,
            catalog,
        };
        let _ = self.mailboxes().guard.try_send(confirmed);
    }
}

/// Task that collects what the catalog must apply for one confirmation.
struct Confirmation {
    store: Arc<dyn LogStore>,
    mailboxes: Mailboxes,
    /// First offset that the catalog had not applied when the confirmation started.
    next_offset: Offset,
    is_reader: bool,
}

impl Confirmation {
    /// Sends records to the catalog until the log or the peers have no more, then
    /// [`ConfirmMessage::Finished`].
    async fn run(self, confirmation_id: u64) {
        let started = Instant::now();
        let target = loop {
            // Readers of the log try the log first and then peers, other daemons the reverse, so
            // that many VMs that resume at the same time do not overload the log store.
            let found = if self.is_reader {
                match self.read_log().await {
                    None => self.ask_peers().await,
                    found => found,
                }
            } else {
                match self.ask_peers().await {
                    None => self.read_log().await,
                    found => found,
                }
            };
            if found.is_some() || started.elapsed() >= MAX_RETRY_TIME {
                break found;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        self.notify(ConfirmMessage::Finished {
            confirmation_id,
            target,
        })
        .await;
    }

    /// Sends a message to the catalog service.
    async fn notify(&self, message: ConfirmMessage) {
        // If the catalog service restarted meanwhile, the guard asks it again.
        let _ = self.catalog().send(CatalogMessage::Confirm(message)).await;
    }

    fn catalog(&self) -> &Mailbox<CatalogMessage> {
        &self.mailboxes.own
    }

    /// Reads the log to its end and sends the records to the catalog; returns `None` if the log
    /// could not be read.
    async fn read_log(&self) -> Option<Target> {
        let mut from = self.next_offset;
        loop {
            let read = self
                .store
                .read(CONFIGURATION_STREAM, from, PAGE_RECORDS, Duration::ZERO);
            let page = timeout(ANSWER_TIMEOUT, read).await.ok()?.ok()?;
            if page.records.is_empty() {
                return Some(Target::LogEnd(from));
            }
            from = page.next;
            self.notify(ConfirmMessage::ReadPage(page)).await;
        }
    }

    /// Pulls records from several peers and sends them to the catalog; returns `None` if no peer
    /// answered.
    async fn ask_peers(&self) -> Option<Target> {
        let asked = self
            .mailboxes
            .membership
            .ask(|reply| MembershipMessage::ConfirmationPeers { reply });
        let peers = asked.await.ok()?;
        let answers = join_all(peers.into_iter().map(|peer| self.ask_peer(peer))).await;
        let highest = answers.into_iter().flatten().max();
        highest.map(Target::PeerRevision)
    }

    /// Pulls records from one peer until it has no more, and returns the revision that the peer
    /// has applied; returns `None` if it did not answer.
    async fn ask_peer(&self, peer: PullSource) -> Option<Revision> {
        let mut from = self.next_offset;
        loop {
            let propagator = ClockPropagator::new(self.mailboxes.timeline.clone());
            let pull = pull_records(peer, from, &self.mailboxes.budget, propagator);
            let pulled = timeout(ANSWER_TIMEOUT, pull).await.ok()??;
            let (revision, next) = (pulled.revision, pulled.next);
            let snapshot_end = pulled.snapshot.as_ref().map(|s| s.covers);
            let records_end = pulled.records.last().map(|r| r.offset.next());
            self.notify(ConfirmMessage::PulledRecords(pulled)).await;
            // Continues only if this page made progress and the peer has more records.
            match snapshot_end.max(records_end) {
                Some(end) if end > from && end < next => from = end,
                _ => return Some(revision),
            }
        }
    }
}
