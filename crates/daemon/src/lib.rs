//! The load balancer as a library: services, settings and assembly.

mod body;
mod completion;
mod exchange;
mod pool;

pub mod config;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod timeline;
