//! Tests of the decisions on the request path.
