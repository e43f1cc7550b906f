//! Stand-ins for the platform's log service and for upstreams, used by tests and the demo.

mod log;
mod upstream;

pub use log::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};
pub use upstream::{
    ColdStart, UpstreamEnd, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamPeak,
    UpstreamStandIn,
};
