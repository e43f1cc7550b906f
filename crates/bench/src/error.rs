//! Errors of the tool.

use derive_more::{Display, Error};

/// Result alias of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reports that an experiment could not be read or run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The file cannot be read or is not an experiment.
    #[display("{file}: {problem}; correct the file or use a built-in experiment")]
    File {
        /// Path as given.
        file: String,
        /// What is wrong.
        problem: String,
    },
    /// A value of the experiment is out of bounds.
    #[display("{key} {problem}")]
    Bounds {
        /// Key of the value.
        key: &'static str,
        /// What is wrong and what to do about it.
        problem: &'static str,
    },
    /// A part of the mesh did not start.
    #[display("{part} did not start: {problem}; see the log of the process")]
    Start {
        /// The part.
        part: &'static str,
        /// What happened.
        problem: String,
    },
    /// The mesh did not become ready in time.
    #[display("mesh not ready in time: {_0}; the machine may be overloaded")]
    NotReady(#[error(not(source))] String),
    /// The run did not end by itself within its bound.
    #[display("run exceeded its time limit and was stopped; lower the rate")]
    TimeLimit,
}

/// Creates the error of a part that did not start.
pub(crate) fn start(part: &'static str) -> impl FnOnce(std::io::Error) -> Error {
    move |e| Error::Start {
        part,
        problem: e.to_string(),
    }
}
