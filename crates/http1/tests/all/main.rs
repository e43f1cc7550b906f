//! Tests of HTTP/1.1 connections, one module a topic.

mod client;
mod decode;
mod server;
