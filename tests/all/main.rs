//! Integration tests, one module a topic.

mod introducers;
mod path;
mod publishing;
mod residency;
mod snapshots;
mod stop;
mod support;
