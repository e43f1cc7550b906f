//! Tests of the daemon's library.

mod logging;
mod metrics;
mod settings;
mod timeline;
