//! Confirmation of the configuration for a guard whose process was paused.
//!
//! The guard asks with a number and gets that number back once everything is applied that a read of
//! the log or the answers of peers showed. Both begin after the question, so nothing that waited in
//! a buffer during the pause can confirm.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_api::PeerRecords;
use cornelvalve_kernel::Mailbox;
use cornelvalve_logstore::{LogStore, Page};
use cornelvalve_model::{Moment, Offset, Revision};
use futures_util::future::join_all;
use tokio::time::{Instant, timeout};

use super::pulls::pull_from;
use super::state::{CatalogState, Outbound};
use super::{CatalogMessage, STREAM};
use crate::guard::GuardMessage;
use crate::membership::{MembershipMessage, PeerAddress};
use crate::timeline::ClockPropagator;

/// Time after which a guard goes on without confirmation if neither log nor peers answer.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(2);

/// Time that the log and the peers get for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between two rounds.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Records read from the log at once.
const PAGE_RECORDS: usize = 512;

/// Messages about a confirmation.
#[derive(Debug)]
pub(crate) enum ConfirmMessage {
    /// The guard asks for a confirmation.
    Request {
        /// Returned with the answer.
        confirmation_id: u64,
    },
    /// Records that the log gave.
    Read(Page),
    /// Records that a peer gave.
    Pulled(PeerRecords),
    /// All records up to here were handed over.
    Ended {
        /// Number of the question.
        confirmation_id: u64,
        /// What must have been applied; `None` if neither log nor peers answered.
        target: Option<Target>,
    },
}

/// What the log or the peers showed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target {
    /// End of the log.
    LogEnd(Offset),
    /// Highest revision of the peers.
    PeerRevision(Revision),
}

impl CatalogState {
    /// Handles a message about a confirmation.
    pub(super) fn confirm(&mut self, message: ConfirmMessage, now: Moment) {
        match message {
            ConfirmMessage::Request { confirmation_id } => {
                let run = Run {
                    store: self.store(),
                    outbound: self.outbound().clone(),
                    after: self.catalog().next_offset(),
                    reads_log: self.is_reader(),
                };
                tokio::spawn(run.confirm(confirmation_id));
            }
            ConfirmMessage::Read(page) => self.apply_page(&page, now),
            ConfirmMessage::Pulled(records) => self.apply_pulled(records),
            ConfirmMessage::Ended {
                confirmation_id,
                target,
            } => self.end_confirmation(confirmation_id, target),
        }
    }

    fn end_confirmation(&self, confirmation_id: u64, target: Option<Target>) {
        let is_applied = match target {
            Some(Target::LogEnd(end)) => self.catalog().next_offset() >= end,
            Some(Target::PeerRevision(revision)) => self.catalog().revision() >= revision,
            None => {
                log::warn!("neither log nor peers confirm the configuration; going on without");
                true
            }
        };
        // Records that could not be applied yet, as after a gap; the guard asks again.
        if !is_applied {
            return;
        }
        let catalog = self.in_force();
        // A guard that gets no answer asks again.
        let confirmed = GuardMessage::CatalogConfirmed {
            confirmation_id,
            catalog,
        };
        let _ = self.outbound().guard.try_send(confirmed);
    }
}

/// One confirmation.
struct Run {
    store: Arc<dyn LogStore>,
    outbound: Outbound,
    /// First offset that is not applied.
    after: Offset,
    reads_log: bool,
}

impl Run {
    async fn confirm(self, confirmation_id: u64) {
        let started = Instant::now();
        let target = loop {
            // Only readers begin with the log, so that VMs that wake together do not flood it.
            let found = if self.reads_log {
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
            if found.is_some() || started.elapsed() >= UNREACHABLE_AFTER {
                break found;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        self.tell(ConfirmMessage::Ended {
            confirmation_id,
            target,
        })
        .await;
    }

    async fn tell(&self, message: ConfirmMessage) {
        // A catalog that restarted is asked again by the guard.
        let _ = self.own().send(CatalogMessage::Confirm(message)).await;
    }

    fn own(&self) -> &Mailbox<CatalogMessage> {
        &self.outbound.own
    }

    /// Reads the log to its end and hands the records over.
    async fn read_log(&self) -> Option<Target> {
        let mut from = self.after;
        loop {
            let read = self.store.read(STREAM, from, PAGE_RECORDS, Duration::ZERO);
            let page = timeout(ANSWER_TIMEOUT, read).await.ok()?.ok()?;
            if page.records.is_empty() {
                return Some(Target::LogEnd(from));
            }
            from = page.next;
            self.tell(ConfirmMessage::Read(page)).await;
        }
    }

    /// Asks peers for records and hands them over; `None` if no peer answered.
    async fn ask_peers(&self) -> Option<Target> {
        let asked = self
            .outbound
            .membership
            .ask(|reply| MembershipMessage::ConfirmationPeers { reply });
        let peers = asked.await.ok()?;
        let answers = join_all(peers.into_iter().map(|peer| self.ask_peer(peer))).await;
        let highest = answers.into_iter().flatten().max();
        highest.map(Target::PeerRevision)
    }

    /// Asks one peer until it has no more records and returns its revision.
    async fn ask_peer(&self, peer: PeerAddress) -> Option<Revision> {
        let mut after = self.after;
        loop {
            let link = ClockPropagator::new(self.outbound.timeline.clone());
            let pull = pull_from(peer, after, &self.outbound.budget, link);
            let pulled = timeout(ANSWER_TIMEOUT, pull).await.ok()??;
            let (revision, next) = (pulled.revision, pulled.next);
            let snapshot = pulled.snapshot.as_ref().map(|s| s.covers);
            let last = pulled.records.last().map(|r| r.offset.next());
            self.tell(ConfirmMessage::Pulled(pulled)).await;
            match snapshot.max(last) {
                Some(end) if end > after && end < next => after = end,
                _ => return Some(revision),
            }
        }
    }
}
