//! Tests of the decisions on the request path, one module a topic.

mod admission;
mod admission_fuzz;
mod attempts;
mod balancer;
mod balancer_fuzz;
mod breaker;
mod gate;
mod placement;
mod retry;
mod retry_share;
mod script;
mod simulation;
