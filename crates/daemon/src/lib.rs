//! The load balancer as a library: services, settings and assembly.
//!
//! [`Daemon`] binds the listeners and starts the services on the kernel. Each service is a task
//! that owns its state and its sockets; they find each other by name and talk by messages.

mod announcer;
mod answer;
mod body;
mod budget;
mod catalog;
mod daemon;
mod entry;
mod exchange;
mod guard;
mod listener;
mod membership;
mod names;
mod operators;
mod peers;
mod pool;
mod publisher;
mod respond;
mod router;
mod scrape;

pub mod config;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod timeline;

pub use daemon::{Components, Daemon, ListenAddrs, Result, StartError};
pub use router::{BalancingOptions, PickerFactory};
