//! Protocol between two daemons: the messages, their framing and the connection that carries them.
//!
//! A hop is the forwarding of a request from the daemon that received it from the caller to the
//! daemon beside the selected upstream. That daemon may hand the request back unrun, with the cause
//! `elsewhere`, if another upstream is expected to finish it sooner. The protocol also lets a
//! daemon ask another one for its view of the configuration.
//!
//! A frame is the length of a message in four bytes, big-endian, followed by the message in the
//! postcard format. A large body in it is neither copied when it is sent nor when it is received. An exchange is one [`HopCall`] and the [`HopReply`] messages that answer it. A
//! connection carries one exchange at a time; closing it cancels the exchange.

mod connection;
mod frame;

use std::io;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{Body, Payload};
use cornelvalve_model::{ConfigRevision, Fingerprint, LogPosition, Region, ServiceName};
use cornelvalve_policy::{LoadRateLimit, LoadReport};
use derive_more::{Display, Error};
use http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::control::KeptDomains;
use crate::desired::changes::{DesiredUpdate, StateId};
use crate::desired::{ControlView, DomainsOut, Version};
use crate::ports::Cause;

pub(crate) use connection::FrameConnection;
pub(crate) use frame::{Frame, encode};

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, HopError>;

/// Error of an exchange with another daemon.
#[derive(Debug, Display, Error)]
pub(crate) enum HopError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(#[error(not(source))] io::Error),
    /// The other side closed the connection.
    #[display("connection was closed")]
    Closed,
    /// A frame cannot be read.
    #[display("frame cannot be read: {_0}")]
    Malformed(#[error(not(source))] String),
    /// There was no memory for a frame, which was discarded. The connection stays usable.
    #[display("no memory is left for a frame of {_0} bytes")]
    NoMemory(#[error(not(source))] usize),
}

impl From<postcard::Error> for HopError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<io::Error> for HopError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// HTTP headers in a form that can be serialized.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct HopHeaders(Vec<(String, Bytes)>);

impl HopHeaders {
    /// Copies the headers from a header map.
    pub(crate) fn from_map(headers: &HeaderMap) -> Self {
        let pairs = headers.iter();
        Self(
            pairs
                .map(|(n, v)| (n.as_str().to_owned(), Bytes::copy_from_slice(v.as_bytes())))
                .collect(),
        )
    }

    /// Returns the headers as a header map, without those that are invalid.
    pub(crate) fn to_map(&self) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(self.0.len());
        for (name, value) in &self.0 {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_maybe_shared(value.clone());
            // The sender read both from a header map, so neither conversion fails for its frames.
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        headers
    }
}

/// Request that one daemon sends to the daemon beside the selected upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HopRequest {
    /// Identifier that the caller gave its request, for logs and for matching the response.
    pub(crate) attempt_id: Option<Box<str>>,
    /// Service to which the request is addressed.
    pub(crate) service: ServiceName,
    /// Service that sent the request: that of the upstream beside the forwarding daemon.
    pub(crate) caller: ServiceName,
    /// Name of the route that matched the request.
    pub(crate) route: Box<str>,
    /// Version of the desired state that the route was taken from.
    pub(crate) version: Version,
    /// Whether the request was sent to an upstream before.
    pub(crate) is_retry: bool,
    /// Regions in which the request may be served; any if empty.
    pub(crate) home_regions: SmallVec<[Region; 2]>,
    /// Priority; lower numbers are admitted first.
    pub(crate) priority: u8,
    /// Time left until a response misses the latency objective.
    pub(crate) objective_left: Duration,
    /// Time within which the daemon must send the outcome.
    pub(crate) time_left: Duration,
    /// Expected time until the request would finish at the next best upstream. The request is
    /// handed back if it is expected to finish clearly later than that; `None` forbids this.
    pub(crate) expected_elsewhere: Option<Duration>,
    /// HTTP method.
    pub(crate) method: Box<str>,
    /// Request target.
    pub(crate) target: Box<str>,
    /// Headers to send to the upstream.
    pub(crate) headers: HopHeaders,
    /// Request body; the last field, so that it is sent without a copy.
    #[serde(with = "body_bytes")]
    pub(crate) body: Body,
}

impl HopRequest {
    /// Returns a hash of the calling service, method, target and body, by which a repeated request
    /// is recognized.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let parts = [
            self.caller.as_str().as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
        ];
        let body = self.body.segments().iter().map(Bytes::as_ref);
        Fingerprint::of_segmented(&parts, body)
    }

    /// Returns the value of the `Host` header; empty if there is none.
    pub(crate) fn host(&self) -> &str {
        let mut headers = self.headers.0.iter();
        let host = headers.find(|(name, _)| name == HOST.as_str());
        host.map_or("", |(_, value)| {
            std::str::from_utf8(value).unwrap_or_default()
        })
    }

    /// Returns the HTTP method. The sender takes it from a parsed request, so it is always valid;
    /// the fallback is `GET`.
    pub(crate) fn method(&self) -> Method {
        Method::from_bytes(self.method.as_bytes()).unwrap_or_default()
    }
}

/// Complete response of an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HopResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Whether the status reports a failure of the upstream.
    pub(crate) failed: bool,
    /// Response headers.
    pub(crate) headers: HopHeaders,
    /// Response body.
    #[serde(with = "body_bytes")]
    pub(crate) body: Body,
    /// Duration of such requests while the upstream is not slowed down, as estimated by the daemon
    /// beside it.
    pub(crate) baseline: Duration,
}

