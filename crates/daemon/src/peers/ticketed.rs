//! Delivers requests with a ticket to a local upstream and stores their responses.
//!
//! A request with a ticket runs at most once, and repeats of it get the stored response. Delivery
//! therefore continues even if the caller disconnects from its entry (the daemon that forwarded the
//! request) or the entry from this daemon.

use bytes::Bytes;
use cornelvalve_model::{Moment, Reason, Refusal};
use cornelvalve_policy::StoredResponse;
use cornelvalve_wire::hop::HopMetadata;
use futures_util::StreamExt;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::PeerHandler;
use super::deliver;
use crate::body::{Body, BodyError};
use crate::guard::{Permit, PermitOutcome};
use crate::stored_response;

/// Number of body frames that are buffered for a slow receiver; when they are used up, the upstream
/// is slowed down instead of using more memory.
const FRAME_BUFFER: usize = 16;

/// Part of a response body on its way to the entry.
enum BodyPart {
    /// One frame.
    Frame(Frame<Bytes>),
    /// End of the body; if the channel closes without it, the body was truncated.
    End,
}

/// Delivers a request in a separate task and streams the response to the entry.
///
/// # Errors
///
/// Returns a refusal if there is no response.
pub(super) async fn run(
    handler: &PeerHandler,
    request: Request<Incoming>,
    metadata: HopMetadata,
    permit: Permit,
    deadline: Moment,
) -> Result<Response<Body>, Refusal> {
    let (response_sender, response) = oneshot::channel();
    let handler = handler.clone();
    tokio::spawn(async move {
        run_detached(
            handler,
            request,
            metadata,
            permit,
            deadline,
            response_sender,
        )
        .await;
    });
    response
        .await
        .unwrap_or(Err(Refusal::unknown(Reason::Internal)))
}

/// Delivers a request and sends its response headers, or the refusal, through `response_sender`.
async fn run_detached(
    handler: PeerHandler,
    request: Request<Incoming>,
    metadata: HopMetadata,
    mut permit: Permit,
    deadline: Moment,
    response_sender: oneshot::Sender<Result<Response<Body>, Refusal>>,
) {
    if !deliver::is_fresh(&permit, &*handler.clock) {
        permit.finish(PermitOutcome::Unused);
        let _ = response_sender.send(Err(Refusal::not_run(Reason::StaleConfiguration)));
        return;
    }
    let time_left = deadline.since(handler.clock.now());
    let (request, timer) = deliver::upstream_request(request, &metadata, time_left);
    // Callers cannot cancel this task. If it ends early all the same, the upstream may still run
    // the request, as after a lost connection.
    permit.set_on_drop(PermitOutcome::ConnectionLost);
    let started = Instant::now();
    let sent = handler.client.send(permit.upstream, request, &timer);
    match sent.await {
        Ok(mut response) => {
            permit.set_service_time(timer.response_time(started));
            deliver::sanitize_response(&mut response, &mut permit);
            stream_and_store(
                response,
                permit,
                handler.max_response_bytes,
                response_sender,
            )
            .await;
        }
        Err(e) => {
            let (outcome, refusal) = deliver::classify_failure(&handler, permit.upstream, &e).await;
            permit.finish(outcome);
            let _ = response_sender.send(Err(refusal));
        }
    }
}

/// Streams a response to the entry and stores a copy.
///
/// A slow entry delays the copy, one that disconnects does not stop it.
async fn stream_and_store(
    response: Response<Body>,
    permit: Permit,
    max_response_bytes: usize,
    response_sender: oneshot::Sender<Result<Response<Body>, Refusal>>,
) {
    let (parts, mut body) = response.into_parts();
    let (frames, receiver) = mpsc::channel(FRAME_BUFFER);
    let status = parts.status;
    let headers = parts.headers.clone();
    let _ = response_sender.send(Ok(Response::from_parts(parts, channel_body(receiver))));
    let mut copy = ResponseCopy::new(max_response_bytes);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                copy.push(&frame);
                // If the entry has disconnected, the copy is still needed for a repeat.
                let _ = frames.send(BodyPart::Frame(frame)).await;
            }
            Err(_) => {
                permit.finish(PermitOutcome::ConnectionLost);
                return;
            }
        }
    }
    permit.finish(deliver::outcome_of_status(
        status,
        copy.encode(status, &headers),
    ));
    let _ = frames.send(BodyPart::End).await;
}

/// Returns a body that receives its frames from a channel.
fn channel_body(receiver: mpsc::Receiver<BodyPart>) -> Body {
    let frames = futures_util::stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(BodyPart::Frame(frame)) => Some((Ok(frame), Some(receiver))),
            Some(BodyPart::End) => None,
            None => Some((Err(BodyError::from("response was truncated")), None)),
        }
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}

/// Copy of a response body; discarded if the body exceeds the size that may be stored.
struct ResponseCopy {
    bytes: Vec<u8>,
    max_bytes: usize,
    complete: bool,
}

impl ResponseCopy {
    fn new(max_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes,
            complete: true,
        }
    }

    /// Appends a frame.
    fn push(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        if self.bytes.len() + data.len() > self.max_bytes {
            self.complete = false;
            self.bytes = Vec::new();
        }
        if self.complete {
            self.bytes.extend_from_slice(data);
        }
    }

    /// Encodes the response; returns `None` if its body was too long.
    fn encode(&self, status: StatusCode, headers: &HeaderMap) -> Option<StoredResponse> {
        if self.complete {
            stored_response::encode(status, headers, &self.bytes)
        } else {
            None
        }
    }
}
