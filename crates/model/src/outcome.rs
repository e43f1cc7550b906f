//! The three outcomes of a request and the reasons for a refusal.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
///
/// The distinction decides whether a request may be sent again: only [`Outcome::NotRun`] allows
/// it for a request that is not idempotent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached an upstream.
    #[display("not-run")]
    NotRun,
    /// The upstream answered.
    #[display("completed")]
    Completed,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request was refused or its outcome is unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No configuration has been accepted yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// No service matches the host and path.
    #[display("unknown-service")]
    UnknownService,
    /// The team is missing or not configured.
    #[display("unknown-team")]
    UnknownTeam,
    /// The request is bound to other regions.
    #[display("home-region")]
    HomeRegion,
    /// No upstream of the service can take the request.
    #[display("no-upstream")]
    NoUpstream,
    /// The failure domain is out of service.
    #[display("domain-out")]
    DomainOut,
    /// The upstream or its daemon is leaving.
    #[display("draining")]
    Draining,
    /// The queue is full or the deadline cannot be met.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The request is nested too deep.
    #[display("too-deep")]
    TooDeep,
    /// The idempotency key was not issued by the system, or is malformed.
    #[display("bad-ticket")]
    BadTicket,
    /// The ticket expired or its issuer is gone.
    #[display("ticket-gone")]
    TicketGone,
    /// The request is suspected of crashing upstreams.
    #[display("crash-suspect")]
    CrashSuspect,
    /// The connection failed.
    #[display("connection")]
    Connection,
    /// The process was paused and has not confirmed its configuration since.
    #[display("stale-configuration")]
    StaleConfiguration,
    /// The process is overloaded or restarting a service.
    #[display("internal")]
    Internal,
}

impl Reason {
    /// Returns what the caller or operator can do about it.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::NoConfiguration => {
                "try another daemon, or wait until this one has read the configuration"
            }
            Self::UnknownService => {
                "check host and path, or ask the operators to create the service"
            }
            Self::UnknownTeam => "set the cornelvalve-team header to a configured team",
            Self::HomeRegion => "send the request to an address in one of its home regions",
            Self::NoUpstream => "try again later; no upstream of the service is available",
            Self::DomainOut => "send the request to a daemon in another failure domain",
            Self::Draining => "send the request to another daemon",
            Self::Overloaded => "try again later with a longer deadline",
            Self::Deadline => "send the request with a longer deadline",
            Self::BadRequest => "correct the request as the detail says",
            Self::TooDeep => "shorten the chain of nested calls",
            Self::BadTicket => {
                "request a ticket from /.well-known/cornelvalve/tickets and send it as idempotency-key"
            }
            Self::TicketGone => {
                "check with the service whether the request took effect before using a new ticket"
            }
            Self::CrashSuspect => {
                "report the request to the operators; upstreams failed while running it"
            }
            Self::Connection => "check whether the request took effect before sending it again",
            Self::StaleConfiguration | Self::Internal => {
                "try again, or send the request to another daemon"
            }
        }
    }
}

/// A request that was not answered by an upstream.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{reason} ({outcome}); {}", reason.remedy())]
pub struct Refusal {
    /// What is known about the execution.
    pub outcome: Outcome,
    /// Why there is no answer.
    pub reason: Reason,
}

impl Refusal {
    /// Creates a refusal of a request of which no byte reached an upstream.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }

    /// Creates the report of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }
}
