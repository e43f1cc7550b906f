//! Encoding of messages as frames, without a copy of their bodies.

use bytes::Bytes;
use cornelvalve_http1::{BODY_ALLOWANCE_BYTES, Body, OutputQueue, Payload};
use postcard::de_flavors::Flavor;
use postcard::{Deserializer, Error};
use smallvec::SmallVec;

use super::{HopError, Message, Result};

/// Size in bytes of the length that precedes a message.
pub(super) const LENGTH_BYTES: usize = 4;

/// Least size in bytes of a body that is taken out of a frame without a copy.
const MIN_SHARED_BYTES: usize = BODY_ALLOWANCE_BYTES;

/// Encoded message.
#[derive(Clone, Debug)]
pub(crate) struct Frame {
    /// Length and fields up to the body.
    head: Bytes,
    body: Body,
    /// Fields after the body.
    tail: Bytes,
}

impl Frame {
    /// Adds the frame to the output of a connection.
    pub(super) fn queue(&self, output: &mut OutputQueue) {
        let body = self.body.segments().iter();
        let rest: SmallVec<[Bytes; 2]> = body.chain([&self.tail]).cloned().collect();
        output.push(self.head.clone(), &rest, self.body.reservations().clone());
    }
}

/// Returns the frame of a message.
///
/// # Errors
///
/// Returns [`HopError::Malformed`] if the message cannot be encoded or is too long.
pub(crate) fn encode<T: Message>(mut message: T) -> Result<Frame> {
    let body = message.body_mut().map(std::mem::take).unwrap_or_default();
    let mut tail = message.encode_tail()?;
    let mut head = postcard::to_extend(&message, vec![0; LENGTH_BYTES])?;
    if body.is_empty() {
        tail.clear();
    } else {
        // The empty body is encoded as its length, the byte zero before the tail.
        head.truncate(head.len() - tail.len() - 1);
        head = postcard::to_extend(&body.len(), head)?;
    }
    let length = head.len() - LENGTH_BYTES + body.len() + tail.len();
    let length = u32::try_from(length);
    let length = length.map_err(|_| HopError::Malformed("frame is too long".to_owned()))?;
    head[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(Frame {
        head: head.into(),
        body,
        tail: tail.into(),
    })
}

/// Returns the message in a received frame, without its length. The body of the message keeps the
/// memory that is reserved for the frame.
///
/// # Errors
///
/// Returns [`HopError::Malformed`] if the message cannot be decoded.
pub(super) fn decode<T: Message>(frame: &Body) -> Result<T> {
    let mut message: T = match decode_shared(frame.segments()) {
        Some(message) => message,
        None => postcard::from_bytes(&frame.to_bytes())?,
    };
    if let Some(body) = message.body_mut() {
        *body = std::mem::take(body).with_reservations(frame.reservations().clone());
    }
    Ok(message)
}

/// Decodes a message whose body is taken out of the segments without a copy. Returns `None` if that
/// is not possible.
fn decode_shared<T: Message>(segments: &[Bytes]) -> Option<T> {
    let mut deserializer = Deserializer::from_flavor(Segments::new(segments));
    let mut message = T::deserialize(&mut deserializer).ok()?;
    let Some(taken) = deserializer.finalize().ok()? else {
        return Some(message);
    };
    // Another field may be as large as a body. The body is the one that only the tail follows.
    let tail = message.encode_tail().ok()?;
    if taken.rest != tail.len() {
        return None;
    }
    let body = message.body_mut()?;
    *body = Body::from_segments(taken.bytes, Default::default());
    Some(message)
}

/// Large field that was taken out of the segments and was decoded as empty.
struct Taken {
    bytes: SmallVec<[Bytes; 1]>,
    /// Number of bytes after the field.
    rest: usize,
}

/// Source of a deserializer that reads segments and takes one large field out of them.
struct Segments<'de> {
    segments: &'de [Bytes],
    /// Position in the first segment.
    position: usize,
    taken: Option<Taken>,
    /// Copy of a field that spans segments.
    scratch: Vec<u8>,
}

impl<'de> Segments<'de> {
    fn new(segments: &'de [Bytes]) -> Self {
        Self {
            segments,
            position: 0,
            taken: None,
            scratch: Vec::new(),
        }
    }

    /// Returns the number of bytes that are left.
    fn remaining(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum::<usize>() - self.position
    }

    /// Returns at most `most` of the next bytes, which are in one segment, as a range of it.
    fn next(&mut self, most: usize) -> Option<(&'de Bytes, std::ops::Range<usize>)> {
        while self.segments.first()?.len() == self.position {
            self.segments = &self.segments[1..];
            self.position = 0;
        }
        let segment = self.segments.first()?;
        let start = self.position;
        self.position = segment.len().min(start.saturating_add(most));
        Some((segment, start..self.position))
    }

    /// Takes a large field out of the segments.
    fn take_field(&mut self, length: usize) -> postcard::Result<()> {
        if self.taken.is_some() || self.remaining() < length {
            return Err(Error::DeserializeUnexpectedEnd);
        }
        let mut bytes = SmallVec::new();
        let mut left = length;
        while left > 0 {
            let (segment, range) = self.next(left).ok_or(Error::DeserializeUnexpectedEnd)?;
            left -= range.len();
            bytes.push(segment.slice(range));
        }
        let rest = self.remaining();
        self.taken = Some(Taken { bytes, rest });
        Ok(())
    }
}

impl<'de> Flavor<'de> for Segments<'de> {
    type Remainder = Option<Taken>;
    type Source = &'de [Bytes];

    fn pop(&mut self) -> postcard::Result<u8> {
        let (segment, range) = self.next(1).ok_or(Error::DeserializeUnexpectedEnd)?;
        Ok(segment[range.start])
    }

    fn try_take_n(&mut self, length: usize) -> postcard::Result<&'de [u8]> {
        if length == 0 {
            return Ok(&[]);
        }
        let (segment, range) = self.next(length).ok_or(Error::DeserializeUnexpectedEnd)?;
        // A field that spans segments cannot be borrowed.
        if range.len() < length {
            return Err(Error::DeserializeUnexpectedEnd);
        }
        Ok(&segment[range])
    }

    fn try_take_n_temp<'a>(&'a mut self, length: usize) -> postcard::Result<&'a [u8]>
    where
        'de: 'a,
    {
        if length >= MIN_SHARED_BYTES {
            self.take_field(length)?;
            return Ok(&[]);
        }
        if self.remaining() < length {
            return Err(Error::DeserializeUnexpectedEnd);
        }
        self.scratch.clear();
        while self.scratch.len() < length {
            let left = length - self.scratch.len();
            let (segment, range) = self.next(left).ok_or(Error::DeserializeUnexpectedEnd)?;
            if range.len() == length {
                return Ok(&segment[range]);
            }
            self.scratch.extend_from_slice(&segment[range]);
        }
        Ok(&self.scratch)
    }

    fn finalize(self) -> postcard::Result<Self::Remainder> {
        Ok(self.taken)
    }
}

#[cfg(test)]
mod tests;
