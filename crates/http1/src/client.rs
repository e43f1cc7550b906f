//! Client side of a connection: sends one request at a time and returns its response.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::BytesMut;
use derive_more::{Debug, Display, Error};
use http::{HeaderMap, Method};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;

use crate::socket::{SocketTimeouts, connect};
use crate::{
    DecodeLimits, MemoryAccount, OutputQueue, Payload, PerMessageLimit, Reservations, Response,
    ResponseDecoder, encode,
};

/// Maximum number of responses to other requests that are skipped in one exchange. A server that
/// answers twice or late sends one or two.
const MAX_SKIPPED_RESPONSES: usize = 8;

/// Request to send; [`ClientConnection`] adds the framing headers.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Request method.
    pub method: &'a Method,
    /// Request target.
    pub target: &'a str,
    /// Headers; framing and connection headers in it are ignored.
    pub headers: &'a HeaderMap,
    /// Body.
    #[debug("{} bytes", body.length())]
    pub body: &'a dyn Payload,
}

/// Error of an exchange; the variants tell whether the server may have executed the request.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[display("request was not sent: {_0}")]
    NotSent(#[error(not(source))] io::Error),
    /// The connection failed after at least one byte of the request was sent; the server may have
    /// executed the request.
    #[display("connection failed during the exchange: {_0}")]
    Lost(#[error(not(source))] io::Error),
    /// The server sent an invalid response, or closed the connection after the request was sent and
    /// before its response was complete; the server may have executed the request.
    #[display("no valid response was received: {_0}")]
    InvalidResponse(#[error(not(source))] crate::Error),
}

/// Client side of a connection that carries one exchange at a time.
///
/// If the future of an exchange is dropped before it completes, the connection is no longer usable
/// and its owner must close it.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    buffer: BytesMut,
    limits: DecodeLimits,
    /// Account from which large responses take their memory.
    #[debug(skip)]
    memory: Arc<dyn MemoryAccount>,
}

impl ClientConnection {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or an error of kind
    /// [`TimedOut`](io::ErrorKind::TimedOut) after [`SocketTimeouts::connect`].
    pub async fn open(
        addr: SocketAddr,
        timeouts: SocketTimeouts,
        limits: DecodeLimits,
    ) -> io::Result<Self> {
        Ok(Self {
            stream: connect(addr, timeouts).await?,
            buffer: BytesMut::new(),
            limits,
            memory: Arc::new(PerMessageLimit::NONE),
        })
    }

    /// Sets the maximum size in bytes of the body of later responses.
    pub fn limit_body(&mut self, bytes: usize) {
        self.limits.body_bytes = bytes;
    }

    /// Sets the account from which later responses take their memory; by default it is unlimited.
    pub fn set_memory(&mut self, memory: Arc<dyn MemoryAccount>) {
        self.memory = memory;
    }

    /// Returns whether the connection can carry the next request: it is open and no unexpected
    /// bytes have arrived.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut probe = [0];
        let read = self.stream.try_read(&mut probe);
        self.buffer.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and returns its complete response.
    ///
    /// Some servers send a late or duplicate response to an earlier request on the same connection.
    /// Responses for which `matches_request` returns false are therefore skipped; it can recognise
    /// the response by a request id that the server returns, for example. A server that sends more
    /// than a few of them violates the protocol.
    ///
    /// In the returned response, `keep_alive` is false if the connection must not be used again.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`], which says whether any byte of the request was sent.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest<'_>,
        matches_request: impl Fn(&Response) -> bool,
    ) -> Result<Response, ExchangeError> {
        let OutgoingRequest {
            method,
            target,
            headers,
            body,
        } = request;
        let head = encode::request_head(method, target, headers, body.length());
        let mut output = OutputQueue::default();
        output.push(head.freeze(), body.segments(), Reservations::default());
        let (mut reader, mut writer) = self.stream.split();
        let mut decoder = ResponseDecoder::new(self.limits);
        let mut sent = 0;
        let mut sending = Box::pin(send(&mut writer, &mut output, &mut sent));
        let mut send_done = false;
        let mut send_error = None;
        let mut skipped = 0;
        loop {
            tokio::select! {
                result = &mut sending, if !send_done => {
                    send_done = true;
                    // Reading continues, as the server may have answered before it closed the
                    // connection.
                    send_error = result.err();
                }
                read = decoder.state.receive(&mut reader, &mut self.buffer) => {
                    let at_eof = match read {
                        Ok(length) => length == 0,
                        Err(e) => {
                            // Ends the borrow of `sent`.
                            drop(sending);
                            return Err(connection_error(send_error.unwrap_or(e), sent));
                        }
                    };
                    // The write side may have met a reset and taken its error from the socket, so
                    // that the read ends without one. The end of the connection therefore completes
                    // a body without a length only if the request was sent in full.
                    let is_sent = send_done && send_error.is_none();
                    loop {
                        let decoded = decoder.decode(&mut self.buffer, at_eof && is_sent);
                        match decoded.map_err(ExchangeError::InvalidResponse) {
                            Ok(None) if decoder.state.memory_needed().bytes > 0 => {
                                reserve(&*self.memory, &mut decoder).await?;
                            }
                            Ok(None) if at_eof => {
                                // Ends the borrow of `sent`.
                                drop(sending);
                                return Err(connection_error(
                                    io::ErrorKind::UnexpectedEof.into(),
                                    sent,
                                ));
                            }
                            Ok(None) => break,
                            Ok(Some(response)) if !matches_request(&response) => {
                                skipped += 1;
                                if skipped > MAX_SKIPPED_RESPONSES {
                                    return Err(ExchangeError::InvalidResponse(
                                        crate::Error::Malformed("too many other responses"),
                                    ));
                                }
                            }
                            Ok(Some(mut response)) => {
                                // If the body was not sent in full, the server still expects the
                                // rest of it, so no other request can follow.
                                response.keep_alive &=
                                    is_sent && !at_eof && self.buffer.is_empty();
                                return Ok(response);
                            }
                            Err(e) => return Err(e),
                        }
                    }
                }
            }
        }
    }
}

/// Reserves the memory that a response needs next.
///
/// # Errors
///
/// Returns [`ExchangeError::InvalidResponse`] if there is none.
async fn reserve(
    memory: &dyn MemoryAccount,
    decoder: &mut ResponseDecoder,
) -> Result<(), ExchangeError> {
    let need = decoder.state.memory_needed();
    let reservation = memory.reserve(need.held, need.bytes).await;
    let reservation = reservation.ok_or(ExchangeError::InvalidResponse(crate::Error::NoMemory))?;
    decoder.state.grant(reservation);
    Ok(())
}

/// Returns the error of an exchange whose connection failed after `sent` bytes of the request were
/// sent.
fn connection_error(error: io::Error, sent: usize) -> ExchangeError {
    if sent == 0 {
        ExchangeError::NotSent(error)
    } else {
        ExchangeError::Lost(error)
    }
}

/// Writes all output; adds each byte that the operating system accepts to `sent`.
async fn send(
    writer: &mut WriteHalf<'_>,
    output: &mut OutputQueue,
    sent: &mut usize,
) -> io::Result<()> {
    while !output.is_empty() {
        *sent += output.write_once(writer).await?;
    }
    Ok(())
}
