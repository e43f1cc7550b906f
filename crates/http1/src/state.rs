//! Progress of the message that arrives on a connection.

use std::io;

use bytes::{BufMut, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::Reservation;
use crate::body::BodyDecoder;

/// Free space in bytes that is reserved in the read buffer before each read.
pub(crate) const READ_RESERVE_BYTES: usize = 4096;

/// Part of a message that a decoder reads next; `M` is the type of the message.
pub(crate) enum DecodeState<M> {
    /// The head.
    Head,
    /// The body of a message whose head has been decoded.
    Body(M, BodyDecoder),
}

impl<M> DecodeState<M> {
    /// Returns the decoder of the body that is being read.
    fn decoder_mut(&mut self) -> Option<&mut BodyDecoder> {
        match self {
            Self::Head => None,
            Self::Body(_, decoder) => Some(decoder),
        }
    }

    /// Returns whether the head has been decoded and the body is incomplete.
    pub(crate) fn is_reading_body(&self) -> bool {
        matches!(self, Self::Body(..))
    }

    /// Returns the declared length in bytes of the body that is being read; zero if none is declared.
    pub(crate) fn declared_length(&self) -> usize {
        match self {
            Self::Body(_, decoder) => decoder.declared_length(),
            Self::Head => 0,
        }
    }

    /// Adds memory that was reserved for the body.
    pub(crate) fn grant(&mut self, reservation: Box<dyn Reservation>) {
        if let Some(decoder) = self.decoder_mut() {
            decoder.buffer_mut().grant(reservation);
        }
    }

    /// Reads into the buffer of the body, if what follows certainly belongs to it, or else into
    /// `input`; returns the number of bytes. This is cancel safe.
    pub(crate) async fn receive(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        input: &mut BytesMut,
    ) -> io::Result<usize> {
        if input.is_empty()
            && let Some(decoder) = self.decoder_mut()
        {
            let mut space = decoder.space();
            if space.has_remaining_mut() {
                let read = reader.read_buf(&mut space).await?;
                decoder.record_read(read);
                return Ok(read);
            }
        }
        input.reserve(READ_RESERVE_BYTES);
        reader.read_buf(input).await
    }

    /// Returns the memory that must be reserved before further bytes of the body can be decoded.
    pub(crate) fn memory_needed(&self) -> MemoryNeed {
        match self {
            Self::Head => MemoryNeed::default(),
            Self::Body(_, decoder) => MemoryNeed {
                held: decoder.buffer().reserved(),
                bytes: decoder.buffer().memory_needed(),
            },
        }
    }
}

/// Memory that must be reserved before further bytes of a body can be decoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemoryNeed {
    /// Number of bytes that are reserved for the body.
    pub(crate) held: usize,
    /// Number of further bytes to reserve; zero if no memory is needed now.
    pub(crate) bytes: usize,
}
