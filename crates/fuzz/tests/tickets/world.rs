//! Ticket tables of several daemons, joined by a network that loses, copies and reorders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cornelvalve_fuzz::generators::tickets::{Body, Event};
use cornelvalve_fuzz::oracles::tickets::{Answer, Result, TicketOracle};
use cornelvalve_model::{Fingerprint, Incarnation, Moment, Outcome, Reason, Refusal};
use cornelvalve_model::{ServiceName, VmName};
use cornelvalve_policy::{
    ArrivalDecision, ArrivalId, CancelOutcome, StoredResponse, Ticket, TicketSettings, TicketTable,
    Waiter,
};

/// Daemons that issue and run tickets.
const DAEMONS: usize = 2;

/// Bounds that short sequences reach.
const SETTINGS: TicketSettings = TicketSettings {
    ttl: Duration::from_millis(800),
    max_entries: 3,
    response_bytes: 12,
    response_ttl: Duration::from_millis(300),
};

/// How often each verdict was reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) runs: usize,
    waits: usize,
    replays: usize,
    not_run: usize,
    burned: usize,
    unknown: usize,
    bad_ticket: usize,
    taken_back: usize,
}

impl Tally {
    fn fields(&self) -> [usize; 8] {
        [
            self.runs,
            self.waits,
            self.replays,
            self.not_run,
            self.burned,
            self.unknown,
            self.bad_ticket,
            self.taken_back,
        ]
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.runs += other.runs;
        self.waits += other.waits;
        self.replays += other.replays;
        self.not_run += other.not_run;
        self.burned += other.burned;
        self.unknown += other.unknown;
        self.bad_ticket += other.bad_ticket;
        self.taken_back += other.taken_back;
    }

    pub(crate) fn reached_all(&self) -> bool {
        self.fields().iter().all(|count| *count > 0)
    }
}

#[derive(Clone)]
enum Packet {
    Request {
        call: u64,
        ticket: String,
        fingerprint: Fingerprint,
    },
    Response {
        call: u64,
        answer: Answer,
    },
}

/// Request that a guard queued or runs.
struct Job {
    daemon: usize,
    ticket: Ticket,
    fingerprint: Fingerprint,
    arrival: u64,
    /// What the upstream will answer; set at dispatch.
    answer: Option<Vec<u8>>,
}

struct Daemon {
    table: TicketTable,
    incarnation: u64,
    draining: bool,
}

impl Daemon {
    fn new(number: usize, incarnation: u64) -> Self {
        let vm = VmName::new(&format!("vm-{number}")).expect("valid name");
        Self {
            table: TicketTable::new(SETTINGS, vm, Incarnation(incarnation)),
            incarnation,
            draining: false,
        }
    }
}

/// Request, or copy of one, that reached a daemon.
struct Copy {
    call: u64,
    daemon: usize,
    ticket: Ticket,
    answered: bool,
    /// The caller has gone.
    left: bool,
}

impl Copy {
    fn is_open(&self) -> bool {
        !self.answered && !self.left
    }
}

/// Daemons, callers and the network between them.
pub(crate) struct World {
    daemons: Vec<Daemon>,
    jobs: Vec<Job>,
    packets: Vec<Packet>,
    tickets: Vec<String>,
    /// Calls whose caller has no answer yet; an entry passes on the first answer only.
    waiting: BTreeSet<u64>,
    copies: BTreeMap<u64, Copy>,
    now: Moment,
    before_pause: Moment,
    next_number: u64,
    oracle: TicketOracle,
    tally: Tally,
}

impl World {
    pub(crate) fn new() -> Self {
        Self {
            daemons: (0..DAEMONS).map(|n| Daemon::new(n, 1)).collect(),
            jobs: Vec::new(),
            packets: Vec::new(),
            tickets: Vec::new(),
            waiting: BTreeSet::new(),
            copies: BTreeMap::new(),
            now: Moment::from_millis(1_000),
            before_pause: Moment::from_millis(1_000),
            next_number: 0,
            oracle: TicketOracle::default(),
            tally: Tally::default(),
        }
    }

