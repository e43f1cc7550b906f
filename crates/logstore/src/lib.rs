//! Client of the platform's append-only log service.
//!
//! [`LogStore`] is the border: daemons hold it as a trait object, so that tests can supply their
//! own. [`HttpLogStore`] speaks the protocol of the platform's service.

mod error;
mod http;
mod protocol;
mod store;

pub use error::{Error, Result};
pub use http::HttpLogStore;
pub use store::{BoxFuture, LogStore, Page, Record};
