//! The load balancer as a library: services, settings and assembly.

pub mod config;
pub mod settings;
