//! Errors of calls to the log service.

use cornelvalve_model::Offset;
use derive_more::{Display, Error};

/// Result of a call to the log service.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a call to the log service failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The service could not be reached or refused the call. An append had no effect.
    #[display("log service is unavailable: {_0}; retry later")]
    Unavailable(#[error(not(source))] String),
    /// The call was sent, but no usable response arrived. An append may have taken effect.
    #[display(
        "no usable response from the log service: {_0}; read the stream before repeating an \
         append, which may have taken effect"
    )]
    OutcomeUnknown(#[error(not(source))] String),
    /// Retention removed the records that the read asked for.
    #[display("records before {first_retained} are gone; start from a snapshot")]
    RecordsGone {
        /// First offset that is still retained.
        first_retained: Offset,
    },
    /// The call violates the protocol according to this client or to the service, or the response
    /// to a read cannot be decoded.
    #[display(
        "invalid call or response of the log service: {_0}; check the stream name and compare the \
         versions of service and client"
    )]
    Protocol(#[error(not(source))] String),
}
