//! Checks at-most-once execution of requests with tickets, from the requests that were sent, the
//! runs and the responses.
//!
//! A ticket is an idempotency key. Of all requests with the same ticket at most one may run.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::{Display, Formatter};

use cornelvalve_model::{Fingerprint, Moment};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, Violation>;

/// Response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request did not run, and no byte of it reached an upstream. The ticket may be used
    /// again.
    NotRun,
    /// The request did not run, and no request with the ticket will ever run, because its daemon is
    /// draining or the ticket is gone.
    Invalidated,
    /// The response of the upstream.
    Completed(Vec<u8>),
    /// The request may or may not have run.
    Unknown,
}

/// Violation of the at-most-once guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two requests with the same ticket ran.
    RanTwice(String),
    /// A request ran after its ticket had expired.
    RanExpired(String),
    /// A request ran although a daemon had responded that its ticket was invalidated.
    RanInvalidated(String),
    /// A response says that a request did not run, but it had run before.
    FalseNotRun(String),
    /// The request did not run, or its run produced another body than that of the response.
    WrongResponse(String),
    /// A request or an arrival got a second response.
    SecondResponse(u64),
    /// A request or an arrival got no response.
    NoResponse(u64),
    /// A response refers to an unknown request or arrival.
    UnknownId(u64),
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RanTwice(ticket) => write!(f, "ticket {ticket} ran twice"),
            Self::RanExpired(ticket) => write!(f, "ticket {ticket} ran after it had expired"),
            Self::RanInvalidated(ticket) => write!(f, "ticket {ticket} ran after invalidation"),
            Self::FalseNotRun(ticket) => write!(f, "ticket {ticket} ran but was reported not run"),
            Self::WrongResponse(ticket) => {
                write!(f, "ticket {ticket} got a body that its run did not produce")
            }
            Self::SecondResponse(id) => write!(f, "request or arrival {id} got a second response"),
            Self::NoResponse(id) => write!(f, "request or arrival {id} got no response"),
            Self::UnknownId(id) => write!(f, "no request or arrival has the id {id}"),
        }
    }
}

impl Error for Violation {}

/// Request that a caller sent.
struct Request {
    ticket: String,
    /// Hash that differs if the body differs.
    fingerprint: Fingerprint,
    /// Whether the caller received a response.
    answered: bool,
}

/// Execution of a request by an upstream.
struct Run {
    fingerprint: Fingerprint,
    /// Body that the upstream sends if it responds.
    response: Vec<u8>,
}

/// Arrival of a request at a daemon. A request arrives more than once if the network copies it.
struct Arrival {
    request_id: u64,
    /// Whether the daemon responded.
    answered: bool,
}

/// What is known about a ticket.
#[derive(Default)]
struct TicketHistory {
    /// Moment from which no request with the ticket may start to run.
    expiry: Moment,
    run: Option<Run>,
    /// Whether a daemon responded that no request with the ticket will ever run.
    invalidated: bool,
}

/// Records all requests, runs and responses and checks each of them against the earlier ones.
///
/// Requests and arrivals are identified by numbers that the test chooses. If it uses no number
/// twice, the number in a violation identifies a request or an arrival.
#[derive(Default)]
pub struct TicketOracle {
    requests: BTreeMap<u64, Request>,
    arrivals: BTreeMap<u64, Arrival>,
    tickets: BTreeMap<String, TicketHistory>,
}

impl TicketOracle {
    /// Records a ticket that a daemon issued, and its expiry.
    pub fn record_ticket(&mut self, ticket: &str, expiry: Moment) {
        let history = self.tickets.entry(ticket.to_owned()).or_default();
        history.expiry = expiry;
    }

    /// Records a request that a caller sent.
    pub fn record_request(&mut self, request_id: u64, ticket: &str, fingerprint: Fingerprint) {
        let request = Request {
            ticket: ticket.to_owned(),
            fingerprint,
            answered: false,
        };
        self.requests.insert(request_id, request);
    }

