//! Text of a settings file with the position of each key.

use std::path::Path;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;

use super::{Result, SettingsError};

/// JSON with comments and trailing commas; looser syntax is refused so that a typing error does
/// not change the meaning.
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

/// Parsed settings file.
pub(super) struct Document<'a> {
    path: &'a Path,
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Document<'a> {
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
            problem: "the file holds no value".to_owned(),
            remedy: "start from examples/cornelvalve.jsonc".to_owned(),
        })?;
        let document = Self { path, text, root };
        document.refuse_duplicates(&document.root, "")?;
        Ok(document)
    }

    /// Reads the document as a settings type.
    pub(super) fn read<T: DeserializeOwned>(&self) -> Result<T> {
        let value: serde_json::Value = parse_to_serde_value(self.text, &SYNTAX)
            .map_err(|e| self.error("", &e.to_string(), "correct the syntax"))?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            let key = if path == "." { "" } else { &path };
            let problem = without_type_names(&e.inner().to_string());
            let (key, remedy) = locate(key, &problem);
            self.error(&key, &problem, remedy)
        })
    }

    /// Creates an error that points at a key, or at the nearest enclosing one that is present.
    pub(super) fn error(&self, key: &str, problem: &str, remedy: &str) -> SettingsError {
        SettingsError {
            file: self.path.to_owned(),
            line: self.line_at(self.position(key)),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// Returns the byte position of a key such as `listen.peers` or `seeds[1]`.
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

    fn line_at(&self, position: usize) -> usize {
        1 + self.text[..position].matches('\n').count()
    }

    /// Refuses duplicate keys, of which JSON readers keep an arbitrary one.
    fn refuse_duplicates(&self, value: &Value<'_>, path: &str) -> Result<()> {
        match value {
            Value::Object(object) => self.refuse_duplicate_keys(object, path),
            Value::Array(array) => array
                .elements
                .iter()
                .try_for_each(|element| self.refuse_duplicates(element, path)),
            _ => Ok(()),
        }
    }

    fn refuse_duplicate_keys(&self, object: &Object<'_>, path: &str) -> Result<()> {
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
            self.refuse_duplicates(&property.value, &key)?;
        }
        Ok(())
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Replaces the names of Rust's integer types, which mean nothing to operators.
fn without_type_names(problem: &str) -> String {
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

/// Returns the key that a message of serde is about, and the remedy.
fn locate(key: &str, problem: &str) -> (String, &'static str) {
    let quoted = problem.split('`').nth(1).unwrap_or_default();
    if problem.starts_with("missing field") {
        (join(key, quoted), "add the key")
    } else if problem.starts_with("unknown field") {
        let named = key.rsplit('.').next() == Some(quoted);
        let full = if named {
            key.to_owned()
        } else {
            join(key, quoted)
        };
        (full, "remove the key or correct its spelling")
    } else if problem.contains("socket address") {
        (
            key.to_owned(),
            "use an IP address with port, such as 10.0.0.1:7101",
        )
    } else {
        (key.to_owned(), "correct the value")
    }
}
