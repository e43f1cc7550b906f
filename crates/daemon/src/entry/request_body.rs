//! Bodies of callers' requests, kept for retries.
//!
//! A short body is buffered and can be sent any number of times. A long one is streamed once, and
//! only after the daemon beside the upstream has admitted the request.

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
    /// The body is too long to buffer or of unknown length, and nothing of it has been read yet.
    Streaming(Incoming),
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
            _ => Ok(Self::Streaming(body)),
        }
    }

    /// Returns the part of the body that enters the fingerprint of the request: all of it if it is
    /// buffered, otherwise nothing.
    pub(super) fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streaming(_) | Self::Consumed => &[],
        }
    }

    /// Returns whether the body can be sent in a further attempt.
    pub(super) fn is_available(&self) -> bool {
        !matches!(self, Self::Consumed)
    }

    /// Returns whether the body must be withheld until the other daemon has admitted the request.
    pub(super) fn is_deferred(&self) -> bool {
        matches!(self, Self::Streaming(_))
    }

    /// Returns the body for one attempt.
    ///
    /// A streamed body comes with a handle to release it, through which [`Self::restore`] gets it
    /// back if it was never released.
    pub(super) fn take(&mut self) -> (Body, Option<DeferredHandle>) {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                (body::full(bytes), None)
            }
            Self::Streaming(incoming) => {
                let (body, gate) = DeferredBody::new(incoming);
                (body.boxed_unsync(), Some(gate))
            }
            Self::Consumed => (body::empty(), None),
        }
    }

    /// Takes a streamed body back from an attempt that did not read it.
    pub(super) async fn restore(&mut self, gate: Option<DeferredHandle>) {
        if let Some(gate) = gate
            && let Ok(incoming) = gate.unread.await
        {
            *self = Self::Streaming(incoming);
        }
    }
}

/// Control over a deferred body.
pub(super) struct DeferredHandle {
    /// Releases the body for sending; taken when it is passed to the observer of the response.
    pub(super) open: Option<mpsc::Sender<()>>,
    /// Receives the body back if it was never released.
    unread: oneshot::Receiver<Incoming>,
}

/// Streamed body that is not read until it is released.
///
/// The daemon beside the upstream sends `100 Continue` once it has admitted the request. Until then
/// the caller is not asked for the body, so a refused upload can be sent to another upstream.
struct DeferredBody {
    incoming: Option<Incoming>,
    gate: mpsc::Receiver<()>,
    open: bool,
    give_back: Option<oneshot::Sender<Incoming>>,
}

impl DeferredBody {
    fn new(incoming: Incoming) -> (Self, DeferredHandle) {
        let (open, gate) = mpsc::channel(1);
        let (give_back, unread) = oneshot::channel();
        let body = Self {
            incoming: Some(incoming),
            gate,
            open: false,
            give_back: Some(give_back),
        };
        let gate = DeferredHandle {
            open: Some(open),
            unread,
        };
        (body, gate)
    }
}

impl HttpBody for DeferredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.open {
            if ready!(self.gate.poll_recv(cx)).is_none() {
                return Poll::Ready(Some(Err("the request was not admitted".into())));
            }
            self.open = true;
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
        if !self.open
            && let (Some(incoming), Some(give_back)) = (self.incoming.take(), self.give_back.take())
        {
            // The receiver is gone if the whole request was cancelled.
            let _ = give_back.send(incoming);
        }
    }
}
