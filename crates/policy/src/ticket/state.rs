//! Entry of the ticket table.

use cornelvalve_model::{Fingerprint, Reason, Refusal, ServiceName};
use smallvec::SmallVec;

use super::{ArrivalId, StoredResponse, Ticket, Waiter};

/// Key of an entry; entries in order of issue, so that expired ones come first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) issued_ms: u64,
    pub(super) nonce: u64,
    service: ServiceName,
}

impl Key {
    pub(super) fn of(ticket: &Ticket) -> Self {
        Self {
            issued_ms: ticket.issued_ms,
            nonce: ticket.nonce,
            service: ticket.service.clone(),
        }
    }
}

/// What is known about the run of a ticket.
#[derive(Debug)]
pub(super) enum State {
    /// Admitted or queued; no byte was sent to the upstream.
    Pending,
    /// The first byte may have been sent to the upstream.
    Running,
    /// The upstream answered and the answer is stored.
    Answered(StoredResponse),
    /// Ran or may have run, and there is no answer to repeat.
    Unknown(Reason),
}

impl State {
    pub(super) fn is_active(&self) -> bool {
        matches!(self, Self::Pending | Self::Running)
    }

    /// Tells whether nothing about the run is left to report after the ticket expired.
    pub(super) fn is_forgettable(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

/// Entry of a ticket that was used.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) fingerprint: Fingerprint,
    pub(super) state: State,
    /// Arrival that runs the request; `None` once its caller has gone.
    pub(super) runner: Option<ArrivalId>,
    pub(super) waiters: SmallVec<[Waiter; 2]>,
}

/// Most arrivals that wait for one run; bounds what a repeating caller can pin in memory.
const MAX_WAITERS: usize = 32;

impl Entry {
    pub(super) fn new(fingerprint: Fingerprint, id: ArrivalId) -> Self {
        Self {
            fingerprint,
            state: State::Pending,
            runner: Some(id),
            waiters: SmallVec::new(),
        }
    }

    /// Adds a waiter.
    ///
    /// The refusal is `Unknown` because the request runs or is about to.
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

    /// Removes an arrival whose caller has gone, and tells whether another one still waits.
    pub(super) fn leave(&mut self, id: ArrivalId) -> bool {
        if self.runner == Some(id) {
            self.runner = None;
        }
        self.waiters.retain(|w| w.id != id);
        self.runner.is_some() || !self.waiters.is_empty()
    }

    /// Ends the run and returns the arrivals to answer besides the runner.
    pub(super) fn finish(&mut self, state: State) -> SmallVec<[Waiter; 2]> {
        self.state = state;
        self.runner = None;
        std::mem::take(&mut self.waiters)
    }
}
