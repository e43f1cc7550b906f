//! HTTP/1.1 server and client connections for the request path.
//!
//! Message heads are parsed by `httparse`. This crate adds behaviour that the request path needs
//! and that general-purpose HTTP servers and clients do not offer:
//!
//! - Pipelined requests run concurrently and are answered in order.
//! - A caller that disconnects cancels its running requests, even if later requests are still
//!   buffered.
//! - A client skips responses that belong to another request.
//! - A failed exchange reports whether any byte of the request was sent.
//!
//! Messages are buffered in full: a response is returned only after its last byte has arrived.

mod body;
mod client;
mod encode;
mod error;
mod message;
mod server;
mod socket;

pub use client::{ClientConnection, ExchangeError, OutgoingRequest};
pub use error::{Error, Result};
pub use message::{DecodeLimits, Request, RequestDecoder, Response, ResponseDecoder};
pub use server::{BoxFuture, Handler, OutgoingResponse, ServerOptions, serve_connection};
pub use socket::{SocketTimeouts, accept, bind, connect};
