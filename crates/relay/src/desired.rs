//! Desired state: what operators want, and which route a request takes.

use std::time::Duration;

use cornelvalve_model::{FailureDomain, Region, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Version of a desired state; a later one has a larger number.
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

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencyLevel {
    /// The request is idempotent.
    #[display("idempotent")]
    Idempotent,
    /// The request may run at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// One of the services among which a route divides its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other parts.
    pub weight: f64,
}

/// Route of requests to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host that the route belongs to.
    pub host: Box<str>,
    /// Beginning of the paths that take the route.
    pub prefix: Box<str>,
    /// Whether its requests may be repeated.
    pub idempotency: IdempotencyLevel,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Latency objective.
    pub latency_objective: Duration,
    /// Priority; lower numbers go first.
    pub priority: u8,
    /// Upstreams to which one request may be sent.
    pub max_attempts: u8,
    /// Services with their shares; one in most cases.
    pub weighted_services: SmallVec<[WeightedService; 1]>,
    /// Regions in which requests may be served; any if empty.
    pub home_regions: SmallVec<[Region; 2]>,
}

/// Service as operators describe it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Path that tells the health of an upstream.
    pub health_path: Box<str>,
    /// Requests in a second that a cold upstream tolerates.
    pub cold_rate: f64,
    /// Time for which an upstream is cold after its start.
    pub cold_duration: Duration,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a request.
    pub request_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// Complete desired state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Version.
    pub version: Version,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl DesiredState {
    /// Returns the route of a request with its index: of those of the host, the one with the
    /// longest prefix of the path.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<(usize, &RouteSpec)> {
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

    /// Returns the description of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name == *name)
    }
}

/// Failure domains that operators have taken out of service.
pub type DomainsOut = SmallVec<[FailureDomain; 2]>;

/// Everything that operators have decided, with its position in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlView {
    /// Desired state; `None` until one is known.
    pub desired: Option<DesiredState>,
    /// Failure domains out of service.
    pub domains_out: DomainsOut,
    /// Position in the store's log up to which this view is complete.
    pub position: u64,
}
