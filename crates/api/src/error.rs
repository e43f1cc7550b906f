//! Errors of the operator API and their JSON-RPC error objects.

use derive_more::{Display, Error};
use jsonrpsee::types::ErrorObjectOwned;
use serde::{Deserialize, Serialize};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, ApiError>;

/// Value from which the error codes count down; the first code is -32001. JSON-RPC reserves -32099
/// to -32000 for errors defined by servers.
const BASE_CODE: i32 = -32000;

/// Kind of an error, by which a client can choose how to react.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// A parameter has an invalid value.
    #[display("bad-request")]
    BadRequest,
    /// The daemon has no accepted configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The log store did not respond, and nothing was appended.
    #[display("log-unavailable")]
    LogUnavailable,
    /// The daemon is in a different failure domain than the call names.
    #[display("wrong-domain")]
    WrongDomain,
    /// The daemon cannot provide the requested records: it has no configuration in force, they are
    /// later than its last record, or its traffic budget does not allow the transfer.
    #[display("records-gone")]
    RecordsGone,
    /// The daemon is handling too many calls.
    #[display("overloaded")]
    Overloaded,
    /// An internal service of the daemon is not running.
    #[display("internal")]
    Internal,
}

impl ErrorKind {
    /// All kinds, in the order of their codes: -32001, -32002 and so on.
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

    /// Returns what the operator can do about the error.
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

/// The `data` member of a JSON-RPC error object, meant for programs.
#[derive(Debug, Serialize, Deserialize)]
struct ErrorData {
    kind: ErrorKind,
    remedy: String,
}

/// Error returned by a call of the operator API.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}; {}", kind.remedy())]
pub struct ApiError {
    /// Kind, which determines the JSON-RPC code and the remedy.
    pub kind: ErrorKind,
    /// What happened.
    pub message: String,
}

impl ApiError {
    /// Creates an error of a kind with a message that says what happened.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Converts a JSON-RPC error object received from a daemon; `None` if its kind is missing or
    /// unknown.
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
