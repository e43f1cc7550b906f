//! Errors of the log service.

use cornelvalve_model::Offset;
use derive_more::{Display, Error};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reports why a call to the log service failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The service could not be reached or refused the call; an append had no effect.
    #[display("log service is unavailable: {_0}; retry later")]
    Unavailable(#[error(not(source))] String),
    /// No usable answer arrived; an append may have taken effect.
    #[display("log service gave no answer: {_0}; read on to learn whether an append took effect")]
    OutcomeUnknown(#[error(not(source))] String),
    /// Retention removed the records that the read asked for.
    #[display("records before {first_retained} are gone; start from a snapshot")]
    RecordsGone {
        /// First offset that is still retained.
        first_retained: Offset,
    },
    /// The service rejected the call as wrong, or its answer to a read does not follow the
    /// protocol.
    #[display("log service and client disagree on the protocol: {_0}; compare their versions")]
    Protocol(#[error(not(source))] String),
}
