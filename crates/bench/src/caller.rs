//! Caller tasks, which own their connections and send the requests that the pacer schedules.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::client::{ClientResponse, Connection, IdleConnections, exchange};
use crate::pacer::ScheduledRequest;
use crate::stats::{CallerStats, RequestOutcome, Sample};
use crate::{Experiment, RequestKind, Via};

/// Time after the deadline of a request at which the caller gives up and closes the connection.
/// Until then a response is still received and counted as late.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Path on which daemons issue tickets to callers.
const TICKETS_PATH: &str = "/.well-known/cornelvalve/tickets";

/// Maximum length of an error message that is counted as a reason, in characters.
const MAX_REASON_CHARS: usize = 60;

/// Settings that all callers of a variant share.
#[derive(Clone, Debug)]
pub(crate) struct CallerSettings {
    pub(crate) experiment: Arc<Experiment>,
    pub(crate) via: Via,
    /// Destinations for each kind of request, used in round-robin order.
    pub(crate) addrs: Arc<Vec<Vec<SocketAddr>>>,
    /// Start of the measurement.
    pub(crate) measured_from: Instant,
    /// Number of windows in which counts over time are kept.
    pub(crate) windows: usize,
}

/// Result of a request, with its connection if it can be reused.
struct CallResult {
    sample: Sample,
    measured: bool,
    connection: Option<(SocketAddr, Connection)>,
}

/// Sends the scheduled requests until the inbox is closed, and returns the statistics.
///
/// Requests run concurrently: none waits for earlier ones.
pub(crate) async fn run_caller(
    settings: CallerSettings,
    mut inbox: mpsc::UnboundedReceiver<ScheduledRequest>,
) -> CallerStats {
    let kinds = settings.experiment.mix.len();
    let mut stats = CallerStats::new(kinds, settings.windows);
    let mut idle = IdleConnections::default();
    let mut running = JoinSet::new();
    let mut inbox_open = true;
    while inbox_open || !running.is_empty() {
        tokio::select! {
            scheduled = inbox.recv(), if inbox_open => match scheduled {
                Some(scheduled) => {
                    let addrs = &settings.addrs[scheduled.kind];
                    let index = usize::try_from(scheduled.number).unwrap_or(0);
                    let addr = addrs[index % addrs.len()];
                    let connection = idle.take(addr);
                    running.spawn(measure_request(settings.clone(), scheduled, addr, connection));
                }
                None => inbox_open = false,
            },
            Some(joined) = running.join_next() => {
                // A request whose task panicked is not counted.
                let Ok(CallResult { sample, measured, connection }) = joined else {
                    continue;
                };
                if measured {
                    stats.add(&sample);
                }
                if let Some((addr, connection)) = connection {
                    idle.put(addr, connection);
                }
            }
        }
    }
    stats
}

/// Runs one request to its end and measures its latency from the scheduled time.
async fn measure_request(
    settings: CallerSettings,
    scheduled: ScheduledRequest,
    addr: SocketAddr,
    idle: Option<Connection>,
) -> CallResult {
    let kind = &settings.experiment.mix[scheduled.kind];
    let deadline = Duration::from_millis(kind.deadline_ms);
    let attempt = send_request(&settings, kind, &scheduled, addr, idle);
    let (outcome, connection) = match tokio::time::timeout(deadline + DEADLINE_GRACE, attempt).await
    {
        Ok(result) => result,
        Err(_) => (RequestOutcome::Broken("no answer in time".to_owned()), None),
    };
    let latency = scheduled.due.elapsed();
    let sample = Sample {
        kind: scheduled.kind,
        number: scheduled.number,
        offset: scheduled
            .due
            .saturating_duration_since(settings.measured_from),
        latency,
        late: latency > deadline,
        outcome,
    };
    CallResult {
        sample,
        measured: scheduled.measured,
        connection: connection.map(|c| (addr, c)),
    }
}

