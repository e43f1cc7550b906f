//! Request bodies that are generated while they are sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Size of one generated frame, in bytes.
const FRAME_BYTES: u64 = 64 * 1024;

/// Body of a given length, which repeats one frame that is held in memory.
#[derive(Debug)]
pub(crate) struct GeneratedBody {
    remaining: u64,
    has_length: bool,
    frame: Bytes,
}

impl GeneratedBody {
    /// Creates a body that is sent with a `content-length`.
    pub(crate) fn sized(bytes: u64) -> Self {
        Self {
            remaining: bytes,
            has_length: true,
            frame: Bytes::from(vec![b'u'; FRAME_BYTES as usize]),
        }
    }

    /// Creates a body that is sent in chunks, without its length.
    pub(crate) fn chunked(bytes: u64) -> Self {
        Self {
            has_length: false,
            ..Self::sized(bytes)
        }
    }
}

impl Body for GeneratedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining == 0 {
            return Poll::Ready(None);
        }
        let length = self.remaining.min(FRAME_BYTES);
        self.remaining -= length;
        let frame = self.frame.slice(..length as usize);
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn size_hint(&self) -> SizeHint {
        if self.has_length {
            SizeHint::with_exact(self.remaining)
        } else {
            SizeHint::default()
        }
    }
}
