//! Codecs at the border: datagrams, log records, hop headers and problem documents.
//!
//! Decisions never see an encoding. A second front end may use the same decisions with codecs of
//! its own.

pub mod datagram;
pub mod hop;
pub mod log;
pub mod problem;
