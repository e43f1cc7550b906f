//! Holds `schema/operators.openrpc.json` against the calls.

mod fake;
mod schema;
