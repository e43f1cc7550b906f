//! State machine that publishes one change to the log and determines the outcome, even if responses
//! are lost.

use cornelvalve_model::{ChangeId, Offset, Revision};
use derive_more::Display;
use smallvec::{SmallVec, smallvec};

use crate::PastVerdict;

/// Actions that the caller of a [`Publisher`] has to perform next, in order.
pub type PublisherActions = SmallVec<[PublisherAction; 2]>;

/// Input of a [`Publisher`]: the result of an action, a verdict of the local catalog (the one of
/// the same daemon), or the end of the caller's wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherEvent<'a> {
    /// The log store confirmed the append.
    Appended {
        /// Offset of the record.
        offset: Offset,
    },
    /// The append failed without any effect.
    AppendFailed,
    /// The append may have had an effect, for example because its response was lost.
    AppendOutcomeUnknown,
    /// The read returned records, in offset order.
    Read {
        /// Returned records that are changes.
        changes: &'a [ChangeRecord],
        /// Offset after the last returned record.
        next: Offset,
        /// Whether the log has no more records.
        at_end: bool,
    },
    /// The read failed.
    ReadFailed,
    /// Retention has removed the requested records.
    RecordsGone {
        /// First offset that is still retained.
        first_retained: Offset,
    },
    /// The wait that [`PublisherAction::WaitBeforeRetry`] started is over.
    RetryDue,
    /// The local catalog has applied all records up to the offset of the action, and has the given
    /// verdict on the change or none ([`PastVerdict::NotRetained`]).
    CatalogVerdict(&'a PastVerdict),
    /// The caller no longer waits for the outcome.
    CallerTimedOut,
}

/// Change that was read from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Id of the change.
    pub id: ChangeId,
}

/// Action that the caller of a [`Publisher`] has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherAction {
    /// Append the change.
    Append,
    /// Read the log from an offset on, without waiting for records to arrive.
    Read {
        /// First offset to read.
        from: Offset,
    },
    /// Wait for the retry delay, then report [`PublisherEvent::RetryDue`].
    WaitBeforeRetry,
    /// The change is in the log: report [`PublisherEvent::CatalogVerdict`] once the local catalog
    /// has applied it.
    AwaitVerdict {
        /// Offset of the change in the log.
        offset: Offset,
    },
    /// The change may be in removed records: report [`PublisherEvent::CatalogVerdict`] once the
    /// local catalog has applied all records up to an offset, with [`PastVerdict::NotRetained`] if
    /// it has no verdict on the change.
    AskCatalog {
        /// Last offset of the log.
        offset: Offset,
    },
    /// Report the outcome to the operator. No action follows.
    Finish(PublishOutcome),
}

/// Outcome of publishing a change, as far as it is known.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is not in the log, and no pending append can still add it.
    #[display("not published")]
    NotPublished,
    /// The change is in the log, but the verdict on it is not known.
    #[display("published at offset {_0}")]
    Published(Offset),
    /// The change was accepted.
    #[display("accepted as revision {_0}")]
    Accepted(Revision),
    /// The change was rejected, with the reason.
    #[display("rejected: {_0}")]
    Rejected(String),
    /// It is not known whether the change is in the log.
    #[display("published unknown")]
    StillUnknown,
}

/// What a publisher is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The publisher has not been started.
    Idle,
    /// The result of the append.
    Appending,
    /// The result of a read that searches for the change.
    Searching { from: Offset },
    /// The end of the retry delay before an append.
    WaitingToAppend,
    /// The end of the retry delay before a read.
    WaitingToSearch { from: Offset },
    /// The verdict of the local catalog on the change, which is in the log.
    Published { offset: Offset },
    /// Whether the local catalog has a verdict on the change, which may be in removed records.
    AskingCatalog,
    /// Nothing; the outcome has been reported.
    Finished,
}

/// Publishes one change and determines its outcome.
///
/// If the response to an append is lost, the publisher searches the log for the change, starting at
/// or before the offset at which the log ended when the first append was sent. If the search
/// reaches the end of the log, the publisher appends the change again. A change that is in the log
/// twice takes effect once, because catalogs detect duplicates by change id.
///
/// If retention has removed records that the search would have to read, the change is not appended
/// again. It may be in the removed records, so far back that catalogs have evicted its id and would
/// apply it twice. The publisher then asks the local catalog, which may have the verdict from a
/// snapshot or from a peer.
#[derive(Clone, Debug)]
pub struct Publisher {
    id: ChangeId,
    /// Offset at which a search for the change starts.
    search_start: Offset,
    /// Whether an append had an unknown outcome. Never reset, because a delayed append may take
    /// effect after a search has reached the end of the log.
    is_uncertain: bool,
    /// Whether retention has removed records that a search would have to read.
    has_gap: bool,
    state: State,
}

