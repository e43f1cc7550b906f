//! Tests of the request path policies, one module per policy, and their helpers.

mod admission;
mod admission_fuzz;
mod attempts;
mod balancer;
mod balancer_fuzz;
mod breaker;
mod gate;
mod memory;
mod placement;
mod retry;
mod retry_share;
mod script;
mod simulation;
