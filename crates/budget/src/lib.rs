//! Byte accounting and token buckets for control traffic.