impl Publisher {
    /// Creates the publisher of a change.
    ///
    /// `search_start` is the offset at which a search for the change starts. It must not be higher
    /// than the end of the log; the next offset of the local catalog satisfies this.
    #[must_use]
    pub fn new(id: ChangeId, search_start: Offset) -> Self {
        Self {
            id,
            search_start,
            is_uncertain: false,
            has_gap: false,
            state: State::Idle,
        }
    }

    /// Returns the offset below which the log gives out no offset again, unless it loses records.
    #[must_use]
    pub fn search_start(&self) -> Offset {
        self.search_start
    }

    /// Starts publishing and returns the first actions.
    pub fn start(&mut self) -> PublisherActions {
        if self.state != State::Idle {
            return PublisherActions::new();
        }
        self.append()
    }

    /// Handles an event and returns the next actions.
    ///
    /// An event that is not expected in the current state has no effect.
    pub fn handle_event(&mut self, event: PublisherEvent<'_>) -> PublisherActions {
        match (self.state, event) {
            (State::Finished, _) => PublisherActions::new(),
            (_, PublisherEvent::CatalogVerdict(verdict)) => self.handle_verdict(verdict),
            (_, PublisherEvent::CallerTimedOut) => self.handle_expiry(),
            // The log has lost records and gives their offsets out again. Catalogs take records at
            // these offsets for known, so this one may never take effect.
            (State::Appending, PublisherEvent::Appended { offset })
                if offset < self.search_start =>
            {
                self.finish(PublishOutcome::StillUnknown)
            }
            (State::Appending, PublisherEvent::Appended { offset }) => self.await_verdict(offset),
            (State::Appending, PublisherEvent::AppendFailed) => {
                self.wait_before_retry(State::WaitingToAppend)
            }
            (State::Appending, PublisherEvent::AppendOutcomeUnknown) => {
                self.is_uncertain = true;
                self.search(self.search_start)
            }
            (State::WaitingToAppend, PublisherEvent::RetryDue) => self.append(),
            (State::WaitingToSearch { from }, PublisherEvent::RetryDue) => self.search(from),
            (
                State::Searching { .. },
                PublisherEvent::Read {
                    changes,
                    next,
                    at_end,
                },
            ) => self.handle_read(changes, next, at_end),
            (State::Searching { from }, PublisherEvent::ReadFailed) => {
                self.wait_before_retry(State::WaitingToSearch { from })
            }
            (State::Searching { from }, PublisherEvent::RecordsGone { first_retained }) => {
                self.has_gap = true;
                self.search(first_retained.max(from))
            }
            _ => PublisherActions::new(),
        }
    }

    fn append(&mut self) -> PublisherActions {
        self.state = State::Appending;
        smallvec![PublisherAction::Append]
    }

    fn search(&mut self, from: Offset) -> PublisherActions {
        self.state = State::Searching { from };
        smallvec![PublisherAction::Read { from }]
    }

    fn wait_before_retry(&mut self, state: State) -> PublisherActions {
        self.state = state;
        smallvec![PublisherAction::WaitBeforeRetry]
    }

    fn await_verdict(&mut self, offset: Offset) -> PublisherActions {
        self.state = State::Published { offset };
        smallvec![PublisherAction::AwaitVerdict { offset }]
    }

    fn handle_read(
        &mut self,
        changes: &[ChangeRecord],
        next: Offset,
        at_end: bool,
    ) -> PublisherActions {
        if let Some(change) = changes.iter().find(|c| c.id == self.id) {
            return self.await_verdict(change.offset);
        }
        if at_end && self.has_gap {
            self.state = State::AskingCatalog;
            let offset = Offset(next.0.saturating_sub(1));
            return smallvec![PublisherAction::AskCatalog { offset }];
        }
        if at_end {
            return self.append();
        }
        self.search(next)
    }

    fn handle_verdict(&mut self, verdict: &PastVerdict) -> PublisherActions {
        match (verdict, self.state) {
            (PastVerdict::Accepted(revision), _) => {
                self.finish(PublishOutcome::Accepted(*revision))
            }
            (PastVerdict::Rejected(reason), _) => {
                self.finish(PublishOutcome::Rejected(reason.clone()))
            }
            (PastVerdict::NotRetained, State::Published { offset }) => {
                self.finish(PublishOutcome::Published(offset))
            }
            (PastVerdict::NotRetained, _) => self.finish(PublishOutcome::StillUnknown),
        }
    }

    fn handle_expiry(&mut self) -> PublisherActions {
        let outcome = match self.state {
            State::Published { offset } => PublishOutcome::Published(offset),
            // The pending append may still take effect.
            State::Appending => PublishOutcome::StillUnknown,
            _ if self.is_uncertain => PublishOutcome::StillUnknown,
            _ => PublishOutcome::NotPublished,
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: PublishOutcome) -> PublisherActions {
        self.state = State::Finished;
        smallvec![PublisherAction::Finish(outcome)]
    }
}
