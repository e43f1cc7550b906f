//! Stand-ins for the platform's log service and for upstreams, used by tests and the demo.

mod log;
mod platform;
mod upstream;

pub use log::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};
pub use platform::{
    CheckInRequest, PlatformStoreHandle, READY_PATH, ReceivedRequest, RouteConfig, SettingsText,
    StoreMode, TargetHandle, TargetMode, TargetOptions, caller_headers, desired_state, is_signed,
};
pub use upstream::{
    ColdStart, ConcurrencyStats, UpstreamEnd, UpstreamFaults, UpstreamHandle, UpstreamOptions,
    UpstreamStandIn,
};
