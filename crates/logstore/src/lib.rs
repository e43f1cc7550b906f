//! Client of the append-only log service, which the platform that hosts the daemons provides.
//!
//! Daemons use the service through the [`LogStore`] trait, so that tests can replace it.
//! [`HttpLogStore`] implements the trait for the service's HTTP protocol.

mod error;
mod http;
mod protocol;
mod store;

pub use error::{Error, Result};
pub use http::HttpLogStore;
pub use store::{BoxFuture, LogStore, Page, Record};
