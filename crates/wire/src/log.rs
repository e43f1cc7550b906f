//! Encoding and decoding of the JSON records in the streams of the log store.
//!
//! The module has nothing to do with log messages.
//!
//! The configuration stream has records `{"v":1,"entry":{...}}`, whose entry is a change or a
//! snapshot of the configuration.
//!
//! The introducer stream has records `{"v":1,"peer":"ADDRESS"}` with the peer address of an
//! introducer, which is a daemon that others contact first if they reach none of their seeds.

use std::net::SocketAddr;

use cornelvalve_model::LogEntry;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Result of encoding or decoding a record.
pub(crate) type Result<T> = std::result::Result<T, RecordError>;

/// Version of the record schema that this build reads and writes.
pub const LOG_SCHEMA_VERSION: u64 = 1;

/// Maximum size of a record in bytes; limits the memory that a malicious record can use.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Reason why a record could not be encoded or decoded.
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
    /// The schema version of the record is not [`LOG_SCHEMA_VERSION`] or is missing.
    #[display("record has schema version {found}, not {LOG_SCHEMA_VERSION}; upgrade this process")]
    WrongVersion {
        /// Version in the record, or "none".
        found: String,
    },
    /// The record has a field of this name, which the schema version does not define.
    #[display("record has unknown field {_0}; remove it or raise the schema version")]
    UnknownField(#[error(not(source))] String),
    /// A field is missing, duplicated, or has a wrong type or value; or an entry cannot be encoded.
    #[display("record does not match the schema: {_0}; correct the record")]
    Invalid(#[error(not(source))] String),
}

/// Record of the configuration stream, for encoding: the entry with its schema version.
#[derive(Serialize)]
struct EnvelopeRef<'a> {
    v: u64,
    entry: &'a LogEntry,
}

/// Record of the configuration stream, for decoding after its version was checked.
#[derive(Deserialize)]
struct Envelope {
    entry: LogEntry,
}

/// Returns the record of the configuration stream for a log entry.
///
/// # Errors
///
/// Returns [`RecordError::TooLarge`] if the record exceeds [`MAX_RECORD_BYTES`].
pub fn encode_entry(entry: &LogEntry) -> Result<Vec<u8>> {
    let envelope = EnvelopeRef {
        v: LOG_SCHEMA_VERSION,
        entry,
    };
    let data = serde_json::to_vec(&envelope).map_err(|e| RecordError::Invalid(e.to_string()))?;
    check_size(&data)?;
    Ok(data)
}

/// Returns the log entry in a record of the configuration stream.
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
    // Decodes `data` instead of `value`, because `value` no longer shows duplicate fields.
    let envelope: Envelope = serde_json::from_slice(data).map_err(schema_error)?;
    let reencoded = serde_json::to_value(EnvelopeRef {
        v: LOG_SCHEMA_VERSION,
        entry: &envelope.entry,
    })
    .map_err(|e| RecordError::Invalid(e.to_string()))?;
    match unknown_field(&value, &reencoded) {
        Some(field) => Err(RecordError::UnknownField(field.to_owned())),
        None => Ok(envelope.entry),
    }
}

/// Record of the introducer stream.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct IntroducerRecord {
    v: u64,
    peer: SocketAddr,
}

/// Returns the record of the introducer stream for an introducer with the address `peer`.
#[must_use]
pub fn encode_introducer(peer: SocketAddr) -> Vec<u8> {
    format!(r#"{{"v":{LOG_SCHEMA_VERSION},"peer":"{peer}"}}"#).into_bytes()
}

/// Returns the address of the introducer in a record of the introducer stream.
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

/// Converts an error of a derived `Deserialize` implementation.
///
/// The message is parsed because serde has no other indication of an unknown field.
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

/// Returns an error if the record exceeds [`MAX_RECORD_BYTES`].
fn check_size(data: &[u8]) -> Result<()> {
    if data.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLarge { size: data.len() });
    }
    Ok(())
}

/// Returns an error if the schema version of the record is not [`LOG_SCHEMA_VERSION`].
fn check_version(value: &Value) -> Result<()> {
    let found = value.get("v");
    if found.and_then(Value::as_u64) == Some(LOG_SCHEMA_VERSION) {
        return Ok(());
    }
    Err(RecordError::WrongVersion {
        found: found.map_or_else(|| "none".to_owned(), Value::to_string),
    })
}

/// Returns the name of a field that the schema does not define: one that is present in `received`,
/// but was lost when `received` was decoded and encoded again as `reencoded`.
///
/// The check is needed because enum variants with named fields ignore unknown fields when decoded.
/// If an older build ignored a field that newer builds apply, their configurations would differ.
fn unknown_field<'a>(received: &'a Value, reencoded: &Value) -> Option<&'a str> {
    match (received, reencoded) {
        (Value::Object(received), Value::Object(reencoded)) => {
            received
                .iter()
                .find_map(|(name, value)| match reencoded.get(name) {
                    Some(counterpart) => unknown_field(value, counterpart),
                    None => Some(name.as_str()),
                })
        }
        (Value::Array(received), Value::Array(reencoded)) => received
            .iter()
            .zip(reencoded)
            .find_map(|(value, counterpart)| unknown_field(value, counterpart)),
        _ => None,
    }
}
