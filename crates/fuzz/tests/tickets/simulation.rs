//! Simulates callers and the ticket tables of several daemons on a network that loses, duplicates
//! and reorders packets.

mod coverage;
mod daemon;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelvalve_fuzz::generators::tickets::{Body, Event};
use cornelvalve_fuzz::oracles::tickets::{Response, Result, TicketOracle};
use cornelvalve_model::{Fingerprint, Moment, Outcome, Reason, Refusal, ServiceName};
use cornelvalve_policy::{
    ArrivalDecision, ArrivalId, CancelOutcome, StoredResponse, Ticket, Waiter,
};

pub(crate) use coverage::Coverage;
use daemon::{Daemon, SETTINGS};

/// Number of simulated daemons. Each issues tickets and runs the requests that carry them. The
/// function `arrive` expects two daemons.
const DAEMONS: usize = 2;

/// Message in flight between a caller and a daemon.
#[derive(Clone)]
enum Packet {
    Request {
        request_id: u64,
        ticket: String,
        fingerprint: Fingerprint,
    },
    Response {
        request_id: u64,
        response: Response,
    },
}

/// Request that a daemon has queued or dispatched to its upstream.
struct ActiveRequest {
    daemon: usize,
    ticket: Ticket,
    fingerprint: Fingerprint,
    arrival_id: u64,
    /// Response that the upstream will send; set at dispatch.
    response: Option<Vec<u8>>,
}

/// Arrival of a request, or of a copy of it, at a daemon.
struct Arrival {
    request_id: u64,
    daemon: usize,
    ticket: Ticket,
    answered: bool,
    disconnected: bool,
}

impl Arrival {
    fn is_open(&self) -> bool {
        !self.answered && !self.disconnected
    }
}

/// State of the daemons, the callers and the network.
pub(crate) struct Simulation {
    daemons: Vec<Daemon>,
    active: Vec<ActiveRequest>,
    packets: Vec<Packet>,
    tickets: Vec<String>,
    /// Requests whose caller has no response yet. The daemon responds to each copy of a request,
    /// but only the first response is passed on to the caller.
    unanswered: BTreeSet<u64>,
    arrivals: BTreeMap<u64, Arrival>,
    now: Moment,
    /// Time before the latest pause, which a paused task may still use.
    before_pause: Moment,
    next_id: u64,
    oracle: TicketOracle,
    coverage: Coverage,
}

impl Simulation {
    pub(crate) fn new() -> Self {
        Self {
            daemons: (0..DAEMONS).map(|n| Daemon::new(n, 1)).collect(),
            active: Vec::new(),
            packets: Vec::new(),
            tickets: Vec::new(),
            unanswered: BTreeSet::new(),
            arrivals: BTreeMap::new(),
            now: Moment::from_millis(1_000),
            before_pause: Moment::from_millis(1_000),
            next_id: 0,
            oracle: TicketOracle::default(),
            coverage: Coverage::default(),
        }
    }

    pub(crate) fn coverage(&self) -> Coverage {
        self.coverage
    }

    /// Applies the events, completes all requests and checks that each of them got a response.
    ///
    /// # Errors
    ///
    /// Returns the first violation that the oracle finds.
    pub(crate) fn run(&mut self, events: &[Event]) -> Result<()> {
        for event in events {
            self.apply(*event)?;
        }
        self.finish()
    }