/// Fetches a ticket if the kind needs one, then sends the request.
///
/// Returns the outcome, and the connection if it can be reused.
async fn send_request(
    settings: &CallerSettings,
    kind: &RequestKind,
    scheduled: &ScheduledRequest,
    addr: SocketAddr,
    idle: Option<Connection>,
) -> (RequestOutcome, Option<Connection>) {
    let mut idle = idle;
    let mut ticket = None;
    if kind.ticket && settings.via == Via::System {
        let request = ticket_request(settings, kind);
        match exchange(addr, idle.take(), request).await {
            Ok((response, connection)) => {
                idle = Some(connection);
                ticket = first_ticket(&response);
                if ticket.is_none() {
                    return (classify_response(&response), idle);
                }
            }
            Err(e) => return (RequestOutcome::Broken(truncate(&e)), None),
        }
    }
    let request = build_request(settings, kind, scheduled, ticket.as_deref());
    match exchange(addr, idle, request).await {
        Ok((response, connection)) => (classify_response(&response), Some(connection)),
        Err(e) => (RequestOutcome::Broken(truncate(&e)), None),
    }
}

/// Returns the host name of the service of a kind. Experiments whose services are not listed are
/// rejected before the run, so that the fallback is never used.
fn host_header<'a>(settings: &'a CallerSettings, kind: &RequestKind) -> &'a str {
    let service = settings.experiment.service(&kind.service);
    service.map_or("localhost", |s| s.host.as_str())
}

/// Builds the request for a ticket.
fn ticket_request(settings: &CallerSettings, kind: &RequestKind) -> Request<Full<Bytes>> {
    let body = serde_json::json!({ "path": kind.path, "method": kind.method });
    with_body(
        Request::post(TICKETS_PATH).header("host", host_header(settings, kind)),
        body.to_string().into(),
    )
}

/// Returns the first ticket in the body of a response.
fn first_ticket(response: &ClientResponse) -> Option<String> {
    let document: Value = serde_json::from_slice(&response.body).ok()?;
    Some(document["tickets"][0].as_str()?.to_owned())
}

/// Builds the HTTP request for a scheduled request, with the headers that control the upstream
/// stand-in.
fn build_request(
    settings: &CallerSettings,
    kind: &RequestKind,
    scheduled: &ScheduledRequest,
    ticket: Option<&str>,
) -> Request<Full<Bytes>> {
    // Upstream stand-ins accept whole milliseconds only. Service times below 0.5 ms become 0.
    let work_ms = (scheduled.work.as_secs_f64() * 1e3).round() as u64;
    let mut builder = Request::builder()
        .method(kind.method.as_str())
        .uri(kind.path.as_str())
        .header("host", host_header(settings, kind))
        .header("cornelvalve-deadline-ms", kind.deadline_ms);
    if work_ms > 0 {
        builder = builder.header("x-work-ms", work_ms);
    }
    if let Some(bytes) = kind.answer_bytes {
        builder = builder.header("x-echo-bytes", bytes);
    }
    if settings.experiment.track_runs && scheduled.measured {
        builder = builder.header("x-request-id", scheduled.number);
    }
    if kind.nested > 0 {
        builder = builder.header("x-nested", u64::from(kind.nested));
    }
    if let Some(ticket) = ticket {
        builder = builder.header("idempotency-key", ticket);
    }
    with_body(builder, Bytes::from(vec![b'b'; kind.body_bytes]))
}

/// Returns the request with the given body.
fn with_body(builder: http::request::Builder, body: Bytes) -> Request<Full<Bytes>> {
    // Building fails only if the experiment has an invalid method or path, which is not checked
    // before the run. An empty request is sent instead.
    builder
        .body(Full::new(body))
        .unwrap_or_else(|_| Request::new(Full::default()))
}

/// Returns the outcome of a request from its response. Problem documents (RFC 9457) come from
/// daemons, all other responses from upstreams.
fn classify_response(response: &ClientResponse) -> RequestOutcome {
    if response.is_problem {
        let document: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let reason = document["reason"].as_str().unwrap_or("none").to_owned();
        return match document["outcome"].as_str() {
            Some("not-run") => RequestOutcome::Refused(reason),
            _ => RequestOutcome::Unknown(reason),
        };
    }
    if response.status.is_success() {
        RequestOutcome::Completed
    } else {
        RequestOutcome::Failed
    }
}

/// Shortens an error message, so that similar errors are counted under one reason.
fn truncate(error: &str) -> String {
    error.chars().take(MAX_REASON_CHARS).collect()
}
