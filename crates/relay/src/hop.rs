//! Messages between two daemons on one connection, and their frames.
//!
//! A frame is a length of four bytes followed by a postcard message. One exchange uses a connection
//! at a time; closing it cancels the exchange.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cornelvalve_http1::{SocketTimeouts, connect};
use cornelvalve_model::{Fingerprint, Region, ServiceName};
use cornelvalve_policy::LoadReport;
use derive_more::{Display, Error};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::desired::ControlView;
use crate::ports::Cause;

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, HopError>;

/// Largest frame in bytes; above the largest body that callers may send.
const MAX_FRAME_BYTES: usize = 72 * 1024 * 1024;

/// Bytes by which a read buffer grows.
const READ_BYTES: usize = 4096;

/// Reports a failed exchange of frames.
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

/// Headers in the form in which they cross a hop.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct HopHeaders(Vec<(String, Bytes)>);

impl HopHeaders {
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let pairs = headers.iter();
        Self(
            pairs
                .map(|(n, v)| (n.as_str().to_owned(), Bytes::copy_from_slice(v.as_bytes())))
                .collect(),
        )
    }

    pub(crate) fn to_map(&self) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(self.0.len());
        for (name, value) in &self.0 {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_maybe_shared(value.clone());
            // Both were headers at the sender, so neither conversion fails for frames of a daemon.
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        headers
    }
}

/// Request on its way to the daemon beside an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HopRequest {
    /// Identifies the caller's attempt.
    pub(crate) attempt: Option<Box<str>>,
    /// Service that should run it.
    pub(crate) service: ServiceName,
    /// Service beside which it began.
    pub(crate) caller: ServiceName,
    /// Name of its route.
    pub(crate) route: Box<str>,
    /// Whether it was sent to an upstream before.
    pub(crate) is_retry: bool,
    /// Regions in which it may be served; any if empty.
    pub(crate) home_regions: SmallVec<[Region; 2]>,
    /// Priority; lower numbers go first.
    pub(crate) priority: u8,
    /// Time until the answer misses the latency objective.
    pub(crate) objective_left: Duration,
    /// Time for which the caller waits.
    pub(crate) time_left: Duration,
    /// Time after which the request would end at the next best place.
    pub(crate) expected_elsewhere: Option<Duration>,
    /// Method.
    pub(crate) method: Box<str>,
    /// Request target.
    pub(crate) target: Box<str>,
    /// Headers for the upstream.
    pub(crate) headers: HopHeaders,
    /// Body.
    pub(crate) body: Bytes,
}

impl HopRequest {
    /// Returns what a request has in common with later ones that are the same.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&[
            self.caller.as_str().as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
    }

    pub(crate) fn method(&self) -> Method {
        Method::from_bytes(self.method.as_bytes()).unwrap_or_default()
    }
}

/// Whole answer of an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HopAnswer {
    /// Status.
    pub(crate) status: u16,
    /// Whether the status reports a failure of the upstream.
    pub(crate) failed: bool,
    /// Headers.
    pub(crate) headers: HopHeaders,
    /// Body.
    pub(crate) body: Bytes,
    /// Time that such work takes there at usual speed.
    pub(crate) usual: Duration,
}

impl HopAnswer {
    pub(crate) fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

/// What became of a request at the daemon beside the upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HopOutcome {
    /// The upstream answered.
    Answered(HopAnswer),
    /// The request has not run and will not.
    NotRun {
        /// Why.
        cause: Cause,
        /// Whether it reached the upstream, which refused it.
        arrived: bool,
        /// Time after which the upstream is expected to have room.
        wait: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        cause: Cause,
    },
}

/// Load as it crosses a hop; slowdown and failures in hundredths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HopLoad {
    running: u16,
    waiting: u16,
    slots: u16,
    slowdown_percent: u16,
    failure_percent: u8,
    cold: bool,
}

impl From<LoadReport> for HopLoad {
    fn from(report: LoadReport) -> Self {
        let percent = |share: f64| (share * 100.0).round().clamp(0.0, 65_535.0) as u16;
        Self {
            running: report.running,
            waiting: report.waiting,
            slots: report.slots,
            slowdown_percent: percent(report.slowdown),
            failure_percent: u8::try_from(percent(report.failure_rate)).unwrap_or(u8::MAX),
            cold: report.cold,
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
        }
    }
}

/// First frame of an exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HopCall {
    /// Runs a request.
    Run(Box<HopRequest>),
    /// Asks for what operators have decided, as the other daemon knows it.
    Control,
}

/// Answering frames.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum HopReply {
    /// The request has arrived; its outcome follows.
    Taken,
    /// The outcome of the request with the load at that time.
    Done {
        /// Outcome.
        outcome: HopOutcome,
        /// Load of the upstream; unknown if there is none.
        load: Option<HopLoad>,
    },
    /// What operators have decided.
    Control(Box<ControlView>),
}

/// Encodes a frame.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let malformed = |e: postcard::Error| HopError::Malformed(e.to_string());
    let mut frame = postcard::to_extend(message, vec![0; 4]).map_err(malformed)?;
    let length = u32::try_from(frame.len() - 4);
    let length = length.map_err(|_| HopError::Malformed("frame is too long".to_owned()))?;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    Ok(frame)
}

/// Connection that carries frames.
#[derive(Debug)]
pub(crate) struct FrameConnection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl FrameConnection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    pub(crate) async fn open(addr: SocketAddr, timeouts: SocketTimeouts) -> io::Result<Self> {
        Ok(Self::new(connect(addr, timeouts).await?))
    }

    /// Tells whether an idle connection is open and holds nothing unread.
    pub(crate) fn is_idle(&self) -> bool {
        let mut probe = [0];
        let read = self.stream.try_read(&mut probe);
        self.buffer.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends an encoded frame.
    pub(crate) async fn send(&mut self, frame: &[u8]) -> Result<()> {
        Ok(self.stream.write_all(frame).await?)
    }

    /// Receives a frame. Cancelling this loses nothing.
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

    /// Waits until the other side closes the connection or breaks the protocol by sending more.
    pub(crate) async fn closed(&mut self) {
        if self.buffer.is_empty() {
            let _ = self.stream.read_buf(&mut self.buffer).await;
        }
    }

    fn take_frame(&mut self) -> Result<Option<Bytes>> {
        let Some(length) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(HopError::Malformed(format!("frame of {length} bytes")));
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        let mut frame = self.buffer.split_to(4 + length);
        Ok(Some(frame.split_off(4).freeze()))
    }
}
