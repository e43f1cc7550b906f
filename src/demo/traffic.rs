//! Callers of the demo, which send three kinds of requests:
//!
//! - Reads of the service `estimateur` are idempotent: none may be lost.
//! - Filings, requests to the service `remise`, must run at most once. Each is sent twice with the
//!   same ticket.
//! - Uploads to the service `flotte` must run at most once, and only in their home region.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use uuid::Uuid;

use super::caller::{Caller, CompleteResponse, RequestSpec};
use super::mesh::Mesh;
use super::stats::{RequestOutcome, RequestResult, StatsMessage};

/// Pause between two reads of a caller.
const READ_PAUSE: Duration = Duration::from_millis(10);

/// Pause between two filings of a caller.
const FILING_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two uploads of a caller.
const UPLOAD_PAUSE: Duration = Duration::from_millis(100);

/// Length of an upload, in bytes; longer than the default of `limits.body_buffer_bytes`, so that
/// daemons stream it.
const UPLOAD_BYTES: usize = 256 * 1024;

/// Path on which daemons issue tickets.
const TICKETS_PATH: &str = "/.well-known/cornelvalve/tickets";

/// Handle of the running callers.
#[derive(Debug)]
pub(super) struct Traffic {
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
}

/// Data that a caller task owns.
#[derive(Clone, Debug)]
struct CallerContext {
    addr: SocketAddr,
    results: mpsc::Sender<StatsMessage>,
    stopped: watch::Receiver<bool>,
}

impl CallerContext {
    /// Waits before the next request; returns `false` if the callers have been stopped.
    async fn pause(&mut self, pause: Duration) -> bool {
        tokio::time::timeout(pause, self.stopped.wait_for(|stop| *stop))
            .await
            .is_err()
    }

    /// Sends a result to the stats task.
    async fn record(&self, message: StatsMessage) {
        // The stats task runs until all senders are dropped, so this does not fail.
        let _ = self.results.send(message).await;
    }
}

impl Traffic {
    /// Starts callers at daemons of all failure domains.
    pub(super) fn start(mesh: &Mesh, results: mpsc::Sender<StatsMessage>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut callers = JoinSet::new();
        let context = |addr| CallerContext {
            addr,
            results: results.clone(),
            stopped: stopped.clone(),
        };
        // Each failure domain has two daemons: one gets the reads, the other all other requests.
        for pair in mesh.vms.chunks(2) {
            let [first, second] = pair else { continue };
            callers.spawn(send_reads(context(first.caller_addr)));
            callers.spawn(send_filings(context(second.caller_addr)));
            callers.spawn(send_uploads(context(second.caller_addr)));
            if let Some(upstream) = &first.upstream {
                callers.spawn(send_direct_reads(context(upstream.addr())));
            }
        }
        Self { stop, callers }
    }

    /// Stops the callers when their running requests have ended.
    pub(super) async fn stop(mut self) {
        self.stop.send_replace(true);
        while self.callers.join_next().await.is_some() {}
    }
}

/// Sends reads through a daemon.
async fn send_reads(mut context: CallerContext) {
    let mut caller = Caller::new(context.addr);
    while context.pause(READ_PAUSE).await {
        let spec = read_request();
        let (outcome, _, latency) = send(&mut caller, &spec).await;
        let latency = latency.filter(|_| outcome == RequestOutcome::Completed);
        context
            .record(proxied_message("estimateur", spec, outcome, latency))
            .await;
    }
}

/// Sends the same reads to an upstream without a daemon, for comparison.
///
/// Ends when the upstream does. These requests are not in the table of the report.
async fn send_direct_reads(mut context: CallerContext) {
    let mut caller = Caller::new(context.addr);
    while context.pause(READ_PAUSE).await {
        let mut spec = read_request();
        spec.id = None;
        match caller.send(&spec).await {
            Ok((_, latency)) => context.record(StatsMessage::Direct(latency)).await,
            Err(_) => return,
        }
    }
}

