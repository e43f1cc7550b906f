//! Client of the platform's append-only log service.
//!
//! Daemons use the service through the [`LogStore`] trait, so that tests can replace it.
//! [`HttpLogStore`] implements the trait for the HTTP protocol of the platform's service.

mod error;
mod http;
mod protocol;
mod store;

pub use error::{Error, Result};
pub use http::HttpLogStore;
pub use store::{BoxFuture, LogStore, Page, Record};
