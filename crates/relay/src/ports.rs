//! What a platform supplies: a store, a dialect of HTTP and a form of check-ins.
//!
//! These traits are the border of the product. Their implementations translate and decide nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{BoxFuture, Request, Response};
use cornelvalve_model::{FailureDomain, ServiceName, VmName};
use derive_more::{Display, Error};
use http::HeaderMap;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::desired::{ControlView, DesiredState};

/// Result alias of calls to the store.
pub type StoreResult<T> = std::result::Result<T, StoreError>;

/// Reports why the store gave no usable answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store could not be reached or did not answer in time; a write may have taken effect.
    #[display("store did not answer: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The store refused the call, which had no effect.
    #[display("store refused the call with status {_0}")]
    Refused(#[error(not(source))] u16),
    /// The records asked for are no longer kept.
    #[display("records at this position are no longer kept")]
    HistoryLost,
    /// The answer cannot be read.
    #[display("answer of the store cannot be read: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// Change that an operator made.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlChange {
    /// A new desired state.
    Desired(Box<DesiredState>),
    /// A failure domain was taken out of service.
    DomainOut(FailureDomain),
    /// A failure domain was returned.
    DomainReturned(FailureDomain),
    /// A record that cannot be read; the state before it holds.
    Unreadable(String),
}

/// Changes since a position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlChanges {
    /// Changes in order.
    pub changes: Vec<ControlChange>,
    /// Position at which the next read goes on.
    pub position: u64,
}

/// Daemon that announced itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name of its VM.
    pub vm: VmName,
    /// Address for other daemons.
    pub addr: SocketAddr,
}

/// The platform's store, as far as the product uses it.
pub trait ControlStore: Send + Sync {
    /// Reads everything that operators have decided.
    fn view(&self) -> BoxFuture<'_, StoreResult<ControlView>>;

    /// Reads the changes since a position, waiting up to `wait` for the first.
    fn changes(&self, position: u64, wait: Duration) -> BoxFuture<'_, StoreResult<ControlChanges>>;

    /// Announces this daemon to others.
    fn announce<'a>(&'a self, record: &'a PeerRecord) -> BoxFuture<'a, StoreResult<()>>;

    /// Reads the daemons that announced themselves.
    fn peers(&self) -> BoxFuture<'_, StoreResult<Vec<PeerRecord>>>;
}

/// What a caller says about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerMetadata {
    /// Identifies the attempt of the caller.
    pub attempt: Option<Box<str>>,
    /// Time for which the caller will wait.
    pub time_left: Option<Duration>,
}

/// What an upstream is told about a request besides its own headers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMetadata<'a> {
    /// Service beside which the request began.
    pub caller: &'a ServiceName,
    /// Identifier of the process that should run it.
    pub instance: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
}

/// Load that an upstream reports of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Requests that run.
    pub running: u16,
    /// Requests that wait inside the upstream.
    pub waiting: u16,
    /// Requests that it runs at once.
    pub slots: u16,
    /// How many times longer than usual work takes on its VM now.
    pub slowdown: Option<f64>,
}

/// What the response of an upstream means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// A whole answer of the upstream; whether it reports a failure of its own.
    Answer {
        /// Whether the status reports a failure of the upstream.
        failed: bool,
    },
    /// The upstream did not run the request.
    NotRun,
    /// Another process has the address; it did not run the request.
    OtherInstance,
    /// The response is not the upstream's, or not whole.
    Invalid,
}

