//! Table of used tickets: ensures that the request of each ticket runs at most once, and answers
//! repeated requests.
//!
//! The first arrival of a request adds an entry for its ticket. The entry is kept at least until
//! the ticket has expired, unless the request is released without a byte of it having been sent. A
//! ticket that has not expired and has no entry has therefore never run, and a request whose ticket
//! has expired is never started. Together, these rules limit each ticket to one run without keeping
//! state for unused tickets.
//!
//! A refusal states what is known about the request: `NotRun` means that it has certainly not run
//! and may be sent again, `Unknown` that it has run or may have run. The reason `TicketGone` covers
//! tickets that have expired, that another process issued, whose response is no longer stored, or
//! whose request was already dispatched.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Fingerprint, Incarnation, Moment, Reason, Refusal, ServiceName, VmName};
use smallvec::SmallVec;

use super::response::EvictionQueue;
use super::state::{Entry, Key, State};
use super::{ArrivalId, NANOS_PER_MILLI, StoredResponse, Ticket, TicketList, Waiter};

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

/// Maximum number of tickets that one call issues.
const MAX_ISSUED_PER_CALL: usize = 64;

/// Settings of a [`TicketTable`].
#[derive(Clone, Copy, Debug)]
pub struct TicketSettings {
    /// Time after its issue at which a ticket expires.
    pub ttl: Duration,
    /// Maximum number of used tickets in the table; expired ones are removed by
    /// [`TicketTable::tick`].
    pub max_entries: usize,
    /// Maximum total size of the stored responses in bytes; a larger response is not stored.
    pub response_bytes: usize,
    /// Time for which a response is stored.
    pub response_ttl: Duration,
}

impl Default for TicketSettings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(600),
            max_entries: 16_384,
            // 8 MiB
            response_bytes: 8 << 20,
            response_ttl: Duration::from_secs(600),
        }
    }
}

/// Decision on a request that arrived with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// Admit the request; call [`TicketTable::try_dispatch`] directly before its first byte is
    /// sent.
    Run,
    /// Hold the request until the one that already runs with the same ticket has ended.
    Wait,
    /// Answer with the stored response.
    Replay(StoredResponse),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Effect of the cancellation of one arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Another arrival still waits for the response, so the request continues.
    Awaited,
    /// No arrival waits for the response, or the request has already ended.
    Abandoned,
}

