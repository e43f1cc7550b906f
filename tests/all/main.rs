//! Integration tests, one module a topic.
