//! Reads the settings file, which is JSON with comments, into a [`Config`].
//!
//! Every error names the file, the line, the key and the remedy.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};

use crate::config::{Config, ConfigError};

mod document;
mod schema;

use document::Document;

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Reports why a settings file cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}:{line}: {}{problem}; {remedy}", file.display(), key_prefix(key))]
pub struct SettingsError {
    /// The settings file.
    pub file: PathBuf,
    /// Line, counted from 1.
    pub line: usize,
    /// Key, such as `listen.peers`; empty if the error concerns the whole file.
    pub key: String,
    /// What is wrong with the file or the key.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

/// Returns the key as it precedes the problem in an error message.
fn key_prefix(key: &str) -> String {
    if key.is_empty() {
        String::new()
    } else {
        format!("{key}: ")
    }
}

/// Reads and validates a settings file, and returns the options of the daemon.
///
/// # Errors
///
/// Returns [`SettingsError`] if the file cannot be read, is not JSON with comments, has an
/// unknown, missing or duplicate key, or a value that cannot be used.
pub fn check(path: &Path) -> Result<Config> {
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
        file: path.to_owned(),
        line: 1,
        key: String::new(),
        problem: format!("cannot read the file: {e}"),
        remedy: "check the path and its permissions".to_owned(),
    })?;
    parse(path, &text)
}

/// Parses and validates the text of a settings file; `path` is only used in error messages.
///
/// # Errors
///
/// Returns [`SettingsError`] as [`check`] does.
pub fn parse(path: &Path, text: &str) -> Result<Config> {
    let document = Document::parse(path, text)?;
    let settings: schema::Settings = document.read()?;
    settings
        .into_config()
        .map_err(|e| config_error(&document, &e))
}

fn config_error(document: &Document<'_>, error: &ConfigError) -> SettingsError {
    document.error(error.key, error.problem, error.remedy)
}
