//! Integration tests, one module a topic.

mod budget;
mod domain;
mod leaving;
mod path;
mod regions;
mod rolling;
mod stop;
mod support;
