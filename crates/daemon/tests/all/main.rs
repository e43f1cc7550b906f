//! Tests of the public modules of the daemon library.

mod logging;
mod metrics;
mod settings;
mod timeline;
