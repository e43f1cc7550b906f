//! What the guard does about tickets.

use cornelvalve_model::{LoadHint, Moment, Reason, Refusal, ServiceName, UpstreamState};
use cornelvalve_policy::{ArrivalDecision, RequestId, StoredResponse, Ticket, TicketList};

use super::calls::{call_id, request_id};
use super::state::GuardState;
use super::{Call, PermitEnd};

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

impl GuardState {
    /// Issues tickets for a service beside this daemon.
    pub(super) fn issue(
        &mut self,
        service: &ServiceName,
        count: usize,
        now: Moment,
    ) -> Result<TicketList> {
        let local = self.locals.get(service);
        match local.map(|l| l.upstream.state) {
            Some(UpstreamState::Ready) => self.tickets.issue(service, count, now),
            Some(UpstreamState::Draining) => Err(Refusal::not_run(Reason::Draining)),
            Some(UpstreamState::Lost) | None => Err(Refusal::not_run(Reason::NoUpstream)),
        }
    }

    /// Decides on a request with a ticket; returns whether it may be admitted now.
    pub(super) fn arrive_ticket(
        &mut self,
        id: RequestId,
        call: &Call,
        ticket: &Ticket,
        now: Moment,
    ) -> Result<bool> {
        // A ticket names the service so that it cannot let a request of another one run.
        if ticket.service != call.service {
            return Err(Refusal::not_run(Reason::BadTicket));
        }
        let arrival = self
            .tickets
            .arrive(ticket, call.fingerprint, call_id(id), now);
        match arrival {
            ArrivalDecision::Run => return Ok(true),
            ArrivalDecision::Wait => {
                if let Some(pending) = self.calls.get_mut(id) {
                    pending.joined = true;
                }
            }
            ArrivalDecision::Replay(answer) => self.calls.replay(id, answer),
            ArrivalDecision::Refuse(refusal) => return Err(refusal),
        }
        Ok(false)
    }

    /// Records how the run of a ticket ended and answers the calls that waited for it.
    pub(super) fn finish_ticket(&mut self, ticket: &Ticket, end: PermitEnd, now: Moment) {
        match end {
            PermitEnd::Answered(Some(answer)) | PermitEnd::Failed(Some(answer)) => {
                self.replay_to_waiters(ticket, answer, now);
            }
            PermitEnd::NotSent => self.give_back(ticket, Reason::Connection),
            PermitEnd::Unused => self.give_back(ticket, Reason::StaleConfiguration),
            // The upstream may still run the request, so the ticket must not be used again.
            _ => {
                let refusal = Refusal::unknown(Reason::Connection);
                for waiter in self.tickets.mark_unknown(ticket, now) {
                    self.refuse_waiter(request_id(waiter.id), refusal);
                }
            }
        }
    }

    fn replay_to_waiters(&mut self, ticket: &Ticket, answer: StoredResponse, now: Moment) {
        for waiter in self.tickets.completed(ticket, answer.clone(), now) {
            self.calls.replay(request_id(waiter.id), answer.clone());
        }
    }

    /// Makes a ticket usable again of whose request no byte was sent.
    fn give_back(&mut self, ticket: &Ticket, reason: Reason) {
        for waiter in self.tickets.release_unsent(ticket) {
            self.refuse_waiter(request_id(waiter.id), Refusal::not_run(reason));
        }
    }

    fn refuse_waiter(&mut self, id: RequestId, refusal: Refusal) {
        self.calls.refuse(id, refusal, LoadHint::default());
    }
}