    pub(crate) fn tally(&self) -> Tally {
        self.tally
    }

    /// Applies the events, ends all work and checks that every call was answered.
    pub(crate) fn run(&mut self, events: &[Event]) -> Result<()> {
        for event in events {
            self.apply(*event)?;
        }
        self.settle()
    }

    fn apply(&mut self, event: Event) -> Result<()> {
        match event {
            Event::Issue(n) => self.issue(n % DAEMONS),
            Event::Send { ticket, body } => self.send(ticket, body),
            Event::Deliver { packet, stale } => {
                let packet = take(&mut self.packets, packet);
                return packet.map_or(Ok(()), |packet| self.deliver(packet, stale));
            }
            Event::Duplicate(n) => {
                let packet = pick(&self.packets, n).map(|at| self.packets[at].clone());
                return packet.map_or(Ok(()), |packet| self.deliver(packet, false));
            }
            Event::Drop(n) => drop(take(&mut self.packets, n)),
            Event::Dispatch(n) => return self.dispatch(n),
            Event::Reject(n) => return self.reject(n),
            Event::DispatchAgain(n) => return self.dispatch_again(n),
            Event::RejectLate(n) => return self.reject_late(n),
            Event::Complete(n) => return self.complete(n),
            Event::ConnectRefused(n) => return self.connect_refused(n),
            Event::Lose(n) => return self.lose(n),
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

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn issue(&mut self, daemon: usize) {
        let service = ServiceName::new("remise").expect("valid name");
        let issued = self.daemons[daemon].table.issue(&service, 1, self.now);
        for ticket in issued.iter().flatten() {
            // The time of issue is rounded down to whole milliseconds, as the clock here is.
            let text = ticket.to_string();
            self.oracle.issued(&text, self.now + SETTINGS.ttl);
            self.tickets.push(text);
        }
    }

    fn send(&mut self, from_latest: usize, body: Body) {
        let Some(at) = self.tickets.len().checked_sub(1 + from_latest) else {
            return;
        };
        let ticket = self.tickets[at].clone();
        let changed = [u8::from(body == Body::Changed)];
        let fingerprint = Fingerprint::of(&[ticket.as_bytes(), &changed]);
        let call = self.number();
        self.oracle.sent(call, &ticket, fingerprint);
        self.waiting.insert(call);
        self.packets.push(Packet::Request {
            call,
            ticket,
            fingerprint,
        });
    }

    fn deliver(&mut self, packet: Packet, stale: bool) -> Result<()> {
        match packet {
            Packet::Request {
                call,
                ticket,
                fingerprint,
            } => self.arrive(call, &ticket, fingerprint, stale),
            Packet::Response { call, answer } if self.waiting.remove(&call) => {
                self.oracle.received(call, &answer)
            }
            Packet::Response { .. } => Ok(()),
        }
    }

    fn arrive(
        &mut self,
        call: u64,
        text: &str,
        fingerprint: Fingerprint,
        stale: bool,
    ) -> Result<()> {
        let ticket = Ticket::parse(text).expect("issued ticket");
        let daemon = usize::from(ticket.vm.as_str() == "vm-1");
        let arrival = self.number();
        self.oracle.arrived(arrival, call);
        let copy = Copy {
            call,
            daemon,
            ticket: ticket.clone(),
            answered: false,
            left: false,
        };
        self.copies.insert(arrival, copy);
        let now = if stale { self.before_pause } else { self.now };
        let table = &mut self.daemons[daemon].table;
        match table.arrive(&ticket, fingerprint, ArrivalId(arrival), now) {
            ArrivalDecision::Run => self.jobs.push(Job {
                daemon,
                ticket,
                fingerprint,
                arrival,
                answer: None,
            }),
            ArrivalDecision::Wait => self.tally.waits += 1,
            ArrivalDecision::Replay(answer) => {
                self.tally.replays += 1;
                let answer = Answer::Completed(answer.as_bytes().to_vec());
                return self.respond(arrival, &answer);
            }
            ArrivalDecision::Refuse(refusal) => return self.refuse(arrival, &[], refusal),
        }
        Ok(())
    }

    fn respond(&mut self, arrival: u64, answer: &Answer) -> Result<()> {
        let copy = self.copies.get_mut(&arrival).expect("known arrival");
        if copy.left {
            return Ok(());
        }
        copy.answered = true;
        self.packets.push(Packet::Response {
            call: copy.call,
            answer: answer.clone(),
        });
        self.oracle.answered(arrival, answer)
    }

    fn respond_all(&mut self, arrival: u64, waiters: &[Waiter], answer: &Answer) -> Result<()> {
        self.respond(arrival, answer)?;
        for waiter in waiters {
            self.respond(waiter.id.0, answer)?;
        }
        Ok(())
    }

    fn refuse(&mut self, arrival: u64, waiters: &[Waiter], refusal: Refusal) -> Result<()> {
        let answer = match (refusal.outcome, refusal.reason) {
            (Outcome::NotRun, Reason::Draining | Reason::TicketGone) => Answer::Burned,
            (Outcome::NotRun, _) => Answer::NotRun,
            _ => Answer::Unknown,
        };
        match answer {
            Answer::Burned => self.tally.burned += 1,
            Answer::NotRun if refusal.reason == Reason::BadTicket => self.tally.bad_ticket += 1,
            Answer::NotRun => self.tally.not_run += 1,
            _ => self.tally.unknown += 1,
        }
        self.respond_all(arrival, waiters, &answer)
    }

    fn dispatch(&mut self, n: usize) -> Result<()> {
        let Some(at) = self.pick_job(n, false) else {
            return Ok(());
        };
        let job = &mut self.jobs[at];
        let table = &mut self.daemons[job.daemon].table;
        match table.try_dispatch(&job.ticket, self.now) {
            Ok(()) => {
                self.tally.runs += 1;
                let answer = format!("run-{}", self.tally.runs).into_bytes();
                job.answer = Some(answer.clone());
                let text = job.ticket.to_string();
                self.oracle.ran(&text, job.fingerprint, &answer, self.now)
            }
            Err(refusal) => {
                let job = self.jobs.remove(at);
                let waiters = self.daemons[job.daemon].table.release_pending(&job.ticket);
                self.refuse(job.arrival, &waiters, refusal)
            }
        }
    }

    fn reject(&mut self, n: usize) -> Result<()> {
        let Some(at) = self.pick_job(n, false) else {
            return Ok(());
        };
        let job = self.jobs.remove(at);
        let daemon = &mut self.daemons[job.daemon];
        let reason = match daemon.draining {
            true => Reason::Draining,
            false => Reason::Overloaded,
        };
        let waiters = daemon.table.release_pending(&job.ticket);
        self.refuse(job.arrival, &waiters, Refusal::not_run(reason))
    }

    fn dispatch_again(&mut self, n: usize) -> Result<()> {
        let Some(at) = self.pick_job(n, true) else {
            return Ok(());
        };
        let job = &self.jobs[at];
        let table = &mut self.daemons[job.daemon].table;
        if table.try_dispatch(&job.ticket, self.now).is_err() {
            return Ok(());
        }
        let text = job.ticket.to_string();
        self.oracle.ran(&text, job.fingerprint, b"again", self.now)
    }

    fn reject_late(&mut self, n: usize) -> Result<()> {
        let Some(at) = self.pick_job(n, true) else {
            return Ok(());
        };
        let job = &self.jobs[at];
        let waiters = self.daemons[job.daemon].table.release_pending(&job.ticket);
        for waiter in waiters {
            self.respond(waiter.id.0, &Answer::NotRun)?;
        }
        Ok(())
    }

    fn complete(&mut self, n: usize) -> Result<()> {
        let Some(at) = self.pick_job(n, true) else {
            return Ok(());
        };
        let job = self.jobs.remove(at);
        let bytes = job.answer.unwrap_or_default();
        let stored = StoredResponse::from(bytes.clone());
        let table = &mut self.daemons[job.daemon].table;
        let waiters = table.completed(&job.ticket, stored, self.now);
        self.respond_all(job.arrival, &waiters, &Answer::Completed(bytes))
    }

    fn connect_refused(&mut self, n: usize) -> Result<()> {
        let Some(at) = self.pick_job(n, true) else {
            return Ok(());
        };
        let job = self.jobs.remove(at);
        self.oracle.taken_back(&job.ticket.to_string());
        self.tally.taken_back += 1;
        let table = &mut self.daemons[job.daemon].table;
        let waiters = table.release_unsent(&job.ticket);
        self.refuse(job.arrival, &waiters, Refusal::not_run(Reason::Connection))
    }

    fn lose(&mut self, n: usize) -> Result<()> {
        let Some(at) = self.pick_job(n, true) else {
            return Ok(());
        };
        let job = self.jobs.remove(at);
        let table = &mut self.daemons[job.daemon].table;
        let waiters = table.mark_unknown(&job.ticket, self.now);
        self.refuse(job.arrival, &waiters, Refusal::unknown(Reason::Connection))
    }

    /// A caller leaves; if nobody else waits, a queued request is taken back.
    fn cancel(&mut self, n: usize) {
        let open = self.open_copies(None);
        let Some(at) = pick(&open, n) else { return };
        let arrival = open[at];
        self.oracle.left(arrival);
        let copy = self.copies.get_mut(&arrival).expect("known arrival");
        copy.left = true;
        let (daemon, ticket) = (copy.daemon, &copy.ticket);
        let table = &mut self.daemons[daemon].table;
        if table.cancelled(ticket, ArrivalId(arrival)) == CancelOutcome::Awaited {
            return;
        }
        let queued = |job: &Job| job.ticket == *ticket && job.answer.is_none();
        if let Some(at) = self.jobs.iter().position(queued) {
            let waiters = table.release_pending(ticket);
            assert!(waiters.is_empty(), "an abandoned request has no waiters");
            self.jobs.remove(at);
        }
    }

    /// Returns the arrivals that are not answered and whose caller waits, at one daemon or all.
    fn open_copies(&self, daemon: Option<usize>) -> Vec<u64> {
        self.copies
            .iter()
            .filter(|(_, copy)| copy.is_open() && daemon.is_none_or(|d| d == copy.daemon))
            .map(|(arrival, _)| *arrival)
            .collect()
    }

    /// Replaces a daemon process: entries see their connections to it fail.
    fn restart(&mut self, number: usize) -> Result<()> {
        let incarnation = self.daemons[number].incarnation + 1;
        self.daemons[number] = Daemon::new(number, incarnation);
        self.jobs.retain(|job| job.daemon != number);
        for arrival in self.open_copies(Some(number)) {
            self.respond(arrival, &Answer::Unknown)?;
        }
        Ok(())
    }

    /// Ends all work; calls whose answer was lost time out as unknown at their entry.
    fn settle(&mut self) -> Result<()> {
        while self.pick_job(0, true).is_some() {
            self.complete(0)?;
        }
        while self.pick_job(0, false).is_some() {
            self.reject(0)?;
        }
        for packet in std::mem::take(&mut self.packets) {
            if matches!(packet, Packet::Response { .. }) {
                self.deliver(packet, false)?;
            }
        }
        for call in std::mem::take(&mut self.waiting) {
            self.oracle.received(call, &Answer::Unknown)?;
        }
        self.oracle.finished()
    }

    fn pick_job(&self, n: usize, dispatched: bool) -> Option<usize> {
        let matching: Vec<usize> = (0..self.jobs.len())
            .filter(|at| self.jobs[*at].answer.is_some() == dispatched)
            .collect();
        pick(&matching, n).map(|at| matching[at])
    }
}

fn pick<T>(items: &[T], n: usize) -> Option<usize> {
    n.checked_rem(items.len())
}

fn take<T>(items: &mut Vec<T>, n: usize) -> Option<T> {
    pick(items, n).map(|at| items.remove(at))
}
