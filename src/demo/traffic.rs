//! Callers' traffic: reads, filings with a ticket sent twice, and uploads.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use uuid::Uuid;

use super::caller::{Answer, Call, Caller};
use super::mesh::Mesh;
use super::tally::{Fate, Report, Sample};

/// Pause of a reader between two reads.
const READ_PAUSE: Duration = Duration::from_millis(10);

/// Pause of a clerk between two filings.
const FILE_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two uploads.
const UPLOAD_PAUSE: Duration = Duration::from_millis(100);

/// Length of an upload; longer than what the daemons buffer, so that it is streamed.
const UPLOAD_BYTES: usize = 256 * 1024;

/// Path on which daemons issue tickets.
const TICKETS_PATH: &str = "/.well-known/cornelvalve/tickets";

/// Running callers.
#[derive(Debug)]
pub(super) struct Traffic {
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
}

/// What each caller task owns.
#[derive(Clone, Debug)]
struct Line {
    addr: SocketAddr,
    reports: mpsc::Sender<Report>,
    stopped: watch::Receiver<bool>,
}

impl Line {
    /// Waits until the next request is due; returns `false` when no more are to be sent.
    async fn pause(&mut self, pause: Duration) -> bool {
        tokio::time::timeout(pause, self.stopped.wait_for(|stop| *stop))
            .await
            .is_err()
    }

    async fn report(&self, report: Report) {
        // The tally outlives the callers.
        let _ = self.reports.send(report).await;
    }
}

impl Traffic {
    /// Starts callers at daemons of all failure domains.
    pub(super) fn start(mesh: &Mesh, reports: mpsc::Sender<Report>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let mut callers = JoinSet::new();
        let line = |addr| Line {
            addr,
            reports: reports.clone(),
            stopped: stopped.clone(),
        };
        // Two daemons a failure domain: one entry for reads, the other for the rest.
        for pair in mesh.vms.chunks(2) {
            let [first, second] = pair else { continue };
            callers.spawn(read(line(first.callers)));
            callers.spawn(file(line(second.callers)));
            callers.spawn(upload(line(second.callers)));
            if let Some(upstream) = &first.upstream {
                callers.spawn(read_directly(line(upstream.addr())));
            }
        }
        Self { stop, callers }
    }

    /// Stops the callers after their running requests.
    pub(super) async fn stop(mut self) {
        self.stop.send_replace(true);
        while self.callers.join_next().await.is_some() {}
    }
}

async fn read(mut line: Line) {
    let mut caller = Caller::new(line.addr);
    while line.pause(READ_PAUSE).await {
        let call = estimate();
        let (fate, _, latency) = send(&mut caller, &call).await;
        let latency = latency.filter(|_| fate == Fate::Completed);
        line.report(through("estimateur", call, fate, latency))
            .await;
    }
}

/// Sends the same reads to an upstream without a daemon, for comparison.
///
/// It ends with the upstream, and is not counted in the report.
async fn read_directly(mut line: Line) {
    let mut caller = Caller::new(line.addr);
    while line.pause(READ_PAUSE).await {
        let mut call = estimate();
        call.id = None;
        match caller.send(&call).await {
            Ok((_, latency)) => line.report(Report::Direct(latency)).await,
            Err(_) => return,
        }
    }
}

fn estimate() -> Call {
    Call {
        method: Method::GET,
        host: "estimateur.test",
        path: "/estimate",
        id: Some(Uuid::new_v4().to_string()),
        key: None,
        body: Bytes::new(),
    }
}

/// Files remittances, each twice with the same ticket.
async fn file(mut line: Line) {
    let mut first = Caller::new(line.addr);
    let mut second = Caller::new(line.addr);
    while line.pause(FILE_PAUSE).await {
        let Some(ticket) = ticket(&mut first).await else {
            continue;
        };
        let id = Uuid::new_v4().to_string();
        let call = Call {
            method: Method::POST,
            host: "remise.test",
            path: "/file",
            body: Bytes::from(format!("remittance {id}")),
            id: Some(id),
            key: Some(ticket),
        };
        let both = tokio::join!(send(&mut first, &call), send(&mut second, &call));
        for (fate, _, _) in [both.0, both.1] {
            line.report(through("remise", call.clone(), fate, None))
                .await;
        }
    }
}

async fn ticket(caller: &mut Caller) -> Option<String> {
    let call = Call {
        method: Method::POST,
        host: "remise.test",
        path: TICKETS_PATH,
        id: None,
        key: None,
        body: Bytes::from_static(br#"{"path":"/file"}"#),
    };
    let (answer, _) = caller.send(&call).await.ok()?;
    let document: Value = serde_json::from_slice(&answer.body).ok()?;
    document["tickets"][0].as_str().map(str::to_owned)
}

async fn upload(mut line: Line) {
    let mut caller = Caller::new(line.addr);
    while line.pause(UPLOAD_PAUSE).await {
        let id = Uuid::new_v4().to_string();
        let body: Vec<u8> = id.bytes().cycle().take(UPLOAD_BYTES).collect();
        let call = Call {
            method: Method::POST,
            host: "flotte.test",
            path: "/upload",
            id: Some(id),
            key: None,
            body: body.into(),
        };
        let (fate, _, _) = send(&mut caller, &call).await;
        line.report(through("flotte", call, fate, None)).await;
    }
}

fn through(service: &'static str, call: Call, fate: Fate, latency: Option<Duration>) -> Report {
    Report::Through(Sample {
        service,
        id: call.id.unwrap_or_default(),
        fate,
        latency,
    })
}

async fn send(caller: &mut Caller, call: &Call) -> (Fate, Option<Answer>, Option<Duration>) {
    match caller.send(call).await {
        Ok((answer, latency)) => (fate(call, &answer), Some(answer), Some(latency)),
        Err(e) => (Fate::Unknown(e.to_string()), None, None),
    }
}

/// Judges an answer; upstream stand-ins echo the body of the request.
fn fate(call: &Call, answer: &Answer) -> Fate {
    if answer.status.is_success() && answer.body == call.body {
        return Fate::Completed;
    }
    let document: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = document["reason"].as_str().unwrap_or("none").to_owned();
    match document["outcome"].as_str() {
        Some("not-run") => Fate::NotRun(reason),
        Some("unknown") => Fate::Unknown(reason),
        _ => Fate::Wrong,
    }
}
