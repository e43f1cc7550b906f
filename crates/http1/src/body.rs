//! Body framing: lengths, chunks and bodies that end with their connection.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

use crate::{Error, Result};

/// Longest line that announces a chunk, extensions included, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Largest trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 4096;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The length is known; zero if there is no body.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with its connection.
    UntilClose,
}

/// Finds the framing that the headers state.
///
/// Returns `None` if they state neither a length nor a transfer coding. Two statements that differ
/// are an error, because two parties could read different messages out of the same bytes.
pub(crate) fn framing(headers: &HeaderMap) -> Result<Option<Framing>> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    if let Some(coding) = codings.next() {
        if lengths.next().is_some() {
            return Err(Error::Malformed("both a length and a transfer coding"));
        }
        if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(Error::Malformed("unknown transfer coding"));
        }
        return Ok(Some(Framing::Chunked));
    }
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.any(|l| l != first) {
        return Err(Error::Malformed("lengths differ"));
    }
    let digits = first.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Error::Malformed("length is no number"));
    }
    let length = first.to_str().ok().and_then(|l| l.parse().ok());
    let length = length.ok_or(Error::Malformed("length is too large"))?;
    Ok(Some(Framing::Length(length)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    ChunkLine,
    ChunkData(usize),
    ChunkEnd,
    Trailers(usize),
}

/// Collects the bytes of one body.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    framing: Framing,
    part: Part,
    body: BytesMut,
    limit: usize,
}

impl BodyDecoder {
    /// Creates a decoder that accepts up to `limit` bytes.
    pub(crate) fn new(framing: Framing, limit: usize) -> Result<Self> {
        if let Framing::Length(length) = framing
            && usize::try_from(length).map_or(true, |l| l > limit)
        {
            return Err(Error::BodyTooLong);
        }
        Ok(Self {
            framing,
            part: Part::ChunkLine,
            body: BytesMut::new(),
            limit,
        })
    }

    /// Takes bytes off the buffer; returns the body once it is complete.
    ///
    /// `at_end` tells that the connection has ended in order and nothing will follow.
    pub(crate) fn advance(&mut self, buffer: &mut BytesMut, at_end: bool) -> Result<Option<Bytes>> {
        match self.framing {
            Framing::Length(length) => {
                let missing = usize::try_from(length).map_err(|_| Error::BodyTooLong)?;
                if self.take(buffer, missing - self.body.len())? {
                    return Ok(Some(self.finish()));
                }
            }
            Framing::UntilClose => {
                self.take(buffer, usize::MAX)?;
                if at_end {
                    return Ok(Some(self.finish()));
                }
            }
            Framing::Chunked => {
                if self.advance_chunks(buffer)? {
                    return Ok(Some(self.finish()));
                }
            }
        }
        if at_end {
            return Err(Error::Truncated);
        }
        Ok(None)
    }

    fn finish(&mut self) -> Bytes {
        self.body.split().freeze()
    }

    /// Moves up to `missing` bytes into the body; tells whether all of them were there.
    fn take(&mut self, buffer: &mut BytesMut, missing: usize) -> Result<bool> {
        let taken = missing.min(buffer.len());
        if self.body.len() + taken > self.limit {
            return Err(Error::BodyTooLong);
        }
        if self.body.is_empty() {
            self.body = buffer.split_to(taken);
        } else {
            self.body.extend_from_slice(&buffer.split_to(taken));
        }
        Ok(taken == missing)
    }

    fn advance_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        loop {
            match self.part {
                Part::ChunkLine => {
                    let Some(size) = chunk_size(buffer)? else {
                        return Ok(false);
                    };
                    self.part = match size {
                        0 => Part::Trailers(0),
                        size => Part::ChunkData(size),
                    };
                }
                Part::ChunkData(missing) => {
                    let before = self.body.len();
                    if !self.take(buffer, missing)? {
                        self.part = Part::ChunkData(missing - (self.body.len() - before));
                        return Ok(false);
                    }
                    self.part = Part::ChunkEnd;
                }
                Part::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(Error::Malformed("chunk is longer than announced"));
                    }
                    buffer.advance(2);
                    self.part = Part::ChunkLine;
                }
                Part::Trailers(read) => {
                    let Some(end) = line_end(buffer) else {
                        return Ok(false);
                    };
                    let line = buffer.split_to(end + 2);
                    let read = read + line.len();
                    if read > MAX_TRAILER_BYTES {
                        return Err(Error::HeadTooLong);
                    }
                    if end == 0 {
                        return Ok(true);
                    }
                    self.part = Part::Trailers(read);
                }
            }
        }
    }
}

fn line_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\r\n")
}

/// Reads the line that announces a chunk.
fn chunk_size(buffer: &mut BytesMut) -> Result<Option<usize>> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((line_bytes, size))) => {
            buffer.advance(line_bytes);
            let size = usize::try_from(size).map_err(|_| Error::BodyTooLong)?;
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(Error::Malformed("chunk size")),
    }
}
