//! Bodies of complete messages, in the buffers into which they were read.

use std::fmt;

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

use crate::Reservations;

/// Body to send, in one or more buffers.
pub trait Payload: Send + Sync {
    /// Returns the buffers, in order.
    fn segments(&self) -> &[Bytes];

    /// Returns the number of bytes in all buffers.
    fn length(&self) -> usize {
        self.segments().iter().map(Bytes::len).sum()
    }
}

impl Payload for Bytes {
    fn segments(&self) -> &[Bytes] {
        std::slice::from_ref(self)
    }
}

/// Body of a message, with the memory that is reserved for it. Clones share both.
#[derive(Clone, Default)]
pub struct Body {
    segments: SmallVec<[Bytes; 1]>,
    length: usize,
    reservations: Reservations,
}

impl Body {
    /// Creates a body of these buffers.
    #[must_use]
    pub fn from_segments(segments: SmallVec<[Bytes; 1]>, reservations: Reservations) -> Self {
        Self {
            length: segments.iter().map(Bytes::len).sum(),
            segments,
            reservations,
        }
    }

    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory that is reserved for the body.
    #[must_use]
    pub fn reservations(&self) -> &Reservations {
        &self.reservations
    }

    /// Returns the body with the memory that is reserved for it instead of what it had.
    #[must_use]
    pub fn with_reservations(self, reservations: Reservations) -> Self {
        Self {
            reservations,
            ..self
        }
    }

    /// Returns the body in one buffer; copies it if it has several.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match self.segments.as_slice() {
            [] => Bytes::new(),
            [one] => one.clone(),
            many => {
                let mut bytes = BytesMut::with_capacity(self.length);
                many.iter().for_each(|s| bytes.extend_from_slice(s));
                bytes.freeze()
            }
        }
    }

    /// Returns a copy of the body.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        self.segments.concat()
    }
}

impl Payload for Body {
    fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    fn length(&self) -> usize {
        self.length
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(bytes: T) -> Self {
        let segments: SmallVec<[Bytes; 1]> = std::iter::once(bytes.into()).collect();
        Self::from_segments(segments, Reservations::default())
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({} bytes)", self.length)
    }
}

impl<T: AsRef<[u8]> + ?Sized> PartialEq<T> for Body {
    fn eq(&self, other: &T) -> bool {
        self.segments.iter().flatten().eq(other.as_ref())
    }
}
