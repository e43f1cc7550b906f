//! Soak test ("the soak"): runs the real daemon as several processes on loopback, injects random
//! faults from outside and checks what callers and targets observe.
//!
//! The store and the targets (the upstreams of the platform) are stand-ins in the soak's own
//! process. They are reached through proxies that can delay, block or close their connections, or
//! block the responses only. Daemons are terminated, paused, killed and restarted. Faults overlap
//! and come in series. The same seed always gives the same plan of faults.

mod callers;
mod checks;
mod daemon;
mod faults;
mod plan;
mod proxy;
mod run;

pub use checks::Violation;
pub use run::{Options, Report, SoakError, run};
