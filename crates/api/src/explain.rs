//! Explanation of a routing decision.

use cornelvalve_model::{
    FailureDomain, Refusal, Region, RequestClass, RouteName, ServiceName, VmName,
};
use serde::{Deserialize, Serialize};

/// Upstream that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    /// VM of the upstream.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Region of the VM.
    pub region: Region,
    /// Score at present; the lower of two is chosen.
    pub score: f64,
}

/// How a request would be routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Explanation {
    /// Service that host and path lead to.
    pub service: Option<ServiceName>,
    /// Route that matched.
    pub route: Option<RouteName>,
    /// Whether the request may be repeated.
    pub class: RequestClass,
    /// Regions in which it may run; `None` if no rule restricts it.
    pub home_regions: Option<Vec<Region>>,
    /// Upstreams that may be chosen, best first.
    pub candidates: Vec<Candidate>,
    /// Refusal that the caller would get.
    pub refusal: Option<Refusal>,
}
