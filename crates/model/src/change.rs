//! Configuration records as they stand in the log.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use uuid::Uuid;

use crate::{FailureDomain, Offset, Region, Revision, RouteName, RuleName, ServiceName, TeamName};

/// Identifies a change; appending the same change twice has no second effect.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ChangeId(pub Uuid);

/// Whether operators have taken a failure domain out of service.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// Takes new requests.
    #[default]
    #[display("in-service")]
    InService,
    /// Takes no new requests.
    #[display("out-of-service")]
    OutOfService,
}

/// Whether requests of a route may be repeated.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Decided by the method: GET, HEAD, OPTIONS, PUT and DELETE are idempotent, others are not.
    #[default]
    #[display("by-method")]
    ByMethod,
    /// May be repeated.
    #[display("idempotent")]
    Idempotent,
    /// Must not run twice; repeats are recognised by ticket.
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

/// Route of a service: requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name, unique within the service.
    pub name: RouteName,
    /// Path prefix; the longest match wins.
    pub prefix: String,
    /// Whether its requests may be repeated.
    #[serde(default)]
    pub class: RequestClass,
}

/// Service: how requests find it and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, which upstreams announce.
    pub name: ServiceName,
    /// Hosts under which callers reach it, in lower case and without port.
    pub hosts: Vec<String>,
    /// Routes; a path that matches none is treated by method.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Deadline for requests that carry none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
}

/// Deadline for requests that carry none, where the service sets none.
const DEFAULT_TIMEOUT_MS: u32 = 10_000;

fn default_timeout_ms() -> u32 {
    DEFAULT_TIMEOUT_MS
}

impl Service {
    /// Returns the deadline for requests that carry none.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }
}

/// Residency rule: matching requests are served, sent and kept in the home regions only.
///
/// A field that is `None` matches everything. If several rules match, only regions named by all
/// of them are allowed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name of the rule.
    pub name: RuleName,
    /// Team that the rule is about.
    #[serde(default)]
    pub team: Option<TeamName>,
    /// Service that the rule is about.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Route of that service that the rule is about.
    #[serde(default)]
    pub route: Option<RouteName>,
    /// Regions in which matching requests may be served and kept.
    pub regions: SmallVec<[Region; 2]>,
}

/// One edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Operation {
    /// Creates or replaces a region.
    PutRegion {
        /// Name of the region.
        region: Region,
    },
    /// Removes a region that nothing refers to.
    RemoveRegion {
        /// Name of the region.
        region: Region,
    },
    /// Creates a failure domain or sets its state.
    PutDomain {
        /// Name of the failure domain.
        domain: FailureDomain,
        /// Region in which it stands.
        region: Region,
        /// Whether it takes new requests.
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
    /// Creates a team.
    PutTeam {
        /// Name of the team.
        team: TeamName,
    },
    /// Removes a team.
    RemoveTeam {
        /// Name of the team.
        team: TeamName,
    },
    /// Creates or replaces a residency rule.
    PutRule(Rule),
    /// Removes a residency rule.
    RemoveRule {
        /// Name of the rule.
        rule: RuleName,
    },
}

/// Entry of the configuration that an operation edits; the expected revision of a change refers
/// to it.
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
    /// A residency rule.
    #[display("rule {_0}")]
    Rule(RuleName),
}

impl Operation {
    /// Returns the entry that the operation edits.
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

/// Change that an operator publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change across repeated appends.
    pub id: ChangeId,
    /// Operator, for the record only.
    pub author: String,
    /// Revision of the edited entry that the operator saw; `Some(0)` demands that it does not
    /// exist, `None` skips the check.
    #[serde(default)]
    pub expects: Option<Revision>,
    /// What is edited.
    pub operation: Operation,
}

/// Entry of the configuration with the revision of its last accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedEntry {
    /// Revision of the change that last wrote the entry.
    pub revision: Revision,
    /// The operation that would create the entry as it stands.
    pub operation: Operation,
}

/// Complete configuration up to an offset; a fresh reader starts from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// All records below this offset are covered.
    pub covers: Offset,
    /// Revision of the configuration.
    pub revision: Revision,
    /// Entries in a fixed order.
    pub entries: Vec<VersionedEntry>,
    /// Recent changes, oldest first, so that a late duplicate is still recognised and a repeated
    /// call still gets its verdict.
    pub recent: Vec<RecentChange>,
}

/// Change that was applied before a snapshot was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecentChange {
    /// Id of the change.
    pub id: ChangeId,
    /// What became of it.
    pub verdict: RecentVerdict,
}

/// Verdict on a change as a snapshot records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecentVerdict {
    /// The change was accepted and created this revision.
    Accepted(Revision),
    /// The change was rejected, with the reason.
    Rejected(String),
}

/// Record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogEntry {
    /// A change.
    Change(Change),
    /// A snapshot.
    Snapshot(Snapshot),
}
