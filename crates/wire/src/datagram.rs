//! Encoding and decoding of membership messages as datagrams.
//!
//! A datagram consists of a version byte, the low four bytes of the 64-bit XXH3 hash of the body in
//! little-endian order, and the body: one message in postcard format.

use cornelvalve_membership::Message;
use derive_more::{Display, Error};
use xxhash_rust::xxh3::xxh3_64;

/// Result of encoding or decoding a datagram.
pub type Result<T> = std::result::Result<T, DatagramError>;

/// Version of the datagram format; incremented whenever the encoding of a message changes. Daemons
/// with different versions drop each other's datagrams.
pub const FORMAT_VERSION: u8 = 2;

/// Maximum size of a datagram in bytes: fits into an Ethernet frame with a payload of 1500 bytes
/// and leaves room for tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Size of the version and the checksum, which precede the body, in bytes.
pub const HEADER_BYTES: usize = 5;

/// Reason why a datagram was not encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DatagramError {
    /// The datagram, encoded or received, has this many bytes, more than [`MAX_DATAGRAM_BYTES`].
    #[display(
        "datagram has {_0} bytes, more than {MAX_DATAGRAM_BYTES}; send fewer updates at once"
    )]
    TooLong(#[error(not(source))] usize),
    /// The datagram has this many bytes, fewer than [`HEADER_BYTES`].
    #[display(
        "datagram has {_0} bytes and no complete header; check which program uses the sender's port"
    )]
    TooShort(#[error(not(source))] usize),
    /// The datagram has this version, which is not [`FORMAT_VERSION`].
    #[display("datagram has version {_0} instead of {FORMAT_VERSION}; upgrade the older daemon")]
    WrongVersion(#[error(not(source))] u8),
    /// The checksum does not match the body.
    #[display("datagram has a wrong checksum; check the network path if this repeats")]
    WrongChecksum,
    /// The message cannot be encoded, or the body is not an encoded message.
    #[display(
        "message cannot be encoded or decoded ({_0}); check that all daemons run the same release"
    )]
    InvalidBody(#[error(source)] postcard::Error),
    /// The message is followed by this many bytes.
    #[display(
        "datagram has {_0} bytes after the message; check that all daemons run the same release"
    )]
    TrailingBytes(#[error(not(source))] usize),
}

/// Returns the low four bytes of the XXH3 hash of `body` in little-endian order.
fn checksum(body: &[u8]) -> [u8; 4] {
    let [a, b, c, d, ..] = xxh3_64(body).to_le_bytes();
    [a, b, c, d]
}

/// Returns the datagram for a message.
///
/// # Errors
///
/// Returns [`DatagramError::TooLong`] if the datagram exceeds [`MAX_DATAGRAM_BYTES`].
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(message).map_err(DatagramError::InvalidBody)?;
    let length = HEADER_BYTES + body.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong(length));
    }
    let mut datagram = Vec::with_capacity(length);
    datagram.push(FORMAT_VERSION);
    datagram.extend_from_slice(&checksum(&body));
    datagram.extend_from_slice(&body);
    Ok(datagram)
}

/// Returns the message in a datagram.
///
/// # Errors
///
/// Returns [`DatagramError`] if the bytes are not exactly one message of this version.
pub fn decode(datagram: &[u8]) -> Result<Message> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong(datagram.len()));
    }
    let Some((header, body)) = datagram.split_first_chunk::<HEADER_BYTES>() else {
        return Err(DatagramError::TooShort(datagram.len()));
    };
    let [version, received @ ..] = header;
    if *version != FORMAT_VERSION {
        return Err(DatagramError::WrongVersion(*version));
    }
    if *received != checksum(body) {
        return Err(DatagramError::WrongChecksum);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(DatagramError::InvalidBody)?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DatagramError::TrailingBytes(rest.len()))
    }
}
