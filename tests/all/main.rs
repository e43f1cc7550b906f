//! Integration tests, one module a topic.

mod bad_control;
mod bad_records;
mod bad_requests;
mod bad_settings;
mod ctl;
mod demo;
mod events;
mod metrics;
mod path;
mod privacy;
mod stop;
mod support;
mod timeline;
