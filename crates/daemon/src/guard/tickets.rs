//! Issue of tickets and admission of requests that carry them.
//!
//! A request with a ticket runs at most once. A repeat of it waits for the response to the first
//! request, or gets the stored response.

use cornelvalve_model::{LoadHint, Moment, Reason, Refusal, ServiceName, UpstreamState};
use cornelvalve_policy::{ArrivalDecision, RequestId, StoredResponse, Ticket, TicketList};

use super::active::{arrival_id, request_id};
use super::state::GuardState;
use super::{AdmissionRequest, PermitOutcome};

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

impl GuardState {
    /// Issues tickets for a service with an upstream on this VM.
    ///
    /// # Errors
    ///
    /// Returns a refusal if that upstream is not ready or the daemon drains.
    pub(super) fn issue(
        &mut self,
        service: &ServiceName,
        count: usize,
        now: Moment,
    ) -> Result<TicketList> {
        let local = self.upstreams.get(service);
        match local.map(|l| l.upstream.state) {
            Some(UpstreamState::Ready) => self.tickets.issue(service, count, now),
            Some(UpstreamState::Draining) => Err(Refusal::not_run(Reason::Draining)),
            Some(UpstreamState::Lost) | None => Err(Refusal::not_run(Reason::NoUpstream)),
        }
    }

    /// Handles the arrival of a request with a ticket.
    ///
    /// Returns whether it is the first request with that ticket, so that it goes on to admission.
    /// A repeat gets the stored response, or waits for the response to the first request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ticket is not valid for the request.
    pub(super) fn process_ticket(
        &mut self,
        id: RequestId,
        request: &AdmissionRequest,
        ticket: &Ticket,
        now: Moment,
    ) -> Result<bool> {
        // A ticket is valid only for the service that it was issued for.
        if ticket.service != request.service {
            return Err(Refusal::not_run(Reason::BadTicket));
        }
        let arrival = self
            .tickets
            .arrive(ticket, request.fingerprint, arrival_id(id), now);
        match arrival {
            ArrivalDecision::Run => return Ok(true),
            ArrivalDecision::Wait => {
                if let Some(active) = self.requests.get_mut(id) {
                    active.is_repeat = true;
                }
            }
            ArrivalDecision::Replay(response) => self.requests.replay(id, response),
            ArrivalDecision::Refuse(refusal) => return Err(refusal),
        }
        Ok(false)
    }

    /// Records how the request with a ticket ended, and replies to its repeats that waited for it.
    pub(super) fn finish_ticket(&mut self, ticket: &Ticket, outcome: PermitOutcome, now: Moment) {
        match outcome {
            PermitOutcome::Answered(Some(response))
            | PermitOutcome::ServerError(Some(response)) => {
                self.replay_to_repeats(ticket, response, now);
            }
            PermitOutcome::NotSent => self.release_ticket(ticket, Reason::Connection),
            // A permit stays unused if it is too old, or if its receiver has gone.
            PermitOutcome::Unused => self.release_ticket(ticket, Reason::StaleConfiguration),
            // The upstream may still run the request, so the ticket must not be used again.
            _ => {
                let refusal = Refusal::unknown(Reason::Connection);
                for waiter in self.tickets.mark_unknown(ticket, now) {
                    self.refuse_waiting_repeat(request_id(waiter.id), refusal);
                }
            }
        }
    }

    /// Stores a response and sends it to the repeats that wait for it.
    fn replay_to_repeats(&mut self, ticket: &Ticket, response: StoredResponse, now: Moment) {
        for waiter in self.tickets.completed(ticket, response.clone(), now) {
            self.requests
                .replay(request_id(waiter.id), response.clone());
        }
    }

    /// Makes a ticket usable again after no byte of its request was sent, and refuses the repeats
    /// that wait for it.
    fn release_ticket(&mut self, ticket: &Ticket, reason: Reason) {
        for waiter in self.tickets.release_unsent(ticket) {
            self.refuse_waiting_repeat(request_id(waiter.id), Refusal::not_run(reason));
        }
    }

    /// Refuses a repeat that waited for the first request.
    fn refuse_waiting_repeat(&mut self, id: RequestId, refusal: Refusal) {
        self.requests.refuse(id, refusal, LoadHint::default());
    }
}
