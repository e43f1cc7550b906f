//! Codecs at the border: datagrams, log records, hop headers and problem documents.

pub mod datagram;
