//! Errors of the kernel.

use derive_more::{Display, Error};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reports why a message was not delivered or a name not resolved.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The mailbox is full.
    #[display("mailbox of service {_0} is full; retry later or shed the work")]
    Full(#[error(not(source))] &'static str),
    /// The service does not run at present.
    #[display("service {_0} is not running; retry after its restart")]
    Closed(#[error(not(source))] &'static str),
    /// The service dropped the request without a reply.
    #[display("service {_0} gave no reply; retry after its restart")]
    NoReply(#[error(not(source))] &'static str),
    /// No service of that name and message type was added.
    #[display("no service named {_0} with this message type; add it to the kernel builder")]
    Unknown(#[error(not(source))] &'static str),
}
