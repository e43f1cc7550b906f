//! Client connection: one exchange at a time.

use std::io;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;

use crate::socket::{SocketTimeouts, connect};
use crate::{DecodeLimits, Response, ResponseDecoder, encode};

/// Bytes by which the read buffer grows.
const READ_BYTES: usize = 4096;

/// Request as a client sends it; the framing is stated by the connection.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method.
    pub method: &'a Method,
    /// Request target.
    pub target: &'a str,
    /// Headers; framing and connection headers are passed over.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
}

/// Reports how far a failed exchange got.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[display("request was not sent: {_0}")]
    NotSent(#[error(not(source))] io::Error),
    /// The connection failed after a part of the request was sent.
    #[display("connection failed during the exchange: {_0}")]
    Lost(#[error(not(source))] io::Error),
    /// The server sent bytes that are not a whole response.
    #[display("server sent no valid response: {_0}")]
    InvalidResponse(#[error(not(source))] crate::Error),
}

/// Connection that a client uses for one exchange after another.
///
/// An exchange that is dropped before its end leaves the connection unusable, so its owner must
/// close it.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    buffer: BytesMut,
    limits: DecodeLimits,
}

impl ClientConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn open(
        addr: SocketAddr,
        timeouts: SocketTimeouts,
        limits: DecodeLimits,
    ) -> io::Result<Self> {
        Ok(Self {
            stream: connect(addr, timeouts).await?,
            buffer: BytesMut::new(),
            limits,
        })
    }

    /// Tells whether an idle connection can carry a request: it is open and nothing has arrived
    /// that no request asked for.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut probe = [0];
        let read = self.stream.try_read(&mut probe);
        self.buffer.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and returns its complete response.
    ///
    /// Responses that `belongs` rejects answer another request and are passed over. The response
    /// has `keep_alive` unset if the connection must not be used again.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`], which tells whether any byte of the request was sent.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest<'_>,
        belongs: impl Fn(&Response) -> bool,
    ) -> Result<Response, ExchangeError> {
        let OutgoingRequest {
            method,
            target,
            headers,
            body,
        } = request;
        let head = encode::request_head(method, target, headers, body.len());
        let (mut reader, mut writer) = self.stream.split();
        let mut decoder = ResponseDecoder::new(self.limits);
        let mut sent = 0;
        let mut sending = Box::pin(send(&mut writer, &head, body, &mut sent));
        let mut is_sent = false;
        let mut send_error = None;
        loop {
            tokio::select! {
                result = &mut sending, if !is_sent => {
                    is_sent = true;
                    // The server may have answered before it closed the connection.
                    send_error = result.err();
                }
                read = reader.read_buf(&mut self.buffer) => {
                    let at_end = match read {
                        Ok(length) => length == 0,
                        Err(e) => {
                            drop(sending);
                            return Err(lost(send_error.unwrap_or(e), sent));
                        }
                    };
                    loop {
                        let decoded = decoder.decode(&mut self.buffer, at_end);
                        match decoded.map_err(ExchangeError::InvalidResponse) {
                            Ok(None) => break,
                            Ok(Some(response)) if !belongs(&response) => {}
                            Ok(Some(mut response)) => {
                                // A body that was not sent whole is still due on this connection.
                                response.keep_alive &= is_sent
                                    && send_error.is_none()
                                    && !at_end
                                    && self.buffer.is_empty();
                                return Ok(response);
                            }
                            Err(_) if at_end && sent_nothing(is_sent, send_error.as_ref()) => {
                                drop(sending);
                                return Err(lost(io::ErrorKind::UnexpectedEof.into(), sent));
                            }
                            Err(e) => return Err(e),
                        }
                    }
                    self.buffer.reserve(READ_BYTES);
                }
            }
        }
    }
}

fn sent_nothing(is_sent: bool, error: Option<&io::Error>) -> bool {
    !is_sent || error.is_some()
}

fn lost(error: io::Error, sent: usize) -> ExchangeError {
    if sent == 0 {
        ExchangeError::NotSent(error)
    } else {
        ExchangeError::Lost(error)
    }
}

/// Writes head and body; `sent` counts the bytes that the operating system took.
async fn send(
    writer: &mut WriteHalf<'_>,
    head: &[u8],
    body: &[u8],
    sent: &mut usize,
) -> io::Result<()> {
    for mut part in [head, body] {
        while !part.is_empty() {
            let written = writer.write(part).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            *sent += written;
            part = part.get(written..).unwrap_or_default();
        }
    }
    Ok(())
}