/// Why a request is refused or failed by the product itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// No desired state is known yet.
    #[display("no-desired-state")]
    NoDesiredState,
    /// No route matches.
    #[display("no-route")]
    NoRoute,
    /// No upstream of the service may be used.
    #[display("no-upstream")]
    NoUpstream,
    /// The request cannot be served before its deadline.
    #[display("overloaded")]
    Overloaded,
    /// The upstream beside the daemon leaves, has left or is another one.
    #[display("upstream-leaving")]
    Leaving,
    /// The failure domain is out of service.
    #[display("domain-out")]
    DomainOut,
    /// Another place is expected to be faster.
    #[display("elsewhere")]
    Elsewhere,
    /// The upstream refused to run the request.
    #[display("upstream-refused")]
    UpstreamRefused,
    /// The upstream or its daemon could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The connection failed after the request was sent.
    #[display("connection-lost")]
    ConnectionLost,
    /// The response was not whole or not the upstream's.
    #[display("spoiled-answer")]
    SpoiledAnswer,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The request has crashed upstreams.
    #[display("crash-suspect")]
    CrashSuspect,
    /// A service of the daemon does not answer.
    #[display("internal")]
    Internal,
}

/// Final answer of the product in place of an upstream's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Why.
    pub cause: Cause,
    /// Whether the request has certainly not run and never will.
    pub not_run: bool,
    /// Time after which the caller may come back.
    pub retry_after: Option<Duration>,
}

/// How callers and upstreams speak HTTP on the platform.
pub trait Dialect: Send + Sync {
    /// Reads what a caller says about its request.
    fn caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata;

    /// Removes headers that concern one connection only or that the product sets itself.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Sets what the upstream is told besides the caller's own headers.
    fn set_upstream_metadata(&self, headers: &mut HeaderMap, head: UpstreamMetadata<'_>);

    /// Tells whether a response belongs to an attempt or at least names no other.
    fn matches_attempt(&self, response: &Response, attempt: Option<&str>) -> bool;

    /// Tells what the response of an upstream means.
    fn classify_response(&self, response: &Response, attempt: Option<&str>) -> ResponseOutcome;

    /// Reads the load that an upstream reports.
    fn load(&self, headers: &HeaderMap) -> Option<UpstreamLoad>;

    /// Reads for how long an idle connection to the upstream stays open.
    fn keep_alive(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Reads the answer of an upstream's health path.
    fn health(&self, response: &Response) -> HealthReport;

    /// Returns status and headers of a refusal.
    fn error_response(&self, refusal: &ErrorResponse) -> (http::StatusCode, HeaderMap);
}

/// What an upstream's health path says.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Whether the upstream calls itself healthy.
    pub healthy: bool,
    /// Identifier of the process.
    pub instance: Option<Box<str>>,
    /// Time for which it stays cold.
    pub cold_remaining: Option<Duration>,
    /// Its load.
    pub load: Option<UpstreamLoad>,
}

/// State that an upstream announces.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It takes requests.
    #[display("ready")]
    Ready,
    /// It finishes what runs and will end.
    #[display("draining")]
    Draining,
    /// It has left.
    #[display("gone")]
    Gone,
}

/// Check-in of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckIn {
    /// Identifier of the process.
    pub instance: Box<str>,
    /// State.
    pub state: AnnouncedState,
    /// Address at which it takes requests; unknown when it leaves.
    pub addr: Option<SocketAddr>,
    /// Service that it belongs to; unknown when it leaves.
    pub service: Option<ServiceName>,
    /// Requests that it runs at once.
    pub slots: Option<u16>,
    /// Counts the check-ins of one process.
    pub sequence: u64,
    /// Time for which it stays cold.
    pub cold_remaining: Duration,
    /// Start of the process in Unix milliseconds.
    pub started_ms: Option<u64>,
}

/// Form of check-ins on the platform.
pub trait CheckInProtocol: Send + Sync {
    /// Decodes a call at the address for check-ins.
    ///
    /// # Errors
    ///
    /// Returns the status for a call that is no check-in, with the reason.
    fn decode(&self, request: &Request) -> Result<CheckIn, (http::StatusCode, String)>;

    /// Returns the body that confirms a check-in.
    fn confirmation(&self) -> Bytes;
}

/// Few addresses.
pub type PeerAddrs = SmallVec<[SocketAddr; 4]>;
