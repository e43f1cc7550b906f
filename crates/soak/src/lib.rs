//! Randomized fault soak: runs the real daemon as separate processes on loopback, injects faults
//! from outside and checks what callers and targets see.
//!
//! The store and the targets are stand-ins in the soak's own process, behind proxies that delay,
//! reset, cut or silence their connections. Daemons are stopped, paused, killed and restarted by
//! signals, in series that overlap. One seed gives one plan of faults.

mod callers;
mod checks;
mod daemon;
mod plan;
mod proxy;
mod run;

pub use checks::Violation;
pub use run::{Options, Report, SoakError, run};