/// Table of used tickets of one daemon process.
///
/// After [`ArrivalDecision::Run`] the owner must call [`Self::try_dispatch`] or
/// [`Self::release_pending`], and after a successful dispatch [`Self::completed`],
/// [`Self::mark_unknown`] or [`Self::release_unsent`]. The owner must give the returned waiters the
/// same answer as the arrival that ran.
#[derive(Debug)]
pub struct TicketTable {
    settings: TicketSettings,
    vm: VmName,
    incarnation: Incarnation,
    entries: BTreeMap<Key, Entry>,
    evictions: EvictionQueue,
    /// Nonce of the next ticket.
    next_nonce: u64,
    /// Whether the daemon drains. Never reset: a ticket that was refused with `NotRun` while
    /// draining must not run later, and no record of that refusal is kept.
    draining: bool,
    /// Latest moment passed so far. Earlier moments that are passed afterwards are raised to it:
    /// the entry of an expired ticket may have been removed, so the ticket must stay expired.
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
            evictions: EvictionQueue::default(),
            next_nonce: 0,
            draining: false,
            latest: Moment::default(),
        }
    }

    /// Issues `count` tickets for a service, but at most 64, without keeping state for each.
    ///
    /// # Errors
    ///
    /// Refuses with `NotRun` if the table is draining.
    pub fn issue(
        &mut self,
        service: &ServiceName,
        count: usize,
        now: Moment,
    ) -> Result<TicketList> {
        let now = self.clamp_to_latest(now);
        if self.draining {
            return Err(Refusal::not_run(Reason::Draining));
        }
        let count = count.min(MAX_ISSUED_PER_CALL);
        Ok((0..count).map(|_| self.next_ticket(service, now)).collect())
    }

    /// Decides on a request that arrived with a ticket, and records the arrival.
    pub fn arrive(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        id: ArrivalId,
        now: Moment,
    ) -> ArrivalDecision {
        let now = self.clamp_to_latest(now);
        if let Err(refusal) = self.check_issuer(ticket, now) {
            return ArrivalDecision::Refuse(refusal);
        }
        self.evict_responses(now);
        match self.entries.get_mut(&Key::of(ticket)) {
            Some(entry) => repeated_arrival(entry, fingerprint, id),
            None => self.first_arrival(ticket, fingerprint, id, now),
        }
    }

    /// Checks again that the request may run, and marks it as running.
    ///
    /// After a refusal with `NotRun` the caller must call [`Self::release_pending`].
    ///
    /// # Errors
    ///
    /// Refuses with `NotRun` if the ticket expired while the request was queued or the process was
    /// paused, and with `Unknown` if the request was already dispatched or is not in the table.
    pub fn try_dispatch(&mut self, ticket: &Ticket, now: Moment) -> Result<()> {
        let now = self.clamp_to_latest(now);
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

    /// Removes the entry of a request that was not dispatched, and returns the waiters, which get
    /// the same refusal.
    ///
    /// The ticket stays usable until it expires or the table drains. The entry of a request that
    /// was dispatched is kept.
    pub fn release_pending(&mut self, ticket: &Ticket) -> SmallVec<[Waiter; 2]> {
        self.release(ticket, |state| matches!(state, State::Pending))
    }

    /// Removes the entry of a dispatched request of which no byte was sent after all, for example
    /// because the upstream refused the connection, and returns the waiters, which get the same
    /// refusal.
    ///
    /// Only the caller whose [`Self::try_dispatch`] succeeded may call this, and only if it has
    /// sent nothing. The ticket stays usable until it expires or the table drains.
    pub fn release_unsent(&mut self, ticket: &Ticket) -> SmallVec<[Waiter; 2]> {
        self.release(ticket, |state| matches!(state, State::Running))
    }

    /// Stores the response to a request and returns the waiters, which get the same response.
    ///
    /// A response that is larger than the maximum is not stored; if the request is repeated later,
    /// it is refused with `Unknown`.
    pub fn completed(
        &mut self,
        ticket: &Ticket,
        response: StoredResponse,
        now: Moment,
    ) -> SmallVec<[Waiter; 2]> {
        let now = self.clamp_to_latest(now);
        let size = response.size();
        let fits = size <= self.settings.response_bytes;
        let Some(entry) = self.active_entry(ticket) else {
            return SmallVec::new();
        };
        if !fits {
            return entry.finish(State::Unknown(Reason::TicketGone));
        }
        let waiters = entry.finish(State::Completed(response));
        self.evictions.push(Key::of(ticket), now, size);
        self.evict_responses(now);
        waiters
    }

    /// Records that the connection to the upstream failed after the first byte, so that the request
    /// may have run, and returns the waiters, which are refused with `Unknown`.
    pub fn mark_unknown(&mut self, ticket: &Ticket, now: Moment) -> SmallVec<[Waiter; 2]> {
        self.clamp_to_latest(now);
        match self.active_entry(ticket) {
            Some(entry) => entry.finish(State::Unknown(Reason::Connection)),
            None => SmallVec::new(),
        }
    }

    /// Removes an arrival whose caller has gone, and returns whether another arrival still waits.
    ///
    /// If none waits and the request was not dispatched, [`Self::release_pending`] may be called.
    pub fn cancelled(&mut self, ticket: &Ticket, id: ArrivalId) -> CancelOutcome {
        let awaited = self
            .active_entry(ticket)
            .is_some_and(|entry| entry.leave(id));
        if awaited {
            CancelOutcome::Awaited
        } else {
            CancelOutcome::Abandoned
        }
    }

    /// Starts draining: from now on no ticket is issued and unused tickets are refused, while
    /// admitted requests may still run.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Evicts stored responses beyond their limits and removes the entries of expired tickets.
    pub fn tick(&mut self, now: Moment) {
        let now = self.clamp_to_latest(now);
        self.evict_responses(now);
        self.remove_expired(now);
    }

    /// Returns the number of used tickets in the table.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns `now`, raised to the latest moment passed so far.
    fn clamp_to_latest(&mut self, now: Moment) -> Moment {
        self.latest = self.latest.max(now);
        self.latest
    }

    /// Issues the next ticket.
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

    /// Returns whether this process issued the ticket, as far as the ticket states.
    fn is_issuer(&self, ticket: &Ticket) -> bool {
        ticket.vm == self.vm && ticket.incarnation == self.incarnation
    }

    /// Checks that this process has issued the ticket.
    ///
    /// # Errors
    ///
    /// Refuses with `Unknown` if the ticket names another process, at which the request may have
    /// run, and with `NotRun` if the ticket names this process but was never issued.
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

    /// Returns the entry of a ticket that this process issued.
    fn entry(&mut self, ticket: &Ticket) -> Option<&mut Entry> {
        if !self.is_issuer(ticket) {
            return None;
        }
        self.entries.get_mut(&Key::of(ticket))
    }

    /// Returns the entry of a ticket whose request has not ended.
    fn active_entry(&mut self, ticket: &Ticket) -> Option<&mut Entry> {
        self.entry(ticket).filter(|entry| entry.state.is_active())
    }

    /// Removes the entry of a ticket if its state is as expected, and returns the waiters.
    fn release(
        &mut self,
        ticket: &Ticket,
        is_expected: impl Fn(&State) -> bool,
    ) -> SmallVec<[Waiter; 2]> {
        if !self.entry(ticket).is_some_and(|e| is_expected(&e.state)) {
            return SmallVec::new();
        }
        let entry = self.entries.remove(&Key::of(ticket));
        entry.map(|entry| entry.waiters).unwrap_or_default()
    }

    /// Decides on the first arrival with a ticket and adds an entry if the request may run.
    fn first_arrival(
        &mut self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        id: ArrivalId,
        now: Moment,
    ) -> ArrivalDecision {
        // The ticket may have been used and its entry removed, so `NotRun` could be wrong.
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

    /// Evicts stored responses that have expired or exceed the maximum total size.
    fn evict_responses(&mut self, now: Moment) {
        let TicketSettings {
            response_bytes,
            response_ttl,
            ..
        } = self.settings;
        let expired = |stored_at: Moment| now.since(stored_at) >= response_ttl;
        while let Some(key) = self.evictions.pop_evicted(response_bytes, expired) {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.state = State::Unknown(Reason::TicketGone);
            }
        }
    }

    /// Removes the entries of expired tickets whose requests have ended without a stored response.
    fn remove_expired(&mut self, now: Moment) {
        let ttl = self.settings.ttl;
        let expired =
            |key: &Key| now >= Moment(key.issued_ms.saturating_mul(NANOS_PER_MILLI)) + ttl;
        let removable: Vec<Key> = self
            .entries
            .iter()
            .take_while(|(key, _)| expired(key))
            .filter(|(_, entry)| entry.state.is_removable())
            .map(|(key, _)| key.clone())
            .collect();
        for key in removable {
            self.entries.remove(&key);
        }
    }
}

/// Decides on a further arrival with a ticket that has an entry.
fn repeated_arrival(entry: &mut Entry, fingerprint: Fingerprint, id: ArrivalId) -> ArrivalDecision {
    if entry.fingerprint != fingerprint {
        return ArrivalDecision::Refuse(Refusal::not_run(Reason::BadTicket));
    }
    match &entry.state {
        State::Pending | State::Running => match entry.join(id) {
            Ok(()) => ArrivalDecision::Wait,
            Err(refusal) => ArrivalDecision::Refuse(refusal),
        },
        State::Completed(response) => ArrivalDecision::Replay(response.clone()),
        State::Unknown(reason) => ArrivalDecision::Refuse(Refusal::unknown(*reason)),
    }
}
