//! Daemon beside one upstream on a platform that keeps what must last.
//!
//! The crate holds the request path (`entry`, `router`, `peers`, `guard`, `runner`), membership and
//! configuration as services of the kernel. Decisions are state machines of `cornelvalve-policy`.
//! The platform's protocol is behind the traits of [`ports`]: store, dialect of HTTP and form of
//! check-ins.

mod check_ins;
mod connector;
mod control;
pub mod desired;
mod discovery;
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
mod router;
mod runner;
mod stats;
#[cfg(test)]
mod testing;

pub use node::{Listen, Node, NodeSettings, PlatformAdapters, Result, StartError};
