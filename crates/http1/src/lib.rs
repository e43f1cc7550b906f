//! HTTP/1.1 server and client connections for forwarding requests.
//!
//! Message heads are parsed by `httparse`. This crate adds behaviour that forwarding needs and that
//! general-purpose HTTP servers and clients do not offer:
//!
//! - Pipelined requests run concurrently and are answered in order.
//! - If a client disconnects, its running requests are cancelled, even if later requests are still
//!   buffered.
//! - The client side skips responses to other requests, because some servers send a late or
//!   duplicate response to an earlier request on the same connection.
//! - A failed exchange reports whether any byte of the request was sent.
//!
//! Messages are buffered in full: a response is returned only after its last byte has arrived. A
//! [`MemoryAccount`] bounds the memory that all messages take together.

mod body;
mod buffer;
mod client;
mod encode;
mod error;
mod memory;
mod message;
mod output;
mod payload;
mod server;
mod socket;
mod state;

pub use buffer::{BodyBuffer, SEGMENT_BYTES};
pub use client::{ClientConnection, ExchangeError, OutgoingRequest};
pub use error::{Error, Result};
pub use memory::{
    MemoryAccount, PerMessageLimit, Reservation, ReservationList, Reservations, Resource,
};
pub use message::{
    BODY_ALLOWANCE_BYTES, DecodeLimits, Request, RequestDecoder, Response, ResponseDecoder,
};
pub use output::OutputQueue;
pub use payload::{Body, Payload};
pub use server::{BoxFuture, Draining, Handler, OutgoingResponse, ServerOptions, serve_connection};
pub use socket::{SocketTimeouts, accept, bind, connect};
