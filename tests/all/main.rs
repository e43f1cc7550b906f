//! Integration tests, one module a topic.

mod introducers;
mod path;
mod publishing;
mod snapshots;
mod stop;
mod support;
