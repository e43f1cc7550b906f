//! Reads service files, which hold one service in JSON with comments.

use std::path::Path;

use cornelvalve_model::Service;

use crate::{CtlError, Exit, Result};

/// Reads a service from a file.
pub(crate) fn read_service(path: &Path) -> Result<Service> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        CtlError::new(
            Exit::Usage,
            format!("{}: cannot read the file: {e}", path.display()),
            "check the path and its permissions",
        )
    })?;
    let value: serde_json::Value = parse(path, &text)?;
    serde_json::from_value(value).map_err(|e| invalid_service(path, &e.to_string()))
}

/// Parses JSON with comments.
fn parse(path: &Path, text: &str) -> Result<serde_json::Value> {
    jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
        .map_err(|e| invalid_service(path, &e.to_string()))
}

/// Returns the error for a file that does not hold a valid service.
fn invalid_service(path: &Path, problem: &str) -> CtlError {
    CtlError::new(
        Exit::Usage,
        format!("{}: not a valid service: {problem}", path.display()),
        "see the format of service files in docs/operators.md",
    )
}