    /// Records that a request was sent to an upstream, which sends `response` if it responds.
    ///
    /// # Errors
    ///
    /// Returns a violation if the ticket was used by an earlier run, had expired, or was
    /// invalidated.
    pub fn record_run(
        &mut self,
        ticket: &str,
        fingerprint: Fingerprint,
        response: &[u8],
        now: Moment,
    ) -> Result<()> {
        let history = self.tickets.entry(ticket.to_owned()).or_default();
        if history.run.is_some() {
            return Err(Violation::RanTwice(ticket.to_owned()));
        }
        if now >= history.expiry {
            return Err(Violation::RanExpired(ticket.to_owned()));
        }
        if history.invalidated {
            return Err(Violation::RanInvalidated(ticket.to_owned()));
        }
        history.run = Some(Run {
            fingerprint,
            response: response.to_vec(),
        });
        Ok(())
    }

    /// Removes the recorded run of a ticket, because no byte of the request reached the upstream.
    pub fn remove_run(&mut self, ticket: &str) {
        if let Some(history) = self.tickets.get_mut(ticket) {
            history.run = None;
        }
    }

    /// Records the arrival of a request, or of a copy of it, at a daemon.
    pub fn record_arrival(&mut self, arrival_id: u64, request_id: u64) {
        let answered = false;
        self.arrivals.insert(
            arrival_id,
            Arrival {
                request_id,
                answered,
            },
        );
    }

    /// Records that the caller disconnected, so that this arrival needs no response.
    pub fn record_disconnect(&mut self, arrival_id: u64) {
        self.arrivals.remove(&arrival_id);
    }

    /// Records the response of a daemon to one arrival of a request.
    ///
    /// # Errors
    ///
    /// Returns a violation if the response contradicts what has run so far, or if the arrival has
    /// a response already.
    pub fn record_daemon_response(&mut self, arrival_id: u64, response: &Response) -> Result<()> {
        let unknown = Violation::UnknownId(arrival_id);
        let arrival = self.arrivals.get_mut(&arrival_id).ok_or(unknown)?;
        if std::mem::replace(&mut arrival.answered, true) {
            return Err(Violation::SecondResponse(arrival_id));
        }
        let request_id = arrival.request_id;
        self.check_response(request_id, response)
    }

    /// Records the response that a caller received.
    ///
    /// # Errors
    ///
    /// Returns a violation if the caller has received a response already, or if the response
    /// contradicts what has run so far.
    pub fn record_caller_response(&mut self, request_id: u64, response: &Response) -> Result<()> {
        // `NotRun` was checked when the daemon responded. By the time the caller receives it, a
        // copy of the request may have run, which is allowed unless the ticket is invalidated.
        if *response != Response::NotRun {
            self.check_response(request_id, response)?;
        }
        let unknown = Violation::UnknownId(request_id);
        let request = self.requests.get_mut(&request_id).ok_or(unknown)?;
        if std::mem::replace(&mut request.answered, true) {
            return Err(Violation::SecondResponse(request_id));
        }
        Ok(())
    }

    /// Checks a response against the run of the request, and records an invalidated ticket.
    fn check_response(&mut self, request_id: u64, response: &Response) -> Result<()> {
        let request = self
            .requests
            .get(&request_id)
            .ok_or(Violation::UnknownId(request_id))?;
        let history = self.tickets.entry(request.ticket.clone()).or_default();
        // A run with another fingerprint belongs to another request that reused the ticket.
        let run = history.run.as_ref();
        let run = run.filter(|run| run.fingerprint == request.fingerprint);
        match response {
            Response::NotRun | Response::Invalidated if run.is_some() => {
                Err(Violation::FalseNotRun(request.ticket.clone()))
            }
            Response::Completed(bytes) if run.is_none_or(|run| run.response != *bytes) => {
                Err(Violation::WrongResponse(request.ticket.clone()))
            }
            Response::Invalidated => {
                history.invalidated = true;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Checks, after all events, that every request and every arrival got a response.
    ///
    /// # Errors
    ///
    /// Returns a violation that names the first request or arrival without a response.
    pub fn check_complete(&self) -> Result<()> {
        let request = self.requests.iter().find(|(_, r)| !r.answered);
        let arrival = self.arrivals.iter().find(|(_, a)| !a.answered);
        let missing = request
            .map(|(request_id, _)| request_id)
            .or(arrival.map(|(arrival_id, _)| arrival_id));
        match missing {
            Some(id) => Err(Violation::NoResponse(*id)),
            None => Ok(()),
        }
    }
}
