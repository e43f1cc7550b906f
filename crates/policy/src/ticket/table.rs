//! Table of used tickets: runs each at most once and answers repeats.
//!
//! An entry exists from the first arrival until the ticket has expired, so a ticket that has not
//! expired and has no entry never ran. A ticket that has expired never runs. Both together keep
//! each ticket to one run without state for tickets that were issued and not used.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Fingerprint, Incarnation, Moment, Reason, Refusal, ServiceName, VmName};
use smallvec::SmallVec;

use super::answer::AnswerLedger;
use super::state::{Entry, Key, State};
use super::{ArrivalId, NANOS_PER_MILLI, StoredResponse, Ticket, TicketList, Waiter};

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

/// Most tickets that one call returns.
const MAX_ISSUED_PER_CALL: usize = 64;

/// Bounds of a [`TicketTable`].
#[derive(Clone, Copy, Debug)]
pub struct TicketSettings {
    /// Time from issue to expiry.
    pub ttl: Duration,
    /// Most used tickets that the table holds; expired ones make room at the next tick.
    pub max_entries: usize,
    /// Most bytes of stored answers, in total; a larger answer is not stored.
    pub response_bytes: usize,
    /// Time for which an answer is stored.
    pub response_ttl: Duration,
}

impl Default for TicketSettings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(600),
            max_entries: 16_384,
            response_bytes: 8 << 20,
            response_ttl: Duration::from_secs(600),
        }
    }
}

/// Decision on an arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// Admit it; call [`TicketTable::try_dispatch`] right before the first byte is sent.
    Run,
    /// Hold it until the running request with the same ticket ends.
    Wait,
    /// Answer with the stored answer.
    Replay(StoredResponse),
    /// Refuse it.
    Refuse(Refusal),
}

/// Effect of the cancellation of one arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Another arrival still waits for the answer; the run goes on.
    Awaited,
    /// Nobody waits for the answer.
    Abandoned,
}

/// Table of used tickets of one daemon process.
///
/// Each [`ArrivalDecision::Run`] is followed by [`Self::try_dispatch`] or [`Self::release_pending`], and a
/// successful dispatch by [`Self::completed`], [`Self::mark_unknown`] or [`Self::release_unsent`]. The returned waiters get the
/// same answer as the arrival that ran; the table forgets them.
#[derive(Debug)]
pub struct TicketTable {
    settings: TicketSettings,
    vm: VmName,
    incarnation: Incarnation,
    entries: BTreeMap<Key, Entry>,
    answers: AnswerLedger,
    /// Nonce of the next ticket.
    next_nonce: u64,
    /// Set once and never cleared, which burns unused tickets without state for each.
    draining: bool,
    /// Latest moment seen. An earlier one is raised to it, because a ticket that has expired once
    /// may have been forgotten and must stay expired.
    latest: Moment,
}

impl TicketTable {
    /// Creates the table of a daemon process.
    #[must_use]
    pub fn new(settings: TicketSettings, vm: VmName, incarnation: Incarnation) -> Self {
        Self {
            settings,
            vm,
            incarnation,
            entries: BTreeMap::new(),
            answers: AnswerLedger::default(),
            next_nonce: 0,
            draining: false,
            latest: Moment::default(),
        }
    }

    /// Issues tickets, at most 64 at a time, without keeping state for each.
    ///
    /// # Errors
    ///
    /// Refuses `NotRun` while draining.
    pub fn issue(
        &mut self,
        service: &ServiceName,
        count: usize,
        now: Moment,
    ) -> Result<TicketList> {
        let now = self.advance(now);
        if self.draining {
            return Err(Refusal::not_run(Reason::Draining));
        }
        let count = count.min(MAX_ISSUED_PER_CALL);
        Ok((0..count).map(|_| self.next_ticket(service, now)).collect())
    }

    /// Decides on a request that arrived with a ticket.
    pub fn arrive(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        id: ArrivalId,
        now: Moment,
    ) -> ArrivalDecision {
        let now = self.advance(now);
        if let Err(refusal) = self.check_issuer(ticket, now) {
            return ArrivalDecision::Refuse(refusal);
        }
        self.evict_answers(now);
        match self.entries.get_mut(&Key::of(ticket)) {
            Some(entry) => repeat(entry, fingerprint, id),
            None => self.first(ticket, fingerprint, id, now),
        }
    }

