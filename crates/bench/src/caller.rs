//! Callers: tasks that own their connections and send what is due.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::client::{Answer, Connection, IdleConnections, exchange};
use crate::pacer::Arrival;
use crate::tally::{End, Sample, Tally};
use crate::{Experiment, RequestKind, Via};

/// Time beyond the deadline after which a caller closes its connection.
const GRACE: Duration = Duration::from_secs(2);

/// Path on which callers ask for tickets.
const TICKETS_PATH: &str = "/.well-known/cornelvalve/tickets";

/// What a caller needs to know.
#[derive(Clone, Debug)]
pub(crate) struct CallerSettings {
    pub(crate) experiment: Arc<Experiment>,
    pub(crate) via: Via,
    /// Addresses for each kind, used in turn.
    pub(crate) addrs: Arc<Vec<Vec<SocketAddr>>>,
    /// Start of the measurement.
    pub(crate) measured_from: Instant,
    /// Windows of the tally.
    pub(crate) windows: usize,
}

struct Done {
    sample: Sample,
    measured: bool,
    connection: Option<(SocketAddr, Connection)>,
}

/// Sends all arrivals and returns what became of them.
pub(crate) async fn run_caller(
    settings: CallerSettings,
    mut inbox: mpsc::UnboundedReceiver<Arrival>,
) -> Tally {
    let kinds = settings.experiment.mix.len();
    let mut tally = Tally::new(kinds, settings.windows);
    let mut idle = IdleConnections::default();
    let mut running = JoinSet::new();
    let mut open = true;
    while open || !running.is_empty() {
        tokio::select! {
            arrival = inbox.recv(), if open => match arrival {
                Some(arrival) => {
                    let addrs = &settings.addrs[arrival.kind];
                    let turn = usize::try_from(arrival.number).unwrap_or(0);
                    let addr = addrs[turn % addrs.len()];
                    let connection = idle.take(addr);
                    running.spawn(call(settings.clone(), arrival, addr, connection));
                }
                None => open = false,
            },
            Some(done) = running.join_next() => {
                let Ok(Done { sample, measured, connection }) = done else {
                    continue;
                };
                if measured {
                    tally.add(&sample);
                }
                if let Some((addr, connection)) = connection {
                    idle.put(addr, connection);
                }
            }
        }
    }
    tally
}

async fn call(
    settings: CallerSettings,
    arrival: Arrival,
    addr: SocketAddr,
    idle: Option<Connection>,
) -> Done {
    let kind = &settings.experiment.mix[arrival.kind];
    let deadline = Duration::from_millis(kind.deadline_ms);
    let attempt = send(&settings, kind, &arrival, addr, idle);
    let (end, connection) = match tokio::time::timeout(deadline + GRACE, attempt).await {
        Ok(result) => result,
        Err(_) => (End::Broken("no answer in time".to_owned()), None),
    };
    let latency = arrival.due.elapsed();
    let sample = Sample {
        kind: arrival.kind,
        number: arrival.number,
        offset: arrival
            .due
            .saturating_duration_since(settings.measured_from),
        latency,
        late: latency > deadline,
        end,
    };
    Done {
        sample,
        measured: arrival.measured,
        connection: connection.map(|c| (addr, c)),
    }
}

async fn send(
    settings: &CallerSettings,
    kind: &RequestKind,
    arrival: &Arrival,
    addr: SocketAddr,
    idle: Option<Connection>,
) -> (End, Option<Connection>) {
    let mut idle = idle;
    let mut ticket = None;
    if kind.ticket && settings.via == Via::System {
        let order = ticket_order(settings, kind);
        match exchange(addr, idle.take(), order).await {
            Ok((answer, connection)) => {
                idle = Some(connection);
                ticket = first_ticket(&answer);
                if ticket.is_none() {
                    return (end_of(&answer), idle);
                }
            }
            Err(e) => return (End::Broken(short(&e)), None),
        }
    }
    let request = build(settings, kind, arrival, ticket.as_deref());
    match exchange(addr, idle, request).await {
        Ok((answer, connection)) => (end_of(&answer), Some(connection)),
        Err(e) => (End::Broken(short(&e)), None),
    }
}

fn host<'a>(settings: &'a CallerSettings, kind: &RequestKind) -> &'a str {
    let service = settings.experiment.service(&kind.service);
    service.map_or("localhost", |s| s.host.as_str())
}

fn ticket_order(settings: &CallerSettings, kind: &RequestKind) -> Request<Full<Bytes>> {
    let order = serde_json::json!({ "path": kind.path, "method": kind.method });
    request(
        Request::post(TICKETS_PATH).header("host", host(settings, kind)),
        order.to_string().into(),
    )
}

fn first_ticket(answer: &Answer) -> Option<String> {
    let document: Value = serde_json::from_slice(&answer.body).ok()?;
    Some(document["tickets"][0].as_str()?.to_owned())
}

fn build(
    settings: &CallerSettings,
    kind: &RequestKind,
    arrival: &Arrival,
    ticket: Option<&str>,
) -> Request<Full<Bytes>> {
    // Stand-ins take whole milliseconds.
    let work_ms = (arrival.work.as_secs_f64() * 1e3).round() as u64;
    let mut builder = Request::builder()
        .method(kind.method.as_str())
        .uri(kind.path.as_str())
        .header("host", host(settings, kind))
        .header("cornelvalve-deadline-ms", kind.deadline_ms);
    if work_ms > 0 {
        builder = builder.header("x-work-ms", work_ms);
    }
    if let Some(bytes) = kind.answer_bytes {
        builder = builder.header("x-echo-bytes", bytes);
    }
    if settings.experiment.track_runs && arrival.measured {
        builder = builder.header("x-request-id", arrival.number);
    }
    if kind.nested > 0 {
        builder = builder.header("x-nested", u64::from(kind.nested));
    }
    if let Some(ticket) = ticket {
        builder = builder.header("idempotency-key", ticket);
    }
    request(builder, Bytes::from(vec![b'b'; kind.body_bytes]))
}

fn request(builder: http::request::Builder, body: Bytes) -> Request<Full<Bytes>> {
    // A method or path that cannot be parsed was written into the experiment.
    builder
        .body(Full::new(body))
        .unwrap_or_else(|_| Request::new(Full::default()))
}

fn end_of(answer: &Answer) -> End {
    if answer.is_problem {
        let document: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let reason = document["reason"].as_str().unwrap_or("none").to_owned();
        return match document["outcome"].as_str() {
            Some("not-run") => End::Refused(reason),
            _ => End::Unknown(reason),
        };
    }
    if answer.status.is_success() {
        End::Completed
    } else {
        End::Failed
    }
}

/// Shortens an error so that equal ones are counted together.
fn short(error: &str) -> String {
    error.chars().take(60).collect()
}
