//! HTTP interface of the log stand-in.

use std::io;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{post, put};
use axum::{Json, Router};
use bytes::Bytes;
use cornelvalve_model::{Offset, WallTime};
use data_encoding::BASE64;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::owner::{CallOutcome, Message, ReadRequest, Reply};
use super::stream::StoredRecord;
use super::{LogFaults, LoseBy};

/// Maximum size of the body of an append in bytes: a few records of 1 MiB each, in base64.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of records in the response to a read.
const MAX_PAGE_RECORDS: usize = 10_000;

/// Maximum time for which a read may wait for new records, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

type Mailbox = mpsc::Sender<Message>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: Offset,
    #[serde(default = "default_max")]
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_max() -> usize {
    MAX_PAGE_RECORDS
}

#[derive(Serialize)]
struct AppendResponse {
    first: Offset,
}

#[derive(Serialize)]
struct GoneResponse {
    first_retained: Offset,
}

#[derive(Serialize)]
struct PageResponse {
    first_retained: Offset,
    next: Offset,
    records: Vec<RecordBody>,
}

#[derive(Serialize)]
struct RecordBody {
    offset: Offset,
    at_ms: WallTime,
    data: String,
}

impl From<StoredRecord> for RecordBody {
    fn from(record: StoredRecord) -> Self {
        Self {
            offset: record.offset,
            at_ms: record.appended_at,
            data: record.data,
        }
    }
}

/// Serves the HTTP interface until `stopped` receives a message or its sender is dropped.
pub(super) async fn serve(
    listener: TcpListener,
    mailbox: Mailbox,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let router = Router::new()
        .route("/streams/{name}/records", post(append).get(read))
        .route("/faults", put(set_faults))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(mailbox);
    axum::serve(listener, router)
        .with_graceful_shutdown(async {
            let _ = stopped.await;
        })
        .await
}

async fn append(
    State(mailbox): State<Mailbox>,
    Path(stream): Path<String>,
    Json(body): Json<AppendBody>,
) -> Response {
    let is_valid = |data: &String| BASE64.decode(data.as_bytes()).is_ok();
    if body.records.is_empty() || !body.records.iter().all(is_valid) {
        return (
            StatusCode::BAD_REQUEST,
            "send one or more records, encoded in base64",
        )
            .into_response();
    }
    let (sender, reply) = oneshot::channel();
    let message = Message::Append {
        stream,
        records: body.records,
        reply: sender,
    };
    respond(&mailbox, message, reply).await
}

async fn read(
    State(mailbox): State<Mailbox>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let (sender, reply) = oneshot::channel();
    let message = Message::Read {
        request: ReadRequest {
            stream,
            from: query.from,
            max: query.max.min(MAX_PAGE_RECORDS),
        },
        max_wait: Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS)),
        reply: sender,
    };
    respond(&mailbox, message, reply).await
}

async fn set_faults(State(mailbox): State<Mailbox>, Json(faults): Json<LogFaults>) -> StatusCode {
    let (reply, done) = oneshot::channel();
    let sent = mailbox.send(Message::SetFaults { faults, reply }).await;
    if sent.is_err() || done.await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::NO_CONTENT
}

/// Sends a message to the owner and turns the reply into a response, after the reply's delay.
///
/// The response has status 503 if the owner has ended.
async fn respond(mailbox: &Mailbox, message: Message, reply: oneshot::Receiver<Reply>) -> Response {
    if mailbox.send(message).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let Ok(reply) = reply.await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    if !reply.delay.is_zero() {
        tokio::time::sleep(reply.delay).await;
    }
    encode(reply.outcome)
}

fn encode(outcome: CallOutcome) -> Response {
    match outcome {
        CallOutcome::Appended(first) => Json(AppendResponse { first }).into_response(),
        CallOutcome::ResponseLost(LoseBy::Drop) => broken_response(),
        CallOutcome::ResponseLost(LoseBy::Status) | CallOutcome::Down => {
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
        CallOutcome::RateLimited => StatusCode::TOO_MANY_REQUESTS.into_response(),
        CallOutcome::Gone(first_retained) => {
            (StatusCode::GONE, Json(GoneResponse { first_retained })).into_response()
        }
        CallOutcome::Records {
            first_retained,
            next,
            records,
        } => Json(PageResponse {
            first_retained,
            next,
            records: records.into_iter().map(RecordBody::from).collect(),
        })
        .into_response(),
    }
}

/// Returns a response whose body stream fails, so that the server closes the connection.
fn broken_response() -> Response {
    let failure: io::Result<Bytes> = Err(io::ErrorKind::ConnectionAborted.into());
    let body = futures_util::stream::once(std::future::ready(failure));
    Response::new(Body::from_stream(body))
}
