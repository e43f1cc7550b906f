//! Text form of tickets, which callers send as idempotency key.

use std::fmt::{Display, Formatter};
use std::str::FromStr;

use data_encoding::BASE64URL_NOPAD;
use derive_more::{Display, Error};
use xxhash_rust::xxh3::xxh3_64;

use super::Ticket;

/// Result alias of this module.
type Result<T> = std::result::Result<T, TicketError>;

/// Marks the version of the text form.
const PREFIX: &str = "cv1.";

/// Longest accepted text in bytes; two names of 64 bytes and four numbers take less.
const MAX_TEXT_BYTES: usize = 320;

/// Bytes of the checksum, which tells a mistyped ticket from one of a gone daemon.
const CHECKSUM_BYTES: usize = 4;

/// Reports why a text is not a ticket.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The text does not start with the version mark.
    #[display("key is not a ticket; send one that the tickets call returned")]
    NotTicket,
    /// The text is longer than any ticket.
    #[display("ticket is longer than {MAX_TEXT_BYTES} bytes; send it as it was returned")]
    TooLong,
    /// The text contains characters outside the alphabet or lacks some.
    #[display("ticket is not base64url; send it as it was returned")]
    BadEncoding,
    /// The checksum does not match.
    #[display("ticket is damaged; send it as it was returned")]
    BadChecksum,
    /// The content does not decode.
    #[display("ticket has unknown content; request a new one")]
    BadContent,
}

fn checksum(content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let [a, b, c, d, ..] = xxh3_64(content).to_le_bytes();
    [a, b, c, d]
}

impl Ticket {
    /// Parses the text form.
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
