//! Errors of the calls as JSON-RPC error objects.

use derive_more::{Display, Error};
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, ApiError>;

/// First of the error codes; JSON-RPC leaves the codes from -32000 to -32099 to servers.
const BASE_CODE: i32 = -32000;

/// Kind of an error, on which a client may decide.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// A parameter has a value that the daemon cannot use.
    #[display("bad-request")]
    BadRequest,
    /// The daemon has no accepted configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The log store did not answer, and nothing was appended.
    #[display("log-unavailable")]
    LogUnavailable,
    /// The daemon stands in another failure domain than the call names.
    #[display("wrong-domain")]
    WrongDomain,
    /// The daemon no longer holds the records that were asked for.
    #[display("records-gone")]
    RecordsGone,
    /// The daemon has too many calls to answer.
    #[display("overloaded")]
    Overloaded,
    /// A service of the daemon is not running.
    #[display("internal")]
    Internal,
}

impl ErrorKind {
    /// All kinds, in the order of their codes.
    pub const ALL: [Self; 7] = [
        Self::BadRequest,
        Self::NoConfiguration,
        Self::LogUnavailable,
        Self::WrongDomain,
        Self::RecordsGone,
        Self::Overloaded,
        Self::Internal,
    ];

    /// Returns the JSON-RPC error code.
    #[must_use]
    pub fn code(self) -> i32 {
        let index = match self {
            Self::BadRequest => 1,
            Self::NoConfiguration => 2,
            Self::LogUnavailable => 3,
            Self::WrongDomain => 4,
            Self::RecordsGone => 5,
            Self::Overloaded => 6,
            Self::Internal => 7,
        };
        BASE_CODE - index
    }

    /// Returns what the operator can do about it.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => "correct the parameter that the message names",
            Self::NoConfiguration => {
                "try another daemon, or wait until this one has read the configuration"
            }
            Self::LogUnavailable => {
                "repeat the call with the same change id once the log store answers; to empty a \
                 failure domain meanwhile, use leave"
            }
            Self::WrongDomain => "call a daemon of that failure domain",
            Self::RecordsGone => "ask again from a later offset, or read the log",
            Self::Overloaded => "repeat the call later, or call another daemon",
            Self::Internal => "repeat the call, or call another daemon",
        }
    }
}

/// Part of the error object that programs read.
#[derive(Debug, Serialize, Deserialize)]
struct ErrorData {
    kind: ErrorKind,
    remedy: String,
}

/// Error of a call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}; {}", kind.remedy())]
pub struct ApiError {
    /// Kind, which decides code and remedy.
    pub kind: ErrorKind,
    /// What happened.
    pub message: String,
}

impl ApiError {
    /// Creates an error.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Reads an error object that a daemon sent; `None` if it has no known kind.
    #[must_use]
    pub fn from_error_object(object: &ErrorObjectOwned) -> Option<Self> {
        let data: ErrorData = serde_json::from_str(object.data()?.get()).ok()?;
        Some(Self::new(data.kind, object.message()))
    }
}

impl From<ApiError> for ErrorObjectOwned {
    fn from(error: ApiError) -> Self {
        let data = ErrorData {
            kind: error.kind,
            remedy: error.kind.remedy().to_owned(),
        };
        Self::owned(error.kind.code(), error.message, Some(data))
    }
}
