//! Tests that `schema/operators.openrpc.json` describes the calls of the server.

mod fake;
mod schema;
