//! The load-balancing daemon as a library: its services, its settings and the code that starts it.
//!
//! [`Daemon`] binds the listeners and starts the services on the kernel, which supervises them.
//! Each service is a task that owns its state and its sockets. Services look each other up by name
//! and communicate only through messages.

mod announcer;
mod body;
mod budget;
mod catalog;
mod daemon;
mod entry;
mod guard;
mod http_client;
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
mod stored_response;

pub mod config;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod timeline;

pub use daemon::{Components, Daemon, ListenAddrs, Result, StartError};
pub use router::{BalancingOptions, PickerFactory};
