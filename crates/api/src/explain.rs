//! Result of the `explain` call: how a request would be routed.

use cornelvalve_model::{
    FailureDomain, Refusal, Region, RequestClass, RouteName, ServiceName, VmName,
};
use serde::{Deserialize, Serialize};

/// Upstream of the service to which the request is routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    /// VM of the upstream.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Number of attempts that the daemon has started at the upstream and that have not ended. If
    /// everything else is equal, an upstream with a lower number is preferred.
    pub score: f64,
}

/// Explanation of how a request would be routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Service that the host and the path select; `None` if the request would be refused.
    pub service: Option<ServiceName>,
    /// Route that matched; `None` if no route matches or the request would be refused.
    pub route: Option<RouteName>,
    /// Class of the request, which determines whether it may be retried.
    pub class: RequestClass,
    /// Regions in which the request may run; `None` if no rule restricts it or the request would be
    /// refused.
    pub home_regions: Option<Vec<Region>>,
    /// Upstreams of the service that the daemon uses, in no particular order. The list includes
    /// those that residency rules, ejection or failure domains out of service exclude at present.
    pub candidates: Vec<Candidate>,
    /// Refusal that the caller would receive; `None` if the request can be routed to a service,
    /// whether or not an upstream of the service is available.
    pub refusal: Option<Refusal>,
}
