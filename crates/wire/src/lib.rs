//! Codecs at the border: datagrams, log records, hop headers and problem documents.

mod log;

pub use log::{LOG_SCHEMA_VERSION, LogError, MAX_RECORD_BYTES, decode_entry, encode_entry};
