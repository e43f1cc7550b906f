//! Judges at-most-once execution from what was sent, run and answered.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::{Display, Formatter};

use cornelvalve_model::{Fingerprint, Moment};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, Violation>;

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Refused before any byte reached an upstream; the ticket may be used again.
    NotRun,
    /// Refused before any byte reached an upstream; the ticket can never run.
    Burned,
    /// The upstream's answer.
    Completed(Vec<u8>),
    /// May have run.
    Unknown,
}

/// Broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A ticket ran twice.
    RanTwice(String),
    /// A ticket ran after it had expired.
    RanExpired(String),
    /// A ticket ran after the answer that it never would.
    RanAfterBurned(String),
    /// A request was called not run although it ran before.
    FalseNotRun(String),
    /// An answer differs from that of the run of the request.
    WrongAnswer(String),
    /// A request, or one arrival of it, got a second answer.
    AnsweredTwice(u64),
    /// A request, or one arrival of it, got no answer.
    Unanswered(u64),
    /// An answer belongs to no request or arrival.
    NeverSent(u64),
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RanTwice(ticket) => write!(f, "ticket {ticket} ran twice"),
            Self::RanExpired(ticket) => write!(f, "ticket {ticket} ran after it had expired"),
            Self::RanAfterBurned(ticket) => write!(f, "ticket {ticket} ran after it was burned"),
            Self::FalseNotRun(ticket) => write!(f, "ticket {ticket} ran and was called not run"),
            Self::WrongAnswer(ticket) => write!(f, "ticket {ticket} got another run's answer"),
            Self::AnsweredTwice(call) => write!(f, "call {call} was answered twice"),
            Self::Unanswered(call) => write!(f, "call {call} was not answered"),
            Self::NeverSent(call) => write!(f, "call {call} was answered and never sent"),
        }
    }
}

impl Error for Violation {}

struct Request {
    ticket: String,
    fingerprint: Fingerprint,
    answered: bool,
}

struct Run {
    fingerprint: Fingerprint,
    answer: Vec<u8>,
}

/// One arrival of a request at a daemon.
struct Copy {
    call: u64,
    answered: bool,
}

#[derive(Default)]
struct History {
    /// Moment from which the ticket must not run.
    expiry: Moment,
    run: Option<Run>,
    burned: bool,
}

/// Record of everything that was sent, run and answered.
#[derive(Default)]
pub struct TicketOracle {
    requests: BTreeMap<u64, Request>,
    copies: BTreeMap<u64, Copy>,
    tickets: BTreeMap<String, History>,
}

impl TicketOracle {
    /// Records a ticket that a daemon issued and its expiry.
    pub fn issued(&mut self, ticket: &str, expiry: Moment) {
        let history = self.tickets.entry(ticket.to_owned()).or_default();
        history.expiry = expiry;
    }

    /// Records a request that a caller sent.
    pub fn sent(&mut self, call: u64, ticket: &str, fingerprint: Fingerprint) {
        let request = Request {
            ticket: ticket.to_owned(),
            fingerprint,
            answered: false,
        };
        self.requests.insert(call, request);
    }

    /// Records that a request was given to an upstream, which will answer `answer` if it answers.
    ///
    /// # Errors
    ///
    /// Returns a violation if the ticket ran before, had expired or was burned.
    pub fn ran(
        &mut self,
        ticket: &str,
        fingerprint: Fingerprint,
        answer: &[u8],
        now: Moment,
    ) -> Result<()> {
        let history = self.tickets.entry(ticket.to_owned()).or_default();
        if history.run.is_some() {
            return Err(Violation::RanTwice(ticket.to_owned()));
        }
        if now >= history.expiry {
            return Err(Violation::RanExpired(ticket.to_owned()));
        }
        if history.burned {
            return Err(Violation::RanAfterBurned(ticket.to_owned()));
        }
        history.run = Some(Run {
            fingerprint,
            answer: answer.to_vec(),
        });
        Ok(())
    }

    /// Records that no byte of a run reached the upstream after all.
    pub fn taken_back(&mut self, ticket: &str) {
        if let Some(history) = self.tickets.get_mut(ticket) {
            history.run = None;
        }
    }

    /// Records the arrival of a request, or of a copy of it, at a daemon.
    pub fn arrived(&mut self, arrival: u64, call: u64) {
        let answered = false;
        self.copies.insert(arrival, Copy { call, answered });
    }

    /// Records that nobody waits for the answer to an arrival any more.
    pub fn left(&mut self, arrival: u64) {
        self.copies.remove(&arrival);
    }

    /// Records the answer that a daemon gave to one arrival of a request.
    ///
    /// # Errors
    ///
    /// Returns a violation if the answer is untrue at this point, or the second one.
    pub fn answered(&mut self, arrival: u64, answer: &Answer) -> Result<()> {
        let missing = Violation::NeverSent(arrival);
        let copy = self.copies.get_mut(&arrival).ok_or(missing)?;
        if std::mem::replace(&mut copy.answered, true) {
            return Err(Violation::AnsweredTwice(arrival));
        }
        let call = copy.call;
        self.judge(call, answer)
    }

    /// Records the answer that a caller got.
    ///
    /// # Errors
    ///
    /// Returns a violation if the caller had one, or if the answer is not that of the run.
    pub fn received(&mut self, call: u64, answer: &Answer) -> Result<()> {
        // "Not run" is judged when it is given: a copy of the request may run after it, unless
        // the ticket is burned.
        if *answer != Answer::NotRun {
            self.judge(call, answer)?;
        }
        let missing = Violation::NeverSent(call);
        let request = self.requests.get_mut(&call).ok_or(missing)?;
        if std::mem::replace(&mut request.answered, true) {
            return Err(Violation::AnsweredTwice(call));
        }
        Ok(())
    }

    fn judge(&mut self, call: u64, answer: &Answer) -> Result<()> {
        let request = self.requests.get(&call).ok_or(Violation::NeverSent(call))?;
        let history = self.tickets.entry(request.ticket.clone()).or_default();
        let run = history.run.as_ref();
        let run = run.filter(|run| run.fingerprint == request.fingerprint);
        match answer {
            Answer::NotRun | Answer::Burned if run.is_some() => {
                Err(Violation::FalseNotRun(request.ticket.clone()))
            }
            Answer::Completed(bytes) if run.is_none_or(|run| run.answer != *bytes) => {
                Err(Violation::WrongAnswer(request.ticket.clone()))
            }
            Answer::Burned => {
                history.burned = true;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Checks at the end that every request and every arrival was answered.
    ///
    /// # Errors
    ///
    /// Returns a violation if one was not.
    pub fn finished(&self) -> Result<()> {
        let request = self.requests.iter().find(|(_, r)| !r.answered);
        let copy = self.copies.iter().find(|(_, c)| !c.answered);
        let missing = request
            .map(|(call, _)| call)
            .or(copy.map(|(arrival, _)| arrival));
        match missing {
            Some(number) => Err(Violation::Unanswered(*number)),
            None => Ok(()),
        }
    }
}
