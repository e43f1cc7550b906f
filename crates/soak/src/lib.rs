//! Soak test with random faults: runs the real daemon as separate processes on loopback, injects
//! faults from outside and checks what callers and targets observe.
//!
//! The store and the targets (the upstreams of the platform) are stand-ins in the soak's own
//! process. They are reached through proxies that can delay, reset or block their connections, or
//! block one direction. Daemons are stopped, paused, killed and restarted by signals. Faults overlap
//! and come in series. The same seed always gives the same plan of faults.

mod callers;
mod checks;
mod daemon;
mod plan;
mod proxy;
mod run;

pub use checks::Violation;
pub use run::{Options, Report, SoakError, run};
