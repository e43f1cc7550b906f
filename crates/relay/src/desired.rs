//! Configuration that operators set: routes, services, limits, and failure domains out of service.

pub(crate) mod changes;
mod check;

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_model::{FailureDomain, LogPosition, Region, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Version of a desired state; a later version has a larger number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    derive_more::Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Version(pub u64);

/// Whether the requests of a route may be run more than once.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencyLevel {
    /// The requests are idempotent and may be retried.
    #[display("idempotent")]
    Idempotent,
    /// Each request may run at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: f64,
}

/// Rule that sends requests for a host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route. Appears in logs and identifies the kind of work of its requests.
    pub name: Box<str>,
    /// Host of the requests, without a port.
    pub host: Box<str>,
    /// Path prefix of the requests. Of several matching routes, the one with the longest prefix is
    /// used.
    pub prefix: Box<str>,
    /// Whether the requests may be retried after they have reached an upstream.
    pub idempotency: IdempotencyLevel,
    /// Longest time until a request is answered or refused.
    pub timeout: Duration,
    /// Time within which requests should be answered.
    pub latency_objective: Duration,
    /// Priority of the requests in queues; lower numbers go first.
    pub priority: u8,
    /// Maximum number of upstreams to which one request is sent.
    pub max_attempts: u8,
    /// Services among which the requests are divided; usually one.
    pub weighted_services: SmallVec<[WeightedService; 1]>,
    /// Regions in which the requests may be served; all regions if empty.
    pub home_regions: SmallVec<[Region; 2]>,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path on which an upstream of the service reports its health.
    pub health_path: Box<str>,
    /// Number of requests per second that a cold upstream, one that started recently, can handle.
    pub cold_rate: f64,
    /// Time after its start during which an upstream is cold.
    pub cold_duration: Duration,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to its last.
    pub request_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operators' configuration of routes, services and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Version of this state.
    pub version: Version,
    /// All routes, in no particular order.
    pub routes: Vec<Arc<RouteSpec>>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

impl DesiredState {
    /// Returns the route of a request and its index in `routes`. Of the routes whose host is `host`
    /// and whose prefix matches the path of `target`, this is the one with the longest prefix.
    ///
    /// A port in `host` is ignored. Returns `None` if no route matches.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<(usize, &Arc<RouteSpec>)> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            let is_port = port.bytes().all(|b| b.is_ascii_digit());
            if is_port { name } else { host }
        });
        let matching = self.routes.iter().enumerate().filter(|(_, r)| {
            r.host.eq_ignore_ascii_case(host) && path.starts_with(r.prefix.as_ref())
        });
        matching.max_by_key(|(_, r)| r.prefix.len())
    }

    /// Returns the settings of a service; `None` if the service is not described.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name == *name)
    }
}

/// Failure domains that operators have taken out of service.
pub type DomainsOut = SmallVec<[FailureDomain; 2]>;

/// The operators' complete configuration, as read from the platform's store: the desired state and
/// the failure domains that are out of service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlView {
    /// Latest desired state; `None` until one has been read.
    pub desired: Option<Arc<DesiredState>>,
    /// Failure domains out of service.
    pub domains_out: DomainsOut,
    /// Position in the store's log up to which this view includes all changes.
    pub position: LogPosition,
}
