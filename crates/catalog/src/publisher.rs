//! Publishing one change through a log whose answers may be lost.

use cornelvalve_model::{ChangeId, Offset, Revision};
use derive_more::Display;
use smallvec::{SmallVec, smallvec};

use crate::PastVerdict;

/// What the caller has to do next, in order.
pub type PublisherActions = SmallVec<[PublisherAction; 2]>;

/// What happened since the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherEvent<'a> {
    /// The log confirmed the append.
    Appended {
        /// Offset of the record.
        offset: Offset,
    },
    /// The append certainly had no effect.
    AppendFailed,
    /// The append may have had an effect.
    AppendOutcomeUnknown,
    /// The read returned records, in offset order.
    Read {
        /// The records that are changes.
        changes: &'a [ChangeRecord],
        /// Offset after the last record that was returned.
        next: Offset,
        /// Whether no record follows.
        at_end: bool,
    },
    /// The read failed.
    ReadFailed,
    /// Retention removed the records that the read asked for.
    RecordsGone {
        /// First offset that is still retained.
        first_retained: Offset,
    },
    /// The time that [`PublisherAction::WaitBeforeRetry`] asked for has passed.
    RetryDue,
    /// The local catalog has applied the change.
    CatalogVerdict(&'a PastVerdict),
    /// The caller stops waiting.
    CallerTimedOut,
}

/// A change that a read returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Id of the change.
    pub id: ChangeId,
}

/// Instruction to the task that owns the connection to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherAction {
    /// Append the change.
    Append,
    /// Read from an offset, without waiting for records to arrive.
    Read {
        /// First offset to read.
        from: Offset,
    },
    /// Wait before the next attempt, then report [`PublisherEvent::RetryDue`].
    WaitBeforeRetry,
    /// Report [`PublisherEvent::CatalogVerdict`] once the catalog has applied the change.
    AwaitVerdict {
        /// Offset at which the change stands.
        offset: Offset,
    },
    /// Report [`PublisherEvent::CatalogVerdict`] once the catalog has applied everything up to an offset, with
    /// [`PastVerdict::NotRetained`] if it does not know the change.
    AskCatalog {
        /// Last offset of the log.
        offset: Offset,
    },
    /// Report the outcome; no action follows.
    Finish(PublishOutcome),
}

/// What is known about a change at the end.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PublishOutcome {
    /// No append had an effect.
    #[display("not published")]
    NotPublished,
    /// The change is in the log; the verdict is not known yet.
    #[display("published at offset {_0}")]
    Published(Offset),
    /// The change was accepted.
    #[display("accepted as revision {_0}")]
    Accepted(Revision),
    /// The change was rejected, with the reason.
    #[display("rejected: {_0}")]
    Rejected(String),
    /// An append may have had an effect.
    #[display("published unknown")]
    StillUnknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Appending,
    Searching { from: Offset },
    WaitingToAppend,
    WaitingToSearch { from: Offset },
    Published { offset: Offset },
    Resolving,
    Finished,
}

/// Publishes one change and determines its outcome.
///
/// A lost answer is resolved by reading from the offset before the first append until the change
/// is found or the end is reached; then the change is appended again, which is harmless because
/// its id is recognised as a duplicate.
///
/// If retention removed records that the search has to see, the change is not appended again: it
/// may stand in them, so long ago that its id is no longer recognised, and would then take effect
/// twice. The local catalog may still know it from a snapshot or from a peer.
#[derive(Clone, Debug)]
pub struct Publisher {
    id: ChangeId,
    before: Offset,
    uncertain: bool,
    has_gap: bool,
    state: State,
}

impl Publisher {
    /// Creates the publisher of a change; `before` is an offset at or before the end of the log,
    /// such as the next offset of the local catalog.
    #[must_use]
    pub fn new(id: ChangeId, before: Offset) -> Self {
        Self {
            id,
            before,
            uncertain: false,
            has_gap: false,
            state: State::Idle,
        }
    }

    /// Starts the first append.
    pub fn start(&mut self) -> PublisherActions {
        if self.state != State::Idle {
            return PublisherActions::new();
        }
        self.append()
    }

    /// Handles an event; one that does not fit the state has no effect.
    pub fn handle_event(&mut self, event: PublisherEvent<'_>) -> PublisherActions {
        match (self.state, event) {
            (State::Finished, _) => PublisherActions::new(),
            (_, PublisherEvent::CatalogVerdict(verdict)) => self.applied(verdict),
            (_, PublisherEvent::CallerTimedOut) => self.expired(),
            (State::Appending, PublisherEvent::Appended { offset }) => self.found(offset),
            (State::Appending, PublisherEvent::AppendFailed) => self.wait(State::WaitingToAppend),
            (State::Appending, PublisherEvent::AppendOutcomeUnknown) => {
                self.uncertain = true;
                self.search(self.before)
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
            ) => self.read(changes, next, at_end),
            (State::Searching { from }, PublisherEvent::ReadFailed) => {
                self.wait(State::WaitingToSearch { from })
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

    fn wait(&mut self, state: State) -> PublisherActions {
        self.state = state;
        smallvec![PublisherAction::WaitBeforeRetry]
    }

    fn found(&mut self, offset: Offset) -> PublisherActions {
        self.state = State::Published { offset };
        smallvec![PublisherAction::AwaitVerdict { offset }]
    }

    fn read(&mut self, changes: &[ChangeRecord], next: Offset, at_end: bool) -> PublisherActions {
        if let Some(seen) = changes.iter().find(|c| c.id == self.id) {
            return self.found(seen.offset);
        }
        if at_end && self.has_gap {
            self.state = State::Resolving;
            let offset = Offset(next.0.saturating_sub(1));
            return smallvec![PublisherAction::AskCatalog { offset }];
        }
        if at_end {
            return self.append();
        }
        self.search(next)
    }

    fn applied(&mut self, verdict: &PastVerdict) -> PublisherActions {
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

    fn expired(&mut self) -> PublisherActions {
        let outcome = match self.state {
            State::Published { offset } => PublishOutcome::Published(offset),
            // The append under way may still take effect.
            State::Appending => PublishOutcome::StillUnknown,
            _ if self.uncertain => PublishOutcome::StillUnknown,
            _ => PublishOutcome::NotPublished,
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: PublishOutcome) -> PublisherActions {
        self.state = State::Finished;
        smallvec![PublisherAction::Finish(outcome)]
    }
}
