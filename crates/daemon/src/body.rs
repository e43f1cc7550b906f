//! HTTP bodies, and a wrapper that reports the data and the end of a body to an observer.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use tokio::sync::watch;
use tokio::time::Instant;

/// Error that aborts the request or response to which a body belongs, so that the receiver cannot
/// mistake a truncated body for a complete one.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of any request or response that passes through the daemon.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes in memory.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|e| match e {})
        .boxed_unsync()
}

/// Creates an empty body.
pub(crate) fn empty() -> Body {
    full(Bytes::new())
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The whole body was passed on.
    Complete,
    /// The sender failed or truncated it.
    Failed,
    /// The receiver stopped reading before the end.
    Dropped,
}

/// Observes a body on its way from sender to receiver.
pub(crate) trait BodyObserver: Send + Unpin + 'static {
    /// Called for each data frame.
    fn on_data(&mut self, _data: &Bytes) {}

    /// Called exactly once, when the body ends.
    fn on_end(&mut self, end: BodyEnd);
}

/// Body that reports its data and its end to an observer.
pub(crate) struct ObservedBody<B, O: BodyObserver> {
    inner: B,
    observer: O,
    ended: bool,
}

impl<B: HttpBody, O: BodyObserver> ObservedBody<B, O> {
    /// Wraps a body.
    pub(crate) fn new(inner: B, observer: O) -> Self {
        let mut body = Self {
            inner,
            observer,
            ended: false,
        };
        // HTTP servers never poll a body that is empty from the start.
        if body.inner.is_end_stream() {
            body.finish(BodyEnd::Complete);
        }
        body
    }
}

impl<B, O: BodyObserver> ObservedBody<B, O> {
    /// Reports the end to the observer, unless it was reported before.
    fn finish(&mut self, end: BodyEnd) {
        if !self.ended {
            self.ended = true;
            self.observer.on_end(end);
        }
    }
}

impl<B, O> HttpBody for ObservedBody<B, O>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
    O: BodyObserver,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.observer.on_data(data);
                }
                // HTTP servers do not poll a body of known length again after its last frame.
                if self.inner.is_end_stream() {
                    self.finish(BodyEnd::Complete);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => {
                self.finish(BodyEnd::Failed);
                Poll::Ready(Some(Err(e.into())))
            }
            None => {
                self.finish(BodyEnd::Complete);
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B, O: BodyObserver> Drop for ObservedBody<B, O> {
    fn drop(&mut self) {
        self.finish(BodyEnd::Dropped);
    }
}

/// Observer that publishes the progress of a request body.
///
/// With it the timeout for the response headers can be extended while a long upload still makes
/// progress.
pub(crate) struct ProgressObserver {
    progress: watch::Sender<Progress>,
}

/// Progress of a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Time at which data last arrived, or at which the body ended.
    pub(crate) last_data: Instant,
    /// Whether the sender aborted the body.
    pub(crate) failed: bool,
}

impl ProgressObserver {
    /// Creates the observer and a receiver for the progress.
    pub(crate) fn new() -> (Self, watch::Receiver<Progress>) {
        let (progress, receiver) = watch::channel(Progress {
            last_data: Instant::now(),
            failed: false,
        });
        (Self { progress }, receiver)
    }
}

impl BodyObserver for ProgressObserver {
    fn on_data(&mut self, _data: &Bytes) {
        self.progress.send_modify(|p| p.last_data = Instant::now());
    }

    fn on_end(&mut self, end: BodyEnd) {
        self.progress.send_replace(Progress {
            last_data: Instant::now(),
            failed: end == BodyEnd::Failed,
        });
    }
}
