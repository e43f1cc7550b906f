//! Integration tests, one module a topic.

mod leaving;
mod path;
mod stop;
mod support;
