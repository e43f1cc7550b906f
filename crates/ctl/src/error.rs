//! Errors of the client and its exit codes.

use cornelvalve_api::ApiError;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, CtlError>;

/// How a command ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// The command did what was asked.
    #[display("success")]
    Success,
    /// The result could not be written.
    #[display("failure")]
    Failure,
    /// The command line or a file that it names is wrong.
    #[display("usage")]
    Usage,
    /// A daemon that was needed did not answer.
    #[display("unreachable")]
    Unreachable,
    /// The change was read from the log and refused.
    #[display("rejected")]
    Rejected,
    /// The change is accepted, but not confirmed by all members in time.
    #[display("not-in-force")]
    NotInForce,
    /// The change may or may not have taken effect.
    #[display("unknown-outcome")]
    UnknownOutcome,
    /// The daemon answered with an error.
    #[display("daemon-error")]
    DaemonError,
}

impl Exit {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Rejected => 4,
            Self::NotInForce => 5,
            Self::UnknownOutcome => 6,
            Self::DaemonError => 7,
        }
    }
}

/// Reports why a command did not do what was asked.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}; {remedy}")]
pub struct CtlError {
    /// How the process ends.
    pub exit: Exit,
    /// What happened.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl CtlError {
    pub(crate) fn new(exit: Exit, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
            remedy: remedy.into(),
        }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::new(Exit::Usage, message, "see --help")
    }

    pub(crate) fn unreachable(message: impl Into<String>) -> Self {
        Self::new(
            Exit::Unreachable,
            message,
            "name another daemon with --daemon, or check the address and the network",
        )
    }

    pub(crate) fn output(error: &std::io::Error) -> Self {
        Self::new(
            Exit::Failure,
            format!("cannot write the result: {error}"),
            "check where the output goes",
        )
    }
}

impl From<ApiError> for CtlError {
    fn from(error: ApiError) -> Self {
        Self::new(Exit::DaemonError, error.message, error.kind.remedy())
    }
}

impl From<std::io::Error> for CtlError {
    fn from(error: std::io::Error) -> Self {
        Self::output(&error)
    }
}
