//! Integration tests, one module a topic.

mod domain;
mod leaving;
mod path;
mod rolling;
mod stop;
mod support;
