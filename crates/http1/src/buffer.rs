//! Buffer into which a body is read, in segments of limited size.
//!
//! Segments neither move nor leave gaps of odd sizes behind: a body is never copied while it grows,
//! and the memory of one body serves the next.

use bytes::buf::Limit;
use bytes::{BufMut, Bytes, BytesMut};
use smallvec::SmallVec;

use crate::memory::ReservationList;
use crate::{Body, Reservation, Reservations};

/// Size in bytes of a segment.
pub const SEGMENT_BYTES: usize = 64 * 1024;

/// Most bytes for which memory is reserved at once, so that what is reserved stays close to what has
/// arrived.
const MAX_STEP_BYTES: usize = 1024 * 1024;

/// Buffer for a body that arrives.
#[derive(Debug)]
pub struct BodyBuffer {
    full: SmallVec<[Bytes; 1]>,
    /// Number of bytes in the full segments.
    full_length: usize,
    /// Segment that is filled.
    last: BytesMut,
    /// Number of bytes that the body may have.
    limit: usize,
    /// Size of all segments in bytes.
    allocated: usize,
    /// Number of bytes for which segments may be allocated.
    granted: usize,
    reservations: ReservationList,
}

impl BodyBuffer {
    /// Creates a buffer for at most `limit` bytes, the first `allowance` of which need no
    /// reservation.
    #[must_use]
    pub fn new(limit: usize, allowance: usize) -> Self {
        Self {
            full: SmallVec::new(),
            full_length: 0,
            last: BytesMut::new(),
            limit,
            allocated: 0,
            granted: allowance,
            reservations: SmallVec::new(),
        }
    }

    /// Returns the number of bytes that have arrived.
    #[must_use]
    pub fn len(&self) -> usize {
        self.full_length + self.last.len()
    }

    /// Returns whether no byte has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of bytes that the body may still have.
    #[must_use]
    pub fn missing(&self) -> usize {
        self.limit - self.len()
    }

    /// Returns the number of bytes for which memory is reserved.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reservations.iter().map(|r| r.bytes()).sum()
    }

    /// Returns the number of bytes for which memory must be reserved before further bytes can be
    /// added; zero if there is room or the body has its full size.
    #[must_use]
    pub fn memory_needed(&self) -> usize {
        if self.len() < self.allocated || self.allocated < self.granted {
            return 0;
        }
        let step = self.allocated.clamp(SEGMENT_BYTES, MAX_STEP_BYTES);
        step.min(self.missing())
    }

    /// Adds memory that was reserved.
    pub fn grant(&mut self, reservation: Box<dyn Reservation>) {
        self.granted += reservation.bytes();
        self.reservations.push(reservation);
    }

    /// Returns the room in the last segment, to read into; none if memory must be reserved first or
    /// the body has its full size.
    pub fn space(&mut self) -> Limit<&mut BytesMut> {
        let ungranted = self.granted.saturating_sub(self.allocated);
        let size = ungranted.min(SEGMENT_BYTES).min(self.missing());
        if self.len() == self.allocated && size > 0 {
            let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
            self.full_length += full.len();
            if !full.is_empty() {
                self.full.push(full.freeze());
            }
            self.allocated += size;
        }
        let room = self.allocated - self.len();
        (&mut self.last).limit(room)
    }

    /// Copies bytes to the end of the body, as far as there is room; returns their number.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() {
            let mut space = self.space();
            let room = space.remaining_mut().min(bytes.len() - taken);
            if room == 0 {
                break;
            }
            space.put_slice(&bytes[taken..taken + room]);
            taken += room;
        }
        taken
    }

    /// Returns the body.
    #[must_use]
    pub fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Body::from_segments(self.full, Reservations::new(self.reservations))
    }
}
