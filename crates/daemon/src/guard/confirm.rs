//! Confirmation query: asks the catalog service to confirm the configuration after a pause of the
//! process.
//!
//! While the process was paused, the configuration may have changed without notice.

use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_model::Moment;

use crate::catalog::{CatalogMessage, ConfirmMessage};

/// Time after which an unanswered query is repeated. It is longer than the catalog service takes to
/// reply, which is about 4 s if neither the log nor other daemons answer.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// State of the latest confirmation query.
#[derive(Debug)]
pub(super) struct Confirmation {
    catalog: Mailbox<CatalogMessage>,
    /// Identifies the latest query; replies to earlier ones are ignored.
    confirmation_id: u64,
    /// Time at which the pending query is repeated; `None` if none is pending.
    retry_at: Option<Moment>,
}

impl Confirmation {
    /// Creates the state without a pending query.
    pub(super) fn new(catalog: Mailbox<CatalogMessage>) -> Self {
        Self {
            catalog,
            confirmation_id: 0,
            retry_at: None,
        }
    }

    /// Returns whether a query is pending, so that the configuration may be out of date.
    pub(super) fn is_pending(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Sends a query; replies to earlier ones are ignored from now on.
    pub(super) fn query(&mut self, now: Moment) {
        self.confirmation_id += 1;
        self.send(now);
    }

    /// Repeats the pending query if its retry time has come.
    pub(super) fn tick(&mut self, now: Moment) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.send(now);
        }
    }

    /// Handles a reply and returns whether it answers the pending query.
    pub(super) fn complete(&mut self, confirmation_id: u64) -> bool {
        confirmation_id == self.confirmation_id && self.retry_at.take().is_some()
    }

    /// Sends the latest query and sets its retry time.
    fn send(&mut self, now: Moment) {
        let confirmation_id = self.confirmation_id;
        let message = CatalogMessage::Confirm(ConfirmMessage::Request { confirmation_id });
        // If the mailbox is full, the next tick tries again.
        let sent = self.catalog.try_send(message).is_ok();
        self.retry_at = Some(if sent { now + RETRY_INTERVAL } else { now });
    }
}
