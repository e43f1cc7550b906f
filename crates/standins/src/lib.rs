//! Stand-ins for the services around a daemon, used by tests, the demo and the soak.
//!
//! They replace the log service, an upstream that announces itself to its daemon and, for daemons
//! that run on the users' platform, the platform's store and a target (an upstream there).

mod log;
mod platform;
mod upstream;

pub use log::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};
pub use platform::{
    CheckInRequest, PlatformStoreHandle, READY_PATH, ReceivedRequest, RouteConfig, SettingsFile,
    StoreMode, TargetHandle, TargetMode, TargetOptions, caller_headers, desired_state,
    has_target_signature,
};
pub use upstream::{
    ColdStart, ConcurrencyStats, UpstreamExit, UpstreamFaults, UpstreamHandle, UpstreamOptions,
    UpstreamStandIn,
};