/// Returns a read with an id of its own.
fn read_request() -> RequestSpec {
    RequestSpec {
        method: Method::GET,
        host: "estimateur.test",
        path: "/estimate",
        id: Some(Uuid::new_v4().to_string()),
        ticket: None,
        body: Bytes::new(),
    }
}

/// Sends filings, each of them twice at the same time with the same ticket.
async fn send_filings(mut context: CallerContext) {
    let mut first = Caller::new(context.addr);
    let mut second = Caller::new(context.addr);
    while context.pause(FILING_PAUSE).await {
        let Some(ticket) = request_ticket(&mut first).await else {
            continue;
        };
        let id = Uuid::new_v4().to_string();
        let spec = RequestSpec {
            method: Method::POST,
            host: "remise.test",
            path: "/file",
            body: Bytes::from(format!("remittance {id}")),
            id: Some(id),
            ticket: Some(ticket),
        };
        let both = tokio::join!(send(&mut first, &spec), send(&mut second, &spec));
        for (outcome, _, _) in [both.0, both.1] {
            context
                .record(proxied_message("remise", spec.clone(), outcome, None))
                .await;
        }
    }
}

/// Requests a ticket for a filing.
async fn request_ticket(caller: &mut Caller) -> Option<String> {
    let spec = RequestSpec {
        method: Method::POST,
        host: "remise.test",
        path: TICKETS_PATH,
        id: None,
        ticket: None,
        body: Bytes::from_static(br#"{"path":"/file"}"#),
    };
    let (response, _) = caller.send(&spec).await.ok()?;
    let document: Value = serde_json::from_slice(&response.body).ok()?;
    document["tickets"][0].as_str().map(str::to_owned)
}

/// Sends uploads, each with a body of its own.
async fn send_uploads(mut context: CallerContext) {
    let mut caller = Caller::new(context.addr);
    while context.pause(UPLOAD_PAUSE).await {
        let id = Uuid::new_v4().to_string();
        let body: Vec<u8> = id.bytes().cycle().take(UPLOAD_BYTES).collect();
        let spec = RequestSpec {
            method: Method::POST,
            host: "flotte.test",
            path: "/upload",
            id: Some(id),
            ticket: None,
            body: body.into(),
        };
        let (outcome, _, _) = send(&mut caller, &spec).await;
        context
            .record(proxied_message("flotte", spec, outcome, None))
            .await;
    }
}

/// Returns the message for a request sent through the daemons.
fn proxied_message(
    service: &'static str,
    spec: RequestSpec,
    outcome: RequestOutcome,
    latency: Option<Duration>,
) -> StatsMessage {
    StatsMessage::Proxied(RequestResult {
        service,
        id: spec.id.unwrap_or_default(),
        outcome,
        latency,
    })
}

/// Sends a request; returns its outcome and, if a complete response arrived, the response and the
/// latency.
async fn send(
    caller: &mut Caller,
    spec: &RequestSpec,
) -> (RequestOutcome, Option<CompleteResponse>, Option<Duration>) {
    match caller.send(spec).await {
        Ok((response, latency)) => (
            classify_response(spec, &response),
            Some(response),
            Some(latency),
        ),
        Err(e) => (RequestOutcome::Unknown(e.to_string()), None, None),
    }
}

/// Returns the outcome that a response shows; upstream stand-ins echo the body of the request.
fn classify_response(spec: &RequestSpec, response: &CompleteResponse) -> RequestOutcome {
    if response.status.is_success() && response.body == spec.body {
        return RequestOutcome::Completed;
    }
    let document: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let reason = document["reason"].as_str().unwrap_or("none").to_owned();
    match document["outcome"].as_str() {
        Some("not-run") => RequestOutcome::NotRun(reason),
        Some("unknown") => RequestOutcome::Unknown(reason),
        _ => RequestOutcome::WrongResponse,
    }
}
