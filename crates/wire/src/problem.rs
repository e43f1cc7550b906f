//! Problem documents (RFC 9457), the response bodies of requests that have no response from an
//! upstream.

use cornelvalve_model::{Outcome, Reason, Refusal};
use http::StatusCode;
use serde::{Deserialize, Serialize};

/// Media type of problem documents.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Problem document of a refusal: says whether the request was run, why there is no response from
/// an upstream, and what the caller can do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type: the relative reference `/problems/` followed by the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary of the outcome.
    pub title: String,
    /// HTTP status code of the response.
    pub status: u16,
    /// Whether the request was executed, as far as the daemon knows.
    pub outcome: Outcome,
    /// Why there is no response from an upstream.
    pub reason: Reason,
    /// What the caller can do about it.
    pub remedy: String,
    /// Details of this occurrence, such as the addresses at which home regions accept the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

impl Problem {
    /// Creates the problem document of a refusal.
    #[must_use]
    pub fn new(refusal: Refusal, detail: Option<String>) -> Self {
        let Refusal { outcome, reason } = refusal;
        let title = match outcome {
            Outcome::NotRun => "The request was not run",
            // No refusal has this outcome.
            Outcome::Completed => "The request was completed",
            Outcome::Unknown => "The outcome of the request is unknown",
        };
        Self {
            kind: format!("/problems/{reason}"),
            title: title.to_owned(),
            status: status(reason).as_u16(),
            outcome,
            reason,
            remedy: reason.remedy().to_owned(),
            detail,
        }
    }

    /// Returns the document as JSON.
    ///
    /// # Panics
    ///
    /// Never panics, because every field is encoded as a string or a number.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers encode")
    }
}

/// Returns the HTTP status of a response with this reason.
///
/// Some reasons concern tickets, which are idempotency keys that the daemons issue, or home
/// regions, which are the only regions where a request may run.
#[must_use]
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::UnknownTeam => StatusCode::FORBIDDEN,
        Reason::HomeRegion => StatusCode::MISDIRECTED_REQUEST,
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::BadTicket | Reason::CrashSuspect => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::TicketGone => StatusCode::CONFLICT,
        Reason::TooDeep => StatusCode::LOOP_DETECTED,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::Connection => StatusCode::BAD_GATEWAY,
        Reason::NoConfiguration
        | Reason::NoUpstream
        | Reason::DomainOut
        | Reason::Draining
        | Reason::Overloaded
        | Reason::StaleConfiguration
        | Reason::Internal => StatusCode::SERVICE_UNAVAILABLE,
    }
}