    fn apply(&mut self, event: Event) -> Result<()> {
        match event {
            Event::Issue(n) => self.issue(n % DAEMONS),
            Event::Send { ticket, body } => self.send(ticket, body),
            Event::Deliver {
                packet,
                stale_clock,
            } => {
                let packet = take_selected(&mut self.packets, packet);
                return packet.map_or(Ok(()), |packet| self.deliver(packet, stale_clock));
            }
            Event::Duplicate(n) => {
                let packet =
                    select_index(&self.packets, n).map(|index| self.packets[index].clone());
                return packet.map_or(Ok(()), |packet| self.deliver(packet, false));
            }
            Event::Drop(n) => drop(take_selected(&mut self.packets, n)),
            Event::Dispatch(n) => return self.dispatch(n),
            Event::Reject(n) => return self.reject(n),
            Event::DispatchAgain(n) => return self.dispatch_again(n),
            Event::RejectDispatched(n) => return self.reject_dispatched(n),
            Event::Complete(n) => return self.complete(n),
            Event::RefuseConnection(n) => return self.refuse_connection(n),
            Event::LoseConnection(n) => return self.lose_connection(n),
            Event::Cancel(n) => self.cancel(n),
            Event::Pause(millis) => {
                self.before_pause = self.now;
                self.now = self.now + Duration::from_millis(millis);
            }
            Event::Tick(n) => self.daemons[n % DAEMONS].table.tick(self.now),
            Event::Drain(n) => {
                let daemon = &mut self.daemons[n % DAEMONS];
                daemon.draining = true;
                daemon.table.drain();
            }
            Event::Restart(n) => return self.restart(n % DAEMONS),
        }
        Ok(())
    }

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn issue(&mut self, daemon: usize) {
        let service = ServiceName::new("remise").expect("valid name");
        let issued = self.daemons[daemon].table.issue(&service, 1, self.now);
        for ticket in issued.iter().flatten() {
            // The time of issue in a ticket is rounded down to whole milliseconds. The simulated
            // clock counts whole milliseconds only, so that this expiry equals that of the ticket
            // table.
            let text = ticket.to_string();
            self.oracle.record_ticket(&text, self.now + SETTINGS.ttl);
            self.tickets.push(text);
        }
    }

    fn send(&mut self, from_latest: usize, body: Body) {
        let Some(index) = self.tickets.len().checked_sub(1 + from_latest) else {
            return;
        };
        let ticket = self.tickets[index].clone();
        let changed = [u8::from(body == Body::Changed)];
        let fingerprint = Fingerprint::of(&[ticket.as_bytes(), &changed]);
        let request_id = self.allocate_id();
        self.oracle.record_request(request_id, &ticket, fingerprint);
        self.unanswered.insert(request_id);
        self.packets.push(Packet::Request {
            request_id,
            ticket,
            fingerprint,
        });
    }

    fn deliver(&mut self, packet: Packet, stale_clock: bool) -> Result<()> {
        match packet {
            Packet::Request {
                request_id,
                ticket,
                fingerprint,
            } => self.arrive(request_id, &ticket, fingerprint, stale_clock),
            Packet::Response {
                request_id,
                response,
            } if self.unanswered.remove(&request_id) => {
                self.oracle.record_caller_response(request_id, &response)
            }
            Packet::Response { .. } => Ok(()),
        }
    }

    fn arrive(
        &mut self,
        request_id: u64,
        text: &str,
        fingerprint: Fingerprint,
        stale_clock: bool,
    ) -> Result<()> {
        let ticket = Ticket::parse(text).expect("issued ticket");
        let daemon = usize::from(ticket.vm.as_str() == "vm-1");
        let arrival_id = self.allocate_id();
        self.oracle.record_arrival(arrival_id, request_id);
        let arrival = Arrival {
            request_id,
            daemon,
            ticket: ticket.clone(),
            answered: false,
            disconnected: false,
        };
        self.arrivals.insert(arrival_id, arrival);
        let now = if stale_clock {
            self.before_pause
        } else {
            self.now
        };
        let table = &mut self.daemons[daemon].table;
        match table.arrive(&ticket, fingerprint, ArrivalId(arrival_id), now) {
            ArrivalDecision::Run => self.active.push(ActiveRequest {
                daemon,
                ticket,
                fingerprint,
                arrival_id,
                response: None,
            }),
            ArrivalDecision::Wait => self.coverage.waits += 1,
            ArrivalDecision::Replay(response) => {
                self.coverage.replays += 1;
                let response = Response::Completed(response.as_bytes().to_vec());
                return self.respond(arrival_id, &response);
            }
            ArrivalDecision::Refuse(refusal) => return self.refuse(arrival_id, &[], refusal),
        }
        Ok(())
    }

    fn respond(&mut self, arrival_id: u64, response: &Response) -> Result<()> {
        let arrival = self.arrivals.get_mut(&arrival_id).expect("known arrival");
        if arrival.disconnected {
            return Ok(());
        }
        arrival.answered = true;
        self.packets.push(Packet::Response {
            request_id: arrival.request_id,
            response: response.clone(),
        });
        self.oracle.record_daemon_response(arrival_id, response)
    }

