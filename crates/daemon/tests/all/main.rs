//! Tests of the daemon's library.

mod metrics;
mod settings;
mod timeline;
