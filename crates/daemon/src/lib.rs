//! The load balancer as a library: services, settings and assembly.

mod body;
mod completion;
mod exchange;
mod pool;

pub mod config;
pub mod settings;
