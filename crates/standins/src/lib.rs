//! Stand-ins for the platform's log service and for upstreams, used by tests and the demo.

mod log;

pub use log::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};
