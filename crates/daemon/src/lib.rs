//! The load balancer as a library: services, settings and assembly.
