//! Stand-ins for the platform's log service and for upstreams, used by tests and the demo.

mod upstream;

pub use upstream::{
    ColdStart, UpstreamEnd, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamPeak,
    UpstreamStandIn,
};
