//! Errors of message decoding.

use derive_more::{Display, Error};
use http::StatusCode;

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reports why bytes are not an acceptable message.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not HTTP/1.1.
    #[display("malformed message: {_0}")]
    Malformed(#[error(not(source))] &'static str),
    /// The head exceeds its limit.
    #[display("message head exceeds its limit")]
    HeadTooLong,
    /// The body exceeds its limit.
    #[display("message body exceeds its limit")]
    BodyTooLong,
    /// The connection ended inside a message.
    #[display("connection ended inside a message")]
    Truncated,
}

impl Error {
    /// Returns the status with which a server refuses such a request.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::Truncated => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}
