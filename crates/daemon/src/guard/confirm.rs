//! Wait for a confirmed configuration after a pause of the process.

use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_model::Moment;

use crate::catalog::{CatalogMessage, ConfirmMessage};

/// Time after which an unanswered question is asked again; longer than the catalog takes.
const ASK_AGAIN: Duration = Duration::from_secs(5);

/// Question to the catalog that no answer has ended yet.
#[derive(Debug)]
pub(super) struct Confirmation {
    catalog: Mailbox<CatalogMessage>,
    /// Number of the latest question.
    confirmation_id: u64,
    /// When the open question is asked again.
    open: Option<Moment>,
}

impl Confirmation {
    /// Creates one without an open question.
    pub(super) fn new(catalog: Mailbox<CatalogMessage>) -> Self {
        Self {
            catalog,
            confirmation_id: 0,
            open: None,
        }
    }

    /// Tells whether the configuration must not be relied on.
    pub(super) fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Asks after a pause; answers to earlier questions no longer count.
    pub(super) fn ask(&mut self, now: Moment) {
        self.confirmation_id += 1;
        self.send(now);
    }

    /// Asks again if no answer came.
    pub(super) fn tick(&mut self, now: Moment) {
        if self.open.is_some_and(|again| now >= again) {
            self.send(now);
        }
    }

    /// Takes an answer and tells whether it ends the open question.
    pub(super) fn end(&mut self, confirmation_id: u64) -> bool {
        confirmation_id == self.confirmation_id && self.open.take().is_some()
    }

    fn send(&mut self, now: Moment) {
        let confirmation_id = self.confirmation_id;
        let ask = CatalogMessage::Confirm(ConfirmMessage::Request { confirmation_id });
        // A full mailbox is tried again at the next tick.
        let sent = self.catalog.try_send(ask).is_ok();
        self.open = Some(if sent { now + ASK_AGAIN } else { now });
    }
}
