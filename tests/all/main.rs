//! Integration tests, one module a topic.

mod path;
mod publishing;
mod snapshots;
mod stop;
mod support;
