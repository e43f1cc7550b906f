//! Error type and exit codes of the client.

use cornelvalve_api::ApiError;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, CtlError>;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// The command did what was asked.
    #[display("success")]
    Success,
    /// The output could not be written, or the client could not start.
    #[display("failure")]
    Failure,
    /// The command line or a file that it names is wrong.
    #[display("usage")]
    Usage,
    /// A daemon that was needed did not answer.
    #[display("unreachable")]
    Unreachable,
    /// The change was appended to the log, but is not valid. Daemons validate a change when they
    /// read it from the log, and all of them reject the same changes.
    #[display("rejected")]
    Rejected,
    /// The change is accepted, but not all members confirmed it in time.
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

/// Reports why a command failed and what to do about it.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}; {remedy}")]
pub struct CtlError {
    /// Determines the exit code of the process.
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

    /// Returns the error for a wrong command line.
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::new(Exit::Usage, message, "see --help")
    }

    /// Returns the error for a daemon that did not answer.
    pub(crate) fn unreachable(message: impl Into<String>) -> Self {
        Self::new(
            Exit::Unreachable,
            message,
            "name another daemon with --daemon, or check the address and the network",
        )
    }

    /// Returns the error for output that could not be written.
    pub(crate) fn write_failed(error: &std::io::Error) -> Self {
        Self::new(
            Exit::Failure,
            format!("cannot write the result: {error}"),
            "check that the output file or pipe can be written",
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
        Self::write_failed(&error)
    }
}
