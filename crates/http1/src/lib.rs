//! HTTP/1.1 connections of the request path.
//!
//! The parser is `httparse`; this crate adds what the request path needs and general servers and
//! clients do not offer: pipelined requests run at the same time and are answered in order, a
//! caller that leaves cancels its requests even while later ones wait in the buffer, a client skips
//! responses that belong to another request, and a failed exchange tells whether any byte of the
//! request was sent.
//!
//! Messages are held whole: a response reaches nobody before its last byte has arrived.

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
