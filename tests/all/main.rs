//! Integration tests, one module a topic.

mod demo;
mod metrics;
mod path;
mod privacy;
mod stop;
mod support;
mod timeline;
