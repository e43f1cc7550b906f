//! Operators' client.