impl HopResponse {
    /// Returns the HTTP status. The sender takes it from a parsed response, so it is always valid;
    /// the fallback is `502 Bad Gateway`.
    pub(crate) fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

/// Outcome of a request at the daemon beside the upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HopOutcome {
    /// The upstream answered.
    Answered(HopResponse),
    /// The request has not run and will not run.
    NotRun {
        /// Reason why it did not run.
        cause: Cause,
        /// Whether it reached the upstream, which refused it.
        reached_upstream: bool,
        /// Time after which the upstream is expected to have capacity.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Reason why the outcome is unknown.
        cause: Cause,
    },
}

/// Compact form of a [`LoadReport`], with the slowdown and the failure rate in percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HopLoad {
    running: u16,
    waiting: u16,
    slots: u16,
    slowdown_percent: u16,
    failure_percent: u8,
    cold: bool,
    /// Calls per second that the upstream accepts, in hundredths, and the time in milliseconds until
    /// it accepts another one; `None` if it names no limit.
    limit: Option<(u32, u32)>,
}

impl From<LoadReport> for HopLoad {
    fn from(report: LoadReport) -> Self {
        // Saturates at the maximum of the integer.
        let percent = |value: f64| (value * 100.0).round().clamp(0.0, 65_535.0) as u16;
        Self {
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            slowdown_percent: percent(report.slowdown),
            failure_percent: u8::try_from(percent(report.failure_rate)).unwrap_or(u8::MAX),
            cold: report.cold,
            limit: report.rate_limit.map(|l| {
                // Both saturate at the maximum of the integer.
                let hundredths = (l.per_second * 100.0).ceil() as u32;
                (hundredths, l.wait_ms.ceil() as u32)
            }),
        }
    }
}

impl From<HopLoad> for LoadReport {
    fn from(load: HopLoad) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            slowdown: f64::from(load.slowdown_percent) / 100.0,
            failure_rate: f64::from(load.failure_percent) / 100.0,
            cold: load.cold,
            rate_limit: load.limit.map(|(hundredths, wait_ms)| LoadRateLimit {
                per_second: f64::from(hundredths) / 100.0,
                wait_ms: f64::from(wait_ms),
            }),
        }
    }
}

/// First message of an exchange, sent by the daemon that opens it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HopCall {
    /// Asks the daemon to run a request at its upstream.
    Run(Box<HopRequest>),
    /// Asks for the daemon's complete view of the configuration. Daemons of earlier releases send
    /// it.
    Control,
    /// Asks for what the sender lacks of the daemon's configuration. The sender has this desired
    /// state, or none.
    ControlSince(Option<StateId>),
}

/// Message sent in reply to a [`HopCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HopReply {
    /// Acknowledges that a request was received; `Done` follows when it has ended.
    Received,
    /// The request has ended.
    Done {
        /// Outcome of the request.
        outcome: HopOutcome,
        /// Load of the upstream after the request; `None` if there is no upstream.
        load: Option<HopLoad>,
    },
    /// The daemon's view of the configuration.
    Control(Box<ControlView>),
    /// What the other daemon lacks of this daemon's configuration.
    ControlUpdate(Box<ControlUpdate>),
}

/// Configuration of a daemon, as far as another daemon lacks it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ControlUpdate {
    /// Position in the store's log up to which the configuration includes all changes.
    pub(crate) position: LogPosition,
    /// Failure domains that the store's records take out of service.
    pub(crate) domains_out: DomainsOut,
    /// Further domains that are kept out of service after a restore of the store.
    pub(crate) kept: KeptDomains,
    /// Desired state of the sender, which the receiver must have after the update; `None` if the
    /// sender has none.
    pub(crate) state: Option<StateId>,
    /// The desired state or its changes.
    pub(crate) desired: DesiredUpdate,
}

impl ControlUpdate {
    /// Returns the revision of the sender's configuration.
    pub(crate) fn revision(&self) -> ConfigRevision {
        ConfigRevision {
            position: self.position,
            version: self.state.map_or(0, |state| state.version.0),
            keeps_domains: !self.kept.kept.is_empty(),
        }
    }
}

/// Message of the protocol.
pub(crate) trait Message: Serialize + DeserializeOwned {
    /// Returns the body that the message carries; `None` if it cannot carry one.
    fn body_mut(&mut self) -> Option<&mut Body>;

    /// Returns the encoded fields that follow the body.
    ///
    /// # Errors
    ///
    /// Returns [`HopError::Malformed`] if they cannot be encoded.
    fn encode_tail(&self) -> Result<Vec<u8>>;
}

impl Message for HopCall {
    fn body_mut(&mut self) -> Option<&mut Body> {
        match self {
            Self::Run(request) => Some(&mut request.body),
            Self::Control | Self::ControlSince(_) => None,
        }
    }

    fn encode_tail(&self) -> Result<Vec<u8>> {
        // The body is the last field of a request.
        Ok(Vec::new())
    }
}

impl Message for HopReply {
    fn body_mut(&mut self) -> Option<&mut Body> {
        match self {
            Self::Done {
                outcome: HopOutcome::Answered(response),
                ..
            } => Some(&mut response.body),
            _ => None,
        }
    }

    fn encode_tail(&self) -> Result<Vec<u8>> {
        match self {
            Self::Done {
                outcome: HopOutcome::Answered(response),
                load,
            } => postcard::to_allocvec(&(response.baseline, load)).map_err(HopError::from),
            _ => Ok(Vec::new()),
        }
    }
}

/// Encoding of bodies in a message.
mod body_bytes {
    use bytes::Bytes;
    use cornelvalve_http1::Body;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(body: &Body, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&body.to_bytes())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Body, D::Error> {
        Bytes::deserialize(deserializer).map(Body::from)
    }
}
