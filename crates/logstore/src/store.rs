//! Interface of an append-only log service.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_model::{Offset, WallTime};

use crate::Result;

/// Boxed future, which lets the methods of [`LogStore`] be called on a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Record that was read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position of the record in its stream.
    pub offset: Offset,
    /// Time at which the service appended the record, by the service's clock.
    pub at: WallTime,
    /// Content of the record.
    pub data: Bytes,
}

/// Consecutive records that a read returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// First offset of the stream that the service still retains.
    pub first_retained: Offset,
    /// Offset after the last returned record, at which the next read starts.
    pub next: Offset,
    /// Records in offset order; empty if none arrived before the read stopped waiting.
    pub records: Vec<Record>,
}

/// Append-only log service with named streams.
pub trait LogStore: Send + Sync {
    /// Appends records as one batch and returns the offset of the first. The records have
    /// consecutive offsets: no other append comes between them.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`](crate::Error::Unavailable) if the append had no effect and
    /// [`Error::OutcomeUnknown`](crate::Error::OutcomeUnknown) if it may have had one.
    fn append<'a>(&'a self, stream: &'a str, records: &'a [Bytes])
    -> BoxFuture<'a, Result<Offset>>;

    /// Reads up to `max` records from an offset on, and waits up to `wait` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns [`Error::RecordsGone`](crate::Error::RecordsGone) if retention removed the record at
    /// `from`, and another error if the service gave no usable response.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page>>;
}
