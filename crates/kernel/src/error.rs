//! Error type of the kernel.

use derive_more::{Display, Error};

/// Result of kernel operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a message was not delivered, a reply not received or a service not found.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The mailbox of the service is full.
    #[display("mailbox of service {_0} is full; retry later or shed the work")]
    Full(#[error(not(source))] &'static str),
    /// The service is not running at present.
    #[display("service {_0} is not running; retry after its restart")]
    Closed(#[error(not(source))] &'static str),
    /// The service dropped the request without replying.
    #[display("service {_0} dropped the request without replying; retry after its restart")]
    NoReply(#[error(not(source))] &'static str),
    /// No service with this name and message type was added to the kernel.
    #[display("no service named {_0} with this message type; add it to the kernel builder")]
    Unknown(#[error(not(source))] &'static str),
}
