//! Stand-ins for the platform's log service and for upstreams, used by tests and the demo.

mod log;
mod platform;
mod upstream;

pub use log::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};
pub use platform::{
    CheckInText, PlatformStoreHandle, READY_PATH, RouteText, SettingsText, StoreMode,
    TargetArrival, TargetHandle, TargetMode, TargetOptions, caller_headers, desired_state,
    is_signed,
};
pub use upstream::{
    ColdStart, UpstreamExit, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamPeak,
    UpstreamStandIn,
};
