//! JSON form of log records: `{"v":1,"entry":{...}}` in the configuration stream and
//! `{"v":1,"peer":"ADDRESS"}` in the stream of introducers.

use std::net::SocketAddr;

use cornelvalve_model::LogEntry;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, RecordError>;

/// Version of the record schema that this build reads and writes.
pub const LOG_SCHEMA_VERSION: u64 = 1;

/// Largest record in bytes; bounds the memory that one hostile record can take.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Reports why a record could not be encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordError {
    /// The record is longer than [`MAX_RECORD_BYTES`].
    #[display("record has {size} bytes, the limit is {MAX_RECORD_BYTES}; split the change")]
    TooLarge {
        /// Size of the record in bytes.
        size: usize,
    },
    /// The record is not JSON.
    #[display("record is not JSON: {_0}; check who writes to the stream")]
    NotJson(#[error(not(source))] String),
    /// The record has another schema version or none.
    #[display("record has schema version {found}, not {LOG_SCHEMA_VERSION}; upgrade this process")]
    WrongVersion {
        /// Version as found, or "none".
        found: String,
    },
    /// The record has a field that this schema version does not define.
    #[display("record has unknown field {_0}; remove it or raise the schema version")]
    UnknownField(#[error(not(source))] String),
    /// A field is missing or has a wrong type or value.
    #[display("record does not match the schema: {_0}; correct the record")]
    Invalid(#[error(not(source))] String),
}

#[derive(Serialize)]
struct EnvelopeRef<'a> {
    v: u64,
    entry: &'a LogEntry,
}

#[derive(Deserialize)]
struct Envelope {
    entry: LogEntry,
}

/// Encodes a log entry.
///
/// # Errors
///
/// Returns [`RecordError::TooLarge`] if the record would exceed the limit.
pub fn encode_entry(entry: &LogEntry) -> Result<Vec<u8>> {
    let envelope = EnvelopeRef {
        v: LOG_SCHEMA_VERSION,
        entry,
    };
    let data = serde_json::to_vec(&envelope).map_err(|e| RecordError::Invalid(e.to_string()))?;
    check_size(&data)?;
    Ok(data)
}

/// Decodes a log entry.
///
/// # Errors
///
/// Returns [`RecordError`] if the record is too large, not JSON, of another schema version, or does
/// not match the schema exactly.
pub fn decode_entry(data: &[u8]) -> Result<LogEntry> {
    check_size(data)?;
    let value: Value =
        serde_json::from_slice(data).map_err(|e| RecordError::NotJson(e.to_string()))?;
    check_version(&value)?;
    // Decoded from the text, not from `value`, because only the text shows duplicate fields.
    let envelope: Envelope = serde_json::from_slice(data).map_err(schema_error)?;
    let known = serde_json::to_value(EnvelopeRef {
        v: LOG_SCHEMA_VERSION,
        entry: &envelope.entry,
    })
    .map_err(|e| RecordError::Invalid(e.to_string()))?;
    match unknown_field(&value, &known) {
        Some(field) => Err(RecordError::UnknownField(field.to_owned())),
        None => Ok(envelope.entry),
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct IntroducerRecord {
    v: u64,
    peer: SocketAddr,
}

/// Encodes the record by which a daemon offers its peer address to others that know none.
#[must_use]
pub fn encode_introducer(peer: SocketAddr) -> Vec<u8> {
    format!(r#"{{"v":{LOG_SCHEMA_VERSION},"peer":"{peer}"}}"#).into_bytes()
}

/// Decodes a record of the stream of introducers.
///
/// # Errors
///
/// Returns [`RecordError`] under the same conditions as [`decode_entry`].
pub fn decode_introducer(data: &[u8]) -> Result<SocketAddr> {
    check_size(data)?;
    let value: Value =
        serde_json::from_slice(data).map_err(|e| RecordError::NotJson(e.to_string()))?;
    check_version(&value)?;
    let record: IntroducerRecord = serde_json::from_slice(data).map_err(schema_error)?;
    Ok(record.peer)
}

/// Classifies an error of the derived decoders; serde reports an unknown field by its message
/// only.
fn schema_error(e: serde_json::Error) -> RecordError {
    let message = e.to_string();
    let field = message
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split_once('`'));
    match field {
        Some((name, _)) => RecordError::UnknownField(name.to_owned()),
        None => RecordError::Invalid(message),
    }
}

fn check_size(data: &[u8]) -> Result<()> {
    if data.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLarge { size: data.len() });
    }
    Ok(())
}

fn check_version(value: &Value) -> Result<()> {
    let found = value.get("v");
    if found.and_then(Value::as_u64) == Some(LOG_SCHEMA_VERSION) {
        return Ok(());
    }
    Err(RecordError::WrongVersion {
        found: found.map_or_else(|| "none".to_owned(), Value::to_string),
    })
}

/// Returns a field of `given` that is absent from `known`, its decoded and encoded form.
///
/// Enum variants with named fields ignore unknown fields when decoded, and a field that an older
/// build ignores would make its state differ from that of newer ones.
fn unknown_field<'a>(given: &'a Value, known: &Value) -> Option<&'a str> {
    match (given, known) {
        (Value::Object(given), Value::Object(known)) => {
            given
                .iter()
                .find_map(|(name, value)| match known.get(name) {
                    Some(counterpart) => unknown_field(value, counterpart),
                    None => Some(name.as_str()),
                })
        }
        (Value::Array(given), Value::Array(known)) => given
            .iter()
            .zip(known)
            .find_map(|(value, counterpart)| unknown_field(value, counterpart)),
        _ => None,
    }
}
