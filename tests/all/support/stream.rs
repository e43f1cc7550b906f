//! Request bodies that are generated while they are sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Size of one generated frame.
const FRAME_BYTES: u64 = 64 * 1024;

/// Body of a given length that is never in memory as a whole.
#[derive(Debug)]
pub(crate) struct GeneratedBody {
    left: u64,
    known: bool,
    frame: Bytes,
}

impl GeneratedBody {
    /// Creates a body whose length is announced.
    pub(crate) fn sized(bytes: u64) -> Self {
        Self {
            left: bytes,
            known: true,
            frame: Bytes::from(vec![b'u'; FRAME_BYTES as usize]),
        }
    }

    /// Creates a body of unknown length.
    pub(crate) fn chunked(bytes: u64) -> Self {
        Self {
            known: false,
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
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let length = self.left.min(FRAME_BYTES);
        self.left -= length;
        let frame = self.frame.slice(..length as usize);
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn size_hint(&self) -> SizeHint {
        if self.known {
            SizeHint::with_exact(self.left)
        } else {
            SizeHint::default()
        }
    }
}
