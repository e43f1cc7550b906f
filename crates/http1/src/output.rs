//! Queue of bytes to write, without a copy of bodies.

use std::collections::VecDeque;
use std::io::{self, IoSlice};

use bytes::{Buf, Bytes};
use smallvec::SmallVec;
use tokio::io::{AsyncWrite, AsyncWriteExt};

use crate::Reservations;

/// Maximum number of buffers that are written with one system call.
const MAX_SLICES: usize = 16;

/// Buffer in the queue.
#[derive(Debug)]
struct Part {
    bytes: Bytes,
    /// Memory of the message that ends with this buffer; `None` if the message continues.
    end: Option<Reservations>,
}

/// Messages that wait to be written, as the buffers in which their heads and bodies were created.
#[derive(Debug, Default)]
pub struct OutputQueue {
    /// None of the buffers is empty.
    parts: VecDeque<Part>,
    /// Number of messages that are not written completely.
    messages: usize,
}

impl OutputQueue {
    /// Returns whether nothing waits to be written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of messages that are not written completely.
    #[must_use]
    pub fn messages(&self) -> usize {
        self.messages
    }

    /// Adds a message, whose memory is reserved until it is written. Its head must not be empty.
    pub fn push(&mut self, head: Bytes, body: &[Bytes], reservations: Reservations) {
        debug_assert!(!head.is_empty(), "a message has a head");
        let body = body.iter().filter(|b| !b.is_empty()).cloned();
        let parts = std::iter::once(head).chain(body);
        self.parts
            .extend(parts.map(|bytes| Part { bytes, end: None }));
        if let Some(last) = self.parts.back_mut() {
            last.end = Some(reservations);
        }
        self.messages += 1;
    }

    /// Writes once as much as the writer takes; returns the number of bytes. This is cancel safe: no
    /// byte is written twice or lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer, or an error of kind [`WriteZero`](io::ErrorKind::WriteZero)
    /// if it takes nothing.
    pub async fn write_once(
        &mut self,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<usize> {
        let written = {
            let parts = self.parts.iter().take(MAX_SLICES);
            let slices: SmallVec<[IoSlice<'_>; MAX_SLICES]> =
                parts.map(|p| IoSlice::new(&p.bytes)).collect();
            writer.write_vectored(&slices).await?
        };
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.advance(written);
        Ok(written)
    }

    /// Removes bytes that were written from the front.
    fn advance(&mut self, mut written: usize) {
        while let Some(part) = self.parts.front_mut() {
            let taken = written.min(part.bytes.len());
            part.bytes.advance(taken);
            written -= taken;
            if !part.bytes.is_empty() {
                return;
            }
            self.messages -= usize::from(part.end.is_some());
            self.parts.pop_front();
        }
    }
}
