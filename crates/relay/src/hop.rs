//! Protocol between two daemons: the messages, their framing and the connection that carries them.
//!
//! A hop is the forwarding of a request from the daemon that received it from the caller to the
//! daemon beside the selected upstream. That daemon may hand the request back unrun, with the cause
//! `elsewhere`, if another upstream is expected to finish it sooner. The protocol also lets a
//! daemon ask another one for its view of the configuration.
//!
//! A frame is the length of a message in four bytes, big-endian, followed by the message in the
//! postcard format. An exchange is one [`HopCall`] and the [`HopReply`] messages that answer it. A
//! connection carries one exchange at a time; closing it cancels the exchange.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cornelvalve_http1::{SocketTimeouts, connect};
use cornelvalve_model::{ConfigRevision, Fingerprint, LogPosition, Region, ServiceName};
use cornelvalve_policy::{LoadRateLimit, LoadReport};
use derive_more::{Display, Error};
use http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::control::KeptDomains;
use crate::desired::changes::{DesiredUpdate, StateId};
use crate::desired::{ControlView, DomainsOut, Version};
use crate::ports::Cause;

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, HopError>;

/// Maximum size of a received message in bytes. It exceeds the default limit on the request bodies
/// of callers, so that a request with the largest body and its headers fits.
const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Minimum free space in bytes in the read buffer before each read.
const READ_BYTES: usize = 4096;

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
    /// Request body.
    pub(crate) body: Bytes,
}

impl HopRequest {
    /// Returns a hash of the calling service, method, target and body, by which a repeated request
    /// is recognized.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&[
            self.caller.as_str().as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
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
    pub(crate) body: Bytes,
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

/// Returns the frame of a message.
///
/// # Errors
///
/// Returns [`HopError::Malformed`] if the message cannot be encoded or is too long.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let malformed = |e: postcard::Error| HopError::Malformed(e.to_string());
    let mut frame = postcard::to_extend(message, vec![0; 4]).map_err(malformed)?;
    let length = u32::try_from(frame.len() - 4);
    let length = length.map_err(|_| HopError::Malformed("frame is too long".to_owned()))?;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    Ok(frame)
}

/// Connection to another daemon, on which frames are sent and received.
#[derive(Debug)]
pub(crate) struct FrameConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl FrameConnection {
    /// Creates a connection from a connected socket.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Opens a connection to a daemon.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the daemon cannot be reached within the timeout.
    pub(crate) async fn open(addr: SocketAddr, timeouts: SocketTimeouts) -> io::Result<Self> {
        Ok(Self::new(connect(addr, timeouts).await?))
    }

    /// Returns whether the connection is open and has no unread data.
    ///
    /// A byte that is read here is lost, but a connection with unread data is not reusable anyway.
    pub(crate) fn is_idle(&self) -> bool {
        let mut probe = [0];
        let read = self.stream.try_read(&mut probe);
        self.buffer.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a frame as returned by [`encode`].
    ///
    /// # Errors
    ///
    /// Returns [`HopError::Io`] if the connection failed.
    pub(crate) async fn send(&mut self, frame: &[u8]) -> Result<()> {
        Ok(self.stream.write_all(frame).await?)
    }

    /// Receives the next message. This is cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if the connection failed or was closed, or if the message cannot be
    /// decoded.
    pub(crate) async fn receive<T: DeserializeOwned>(&mut self) -> Result<T> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return postcard::from_bytes(&frame)
                    .map_err(|e| HopError::Malformed(e.to_string()));
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(HopError::Closed);
            }
        }
    }

    /// Waits until the other side closes the connection, or violates the protocol by sending data
    /// while an exchange is pending. Returns at once if such data is already buffered.
    pub(crate) async fn wait_closed(&mut self) {
        if self.buffer.is_empty() {
            let _ = self.stream.read_buf(&mut self.buffer).await;
        }
    }

    /// Takes the message of a complete frame out of the buffer; `None` if the frame is incomplete.
    fn take_frame(&mut self) -> Result<Option<Bytes>> {
        let Some(length) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(HopError::Malformed(format!(
                "frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            )));
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        let mut frame = self.buffer.split_to(4 + length);
        Ok(Some(frame.split_off(4).freeze()))
    }
}
