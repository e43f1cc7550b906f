//! Interfaces that a platform implements for the daemon: its configuration store, its HTTP
//! conventions and its check-in protocol.
//!
//! "Ports" is meant as in the ports-and-adapters architecture and has nothing to do with network
//! ports. Implementations translate between the platform's protocols and the types of this module;
//! all decisions are made by the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{BoxFuture, Request, Response};
use cornelvalve_model::{
    FailureDomain, LogPosition, ServiceName, StoreEra, UpstreamSignals, VmName,
};
use derive_more::{Display, Error};
use http::HeaderMap;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::desired::{ControlView, DesiredState};

/// Result alias for calls to the store.
pub type StoreResult<T> = std::result::Result<T, StoreError>;

/// Error of a call to the store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store could not be reached or did not answer in time. A write may still have taken
    /// effect.
    #[display("store did not answer: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The store refused the call, which had no effect. Holds the HTTP status.
    #[display("store refused the call with status {_0}")]
    Refused(#[error(not(source))] u16),
    /// The store no longer keeps the changes since the requested position.
    #[display(
        "store no longer keeps the changes after the requested position; read the complete configuration"
    )]
    HistoryLost,
    /// The answer belongs to this era and not to the one of the requested position, so it says
    /// nothing about changes since that position.
    #[display("store answered in era {_0}, which is not that of the requested position")]
    OtherEra(#[error(not(source))] StoreEra),
    /// The store's answer is larger than the caller accepts.
    #[display("answer of the store is larger than the {_0} bytes that are read")]
    TooLarge(#[error(not(source))] usize),
    /// The store's answer cannot be decoded.
    #[display("answer of the store cannot be read: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// Change to the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlChange {
    /// A new desired state was published.
    Desired(Box<DesiredState>),
    /// A failure domain was taken out of service.
    DomainOut(FailureDomain),
    /// A failure domain was returned to service.
    DomainReturned(FailureDomain),
    /// A record cannot be decoded and has no effect. Holds the reason.
    Unreadable(String),
}

/// Changes to the configuration since a position in the store's log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlChanges {
    /// Changes, oldest first.
    pub changes: Vec<ControlChange>,
    /// Position from which the next read continues.
    pub position: LogPosition,
    /// Position after the last change that the store has; greater than `position` if there are
    /// further changes.
    pub end: LogPosition,
}

/// Record in the store with which a daemon announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name of the daemon's VM.
    pub vm: VmName,
    /// Address on which the daemon accepts other daemons.
    pub addr: SocketAddr,
}

/// The platform's store, which holds the operators' configuration and the addresses of daemons.
pub trait ControlStore: Send + Sync {
    /// Reads the operators' complete configuration.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::TooLarge`] if the answer has more than `max_bytes`, of which only a
    /// few are transferred then, or another [`StoreError`] if the store gave no usable answer.
    fn view(&self, max_bytes: usize) -> BoxFuture<'_, StoreResult<ControlView>>;

    /// Reads the changes since `position`. Waits up to `wait` for the first change if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryLost`] if the store does not keep all changes since `position`,
    /// [`StoreError::OtherEra`] if it has another era than `position`, [`StoreError::TooLarge`] if the answer has more than `max_bytes`, or another
    /// [`StoreError`] if it gave no usable answer.
    fn changes(
        &self,
        position: LogPosition,
        wait: Duration,
        max_bytes: usize,
    ) -> BoxFuture<'_, StoreResult<ControlChanges>>;

    /// Writes the record that announces this daemon to others, and returns the era in which the
    /// store confirmed it. A later era may lack the record.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store did not confirm the write.
    fn announce<'a>(&'a self, record: &'a PeerRecord) -> BoxFuture<'a, StoreResult<StoreEra>>;

    /// Reads the records of all daemons that announced themselves.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store gave no usable answer.
    fn peers(&self) -> BoxFuture<'_, StoreResult<Vec<PeerRecord>>>;
}

/// Information about a request that its caller supplies in headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerMetadata {
    /// Identifier that the caller gave to this attempt of its request.
    pub attempt: Option<Box<str>>,
    /// Time for which the caller waits for the response; `None` if not stated.
    pub time_left: Option<Duration>,
}

/// Information that an upstream receives with a request, besides the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMetadata<'a> {
    /// Service of the VM on which the request originated.
    pub caller: &'a ServiceName,
    /// Identifier of the upstream process that should run the request; `None` if any may.
    pub instance: Option<&'a str>,
    /// Time until the request's deadline.
    pub time_left: Duration,
}

/// Load that an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Number of running requests.
    pub running: u16,
    /// Number of requests that wait inside the upstream.
    pub waiting: u16,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// How many times longer than at normal speed requests take at present; `None` if not reported.
    pub slowdown: Option<f64>,
}

/// Outcome of a request, as an upstream's response reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The upstream ran the request and answered completely.
    Answer {
        /// Whether the status reports that the upstream failed.
        failed: bool,
    },
    /// The upstream did not run the request.
    NotRun,
    /// Another process now uses the upstream's address; it did not run the request.
    OtherInstance,
    /// The response is incomplete or does not come from the upstream, so the outcome is unknown.
    Invalid,
}