    /// Checks the right to run again and marks the request as running.
    ///
    /// After a refusal the caller calls [`Self::release_pending`] if the refusal is `NotRun`.
    ///
    /// # Errors
    ///
    /// Refuses `NotRun` if the ticket expired while the request was queued or the process paused,
    /// and `Unknown` if the request was already dispatched or is not in the table.
    pub fn try_dispatch(&mut self, ticket: &Ticket, now: Moment) -> Result<()> {
        let now = self.advance(now);
        let expired = self.is_expired(ticket, now);
        let Some(entry) = self.entry(ticket) else {
            return Err(Refusal::unknown(Reason::TicketGone));
        };
        match entry.state {
            State::Pending if expired => Err(Refusal::not_run(Reason::TicketGone)),
            State::Pending => {
                entry.state = State::Running;
                Ok(())
            }
            _ => Err(Refusal::unknown(Reason::TicketGone)),
        }
    }

    /// Takes back an admitted request of which no byte was sent, and returns the waiters, which
    /// get the same refusal.
    ///
    /// The ticket stays usable unless it expired or the table is draining. A request that was
    /// dispatched is not taken back.
    pub fn release_pending(&mut self, ticket: &Ticket) -> SmallVec<[Waiter; 2]> {
        self.take_back(ticket, |state| matches!(state, State::Pending))
    }

    /// Takes back a dispatched request of which no byte was sent after all, as when the upstream
    /// refused the connection, and returns the waiters, which get the same refusal.
    ///
    /// Only the holder of the right to run may call this, and only if it has not used it. The
    /// ticket stays usable unless it expired or the table is draining.
    pub fn release_unsent(&mut self, ticket: &Ticket) -> SmallVec<[Waiter; 2]> {
        self.take_back(ticket, |state| matches!(state, State::Running))
    }

    /// Stores the answer of a run and returns the waiters to send it to.
    pub fn completed(
        &mut self,
        ticket: &Ticket,
        answer: StoredResponse,
        now: Moment,
    ) -> SmallVec<[Waiter; 2]> {
        let now = self.advance(now);
        let size = answer.size();
        let fits = size <= self.settings.response_bytes;
        let Some(entry) = self.active(ticket) else {
            return SmallVec::new();
        };
        if !fits {
            return entry.finish(State::Unknown(Reason::TicketGone));
        }
        let waiters = entry.finish(State::Answered(answer));
        self.answers.push(Key::of(ticket), now, size);
        self.evict_answers(now);
        waiters
    }

    /// Records that the connection failed after the first byte, and returns the waiters, which
    /// get `Unknown`.
    pub fn mark_unknown(&mut self, ticket: &Ticket, now: Moment) -> SmallVec<[Waiter; 2]> {
        self.advance(now);
        match self.active(ticket) {
            Some(entry) => entry.finish(State::Unknown(Reason::Connection)),
            None => SmallVec::new(),
        }
    }

    /// Removes an arrival whose caller has gone.
    ///
    /// If nobody waits any more, the caller may take back a request that was not dispatched with
    /// [`Self::release_pending`].
    pub fn cancelled(&mut self, ticket: &Ticket, id: ArrivalId) -> CancelOutcome {
        let awaited = self.active(ticket).is_some_and(|entry| entry.leave(id));
        if awaited {
            CancelOutcome::Awaited
        } else {
            CancelOutcome::Abandoned
        }
    }

    /// Refuses and invalidates unused tickets from now on; admitted requests may still run.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Evicts answers over the bounds and forgets entries of expired tickets.
    pub fn tick(&mut self, now: Moment) {
        let now = self.advance(now);
        self.evict_answers(now);
        self.forget_expired(now);
    }

    /// Returns the number of used tickets in the table.
    #[must_use]
    pub fn live(&self) -> usize {
        self.entries.len()
    }

    fn advance(&mut self, now: Moment) -> Moment {
        self.latest = self.latest.max(now);
        self.latest
    }

