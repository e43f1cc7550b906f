//! Wait for a confirmed configuration after a pause of the process.

use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_model::Moment;

use crate::catalog::{CatalogMessage, ConfirmMessage};

/// Time after which an unanswered question is asked again; longer than the catalog takes.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Question to the catalog that no answer has ended yet.
#[derive(Debug)]
pub(super) struct Confirmation {
    catalog: Mailbox<CatalogMessage>,
    /// Number of the latest question.
    number: u64,
    /// When the open question is asked again.
    retry_at: Option<Moment>,
}

impl Confirmation {
    /// Creates one without an open question.
    pub(super) fn new(catalog: Mailbox<CatalogMessage>) -> Self {
        Self {
            catalog,
            number: 0,
            retry_at: None,
        }
    }

    /// Tells whether the configuration must not be relied on.
    pub(super) fn is_pending(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Asks after a pause; answers to earlier questions no longer count.
    pub(super) fn request(&mut self, now: Moment) {
        self.number += 1;
        self.send(now);
    }

    /// Asks again if no answer came.
    pub(super) fn tick(&mut self, now: Moment) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.send(now);
        }
    }

    /// Takes an answer and tells whether it ends the open question.
    pub(super) fn complete(&mut self, number: u64) -> bool {
        number == self.number && self.retry_at.take().is_some()
    }

    fn send(&mut self, now: Moment) {
        let number = self.number;
        let message = CatalogMessage::Confirm(ConfirmMessage::Ask { number });
        // A full mailbox is tried again at the next tick.
        let sent = self.catalog.try_send(message).is_ok();
        self.retry_at = Some(if sent { now + RETRY_INTERVAL } else { now });
    }
}
