//! Request bodies that can be sent again, and those that cannot.

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
    /// The whole body is in memory.
    Buffered(Bytes),
    /// The body is too long or of unknown length and was not read yet.
    Streaming(Incoming),
    /// The body was read by an attempt and is gone.
    Consumed,
}

impl RequestBody {
    /// Reads a body of known length up to `max_bytes` into memory and leaves others unread.
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

    /// Returns the part of the body that identifies the request.
    pub(super) fn prefix(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streaming(_) | Self::Consumed => &[],
        }
    }

    /// Tells whether the body can be sent once more.
    pub(super) fn is_available(&self) -> bool {
        !matches!(self, Self::Consumed)
    }

    /// Tells whether the body is sent only after the other side has admitted the request.
    pub(super) fn is_deferred(&self) -> bool {
        matches!(self, Self::Streaming(_))
    }

    /// Returns the body for one attempt; an unread one can be recovered if it stays unread.
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

    /// Takes the body back from an attempt that did not read it.
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
    /// Opens the gate.
    pub(super) open: Option<mpsc::Sender<()>>,
    /// Gives the body back if the gate was never opened.
    unread: oneshot::Receiver<Incoming>,
}

/// Body that is not read until its gate opens.
///
/// The daemon beside the upstream answers `100 Continue` when it has admitted the request. Until
/// then the body stays with the caller, so a refused upload can go to another upstream.
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
            // Nobody waits for it if the whole request was cancelled.
            let _ = give_back.send(incoming);
        }
    }
}