    fn next_ticket(&mut self, service: &ServiceName, now: Moment) -> Ticket {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        Ticket {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            issued_ms: now.0 / NANOS_PER_MILLI,
            nonce,
            service: service.clone(),
        }
    }

    fn is_issuer(&self, ticket: &Ticket) -> bool {
        ticket.vm == self.vm && ticket.incarnation == self.incarnation
    }

    fn check_issuer(&self, ticket: &Ticket, now: Moment) -> Result<()> {
        if !self.is_issuer(ticket) {
            return Err(Refusal::unknown(Reason::TicketGone));
        }
        if ticket.nonce >= self.next_nonce || ticket.issued_at() > now {
            return Err(Refusal::not_run(Reason::BadTicket));
        }
        Ok(())
    }

    fn is_expired(&self, ticket: &Ticket, now: Moment) -> bool {
        now >= ticket.issued_at() + self.settings.ttl
    }

    fn entry(&mut self, ticket: &Ticket) -> Option<&mut Entry> {
        if !self.is_issuer(ticket) {
            return None;
        }
        self.entries.get_mut(&Key::of(ticket))
    }

    fn active(&mut self, ticket: &Ticket) -> Option<&mut Entry> {
        self.entry(ticket).filter(|entry| entry.state.is_active())
    }

    /// Removes an entry in an expected state and returns its waiters.
    fn take_back(
        &mut self,
        ticket: &Ticket,
        expected: impl Fn(&State) -> bool,
    ) -> SmallVec<[Waiter; 2]> {
        if !self.entry(ticket).is_some_and(|e| expected(&e.state)) {
            return SmallVec::new();
        }
        let entry = self.entries.remove(&Key::of(ticket));
        entry.map(|entry| entry.waiters).unwrap_or_default()
    }

    fn first(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        id: ArrivalId,
        now: Moment,
    ) -> ArrivalDecision {
        // An entry may have existed and been forgotten, so `NotRun` could be untrue.
        if self.is_expired(ticket, now) {
            return ArrivalDecision::Refuse(Refusal::unknown(Reason::TicketGone));
        }
        if self.draining {
            return ArrivalDecision::Refuse(Refusal::not_run(Reason::Draining));
        }
        if self.entries.len() >= self.settings.max_entries {
            return ArrivalDecision::Refuse(Refusal::not_run(Reason::Overloaded));
        }
        self.entries
            .insert(Key::of(ticket), Entry::new(fingerprint, id));
        ArrivalDecision::Run
    }

    fn evict_answers(&mut self, now: Moment) {
        let TicketSettings {
            response_bytes,
            response_ttl,
            ..
        } = self.settings;
        let expired = |stored_at: Moment| now.since(stored_at) >= response_ttl;
        while let Some(key) = self.answers.pop_excess(response_bytes, expired) {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.state = State::Unknown(Reason::TicketGone);
            }
        }
    }

    /// Forgets entries only when their ticket has expired; a stored answer keeps its entry.
    fn forget_expired(&mut self, now: Moment) {
        let ttl = self.settings.ttl;
        let expired =
            |key: &Key| now >= Moment(key.issued_ms.saturating_mul(NANOS_PER_MILLI)) + ttl;
        let forgettable: Vec<Key> = self
            .entries
            .iter()
            .take_while(|(key, _)| expired(key))
            .filter(|(_, entry)| entry.state.is_forgettable())
            .map(|(key, _)| key.clone())
            .collect();
        for key in forgettable {
            self.entries.remove(&key);
        }
    }
}

fn repeat(entry: &mut Entry, fingerprint: Fingerprint, id: ArrivalId) -> ArrivalDecision {
    if entry.fingerprint != fingerprint {
        return ArrivalDecision::Refuse(Refusal::not_run(Reason::BadTicket));
    }
    match &entry.state {
        State::Pending | State::Running => match entry.join(id) {
            Ok(()) => ArrivalDecision::Wait,
            Err(refusal) => ArrivalDecision::Refuse(refusal),
        },
        State::Answered(answer) => ArrivalDecision::Replay(answer.clone()),
        State::Unknown(reason) => ArrivalDecision::Refuse(Refusal::unknown(*reason)),
    }
}
