//! Integration tests, one module a topic.

mod path;
mod snapshots;
mod stop;
mod support;
