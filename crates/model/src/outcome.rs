//! Outcomes of requests, and reasons for which a request fails.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
///
/// The outcome determines whether a request may be retried. A request that is not idempotent may be
/// sent again only if its outcome is [`Outcome::NotRun`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was not executed, because no byte of it reached an upstream.
    #[display("not-run")]
    NotRun,
    /// The request was executed, and the upstream responded.
    #[display("completed")]
    Completed,
    /// The request may or may not have been executed.
    #[display("unknown")]
    Unknown,
}

/// Reason for which a request was refused or its outcome is unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The daemon has not applied any configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// No configured service matches the host and path of the request.
    #[display("unknown-service")]
    UnknownService,
    /// The request names no team, or one that is not configured.
    #[display("unknown-team")]
    UnknownTeam,
    /// Data residency rules do not allow the request in any region where it could be served.
    #[display("home-region")]
    HomeRegion,
    /// No upstream of the service is available.
    #[display("no-upstream")]
    NoUpstream,
    /// The failure domain of the daemon, or of every available upstream, is out of service.
    #[display("domain-out")]
    DomainOut,
    /// The upstream is draining, or its daemon is stopping.
    #[display("draining")]
    Draining,
    /// The admission queue is full, or the request would miss its deadline while queued.
    #[display("overloaded")]
    Overloaded,
    /// The deadline of the request has passed.
    #[display("deadline")]
    Deadline,
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The request is nested too deeply in other requests (`cornelvalve_wire::hop::MAX_DEPTH`),
    /// which usually means that services call each other in a loop.
    #[display("too-deep")]
    TooDeep,
    /// The idempotency key is malformed, or is not a ticket that a daemon issued (see
    /// [`IdempotencyKey`](crate::IdempotencyKey)).
    #[display("bad-ticket")]
    BadTicket,
    /// The ticket that was sent as the idempotency key has expired, or the daemon that issued it is
    /// gone.
    #[display("ticket-gone")]
    TicketGone,
    /// An upstream crashed while it executed the request, or upstreams recently crashed more than
    /// once while they executed requests with the same [`Fingerprint`](crate::Fingerprint).
    #[display("crash-suspect")]
    CrashSuspect,
    /// The connection to another daemon or to the upstream failed.
    #[display("connection")]
    Connection,
    /// The daemon's process was paused, and the daemon has not yet checked with the log or other
    /// daemons whether its configuration is current. Or another daemon routed the request by an
    /// older configuration.
    #[display("stale-configuration")]
    StaleConfiguration,
    /// An internal service of the daemon is overloaded or is being restarted.
    #[display("internal")]
    Internal,
}

impl Reason {
    /// Returns advice for the client or operator on how to resolve the failure.
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

/// Failure of a request that got no response from an upstream.
///
/// Despite its name, it also covers requests that may have been executed ([`Outcome::Unknown`]).
/// The outcome is never [`Outcome::Completed`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{reason} ({outcome}); {}", reason.remedy())]
pub struct Refusal {
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Why the request got no response.
    pub reason: Reason,
}

impl Refusal {
    /// Creates a refusal with [`Outcome::NotRun`], for a request that was not executed.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }

    /// Creates a refusal with [`Outcome::Unknown`], for a request that may have been executed.
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }
}
