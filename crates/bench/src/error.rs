//! Errors of experiments.

use derive_more::{Display, Error};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of reading or running an experiment.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The file cannot be read or is not an experiment.
    #[display("{file}: {problem}; correct the file or use a built-in experiment")]
    File {
        /// Path of the file, as given.
        file: String,
        /// What is wrong.
        problem: String,
    },
    /// A value of the experiment is out of bounds.
    #[display("{key} {problem}")]
    OutOfBounds {
        /// Key of the value in the experiment file.
        key: &'static str,
        /// What is wrong and what to do about it.
        problem: &'static str,
    },
    /// A part of the mesh did not start.
    #[display("{part} did not start: {problem}; see the log of the process")]
    StartFailed {
        /// Name of the part.
        part: &'static str,
        /// Error that it reported.
        problem: String,
    },
    /// The daemons did not discover all upstreams in time.
    #[display("mesh not ready in time: {_0}; the machine may be overloaded")]
    NotReady(#[error(not(source))] String),
    /// The run did not end within its time limit.
    #[display("run exceeded its time limit and was stopped; lower the rate")]
    TimeLimitExceeded,
}

/// Returns a conversion from an I/O error to the error of a part that did not start.
pub(crate) fn start_error(part: &'static str) -> impl FnOnce(std::io::Error) -> Error {
    move |e| Error::StartFailed {
        part,
        problem: e.to_string(),
    }
}
