//! Load-balancing daemon for a hosted platform that runs one daemon beside each upstream.
//!
//! The platform stores the configuration; the daemon keeps no persistent state of its own. The
//! traits in [`ports`] separate the daemon from the protocols of the platform: its store, its HTTP
//! headers and its check-ins. Apart from the runner, the parts named below are services of the
//! kernel that exchange messages. Decisions are made by the state machines of `cornelvalve-policy`.
//!
//! Terms used throughout the crate:
//!
//! - An *upstream* is a process that serves requests. A VM runs one upstream and, beside it, one
//!   daemon. A *service* is a group of interchangeable upstreams.
//! - A *caller* is a process on the same VM that sends requests through the daemon.
//! - A *peer* is another daemon.
//! - A *check-in* is a call with which the upstream announces its state to the daemon.
//! - The *configuration* ([`desired::ControlView`]) is the desired state published by operators
//!   (routes, services and limits, with a version) and the failure domains taken out of service.
//! - The `entry` is the listener for callers. It asks the `router` to resolve the route of a
//!   request and to select an upstream for each attempt.
//! - The `peers` service is the listener for peers.
//! - The `guard` is the admission control of the upstream beside the daemon: it queues, admits or
//!   refuses requests and detects crashes.
//! - The `runner` sends admitted requests to the upstream.
//! - A daemon *hands back* a request that it has not run if another upstream is expected to finish
//!   it sooner. The entry then selects an upstream again.
//! - The *baseline* of a request is its duration while the upstream is not slowed down. The
//!   *slowdown* of an upstream is the factor by which requests there currently take longer.
//! - An upstream is *cold* for a time after its start, in which it tolerates fewer requests.

mod check_ins;
mod connector;
mod control;
pub mod desired;
mod discovery;
mod entry;
mod guard;
mod hop;
mod limits;
mod listener;
pub mod logging;
mod members;
mod memory;
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
mod spread;
mod stats;
#[cfg(test)]
mod testing;

pub use limits::ProcessLimits;
pub use node::{Listen, Node, NodeSettings, PlatformAdapters, Result, StartError};
