//! Body framing: decodes bodies with a length, chunked bodies, and bodies that end when the
//! connection closes.

use bytes::buf::Limit;
use bytes::{Buf, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

use crate::buffer::BodyBuffer;
use crate::{Body, Error, Result};

/// Maximum size of a chunk size line with its extensions, in bytes. Only an incomplete line is
/// checked, so a longer line that arrives at once is accepted.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum size of a trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 4096;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this many bytes; zero means no body.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// Returns the framing that the headers declare, or `None` if they have neither a length nor a
/// transfer coding.
///
/// Conflicting declarations are an error: a proxy and a server that resolve them differently would
/// decode different messages from the same bytes (request smuggling).
pub(crate) fn parse_framing(headers: &HeaderMap) -> Result<Option<Framing>> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    if let Some(coding) = codings.next() {
        if lengths.next().is_some() {
            return Err(Error::Malformed(
                "both content-length and transfer-encoding",
            ));
        }
        if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(Error::Malformed("unsupported transfer-encoding"));
        }
        return Ok(Some(Framing::Chunked));
    }
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.any(|l| l != first) {
        return Err(Error::Malformed("content-length values differ"));
    }
    let digits = first.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Error::Malformed("content-length is not a number"));
    }
    let length = first.to_str().ok().and_then(|l| l.parse().ok());
    let length = length.ok_or(Error::Malformed("content-length is too large"))?;
    Ok(Some(Framing::Length(length)))
}

/// Part of a chunked body that is decoded next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// Line with the size of a chunk.
    SizeLine,
    /// Data of a chunk, with the number of bytes that are still missing.
    Data(usize),
    /// Line end after the data of a chunk.
    DataEnd,
    /// Trailer section, with the number of bytes that were read.
    Trailers(usize),
}

/// Decodes one body.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    framing: Framing,
    /// Used with [`Framing::Chunked`] only.
    chunk_state: ChunkState,
    body: BodyBuffer,
}

impl BodyDecoder {
    /// Creates a decoder for a body of at most `limit` bytes, of which `allowance` need no
    /// reservation.
    ///
    /// # Errors
    ///
    /// Returns [`Error::BodyTooLarge`] if the declared length exceeds the limit.
    pub(crate) fn new(framing: Framing, limit: usize, allowance: usize) -> Result<Self> {
        let limit = match framing {
            Framing::Length(length) => usize::try_from(length)
                .ok()
                .filter(|l| *l <= limit)
                .ok_or(Error::BodyTooLarge)?,
            Framing::Chunked | Framing::UntilClose => limit,
        };
        Ok(Self {
            framing,
            chunk_state: ChunkState::SizeLine,
            body: BodyBuffer::new(limit, allowance),
        })
    }

    /// Returns the declared length in bytes; zero if none is declared.
    pub(crate) fn declared_length(&self) -> usize {
        match self.framing {
            Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            Framing::Chunked | Framing::UntilClose => 0,
        }
    }

    /// Returns the buffer for the body.
    pub(crate) fn buffer(&self) -> &BodyBuffer {
        &self.body
    }

    /// Returns the buffer for the body, to add memory.
    pub(crate) fn buffer_mut(&mut self) -> &mut BodyBuffer {
        &mut self.body
    }

    /// Returns room for bytes that certainly belong to the body, so that they can be read into it
    /// directly.
    pub(crate) fn space(&mut self) -> Limit<&mut BytesMut> {
        let most = match (self.framing, self.chunk_state) {
            (Framing::Length(_), _) => usize::MAX,
            (Framing::Chunked, ChunkState::Data(missing)) => missing,
            _ => 0,
        };
        let mut space = self.body.space();
        space.set_limit(space.limit().min(most));
        space
    }

    /// Records that bytes were read into [`Self::space`].
    pub(crate) fn record_read(&mut self, read: usize) {
        if let ChunkState::Data(missing) = &mut self.chunk_state {
            *missing -= read;
        }
    }

    /// Consumes bytes from the buffer and returns the body once it is complete.
    ///
    /// `at_eof` means that the sender has closed its side of the connection (FIN). Bytes for which
    /// memory must be reserved first stay in the buffer.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body is malformed, too long, or incomplete at the end of the
    /// connection.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut, at_eof: bool) -> Result<Option<Body>> {
        let complete = match self.framing {
            Framing::Length(_) => {
                self.append_body(buffer, usize::MAX);
                self.body.missing() == 0
            }
            Framing::UntilClose => {
                self.append_body(buffer, usize::MAX);
                if self.body.missing() == 0 && !buffer.is_empty() {
                    return Err(Error::BodyTooLarge);
                }
                at_eof && buffer.is_empty()
            }
            Framing::Chunked => self.decode_chunks(buffer)?,
        };
        if complete {
            return Ok(Some(self.take_body()));
        }
        if at_eof && self.body.memory_needed() == 0 {
            return Err(Error::Truncated);
        }
        Ok(None)
    }

    /// Returns the decoded body.
    fn take_body(&mut self) -> Body {
        std::mem::replace(&mut self.body, BodyBuffer::new(0, 0)).finish()
    }

    /// Moves up to `most` bytes from the buffer to the end of the body, as far as there is room;
    /// returns their number.
    fn append_body(&mut self, buffer: &mut BytesMut, most: usize) -> usize {
        let taken = self.body.push(&buffer[..most.min(buffer.len())]);
        buffer.advance(taken);
        taken
    }

    /// Decodes as much of a chunked body as the buffer holds and there is room for; returns whether
    /// the body is complete.
    fn decode_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        loop {
            match self.chunk_state {
                ChunkState::SizeLine => {
                    let Some(size) = parse_chunk_size(buffer)? else {
                        return Ok(false);
                    };
                    if size > self.body.missing() {
                        return Err(Error::BodyTooLarge);
                    }
                    self.chunk_state = match size {
                        0 => ChunkState::Trailers(0),
                        size => ChunkState::Data(size),
                    };
                }
                ChunkState::Data(0) => self.chunk_state = ChunkState::DataEnd,
                ChunkState::Data(missing) => {
                    let taken = self.append_body(buffer, missing);
                    if taken == 0 {
                        return Ok(false);
                    }
                    self.chunk_state = ChunkState::Data(missing - taken);
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(Error::Malformed("chunk is longer than its size line says"));
                    }
                    buffer.advance(2);
                    self.chunk_state = ChunkState::SizeLine;
                }
                ChunkState::Trailers(read) => {
                    let Some(end) = line_end(buffer) else {
                        // The end of the line may never come.
                        check_trailers_length(read + buffer.len())?;
                        return Ok(false);
                    };
                    let line = buffer.split_to(end + 2);
                    let read = read + line.len();
                    check_trailers_length(read)?;
                    if end == 0 {
                        return Ok(true);
                    }
                    self.chunk_state = ChunkState::Trailers(read);
                }
            }
        }
    }
}

/// Returns an error if `length`, the number of bytes of a trailer section received so far, exceeds
/// the limit.
fn check_trailers_length(length: usize) -> Result<()> {
    if length > MAX_TRAILER_BYTES {
        return Err(Error::HeadTooLarge);
    }
    Ok(())
}

/// Returns the position of the first CRLF.
fn line_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\r\n")
}

/// Consumes the size line of a chunk and returns the size, or `None` if the line is incomplete.
fn parse_chunk_size(buffer: &mut BytesMut) -> Result<Option<usize>> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((line_bytes, size))) => {
            buffer.advance(line_bytes);
            let size = usize::try_from(size).map_err(|_| Error::BodyTooLarge)?;
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(Error::Malformed("invalid chunk size")),
    }
}
