//! Entries of the ticket table: the state of each used ticket and the arrivals that wait for it.

use cornelvalve_model::{Fingerprint, Reason, Refusal, ServiceName};
use smallvec::SmallVec;

use super::{ArrivalId, StoredResponse, Ticket, Waiter};

/// Key of an entry in the ticket table.
///
/// Keys are ordered by the time of issue, so that expired tickets come first. The VM and
/// incarnation of a ticket are checked before the lookup and are the same for all entries. The
/// service is part of the key so that a forged ticket with a different service does not match.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) issued_ms: u64,
    pub(super) nonce: u64,
    service: ServiceName,
}

impl Key {
    /// Returns the key of the entry for a ticket.
    pub(super) fn of(ticket: &Ticket) -> Self {
        Self {
            issued_ms: ticket.issued_ms,
            nonce: ticket.nonce,
            service: ticket.service.clone(),
        }
    }
}

/// State of the request that runs with a ticket.
#[derive(Debug)]
pub(super) enum State {
    /// The request is queued or admitted; no byte of it was sent to the upstream.
    Pending,
    /// The first byte of the request may have been sent to the upstream.
    Running,
    /// The upstream answered, and the response is stored.
    Completed(StoredResponse),
    /// The request has run or may have run, and there is no stored response.
    Unknown(Reason),
}

impl State {
    /// Returns whether the request has not ended yet.
    pub(super) fn is_active(&self) -> bool {
        matches!(self, Self::Pending | Self::Running)
    }

    /// Returns whether the entry may be removed once its ticket has expired.
    ///
    /// This holds for [`Self::Unknown`] only, because a request with an expired ticket and no entry
    /// is refused with the outcome `Unknown` as well.
    pub(super) fn is_removable(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

/// Entry of a used ticket.
#[derive(Debug)]
pub(super) struct Entry {
    /// Identifies the content of the request, which must be the same in all arrivals.
    pub(super) fingerprint: Fingerprint,
    pub(super) state: State,
    /// Arrival that was admitted to run the request; `None` once its caller has gone.
    pub(super) runner: Option<ArrivalId>,
    /// Other arrivals that get the same response.
    pub(super) waiters: SmallVec<[Waiter; 2]>,
}

/// Maximum number of arrivals that wait for one request; bounds the memory that a caller can occupy
/// by repeating it.
const MAX_WAITERS: usize = 32;

impl Entry {
    /// Creates the entry for the first arrival with a ticket.
    pub(super) fn new(fingerprint: Fingerprint, id: ArrivalId) -> Self {
        Self {
            fingerprint,
            state: State::Pending,
            runner: Some(id),
            waiters: SmallVec::new(),
        }
    }

    /// Adds an arrival that waits for the response.
    ///
    /// # Errors
    ///
    /// Refuses with `Unknown` if too many arrivals wait already. The outcome is not `NotRun`
    /// because the request runs or is about to.
    pub(super) fn join(&mut self, id: ArrivalId) -> Result<(), Refusal> {
        if self.runner == Some(id) || self.waiters.contains(&Waiter { id }) {
            return Ok(());
        }
        if self.waiters.len() >= MAX_WAITERS {
            return Err(Refusal::unknown(Reason::Overloaded));
        }
        self.waiters.push(Waiter { id });
        Ok(())
    }

    /// Removes an arrival whose caller has gone, and returns whether another one still waits.
    pub(super) fn leave(&mut self, id: ArrivalId) -> bool {
        if self.runner == Some(id) {
            self.runner = None;
        }
        self.waiters.retain(|w| w.id != id);
        self.runner.is_some() || !self.waiters.is_empty()
    }

    /// Sets the final state and returns the waiting arrivals, which must be answered too.
    pub(super) fn finish(&mut self, state: State) -> SmallVec<[Waiter; 2]> {
        self.state = state;
        self.runner = None;
        std::mem::take(&mut self.waiters)
    }
}
