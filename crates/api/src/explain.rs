//! Result of the `explain` call: how a request would be routed.

use cornelvalve_model::{
    FailureDomain, Refusal, Region, RequestClass, RouteName, ServiceName, VmName,
};
use serde::{Deserialize, Serialize};

/// Upstream to which the request may be sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    /// VM of the upstream.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Number of requests that the daemon has sent to the upstream and that are not yet answered;
    /// an upstream with a lower number is preferred.
    pub score: f64,
}

/// Explanation of how a request would be routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Service that the host and the path select; `None` if no service matches.
    pub service: Option<ServiceName>,
    /// Route that matched; `None` if no route matches.
    pub route: Option<RouteName>,
    /// Class of the request, which determines whether it may be retried.
    pub class: RequestClass,
    /// Regions in which the request may run; `None` if no rule restricts it.
    pub home_regions: Option<Vec<Region>>,
    /// Eligible upstreams, best first.
    pub candidates: Vec<Candidate>,
    /// Refusal that the caller would receive; `None` if the request would be sent to an upstream.
    pub refusal: Option<Refusal>,
}
