//! Error type of the kernel.

use derive_more::{Display, Error};

/// Result of kernel operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to deliver a message to a service, to receive its reply or to find the service.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The mailbox of the service is full.
    #[display("mailbox of internal service {_0} is full; retry later or shed the work")]
    Full(#[error(not(source))] &'static str),
    /// The service is being restarted or has ended.
    #[display("internal service {_0} is not running; retry once it has restarted")]
    Closed(#[error(not(source))] &'static str),
    /// The service dropped the request without replying.
    #[display(
        "internal service {_0} did not reply; retry after its restart if the request may be processed twice"
    )]
    NoReply(#[error(not(source))] &'static str),
    /// No service with this name and message type was added to the kernel.
    #[display(
        "no internal service named {_0} with this message type; add it to the kernel builder"
    )]
    Unknown(#[error(not(source))] &'static str),
}
