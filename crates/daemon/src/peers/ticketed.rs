//! Delivery of a request with a ticket.
//!
//! The run does not depend on the caller's connection: a repeat of the request must find its
//! answer even if the first caller went away.

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
use crate::answer;
use crate::body::{Body, BodyError};
use crate::guard::{Permit, PermitEnd};

/// Frames of an answer that wait for the caller.
const FRAMES_IN_FLIGHT: usize = 16;

/// Part of an answer on its way to the caller.
enum Part {
    /// A frame of the body.
    Frame(Frame<Bytes>),
    /// The answer is complete; without this part it counts as cut short.
    End,
}

/// Starts the run in a task of its own and streams its answer to the caller.
pub(super) async fn run(
    handler: &PeerHandler,
    request: Request<Incoming>,
    head: HopMetadata,
    permit: Permit,
    deadline: Moment,
) -> Result<Response<Body>, Refusal> {
    let (respond, response) = oneshot::channel();
    let handler = handler.clone();
    tokio::spawn(async move {
        run_detached(handler, request, head, permit, deadline, respond).await;
    });
    response
        .await
        .unwrap_or(Err(Refusal::unknown(Reason::Internal)))
}

async fn run_detached(
    handler: PeerHandler,
    request: Request<Incoming>,
    head: HopMetadata,
    mut permit: Permit,
    deadline: Moment,
    respond: oneshot::Sender<Result<Response<Body>, Refusal>>,
) {
    if !deliver::is_fresh(&permit, &*handler.clock) {
        permit.finish(PermitEnd::Unused);
        let _ = respond.send(Err(Refusal::not_run(Reason::StaleConfiguration)));
        return;
    }
    let time_left = deadline.since(handler.clock.now());
    let (request, timeout) = deliver::prepare(request, &head, time_left);
    permit.set_on_drop(PermitEnd::Lost);
    let started = Instant::now();
    let sent = handler.exchanger.send(permit.upstream, request, &timeout);
    match sent.await {
        Ok(mut response) => {
            permit.set_service_time(timeout.work_time(started));
            deliver::clean_response(&mut response, &permit);
            pass_on(response, permit, handler.answer_bytes, respond).await;
        }
        Err(e) => {
            let (end, refusal) = deliver::failed(&handler, permit.upstream, &e).await;
            permit.finish(end);
            let _ = respond.send(Err(refusal));
        }
    }
}

/// Streams the answer to the caller and keeps a copy, whether or not the caller still reads.
async fn pass_on(
    response: Response<Body>,
    permit: Permit,
    answer_bytes: usize,
    respond: oneshot::Sender<Result<Response<Body>, Refusal>>,
) {
    let (parts, mut body) = response.into_parts();
    let (frames, receiver) = mpsc::channel(FRAMES_IN_FLIGHT);
    let status = parts.status;
    let headers = parts.headers.clone();
    let _ = respond.send(Ok(Response::from_parts(parts, channel_body(receiver))));
    let mut copy = AnswerCopy::new(answer_bytes);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                copy.push(&frame);
                // The caller may have gone; the copy is still wanted for a repeat.
                let _ = frames.send(Part::Frame(frame)).await;
            }
            Err(_) => {
                permit.finish(PermitEnd::Lost);
                return;
            }
        }
    }
    permit.finish(deliver::answered(status, copy.encode(status, &headers)));
    let _ = frames.send(Part::End).await;
}

fn channel_body(receiver: mpsc::Receiver<Part>) -> Body {
    let frames = futures_util::stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Part::Frame(frame)) => Some((Ok(frame), Some(receiver))),
            Some(Part::End) => None,
            None => Some((Err(BodyError::from("answer was cut short")), None)),
        }
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}

/// Copy of an answer, up to the size that may be stored.
struct AnswerCopy {
    bytes: Vec<u8>,
    max_bytes: usize,
    complete: bool,
}

impl AnswerCopy {
    fn new(max_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes,
            complete: true,
        }
    }

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

    fn encode(&self, status: StatusCode, headers: &HeaderMap) -> Option<StoredResponse> {
        if self.complete {
            answer::encode(status, headers, &self.bytes)
        } else {
            None
        }
    }
}
