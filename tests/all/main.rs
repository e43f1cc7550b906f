//! Integration tests, one module a topic.

mod answers;
mod bad_control;
mod bad_records;
mod bad_requests;
mod bad_settings;
mod cold;
mod crashes;
mod ctl;
mod demo;
mod domain;
mod events;
mod introducers;
mod leaving;
mod metrics;
mod outcome;
mod path;
mod privacy;
mod publishing;
mod regions;
mod retry;
mod rolling;
mod snapshots;
mod stop;
mod support;
mod tickets;
mod timeline;
