//! Text form of tickets, which callers send as the idempotency key of a request.
//!
//! The text is a version prefix and the base64url encoding of the ticket and its checksum.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

use data_encoding::BASE64URL_NOPAD;
use derive_more::{Display, Error};
use xxhash_rust::xxh3::xxh3_64;

use super::Ticket;

/// Result alias of this module.
type Result<T> = std::result::Result<T, TicketError>;

/// Prefix that marks the version of the text form.
const PREFIX: &str = "cv1.";

/// Maximum length of the text in bytes; the encoding of two names of 64 bytes and four numbers is
/// shorter.
const MAX_TEXT_BYTES: usize = 320;

/// Size of the checksum in bytes. The checksum distinguishes a damaged ticket from a ticket whose
/// daemon no longer exists.
const CHECKSUM_BYTES: usize = 4;

/// Reason why a text is not a valid ticket.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The text does not start with the version prefix.
    #[display("key is not a ticket; send one that the tickets call returned")]
    NotTicket,
    /// The text is longer than any ticket.
    #[display("ticket is longer than {MAX_TEXT_BYTES} bytes; send it as it was returned")]
    TooLong,
    /// The text contains characters outside the base64url alphabet or is too short.
    #[display("ticket is not base64url; send it as it was returned")]
    BadEncoding,
    /// The checksum does not match.
    #[display("ticket is damaged; send it as it was returned")]
    BadChecksum,
    /// The checksum matches, but the content does not decode to a ticket.
    #[display("ticket has unknown content; request a new one")]
    BadContent,
}

/// Returns the checksum of an encoded ticket.
fn checksum(content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let [a, b, c, d, ..] = xxh3_64(content).to_le_bytes();
    [a, b, c, d]
}

impl Ticket {
    /// Parses the text form of a ticket.
    ///
    /// # Errors
    ///
    /// Returns [`TicketError`] if the text is not the unchanged text form of a ticket.
    pub fn parse(text: &str) -> Result<Self> {
        let encoded = text.strip_prefix(PREFIX).ok_or(TicketError::NotTicket)?;
        if text.len() > MAX_TEXT_BYTES {
            return Err(TicketError::TooLong);
        }
        let bytes = BASE64URL_NOPAD
            .decode(encoded.as_bytes())
            .map_err(|_| TicketError::BadEncoding)?;
        let (content, sum) = bytes
            .split_last_chunk::<CHECKSUM_BYTES>()
            .ok_or(TicketError::BadEncoding)?;
        if checksum(content) != *sum {
            return Err(TicketError::BadChecksum);
        }
        match postcard::take_from_bytes(content) {
            Ok((ticket, [])) => Ok(ticket),
            _ => Err(TicketError::BadContent),
        }
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self> {
        Self::parse(text)
    }
}

impl Display for Ticket {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let mut bytes = postcard::to_stdvec(self).map_err(|_| std::fmt::Error)?;
        bytes.extend(checksum(&bytes));
        f.write_str(PREFIX)?;
        f.write_str(&BASE64URL_NOPAD.encode(&bytes))
    }
}
