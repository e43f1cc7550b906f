//! Listener and handlers of the stand-in.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use futures_util::stream;
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::owner::{Begin, Message, Plan};
use super::{UpstreamEnd, UpstreamFaults, wait_for_end};

const REQUEST_ID: &str = "x-request-id";
const WORK_MS: &str = "x-work-ms";
const ECHO_BYTES: &str = "x-echo-bytes";

/// Time between the two halves of a cut body, so that the first half leaves the process.
const CUT_PAUSE: Duration = Duration::from_millis(5);

/// Time to wait after a failed accept, which is usually a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time for connections to write their last answers at an orderly end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

type Mailbox = mpsc::UnboundedSender<Message>;

/// Serves connections until the stand-in ends.
///
/// A crash closes connections at once; an orderly end lets answers that are being written finish.
pub(crate) async fn serve(
    listener: TcpListener,
    mailbox: Mailbox,
    mut ended: watch::Receiver<Option<UpstreamEnd>>,
) {
    let router = router(mailbox);
    // Dropping the set aborts its tasks, which closes their connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = wait_for_end(&mut ended) => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    connections.spawn(serve_connection(socket, router.clone(), ended.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    if *ended.borrow() == Some(UpstreamEnd::Left) {
        let closed = async { while connections.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
    }
}

async fn serve_connection(
    socket: TcpStream,
    router: Router,
    mut ended: watch::Receiver<Option<UpstreamEnd>>,
) {
    let _ = socket.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    // A failed connection concerns its client only.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = wait_for_end(&mut ended) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

fn router(mailbox: Mailbox) -> Router {
    Router::new()
        .route("/_standin/runs", get(runs))
        .route("/_standin/peak", get(peak))
        .route("/_standin/faults", put(set_faults))
        .fallback(work)
        .with_state(mailbox)
}

async fn ask<R>(
    mailbox: &Mailbox,
    message: impl FnOnce(oneshot::Sender<R>) -> Message,
) -> Result<R, StatusCode> {
    let (reply, answer) = oneshot::channel();
    let gone = StatusCode::SERVICE_UNAVAILABLE;
    mailbox.send(message(reply)).map_err(|_| gone)?;
    answer.await.map_err(|_| gone)
}

async fn runs(State(mailbox): State<Mailbox>) -> Response {
    ask(&mailbox, Message::Runs).await.map(Json).into_response()
}

async fn peak(State(mailbox): State<Mailbox>) -> Response {
    ask(&mailbox, Message::Peak).await.map(Json).into_response()
}

async fn set_faults(
    State(mailbox): State<Mailbox>,
    Json(faults): Json<UpstreamFaults>,
) -> Response {
    let done = ask(&mailbox, |reply| Message::SetFaults(faults, reply)).await;
    done.map(|()| StatusCode::NO_CONTENT).into_response()
}

/// Reports the end of a request, also when its connection was closed before the answer.
struct Running(Mailbox);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.send(Message::End);
    }
}

async fn work(State(mailbox): State<Mailbox>, request: Request) -> Response {
    let headers = request.headers();
    let begin = Begin {
        id: headers
            .get(REQUEST_ID)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned),
        headers: headers
            .keys()
            .map(|name| name.as_str().to_owned())
            .collect(),
        work: Duration::from_millis(number(headers, WORK_MS).unwrap_or(0)),
    };
    let echo = number(headers, ECHO_BYTES);
    // The owner drops the reply of a request that crashes the upstream, which then ends.
    let plan = match ask(&mailbox, |reply| Message::Begin(begin, reply)).await {
        Ok(plan) => plan,
        Err(_) => return std::future::pending().await,
    };
    let _running = Running(mailbox);
    let cut = match plan {
        Plan::Answer { work, cut } => {
            if !work.is_zero() {
                tokio::time::sleep(work).await;
            }
            cut
        }
        Plan::Fail => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Plan::Freeze(mut frozen) => {
            let _ = frozen.wait_for(|frozen| !frozen).await;
            false
        }
    };
    let Ok(body) = request.into_body().collect().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    answer(echo, body.to_bytes(), cut)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Answers the request body, or as many bytes as the caller asked for.
fn answer(echo: Option<u64>, request: Bytes, cut: bool) -> Response {
    let body = match echo.map(usize::try_from) {
        Some(Ok(length)) => Bytes::from(vec![b'x'; length]),
        Some(Err(_)) => return StatusCode::BAD_REQUEST.into_response(),
        None => request,
    };
    if !cut {
        return body.into_response();
    }
    let length = body.len();
    let half = body.slice(..length / 2);
    let first = stream::once(async move { Ok::<_, Infallible>(half) });
    let first = futures_util::StreamExt::map(first, |part| part.map_err(|e| match e {}));
    let second = stream::once(async {
        tokio::time::sleep(CUT_PAUSE).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    let parts = futures_util::StreamExt::chain(first, second);
    let headers = [(header::CONTENT_LENGTH, length.to_string())];
    (headers, Body::from_stream(parts)).into_response()
}
