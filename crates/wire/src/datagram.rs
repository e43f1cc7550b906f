//! Datagrams of the membership protocol.
//!
//! Layout: a version byte, the low four bytes of the XXH3 checksum of the body in little-endian
//! order, and the body in postcard format.

use cornelvalve_membership::Message;
use derive_more::{Display, Error};
use xxhash_rust::xxh3::xxh3_64;

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, DatagramError>;

/// Version of the format; raised whenever a message changes its encoding.
pub const VERSION: u8 = 1;

/// Largest datagram in bytes: fits an Ethernet frame of 1500 bytes with tunnel headers.
pub const MAX_BYTES: usize = 1400;

/// Bytes before the body.
pub const HEADER_BYTES: usize = 5;

/// Reports why a datagram was not encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram exceeds the limit.
    #[display("datagram has {_0} bytes, more than {MAX_BYTES}; send fewer records at once")]
    TooLong(#[error(not(source))] usize),
    /// The datagram ends within the header.
    #[display("datagram has {_0} bytes and no complete header; check the sender's port")]
    TooShort(#[error(not(source))] usize),
    /// The version is not supported.
    #[display("datagram has version {_0} instead of {VERSION}; upgrade the older daemon")]
    Version(#[error(not(source))] u8),
    /// The checksum does not match the body.
    #[display("datagram is damaged; check the network path if this repeats")]
    Checksum,
    /// The body is not a message.
    #[display("datagram does not decode ({_0}); check that all daemons run the same release")]
    Body(#[error(source)] postcard::Error),
    /// The body is longer than its message.
    #[display("datagram has {_0} bytes after the message; check that all daemons agree")]
    Trailing(#[error(not(source))] usize),
}

fn checksum(body: &[u8]) -> [u8; 4] {
    let [a, b, c, d, ..] = xxh3_64(body).to_le_bytes();
    [a, b, c, d]
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`DatagramError::TooLong`] if the result exceeds [`MAX_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(message).map_err(DatagramError::Body)?;
    let length = HEADER_BYTES + body.len();
    if length > MAX_BYTES {
        return Err(DatagramError::TooLong(length));
    }
    let mut datagram = Vec::with_capacity(length);
    datagram.push(VERSION);
    datagram.extend_from_slice(&checksum(&body));
    datagram.extend_from_slice(&body);
    Ok(datagram)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns [`DatagramError`] if the bytes are not exactly one message of this version.
pub fn decode(datagram: &[u8]) -> Result<Message> {
    if datagram.len() > MAX_BYTES {
        return Err(DatagramError::TooLong(datagram.len()));
    }
    let Some((header, body)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
        return Err(DatagramError::TooShort(datagram.len()));
    };
    let [version, sum @ ..] = header;
    if *version != VERSION {
        return Err(DatagramError::Version(*version));
    }
    if *sum != checksum(body) {
        return Err(DatagramError::Checksum);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(DatagramError::Body)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DatagramError::Trailing(rest.len()))
    }
}