/// Reason for which the load balancer itself refuses or fails a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// This daemon has not received a desired state yet.
    #[display("no-desired-state")]
    NoDesiredState,
    /// No route matches the request.
    #[display("no-route")]
    NoRoute,
    /// No upstream of the service may be used for the request.
    #[display("no-upstream")]
    NoUpstream,
    /// The request cannot be served before its deadline.
    #[display("overloaded")]
    Overloaded,
    /// The local upstream or its daemon is shutting down, or the upstream has left, was replaced by
    /// another process or belongs to another service.
    #[display("upstream-leaving")]
    Leaving,
    /// The failure domain of the daemon is out of service.
    #[display("domain-out")]
    DomainOut,
    /// Another upstream is expected to answer sooner.
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
    /// The response was incomplete or did not come from the upstream.
    #[display("spoiled-answer")]
    SpoiledAnswer,
    /// The request's deadline passed.
    #[display("deadline")]
    Deadline,
    /// The request is suspected of crashing upstreams.
    #[display("crash-suspect")]
    CrashSuspect,
    /// A service inside the daemon did not answer.
    #[display("internal")]
    Internal,
    /// A later configuration than the one of this daemon exists, which may allow the request.
    #[display("stale-configuration")]
    StaleConfiguration,
    /// The upstream accepts only a limited number of requests per second.
    #[display("upstream-limit")]
    UpstreamLimit,
}

/// Response that the load balancer itself gives to a caller, in place of an upstream's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Reason for the refusal or failure.
    pub cause: Cause,
    /// Whether it is certain that the request has not run and will not run. If false, it may have
    /// run.
    pub not_run: bool,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// The platform's dialect of HTTP: the headers and statuses that callers and upstreams use.
pub trait Dialect: Send + Sync {
    /// Decodes the information that a caller supplies about its request.
    fn caller_metadata(&self, headers: &HeaderMap) -> CallerMetadata;

    /// Removes hop-by-hop headers and the headers that the load balancer sets itself.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Sets the headers with the information for the upstream.
    fn set_upstream_metadata(&self, headers: &mut HeaderMap, metadata: UpstreamMetadata<'_>);

    /// Returns whether a response may belong to `attempt`: it names that attempt or none. `attempt`
    /// is [`CallerMetadata::attempt`]; it is `None` for a request without that identifier.
    fn matches_attempt(&self, response: &Response, attempt: Option<&str>) -> bool;

    /// Returns the outcome of a request that the response of an upstream reports. `attempt` is the
    /// request's [`CallerMetadata::attempt`].
    fn classify_response(&self, response: &Response, attempt: Option<&str>) -> ResponseOutcome;

    /// Decodes the load that an upstream reports; returns `None` if there is none.
    fn load(&self, headers: &HeaderMap) -> Option<UpstreamLoad>;

    /// Decodes what a response says about the upstream that sent it.
    fn signals(&self, headers: &HeaderMap) -> UpstreamSignals;

    /// Returns how long the upstream keeps an idle connection open; `None` if it does not say.
    fn keep_alive(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Decodes the response of an upstream's health path.
    fn health(&self, response: &Response) -> HealthReport;

    /// Returns the status and headers of the load balancer's own response.
    fn error_response(&self, response: &ErrorResponse) -> (http::StatusCode, HeaderMap);
}

/// State of an upstream as its health path reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Whether the upstream reports that it is healthy.
    pub healthy: bool,
    /// Identifier of the upstream process; `None` if not reported.
    pub instance: Option<Box<str>>,
    /// Time for which the process stays cold, that is, can handle only a limited rate of requests
    /// after its start; `None` if not reported.
    pub cold_remaining: Option<Duration>,
    /// Load of the upstream; `None` if not reported.
    pub load: Option<UpstreamLoad>,
    /// What the response says about the upstream.
    pub signals: UpstreamSignals,
}

/// State that an upstream announces in its check-ins.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AnnouncedState {
    /// It accepts requests.
    #[display("ready")]
    Ready,
    /// It finishes its running requests, accepts no new ones and will exit.
    #[display("draining")]
    Draining,
    /// It has shut down and accepts no requests.
    #[display("gone")]
    Gone,
}

/// Check-in: report in which an upstream announces its state to its daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckIn {
    /// Identifier of the upstream process.
    pub instance: Box<str>,
    /// State of the process.
    pub state: AnnouncedState,
    /// Address on which it accepts requests; `None` when it has left.
    pub addr: Option<SocketAddr>,
    /// Service that it belongs to; `None` when it has left.
    pub service: Option<ServiceName>,
    /// Number of requests that it runs concurrently; `None` if not reported.
    pub slots: Option<u16>,
    /// Number of this check-in among those of the process; a later one has a larger number.
    pub sequence: u64,
    /// Time for which the process stays cold, that is, can handle only a limited rate of requests
    /// after its start.
    pub cold_remaining: Duration,
    /// Start of the process in Unix milliseconds; `None` if not reported.
    pub started_ms: Option<u64>,
}

/// The platform's protocol for check-ins.
pub trait CheckInProtocol: Send + Sync {
    /// Decodes a request that arrived at the address for check-ins.
    ///
    /// # Errors
    ///
    /// Returns the status to respond with and the reason if the request is not a valid check-in.
    fn decode(&self, request: &Request) -> Result<CheckIn, (http::StatusCode, String)>;

    /// Returns the response body that confirms a check-in.
    fn confirmation(&self) -> Bytes;
}

/// Addresses of other daemons, to contact them for the first time.
pub type PeerAddrs = SmallVec<[SocketAddr; 4]>;
