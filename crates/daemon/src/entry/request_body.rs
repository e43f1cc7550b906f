//! Bodies of callers' requests, kept for retries.
//!
//! A short body is buffered and can be sent any number of times. A long body is deferred: it is
//! streamed once, and only after the daemon beside the upstream has admitted the request.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};

use crate::body::{self, Body, BodyError};

/// Body of a caller's request.
pub(super) enum RequestBody {
    /// The whole body is in memory; it can be sent any number of times.
    Buffered(Bytes),
    /// The body is too long to buffer or of unknown length; nothing of it has been read yet.
    Deferred(Incoming),
    /// An attempt has read from the body, so it cannot be sent again.
    Consumed,
}

impl RequestBody {
    /// Buffers a body whose length is known and at most `max_bytes`; leaves any other unread.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller's connection breaks while the body is read.
    pub(super) async fn read(body: Incoming, max_bytes: usize) -> Result<Self, hyper::Error> {
        let max_bytes = u64::try_from(max_bytes).unwrap_or(u64::MAX);
        match body.size_hint().exact() {
            Some(length) if length <= max_bytes => {
                Ok(Self::Buffered(body.collect().await?.to_bytes()))
            }
            _ => Ok(Self::Deferred(body)),
        }
    }

    /// Returns the part of the body that enters the fingerprint of the request: all of it if it is
    /// buffered, otherwise nothing.
    pub(super) fn fingerprint_bytes(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Deferred(_) | Self::Consumed => &[],
        }
    }

    /// Returns whether the body can be sent in another attempt.
    pub(super) fn is_replayable(&self) -> bool {
        !matches!(self, Self::Consumed)
    }

    /// Returns whether the body is sent only after the other daemon has admitted the request.
    pub(super) fn is_deferred(&self) -> bool {
        matches!(self, Self::Deferred(_))
    }

    /// Returns the body for one attempt.
    ///
    /// A deferred body comes with a handle that releases it. If the body is never released,
    /// [`Self::restore`] takes it back through the same handle.
    pub(super) fn take(&mut self) -> (Body, Option<DeferredHandle>) {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                (body::full(bytes), None)
            }
            Self::Deferred(incoming) => {
                let (body, handle) = DeferredBody::new(incoming);
                (body.boxed_unsync(), Some(handle))
            }
            Self::Consumed => (body::empty(), None),
        }
    }

    /// Takes a deferred body back from an attempt that did not release it.
    pub(super) async fn restore(&mut self, handle: Option<DeferredHandle>) {
        if let Some(handle) = handle
            && let Ok(incoming) = handle.returned.await
        {
            *self = Self::Deferred(incoming);
        }
    }
}

/// Handle that releases a [`DeferredBody`] or gets it back.
pub(super) struct DeferredHandle {
    /// Releases the body for sending. `None` once it was passed to the code that waits for
    /// `100 Continue`.
    pub(super) release: Option<mpsc::Sender<()>>,
    /// Receives the body back if it was never released.
    returned: oneshot::Receiver<Incoming>,
}

/// Body that is not read until it is released.
///
/// The daemon beside the upstream sends `100 Continue` once it has admitted the request. Until then
/// the caller is not asked for the body, so a refused upload can be sent to another upstream.
struct DeferredBody {
    incoming: Option<Incoming>,
    release_receiver: mpsc::Receiver<()>,
    released: bool,
    return_sender: Option<oneshot::Sender<Incoming>>,
}

impl DeferredBody {
    fn new(incoming: Incoming) -> (Self, DeferredHandle) {
        let (release, release_receiver) = mpsc::channel(1);
        let (return_sender, returned) = oneshot::channel();
        let body = Self {
            incoming: Some(incoming),
            release_receiver,
            released: false,
            return_sender: Some(return_sender),
        };
        let handle = DeferredHandle {
            release: Some(release),
            returned,
        };
        (body, handle)
    }
}

impl HttpBody for DeferredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.released {
            if ready!(self.release_receiver.poll_recv(cx)).is_none() {
                return Poll::Ready(Some(Err("the request was not admitted".into())));
            }
            self.released = true;
        }
        match &mut self.incoming {
            Some(incoming) => Pin::new(incoming).poll_frame(cx).map_err(Into::into),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.incoming.as_ref().map(HttpBody::size_hint);
        hint.unwrap_or_default()
    }
}

impl Drop for DeferredBody {
    fn drop(&mut self) {
        if !self.released
            && let (Some(incoming), Some(return_sender)) =
                (self.incoming.take(), self.return_sender.take())
        {
            // The receiver is gone if the whole request was cancelled.
            let _ = return_sender.send(incoming);
        }
    }
}
