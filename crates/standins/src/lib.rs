//! Stand-ins for the platform's log service and for upstreams, used by tests and the demo.

mod log;
mod platform;
mod upstream;

pub use log::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};
pub use platform::{
    PlatformStoreHandle, StoreMode, TargetArrival, TargetHandle, TargetMode, TargetOptions,
};
pub use upstream::{
    ColdStart, UpstreamEnd, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamPeak,
    UpstreamStandIn,
};
