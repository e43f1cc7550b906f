//! Publishing one change through a log whose answers may be lost.

use cornelvalve_model::{ChangeId, Offset, Revision};
use derive_more::Display;
use smallvec::{SmallVec, smallvec};

use crate::PastVerdict;

/// What the caller has to do next, in order.
pub type Actions = SmallVec<[Action; 2]>;

/// What happened since the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// The log confirmed the append.
    Appended {
        /// Offset of the record.
        offset: Offset,
    },
    /// The append certainly had no effect.
    AppendRefused,
    /// The append may have had an effect.
    AppendUnknown,
    /// The read returned records, in offset order.
    Read {
        /// The records that are changes.
        changes: &'a [SeenChange],
        /// Offset after the last record that was returned.
        next: Offset,
        /// Whether no record follows.
        at_end: bool,
    },
    /// The read failed.
    ReadFailed,
    /// Retention removed the records that the read asked for.
    ReadGone {
        /// First offset that is still retained.
        first_retained: Offset,
    },
    /// The time that [`Action::WaitBeforeRetry`] asked for has passed.
    RetryDue,
    /// The local catalog has applied the change.
    Applied(&'a PastVerdict),
    /// The caller stops waiting.
    Expired,
}

/// A change that a read returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenChange {
    /// Offset of the record.
    pub offset: Offset,
    /// Id of the change.
    pub id: ChangeId,
}

/// Instruction to the task that owns the connection to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the change.
    Append,
    /// Read from an offset, without waiting for records to arrive.
    Read {
        /// First offset to read.
        from: Offset,
    },
    /// Wait before the next attempt, then report [`Event::RetryDue`].
    WaitBeforeRetry,
    /// Report [`Event::Applied`] once the catalog has applied the change.
    AwaitVerdict {
        /// Offset at which the change stands.
        offset: Offset,
    },
    /// Report [`Event::Applied`] once the catalog has applied everything up to an offset, with
    /// [`PastVerdict::Covered`] if it does not know the change.
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
    pub fn start(&mut self) -> Actions {
        if self.state != State::Idle {
            return Actions::new();
        }
        self.append()
    }

    /// Handles an event; one that does not fit the state has no effect.
    pub fn on(&mut self, event: Event<'_>) -> Actions {
        match (self.state, event) {
            (State::Finished, _) => Actions::new(),
            (_, Event::Applied(verdict)) => self.applied(verdict),
            (_, Event::Expired) => self.expired(),
            (State::Appending, Event::Appended { offset }) => self.found(offset),
            (State::Appending, Event::AppendRefused) => self.wait(State::WaitingToAppend),
            (State::Appending, Event::AppendUnknown) => {
                self.uncertain = true;
                self.search(self.before)
            }
            (State::WaitingToAppend, Event::RetryDue) => self.append(),
            (State::WaitingToSearch { from }, Event::RetryDue) => self.search(from),
            (
                State::Searching { .. },
                Event::Read {
                    changes,
                    next,
                    at_end,
                },
            ) => self.read(changes, next, at_end),
            (State::Searching { from }, Event::ReadFailed) => {
                self.wait(State::WaitingToSearch { from })
            }
            (State::Searching { from }, Event::ReadGone { first_retained }) => {
                self.has_gap = true;
                self.search(first_retained.max(from))
            }
            _ => Actions::new(),
        }
    }

    fn append(&mut self) -> Actions {
        self.state = State::Appending;
        smallvec![Action::Append]
    }

    fn search(&mut self, from: Offset) -> Actions {
        self.state = State::Searching { from };
        smallvec![Action::Read { from }]
    }

    fn wait(&mut self, state: State) -> Actions {
        self.state = state;
        smallvec![Action::WaitBeforeRetry]
    }

    fn found(&mut self, offset: Offset) -> Actions {
        self.state = State::Published { offset };
        smallvec![Action::AwaitVerdict { offset }]
    }

    fn read(&mut self, changes: &[SeenChange], next: Offset, at_end: bool) -> Actions {
        if let Some(seen) = changes.iter().find(|c| c.id == self.id) {
            return self.found(seen.offset);
        }
        if at_end && self.has_gap {
            self.state = State::Resolving;
            let offset = Offset(next.0.saturating_sub(1));
            return smallvec![Action::AskCatalog { offset }];
        }
        if at_end {
            return self.append();
        }
        self.search(next)
    }

    fn applied(&mut self, verdict: &PastVerdict) -> Actions {
        match (verdict, self.state) {
            (PastVerdict::Accepted(revision), _) => {
                self.finish(PublishOutcome::Accepted(*revision))
            }
            (PastVerdict::Rejected(reason), _) => {
                self.finish(PublishOutcome::Rejected(reason.clone()))
            }
            (PastVerdict::Covered, State::Published { offset }) => {
                self.finish(PublishOutcome::Published(offset))
            }
            (PastVerdict::Covered, _) => self.finish(PublishOutcome::StillUnknown),
        }
    }

    fn expired(&mut self) -> Actions {
        let outcome = match self.state {
            State::Published { offset } => PublishOutcome::Published(offset),
            // The append under way may still take effect.
            State::Appending => PublishOutcome::StillUnknown,
            _ if self.uncertain => PublishOutcome::StillUnknown,
            _ => PublishOutcome::NotPublished,
        };
        self.finish(outcome)
    }

    fn finish(&mut self, outcome: PublishOutcome) -> Actions {
        self.state = State::Finished;
        smallvec![Action::Finish(outcome)]
    }
}
