//! Codecs of the formats that processes exchange: membership datagrams, records of the log store,
//! HTTP headers and problem documents.
//!
//! Admission, balancing and membership decisions do not depend on these formats. A front end that
//! speaks another protocol can use the same decisions with its own codecs.

pub mod datagram;
pub mod hop;
pub mod log;
pub mod problem;
