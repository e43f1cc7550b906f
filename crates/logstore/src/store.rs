//! The log service as its users see it.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_model::{Offset, WallTime};

use crate::Result;

/// Future of a trait object's method.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Record as read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Time of the append by the service's clock.
    pub at: WallTime,
    /// Content.
    pub data: Bytes,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// First offset that is still retained.
    pub first_retained: Offset,
    /// Offset at which the next read goes on.
    pub next: Offset,
    /// Records in offset order; empty if none arrived in time.
    pub records: Vec<Record>,
}

/// Append-only log service with named streams.
pub trait LogStore: Send + Sync {
    /// Appends records as one group and returns the offset of the first; the others follow it
    /// without gap.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`](crate::Error::Unavailable) if the append had no effect and
    /// [`Error::OutcomeUnknown`](crate::Error::OutcomeUnknown) if it may have had one.
    fn append<'a>(&'a self, stream: &'a str, records: &'a [Bytes])
    -> BoxFuture<'a, Result<Offset>>;

    /// Reads up to `max` records from an offset, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::RecordsGone`](crate::Error::RecordsGone) if retention removed the record at
    /// `from`, and other kinds if the service gave no usable answer.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page>>;
}