    fn respond_all(
        &mut self,
        arrival_id: u64,
        waiters: &[Waiter],
        response: &Response,
    ) -> Result<()> {
        self.respond(arrival_id, response)?;
        for waiter in waiters {
            self.respond(waiter.id.0, response)?;
        }
        Ok(())
    }

    fn refuse(&mut self, arrival_id: u64, waiters: &[Waiter], refusal: Refusal) -> Result<()> {
        let response = match (refusal.outcome, refusal.reason) {
            // A draining daemon never accepts its tickets again, and a ticket that is gone stays
            // gone.
            (Outcome::NotRun, Reason::Draining | Reason::TicketGone) => Response::Invalidated,
            (Outcome::NotRun, _) => Response::NotRun,
            _ => Response::Unknown,
        };
        match response {
            Response::Invalidated => self.coverage.invalidated += 1,
            Response::NotRun if refusal.reason == Reason::BadTicket => {
                self.coverage.bad_ticket += 1
            }
            Response::NotRun => self.coverage.not_run += 1,
            _ => self.coverage.unknown += 1,
        }
        self.respond_all(arrival_id, waiters, &response)
    }

    /// Dispatches a queued request, or refuses it if its ticket must not run any more.
    fn dispatch(&mut self, selector: usize) -> Result<()> {
        let Some(index) = self.select_active(selector, false) else {
            return Ok(());
        };
        let request = &mut self.active[index];
        let table = &mut self.daemons[request.daemon].table;
        match table.try_dispatch(&request.ticket, self.now) {
            Ok(()) => {
                self.coverage.runs += 1;
                let response = format!("run-{}", self.coverage.runs).into_bytes();
                request.response = Some(response.clone());
                let text = request.ticket.to_string();
                self.oracle
                    .record_run(&text, request.fingerprint, &response, self.now)
            }
            Err(refusal) => {
                let request = self.active.remove(index);
                let waiters = self.daemons[request.daemon]
                    .table
                    .release_pending(&request.ticket);
                self.refuse(request.arrival_id, &waiters, refusal)
            }
        }
    }

    fn reject(&mut self, selector: usize) -> Result<()> {
        let Some(index) = self.select_active(selector, false) else {
            return Ok(());
        };
        let request = self.active.remove(index);
        let daemon = &mut self.daemons[request.daemon];
        let reason = match daemon.draining {
            true => Reason::Draining,
            false => Reason::Overloaded,
        };
        let waiters = daemon.table.release_pending(&request.ticket);
        self.refuse(request.arrival_id, &waiters, Refusal::not_run(reason))
    }

    /// Tries to dispatch a request again, which the ticket table must prevent.
    fn dispatch_again(&mut self, selector: usize) -> Result<()> {
        let Some(index) = self.select_active(selector, true) else {
            return Ok(());
        };
        let request = &self.active[index];
        let table = &mut self.daemons[request.daemon].table;
        if table.try_dispatch(&request.ticket, self.now).is_err() {
            return Ok(());
        }
        let text = request.ticket.to_string();
        self.oracle
            .record_run(&text, request.fingerprint, b"again", self.now)
    }

    /// Releases a dispatched request as if it were still queued. The ticket table must ignore this
    /// and return no waiters; the oracle reports a `NotRun` response to a waiter as false.
    fn reject_dispatched(&mut self, selector: usize) -> Result<()> {
        let Some(index) = self.select_active(selector, true) else {
            return Ok(());
        };
        let request = &self.active[index];
        let waiters = self.daemons[request.daemon]
            .table
            .release_pending(&request.ticket);
        for waiter in waiters {
            self.respond(waiter.id.0, &Response::NotRun)?;
        }
        Ok(())
    }

    fn complete(&mut self, selector: usize) -> Result<()> {
        let Some(index) = self.select_active(selector, true) else {
            return Ok(());
        };
        let request = self.active.remove(index);
        let bytes = request.response.unwrap_or_default();
        let stored = StoredResponse::from(bytes.clone());
        let table = &mut self.daemons[request.daemon].table;
        let waiters = table.completed(&request.ticket, stored, self.now);
        self.respond_all(request.arrival_id, &waiters, &Response::Completed(bytes))
    }

