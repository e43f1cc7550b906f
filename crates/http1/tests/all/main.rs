//! Tests of message decoding and of client and server connections, one module per topic.

mod client;
mod decode;
mod endless;
mod memory;
mod server;
mod slow_clients;
