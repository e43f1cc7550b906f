//! Codecs of the formats that processes exchange: membership datagrams, records of the log store,
//! HTTP headers and problem documents.
//!
//! Code that makes decisions does not depend on these formats, so that another front end can use it
//! with codecs of its own.

pub mod datagram;
pub mod hop;
pub mod log;
pub mod problem;
