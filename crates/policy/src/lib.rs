//! Decisions on the request path: choice, admission, retries and deduplication.
