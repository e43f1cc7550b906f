//! Configuration entries, and the changes and snapshots that the configuration log stores.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use uuid::Uuid;

use crate::{FailureDomain, Offset, Region, Revision, RouteName, RuleName, ServiceName, TeamName};

/// Unique id of a change. A change that is appended to the log more than once is applied once.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ChangeId(pub Uuid);

/// Whether a failure domain is in service, as set by operators.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// Upstreams of the failure domain receive new requests.
    #[default]
    #[display("in-service")]
    InService,
    /// Upstreams of the failure domain receive no new requests.
    #[display("out-of-service")]
    OutOfService,
}

/// Whether a request of a route may be executed more than once.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Depends on the HTTP method: GET, HEAD, OPTIONS, PUT and DELETE are idempotent, other methods
    /// are not.
    #[default]
    #[display("by-method")]
    ByMethod,
    /// Executing a request again has no further effect, so it may be retried.
    #[display("idempotent")]
    Idempotent,
    /// Must not be executed twice. Callers obtain a ticket and send it as the idempotency key, by
    /// which repeated requests are detected.
    #[display("at-most-once")]
    AtMostOnce,
}

impl RequestClass {
    /// Resolves [`RequestClass::ByMethod`] for a request method; other classes are returned
    /// unchanged.
    #[must_use]
    pub fn resolve(self, method: &str) -> Self {
        match self {
            Self::ByMethod if matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE") => {
                Self::Idempotent
            }
            other => other,
        }
    }
}

/// Route of a service: the requests whose path starts with a given prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique within the service.
    pub name: RouteName,
    /// Path prefix. If several prefixes match, the longest one applies.
    pub prefix: String,
    /// Whether requests of this route may be executed more than once.
    #[serde(default)]
    pub class: RequestClass,
}

/// Service, with the hosts and routes by which requests are matched to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that upstreams give when they announce themselves.
    pub name: ServiceName,
    /// Host names of requests to the service, in lower case and without a port.
    pub hosts: Vec<String>,
    /// Routes. A request whose path matches none is classified by its HTTP method.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Timeout in milliseconds for requests that carry no deadline.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
}

/// Default of [`Service::timeout_ms`], in milliseconds.
const DEFAULT_TIMEOUT_MS: u32 = 10_000;

fn default_timeout_ms() -> u32 {
    DEFAULT_TIMEOUT_MS
}

impl Service {
    /// Returns the timeout for requests that carry no deadline.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }
}

/// Data residency rule: matching requests may only be forwarded to, executed in and stored in the
/// listed regions, which are the home regions of these requests.
///
/// If `team`, `service` or `route` is `None`, it does not restrict which requests match. If several
/// rules match a request, only the regions listed by all of them are allowed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name, unique among the rules.
    pub name: RuleName,
    /// Team whose requests match.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// Service whose requests match.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Route of `service` whose requests match. A rule with a route but no service is rejected.
    #[serde(default)]
    pub route: Option<RouteName>,
    /// Home regions of matching requests.
    pub regions: SmallVec<[Region; 2]>,
}

/// Creates, replaces or removes one entry of the configuration.
///
/// The removal of an entry is rejected if it does not exist or other entries refer to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Creates a region. If it exists, only its revision changes.
    PutRegion {
        /// Name of the region.
        region: Region,
    },
    /// Removes a region.
    RemoveRegion {
        /// Name of the region.
        region: Region,
    },
    /// Creates or replaces a failure domain, for example in order to take it out of service.
    PutDomain {
        /// Name of the failure domain.
        domain: FailureDomain,
        /// Region that contains the failure domain.
        region: Region,
        /// Whether the failure domain is in service.
        #[serde(default)]
        state: DomainState,
    },
    /// Removes a failure domain.
    RemoveDomain {
        /// Name of the failure domain.
        domain: FailureDomain,
    },
    /// Creates or replaces a service.
    PutService(Service),
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        service: ServiceName,
    },
    /// Creates a team. If it exists, only its revision changes.
    PutTeam {
        /// Name of the team.
        team: TeamName,
    },
    /// Removes a team.
    RemoveTeam {
        /// Name of the team.
        team: TeamName,
    },
    /// Creates or replaces a data residency rule.
    PutRule(Rule),
    /// Removes a data residency rule.
    RemoveRule {
        /// Name of the rule.
        rule: RuleName,
    },
}

/// Kind and name of the configuration entry that an operation writes or removes.
///
/// Each entry has its own revision. [`Change::expects`] is compared with the revision of the entry
/// that the change targets.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A region.
    #[display("region {_0}")]
    Region(Region),
    /// A failure domain.
    #[display("failure domain {_0}")]
    Domain(FailureDomain),
    /// A service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// A team.
    #[display("team {_0}")]
    Team(TeamName),
    /// A data residency rule.
    #[display("rule {_0}")]
    Rule(RuleName),
}

impl Operation {
    /// Returns the kind and name of the entry that the operation writes or removes.
    #[must_use]
    pub fn target(&self) -> Target {
        match self {
            Self::PutRegion { region } | Self::RemoveRegion { region } => {
                Target::Region(region.clone())
            }
            Self::PutDomain { domain, .. } | Self::RemoveDomain { domain } => {
                Target::Domain(domain.clone())
            }
            Self::PutService(service) => Target::Service(service.name.clone()),
            Self::RemoveService { service } => Target::Service(service.clone()),
            Self::PutTeam { team } | Self::RemoveTeam { team } => Target::Team(team.clone()),
            Self::PutRule(rule) => Target::Rule(rule.name.clone()),
            Self::RemoveRule { rule } => Target::Rule(rule.clone()),
        }
    }
}

/// Change of the configuration, as published by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id, which stays the same if the change is appended to the log again, for example
    /// after a timeout.
    pub id: ChangeId,
    /// Operator who made the change. It is recorded for auditing and has no effect.
    pub author: String,
    /// Revision that the entry must have for the change to be accepted. `Some(Revision(0))`
    /// requires that the entry does not exist, `None` disables the check.
    #[serde(default)]
    pub expects: Option<Revision>,
    /// What the change does.
    pub operation: Operation,
}

/// Entry of the configuration, with the revision of the last accepted change to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedEntry {
    /// Revision of the change that last wrote the entry.
    pub revision: Revision,
    /// Operation that creates the entry in its current state.
    pub operation: Operation,
}

/// Complete configuration at an offset of the log, so that a reader need not replay all earlier
/// records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Offset of the first record that is not included; all earlier records are.
    pub covers: Offset,
    /// Revision of the configuration.
    pub revision: Revision,
    /// All entries, ordered so that each refers only to earlier ones.
    pub entries: Vec<VersionedEntry>,
    /// The latest changes, oldest first, up to `cornelvalve_catalog::MAX_RECENT_CHANGES`. They let
    /// a reader that starts from the snapshot detect duplicates of these changes and report their
    /// verdicts.
    pub recent: Vec<RecentChange>,
}

/// Id and verdict of a change that a snapshot includes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecentChange {
    /// Id of the change.
    pub id: ChangeId,
    /// Whether the change was accepted.
    pub verdict: RecentVerdict,
}

/// Verdict on a change, as recorded in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecentVerdict {
    /// The change was accepted, and this became the revision of the configuration and of the entry.
    Accepted(Revision),
    /// The change was rejected for this reason.
    Rejected(String),
}

/// Record of the configuration log; not to be confused with an entry of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogEntry {
    /// A change of the configuration.
    Change(Change),
    /// A snapshot of the configuration.
    Snapshot(Snapshot),
}
