//! Stand-ins for the services around a daemon, used by tests, the demo and the soak test.
//!
//! A daemon of `cornelvalve` uses stand-ins for the log service and for upstreams that announce
//! themselves. A daemon of `cornelvalve-platform`, which runs on the users' platform, uses
//! stand-ins for the platform's store and for targets, as upstreams are called there.

mod log;
mod platform;
mod upstream;

pub use log::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};
pub use platform::{
    CheckInRequest, PlatformStoreHandle, READY_PATH, ReceivedRequest, RouteConfig, SettingsFile,
    Signals, StoreMode, TargetHandle, TargetMode, TargetOptions, WaitingReads, caller_headers,
    desired_state, has_target_signature,
};
pub use upstream::{
    ColdStart, ConcurrencyStats, UpstreamExit, UpstreamFaults, UpstreamHandle, UpstreamOptions,
    UpstreamStandIn,
};