    fn refuse_connection(&mut self, selector: usize) -> Result<()> {
        let Some(index) = self.select_active(selector, true) else {
            return Ok(());
        };
        let request = self.active.remove(index);
        self.oracle.remove_run(&request.ticket.to_string());
        self.coverage.removed_runs += 1;
        let table = &mut self.daemons[request.daemon].table;
        let waiters = table.release_unsent(&request.ticket);
        self.refuse(
            request.arrival_id,
            &waiters,
            Refusal::not_run(Reason::Connection),
        )
    }

    fn lose_connection(&mut self, selector: usize) -> Result<()> {
        let Some(index) = self.select_active(selector, true) else {
            return Ok(());
        };
        let request = self.active.remove(index);
        let table = &mut self.daemons[request.daemon].table;
        let waiters = table.mark_unknown(&request.ticket, self.now);
        self.refuse(
            request.arrival_id,
            &waiters,
            Refusal::unknown(Reason::Connection),
        )
    }

    /// Disconnects a caller. A queued request is removed if no other caller waits for it.
    fn cancel(&mut self, selector: usize) {
        let open = self.unanswered_arrivals(None);
        let Some(index) = select_index(&open, selector) else {
            return;
        };
        let arrival_id = open[index];
        self.oracle.record_disconnect(arrival_id);
        let arrival = self.arrivals.get_mut(&arrival_id).expect("known arrival");
        arrival.disconnected = true;
        let (daemon, ticket) = (arrival.daemon, &arrival.ticket);
        let table = &mut self.daemons[daemon].table;
        if table.cancelled(ticket, ArrivalId(arrival_id)) == CancelOutcome::Awaited {
            return;
        }
        let queued =
            |request: &ActiveRequest| request.ticket == *ticket && request.response.is_none();
        if let Some(index) = self.active.iter().position(queued) {
            let waiters = table.release_pending(ticket);
            assert!(waiters.is_empty(), "an abandoned request has no waiters");
            self.active.remove(index);
        }
    }

    /// Returns the unanswered arrivals whose caller is still connected, at one daemon or at all.
    fn unanswered_arrivals(&self, daemon: Option<usize>) -> Vec<u64> {
        self.arrivals
            .iter()
            .filter(|(_, arrival)| arrival.is_open() && daemon.is_none_or(|d| d == arrival.daemon))
            .map(|(arrival_id, _)| *arrival_id)
            .collect()
    }

    /// Replaces a daemon process. Requests that it had not answered fail with an unknown outcome,
    /// because their connections break.
    fn restart(&mut self, number: usize) -> Result<()> {
        let incarnation = self.daemons[number].incarnation + 1;
        self.daemons[number] = Daemon::new(number, incarnation);
        self.active.retain(|request| request.daemon != number);
        for arrival_id in self.unanswered_arrivals(Some(number)) {
            self.respond(arrival_id, &Response::Unknown)?;
        }
        Ok(())
    }

    /// Completes all dispatched requests, refuses the queued ones and delivers the responses in
    /// flight. The remaining requests time out with an unknown outcome.
    fn finish(&mut self) -> Result<()> {
        while self.select_active(0, true).is_some() {
            self.complete(0)?;
        }
        while self.select_active(0, false).is_some() {
            self.reject(0)?;
        }
        for packet in std::mem::take(&mut self.packets) {
            if matches!(packet, Packet::Response { .. }) {
                self.deliver(packet, false)?;
            }
        }
        for request_id in std::mem::take(&mut self.unanswered) {
            self.oracle
                .record_caller_response(request_id, &Response::Unknown)?;
        }
        self.oracle.check_complete()
    }

    /// Returns the position of an active request that is queued, or dispatched if `dispatched` is
    /// set; `selector` selects among the matching ones.
    fn select_active(&self, selector: usize, dispatched: bool) -> Option<usize> {
        let matching: Vec<usize> = (0..self.active.len())
            .filter(|index| self.active[*index].response.is_some() == dispatched)
            .collect();
        select_index(&matching, selector).map(|index| matching[index])
    }
}

/// Returns `selector` modulo the number of items, or `None` if there are none.
fn select_index<T>(items: &[T], selector: usize) -> Option<usize> {
    selector.checked_rem(items.len())
}

/// Removes and returns the item that `selector` selects.
fn take_selected<T>(items: &mut Vec<T>, selector: usize) -> Option<T> {
    select_index(items, selector).map(|index| items.remove(index))
}
