//! Connection to another daemon, on which frames are sent and received.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};
use cornelvalve_http1::{BodyBuffer, MemoryAccount, OutputQueue, SocketTimeouts, connect};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::frame::{Frame, LENGTH_BYTES, decode};
use super::{HopError, Message, Result};

/// Free space in bytes in the read buffer before each read of what precedes a frame.
const READ_BYTES: usize = 4096;

/// Number of bytes of a message for which no memory is reserved; most requests without a body are
/// smaller.
const ALLOWANCE_BYTES: usize = 4096;

/// Frame that is being received.
#[derive(Debug)]
enum Incoming {
    /// Its length.
    Length,
    /// Its message.
    Message(BodyBuffer),
    /// A message for which there is no memory.
    Discarded {
        /// Length of the message in bytes.
        length: usize,
        /// Number of bytes that have not arrived.
        missing: usize,
    },
}

/// Connection to another daemon.
pub(crate) struct FrameConnection {
    stream: TcpStream,
    /// Bytes that have arrived before their use was known.
    input: BytesMut,
    incoming: Incoming,
    /// Account from which received frames take their memory.
    memory: Arc<dyn MemoryAccount>,
}

impl fmt::Debug for FrameConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameConnection")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

impl FrameConnection {
    /// Creates a connection from a connected socket.
    pub(crate) fn new(stream: TcpStream, memory: Arc<dyn MemoryAccount>) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            incoming: Incoming::Length,
            memory,
        }
    }

    /// Opens a connection to a daemon.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the daemon cannot be reached within the timeout.
    pub(crate) async fn open(
        addr: SocketAddr,
        timeouts: SocketTimeouts,
        memory: Arc<dyn MemoryAccount>,
    ) -> io::Result<Self> {
        Ok(Self::new(connect(addr, timeouts).await?, memory))
    }

    /// Returns whether the connection is open and has no unread data.
    ///
    /// A byte that is read here is lost, but a connection with unread data is not reusable anyway.
    pub(crate) fn is_idle(&self) -> bool {
        let mut probe = [0];
        let read = self.stream.try_read(&mut probe);
        let unread = !self.input.is_empty() || !matches!(self.incoming, Incoming::Length);
        !unread && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Returns [`HopError::Io`] if the connection failed.
    pub(crate) async fn send(&mut self, frame: &Frame) -> Result<()> {
        let mut output = OutputQueue::default();
        frame.queue(&mut output);
        while !output.is_empty() {
            output.write_once(&mut self.stream).await?;
        }
        Ok(())
    }

    /// Receives the next message. This is cancel safe: no data is lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if the connection failed or was closed, if there was no memory for the
    /// message, or if it cannot be decoded.
    pub(crate) async fn receive<T: Message>(&mut self) -> Result<T> {
        loop {
            if let Some(message) = self.take_message()? {
                return message;
            }
            match &mut self.incoming {
                Incoming::Message(buffer) if buffer.memory_needed() > 0 => {
                    self.reserve().await;
                    continue;
                }
                Incoming::Message(buffer) => {
                    let read = self.stream.read_buf(&mut buffer.space()).await?;
                    closed_at_zero(read)?;
                }
                Incoming::Discarded { missing, .. } => {
                    self.input.reserve(READ_BYTES);
                    let mut space = (&mut self.input).limit(*missing);
                    closed_at_zero(self.stream.read_buf(&mut space).await?)?;
                }
                Incoming::Length => {
                    self.input.reserve(READ_BYTES);
                    closed_at_zero(self.stream.read_buf(&mut self.input).await?)?;
                }
            }
        }
    }

    /// Waits until the other side closes the connection, or violates the protocol by sending data
    /// while an exchange is pending. Returns at once if such data is already buffered.
    pub(crate) async fn wait_closed(&mut self) {
        if self.input.is_empty() {
            self.input.reserve(1);
            let _ = self.stream.read_buf(&mut self.input).await;
        }
    }

    /// Reserves the memory for the message that is being received, or discards the message.
    ///
    /// All of it is reserved at once, so that messages do not wait for each other.
    async fn reserve(&mut self) {
        let Incoming::Message(buffer) = &mut self.incoming else {
            return;
        };
        let bytes = buffer.missing();
        match self.memory.reserve(0, bytes).await {
            Some(reservation) => buffer.grant(reservation),
            None => {
                self.incoming = Incoming::Discarded {
                    length: buffer.len() + bytes,
                    missing: bytes,
                };
            }
        }
    }

    /// Moves what has arrived to the frame that is being received, and returns its message if it is
    /// complete.
    ///
    /// The inner result holds the error of a message that was received whole.
    fn take_message<T: Message>(&mut self) -> Result<Option<Result<T>>> {
        if matches!(self.incoming, Incoming::Length) && self.input.len() >= LENGTH_BYTES {
            let length = self.input.get_u32() as usize;
            let buffer = BodyBuffer::new(length, ALLOWANCE_BYTES);
            self.incoming = Incoming::Message(buffer);
        }
        let complete = match &mut self.incoming {
            Incoming::Length => false,
            Incoming::Message(buffer) => {
                let taken = buffer.push(&self.input);
                self.input.advance(taken);
                buffer.missing() == 0
            }
            Incoming::Discarded { missing, .. } => {
                let taken = self.input.len().min(*missing);
                self.input.advance(taken);
                *missing -= taken;
                *missing == 0
            }
        };
        if !complete {
            return Ok(None);
        }
        match std::mem::replace(&mut self.incoming, Incoming::Length) {
            Incoming::Message(buffer) => Ok(Some(decode(&buffer.finish()))),
            Incoming::Discarded { length, .. } => Ok(Some(Err(HopError::NoMemory(length)))),
            Incoming::Length => Ok(None),
        }
    }
}

/// Returns [`HopError::Closed`] if nothing was read.
fn closed_at_zero(read: usize) -> Result<()> {
    if read == 0 {
        return Err(HopError::Closed);
    }
    Ok(())
}
