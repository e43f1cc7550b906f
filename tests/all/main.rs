//! Integration tests, one module a topic.

mod demo;
mod path;
mod stop;
mod support;
