//! Errors of decoding a request or response.

use derive_more::{Display, Error};
use http::StatusCode;

/// Result of decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of decoding a request or response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not valid HTTP/1.1; the text says what is wrong.
    #[display("malformed message: {_0}")]
    Malformed(#[error(not(source))] &'static str),
    /// The head or the trailer section is too large or has too many headers.
    #[display("message head or trailer section exceeds the limit on its size or number of headers")]
    HeadTooLarge,
    /// The body exceeds the limit of the decoder.
    #[display("message body exceeds the size limit")]
    BodyTooLarge,
    /// Other messages use up the memory that this one needs.
    #[display("no memory is left for the message")]
    NoMemory,
    /// The connection closed before the end of a message.
    #[display("connection closed before the end of a message")]
    Truncated,
}

impl Error {
    /// Returns the status of the response to a request that fails to decode with this error.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Malformed(_) | Self::Truncated => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
