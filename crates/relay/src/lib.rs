//! Daemon that runs beside one upstream on a hosted platform.
//!
//! The platform stores the configuration; the daemon keeps no persistent state of its own. The
//! request path (`entry`, `router`, `peers`, `guard`, `runner`), the membership and the
//! configuration are services of the kernel that exchange messages. Their decisions are made by the
//! state machines of `cornelvalve-policy`. The traits in [`ports`] separate the daemon from the
//! protocols of the platform: its store, its HTTP headers and its check-ins.

mod check_ins;
mod connector;
mod control;
pub mod desired;
mod entry;
mod guard;
mod hop;
mod listener;
pub mod logging;
mod members;
mod messages;
mod monitor;
mod names;
mod node;
mod notices;
mod peers;
mod pool;
pub mod ports;
mod ready;
mod registry;
mod router;
mod runner;
mod stats;
#[cfg(test)]
mod testing;

pub use node::{Listen, Node, NodeSettings, PlatformAdapters, Result, StartError};
