//! What the responses of an upstream say about the upstream itself.

use crate::Moment;

/// What a response of an upstream says about the rate of requests that the upstream accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimitSignal {
    /// It names no limit.
    #[default]
    Unlimited,
    /// The upstream accepts this number of requests per second from all callers together.
    PerSecond(f64),
    /// It names a limit that is not a number of requests per second.
    Invalid,
}

impl RateLimitSignal {
    /// Decodes the decimal number of a header that names a limit; `None` is a value that is no text.
    #[must_use]
    pub fn parse(text: Option<&str>) -> Self {
        match text.and_then(|t| t.trim().parse::<f64>().ok()) {
            Some(limit) if limit >= 0.0 && limit.is_finite() => Self::PerSecond(limit),
            _ => Self::Invalid,
        }
    }
}

/// What every response of an upstream says about the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// Limit on the rate of its requests.
    pub rate_limit: RateLimitSignal,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
}

/// What one response of an upstream says about the upstream.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSignals {
    /// Moment from which the request was sent; the response is not older.
    pub sent: Moment,
    /// What the response says.
    pub signals: UpstreamSignals,
}
