//! Integration tests, one module a topic.

mod path;
mod stop;
mod support;
