//! Parsed settings file that knows the line of each key, for error messages.

use std::path::Path;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;

use super::{Result, SettingsError};

/// Accepted syntax: JSON with comments and trailing commas.
///
/// Other extensions are rejected, because they could turn a typing error into valid syntax with
/// another meaning.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Settings file whose syntax is valid and whose keys are unique.
pub(super) struct Document<'a> {
    path: &'a Path,
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the syntax is invalid, the file has no value, or an object has
    /// a key twice.
    pub(super) fn parse(path: &'a Path, text: &'a str) -> Result<Self> {
        let parsed =
            parse_to_ast(text, &CollectOptions::default(), &SYNTAX).map_err(|e| SettingsError {
                file: path.to_owned(),
                line: e.line_display(),
                key: String::new(),
                problem: format!("not JSON with comments: {}", e.kind()),
                remedy: "correct the syntax".to_owned(),
            })?;
        let root = parsed.value.ok_or_else(|| SettingsError {
            file: path.to_owned(),
            line: 1,
            key: String::new(),
            problem: "the file contains no value".to_owned(),
            remedy: "start from examples/cornelvalve.jsonc".to_owned(),
        })?;
        let document = Self { path, text, root };
        document.reject_duplicates(&document.root, "")?;
        Ok(document)
    }

    /// Deserializes the document.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first key that is unknown, missing or has a value of the
    /// wrong type.
    pub(super) fn read<T: DeserializeOwned>(&self) -> Result<T> {
        let value: serde_json::Value = parse_to_serde_value(self.text, &SYNTAX)
            .map_err(|e| self.error("", &e.to_string(), "correct the syntax"))?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            let key = if path == "." { "" } else { &path };
            let problem = replace_type_names(&e.inner().to_string());
            let (key, remedy) = key_and_remedy(key, &problem);
            self.error(&key, &problem, remedy)
        })
    }

    /// Returns an error with the line of a key or, if the key is missing, of the innermost
    /// enclosing key that is present.
    pub(super) fn error(&self, key: &str, problem: &str, remedy: &str) -> SettingsError {
        SettingsError {
            file: self.path.to_owned(),
            line: self.line_at(self.position(key)),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// Returns the byte position of a key such as `listen.peers` or `seeds[1]` or, if it is
    /// missing, of the innermost enclosing key that is present.
    fn position(&self, key: &str) -> usize {
        let mut value = &self.root;
        let mut position = value.start();
        for part in key.split(['.', '[']).filter(|p| !p.is_empty()) {
            let next = match (value, part.strip_suffix(']')) {
                (Value::Array(array), Some(index)) => index
                    .parse::<usize>()
                    .ok()
                    .and_then(|i| array.elements.get(i))
                    .map(|element| (element.start(), element)),
                (Value::Object(object), None) => object
                    .get(part)
                    .map(|property| (property.start(), &property.value)),
                _ => None,
            };
            match next {
                Some(found) => (position, value) = found,
                None => break,
            }
        }
        position
    }

    /// Returns the line of a byte position, counted from 1.
    fn line_at(&self, position: usize) -> usize {
        1 + self.text[..position].matches('\n').count()
    }

    /// Returns an error if an object has a key twice, because it is not defined which of the two
    /// values a JSON parser uses.
    fn reject_duplicates(&self, value: &Value<'_>, path: &str) -> Result<()> {
        match value {
            Value::Object(object) => self.reject_duplicate_keys(object, path),
            Value::Array(array) => array
                .elements
                .iter()
                .try_for_each(|element| self.reject_duplicates(element, path)),
            _ => Ok(()),
        }
    }

    fn reject_duplicate_keys(&self, object: &Object<'_>, path: &str) -> Result<()> {
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let key = join(path, name);
            let earlier = object.properties[..index].iter();
            if earlier.into_iter().any(|p| p.name.as_str() == name) {
                return Err(SettingsError {
                    line: self.line_at(property.start()),
                    ..self.error(&key, "the key is set twice", "remove one of the two")
                });
            }
            self.reject_duplicates(&property.value, &key)?;
        }
        Ok(())
    }
}

/// Returns the full key of a name in the object at `path`.
fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Replaces the name of a Rust integer type at the end of a serde message with a description of its
/// range, because operators do not need to know Rust.
fn replace_type_names(problem: &str) -> String {
    let ranges = [
        ("usize", "a whole number"),
        ("u64", "a whole number"),
        ("u32", "a whole number up to 4294967295"),
        ("u16", "a whole number up to 65535"),
    ];
    let replaced = ranges.iter().find_map(|(name, range)| {
        let start = problem.strip_suffix(name)?;
        start
            .ends_with("expected ")
            .then(|| format!("{start}{range}"))
    });
    replaced.unwrap_or_else(|| problem.to_owned())
}

/// Returns the key that an error message of serde is about, and the remedy.
///
/// `key` is the key at which serde stopped: for a missing or unknown field it may be the enclosing
/// object, and only the message names the field.
fn key_and_remedy(key: &str, problem: &str) -> (String, &'static str) {
    let field = problem.split('`').nth(1).unwrap_or_default();
    if problem.starts_with("missing field") {
        (join(key, field), "add the key")
    } else if problem.starts_with("unknown field") {
        let ends_with_field = key.rsplit('.').next() == Some(field);
        let full_key = if ends_with_field {
            key.to_owned()
        } else {
            join(key, field)
        };
        (full_key, "remove the key or correct its spelling")
    } else if problem.contains("socket address") {
        (
            key.to_owned(),
            "use an IP address with port, such as 10.0.0.1:7101",
        )
    } else {
        (key.to_owned(), "correct the value")
    }
}
