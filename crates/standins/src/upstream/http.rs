//! HTTP server of the upstream stand-in: its listener, connections and handlers.

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

use super::owner::{Message, RequestInfo, ResponsePlan};
use super::{UpstreamExit, UpstreamFaults, wait_for_exit};

/// Header with the identifier under which the runs of a request are counted.
const REQUEST_ID: &str = "x-request-id";

/// Header with the processing time of the request, in milliseconds.
const WORK_MS: &str = "x-work-ms";

/// Header with the size of the response body in bytes; without it the response has the body of the
/// request.
const ECHO_BYTES: &str = "x-echo-bytes";

/// Delay between the first half of a truncated body and the abort of the connection, so that the
/// first half is sent.
const TRUNCATION_DELAY: Duration = Duration::from_millis(5);

/// Delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum time that a graceful shutdown waits for connections to send their last responses.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

type Mailbox = mpsc::UnboundedSender<Message>;

/// Serves connections until the stand-in exits.
///
/// A crash closes the connections at once; a graceful shutdown lets them finish the responses that
/// they are sending.
pub(crate) async fn serve(
    listener: TcpListener,
    mailbox: Mailbox,
    mut exit: watch::Receiver<Option<UpstreamExit>>,
) {
    let router = router(mailbox);
    // Dropping the set aborts its tasks, which closes the connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = wait_for_exit(&mut exit) => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    connections.spawn(serve_connection(socket, router.clone(), exit.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    if *exit.borrow() == Some(UpstreamExit::ShutDown) {
        let all_closed = async { while connections.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, all_closed).await;
    }
}

async fn serve_connection(
    socket: TcpStream,
    router: Router,
    mut exit: watch::Receiver<Option<UpstreamExit>>,
) {
    let _ = socket.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    // A connection error affects only the client of that connection.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = wait_for_exit(&mut exit) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

fn router(mailbox: Mailbox) -> Router {
    Router::new()
        .route("/_standin/runs", get(run_counts))
        .route("/_standin/peak", get(concurrency_stats))
        .route("/_standin/faults", put(set_faults))
        .fallback(process)
        .with_state(mailbox)
}

/// Sends a message to the owner and returns its reply, or status 503 if the owner has ended.
async fn call<R>(
    mailbox: &Mailbox,
    message: impl FnOnce(oneshot::Sender<R>) -> Message,
) -> Result<R, StatusCode> {
    let (sender, reply) = oneshot::channel();
    let ended = StatusCode::SERVICE_UNAVAILABLE;
    mailbox.send(message(sender)).map_err(|_| ended)?;
    reply.await.map_err(|_| ended)
}

async fn run_counts(State(mailbox): State<Mailbox>) -> Response {
    call(&mailbox, Message::RunCounts)
        .await
        .map(Json)
        .into_response()
}

async fn concurrency_stats(State(mailbox): State<Mailbox>) -> Response {
    call(&mailbox, Message::ConcurrencyStats)
        .await
        .map(Json)
        .into_response()
}

async fn set_faults(
    State(mailbox): State<Mailbox>,
    Json(faults): Json<UpstreamFaults>,
) -> Response {
    let done = call(&mailbox, |reply| Message::SetFaults(faults, reply)).await;
    done.map(|()| StatusCode::NO_CONTENT).into_response()
}

/// Reports to the owner on drop that a request has finished, also if its connection was closed
/// before the response.
struct FinishGuard(Mailbox);

impl Drop for FinishGuard {
    fn drop(&mut self) {
        let _ = self.0.send(Message::RequestFinished);
    }
}

/// Processes a request on any path other than those that control the stand-in.
async fn process(State(mailbox): State<Mailbox>, request: Request) -> Response {
    let headers = request.headers();
    let info = RequestInfo {
        id: headers
            .get(REQUEST_ID)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned),
        header_names: headers
            .keys()
            .map(|name| name.as_str().to_owned())
            .collect(),
        processing_time: Duration::from_millis(number_header(headers, WORK_MS).unwrap_or(0)),
    };
    let echo_bytes = number_header(headers, ECHO_BYTES);
    // The owner drops the reply of a request that crashes the upstream. Waiting forever then keeps
    // this handler from responding until the server drops the connection.
    let plan = match call(&mailbox, |reply| Message::RequestStarted(info, reply)).await {
        Ok(plan) => plan,
        Err(_) => return std::future::pending().await,
    };
    let _guard = FinishGuard(mailbox);
    let truncate = match plan {
        ResponsePlan::Respond {
            processing_time,
            truncate,
        } => {
            if !processing_time.is_zero() {
                tokio::time::sleep(processing_time).await;
            }
            truncate
        }
        ResponsePlan::Fail => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        ResponsePlan::Freeze(mut frozen) => {
            let _ = frozen.wait_for(|frozen| !frozen).await;
            false
        }
    };
    let Ok(body) = request.into_body().collect().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    echo_response(echo_bytes, body.to_bytes(), truncate)
}

/// Returns the number in a header, or `None` if it is missing or no number.
fn number_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns a response with the request body, or with `echo_bytes` times the letter `x` if that is
/// given.
///
/// The body ends after its first half if `truncate` is set.
fn echo_response(echo_bytes: Option<u64>, request_body: Bytes, truncate: bool) -> Response {
    let body = match echo_bytes.map(usize::try_from) {
        Some(Ok(length)) => Bytes::from(vec![b'x'; length]),
        Some(Err(_)) => return StatusCode::BAD_REQUEST.into_response(),
        None => request_body,
    };
    if !truncate {
        return body.into_response();
    }
    let length = body.len();
    let half = body.slice(..length / 2);
    let first = stream::once(async move { Ok::<_, Infallible>(half) });
    let first = futures_util::StreamExt::map(first, |part| part.map_err(|e| match e {}));
    let second = stream::once(async {
        tokio::time::sleep(TRUNCATION_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    let parts = futures_util::StreamExt::chain(first, second);
    let headers = [(header::CONTENT_LENGTH, length.to_string())];
    (headers, Body::from_stream(parts)).into_response()
}
