//! Stand-in for a target: runs requests and reports its load and health.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::Server;

/// How a target handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetMode {
    /// Runs them and responds with success.
    Serving,
    /// Runs them and responds with status 500 and its signature.
    Failing,
    /// Rejects them and states in a header that they were not run.
    Shedding,
    /// Runs them and responds without its signature.
    Unsigned,
    /// Runs them and never responds.
    Hanging,
    /// Runs them and responds with success and a body of this many bytes.
    Large(usize),
}

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Identifier of the target's process.
    pub instance: String,
    /// Time that the target takes to run a request.
    pub processing_time: Duration,
    /// Capacity that the target reports, as a number of concurrent requests; not enforced.
    pub slots: u16,
}

/// Request that a target has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Method and request target.
    pub request_line: String,
    /// Attempt identifier, which the caller chose.
    pub attempt_id: String,
    /// Service of the target on the caller's VM, from the header `x-caller-service`.
    pub caller_service: String,
    /// Identifier of the process that the daemon intended to run the request.
    pub expected_instance: String,
    /// Time left until the caller's deadline, in milliseconds; 0 if the request states none.
    pub time_left_ms: u64,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Whether the target ran the request.
    pub ran: bool,
    /// Time at which the target received the request.
    pub received_at: Instant,
}

/// Message to the owner task.
enum Message {
    /// The reply says how to handle the request.
    RequestStarted(ReceivedRequest, oneshot::Sender<TargetMode>),
    RequestFinished,
    SetMode(TargetMode),
    /// Sets the processing time to report, in percent of the normal one; 100 is normal.
    SetSlowdown(u16),
    SetCold(Duration),
    SetLeaving,
    /// Sets the headers that all responses have.
    SetSignals(Signals),
    /// Requests the headers that all responses have.
    Signals(oneshot::Sender<Signals>),
    /// Requests what the health path reports.
    Health(oneshot::Sender<Health>),
    /// Requests the number of running requests and the slowdown in percent.
    Load(oneshot::Sender<(u16, u16)>),
    ReceivedRequests(oneshot::Sender<Vec<ReceivedRequest>>),
}

/// What all responses of a target say about it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Signals {
    /// Requests per second that it accepts, as it writes them; `None` if it names no limit.
    pub limit: Option<String>,
    /// Whether it says that it is leaving.
    pub leaving: bool,
}

/// What the health path reports besides the load.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    /// Whether the target is about to exit.
    leaving: bool,
    /// Time until the target is no longer cold.
    cold_remaining: Duration,
}

/// Handle of a running target; dropping it ends the target.
#[derive(Debug)]
pub struct TargetHandle {
    server: Server,
    sender: mpsc::UnboundedSender<Message>,
}

impl TargetHandle {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(options: TargetOptions) -> std::io::Result<Self> {
        let (sender, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run_owner(inbox));
        let addr = options.addr;
        let handler = Arc::new(RequestHandler {
            options: Arc::new(options),
            sender: sender.clone(),
        });
        let server = Server::start(addr, handler).await?;
        Ok(Self { server, sender })
    }

    /// Returns the address on which the target accepts requests.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Changes how the target handles requests.
    pub fn set_mode(&self, mode: TargetMode) {
        self.send(Message::SetMode(mode));
    }

    /// Sets the slowdown that the target reports: its processing time in percent of the normal one,
    /// so that 100 is normal.
    ///
    /// The processing time itself does not change.
    pub fn set_slowdown(&self, percent: u16) {
        self.send(Message::SetSlowdown(percent));
    }

    /// Makes the target report on its health path that it is cold, until `duration` has passed.
    pub fn set_cold(&self, duration: Duration) {
        self.send(Message::SetCold(duration));
    }

    /// Makes the target report on its health path that it is about to exit. It still runs requests.
    pub fn set_leaving(&self) {
        self.send(Message::SetLeaving);
    }

    /// Sets what all responses say about the target. The target itself rejects nothing.
    pub fn set_signals(&self, signals: Signals) {
        self.send(Message::SetSignals(signals));
    }

    /// Returns the requests that the target has received.
    pub async fn received_requests(&self) -> Vec<ReceivedRequest> {
        let (sender, reply) = oneshot::channel();
        self.send(Message::ReceivedRequests(sender));
        reply.await.unwrap_or_default()
    }

    /// Returns the number of requests that are running.
    pub async fn running(&self) -> u16 {
        let (sender, reply) = oneshot::channel();
        self.send(Message::Load(sender));
        reply.await.unwrap_or_default().0
    }

    fn send(&self, message: Message) {
        // The owner runs for as long as this handle exists, unless the runtime shuts down.
        let _ = self.sender.send(message);
    }
}

/// Runs the owner of the received requests, the load and the mode until all senders of its mailbox
/// are dropped.
async fn run_owner(mut inbox: mpsc::UnboundedReceiver<Message>) {
    let mut received = Vec::new();
    let (mut mode, mut running, mut slowdown) = (TargetMode::Serving, 0_u16, 100_u16);
    let mut cold_until = Instant::now();
    let mut leaving = false;
    let mut signals = Signals::default();
    while let Some(message) = inbox.recv().await {
        match message {
            Message::RequestStarted(mut request, reply) => {
                request.ran = mode != TargetMode::Shedding;
                received.push(request);
                running += 1;
                // Fails only if the caller has disconnected; its guard reports the end all the
                // same.
                let _ = reply.send(mode);
            }
            Message::RequestFinished => running = running.saturating_sub(1),
            Message::SetMode(new_mode) => mode = new_mode,
            Message::SetSlowdown(percent) => slowdown = percent,
            Message::SetCold(duration) => cold_until = Instant::now() + duration,
            Message::SetLeaving => leaving = true,
            Message::SetSignals(new_signals) => signals = new_signals,
            Message::Signals(reply) => {
                let _ = reply.send(signals.clone());
            }
            Message::Health(reply) => {
                let _ = reply.send(Health {
                    leaving,
                    cold_remaining: cold_until.saturating_duration_since(Instant::now()),
                });
            }
            Message::Load(reply) => {
                let _ = reply.send((running, slowdown));
            }
            Message::ReceivedRequests(reply) => {
                let _ = reply.send(received.clone());
            }
        }
    }
}

/// HTTP handler of the target.
struct RequestHandler {
    options: Arc<TargetOptions>,
    sender: mpsc::UnboundedSender<Message>,
}

/// Reports to the owner on drop that a request has finished, also if its caller has disconnected.
struct FinishGuard(mpsc::UnboundedSender<Message>);

impl Drop for FinishGuard {
    fn drop(&mut self) {
        let _ = self.0.send(Message::RequestFinished);
    }
}

impl Handler for RequestHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let (options, sender) = (Arc::clone(&self.options), self.sender.clone());
        Box::pin(async move {
            let mut response = if request.method == Method::GET && &*request.target == "/health" {
                health(&options, &sender).await
            } else {
                run(&options, sender.clone(), &request).await
            };
            set_signals(&mut response.headers, &sender).await;
            response
        })
    }
}

/// Returns the text of a header, or an empty string if it is missing or no text.
fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Sets a header, unless its value is invalid in HTTP.
fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Sets the header that reports the target's load: running and queued requests, slots and slowdown.
async fn set_load_header(
    headers: &mut HeaderMap,
    options: &TargetOptions,
    sender: &mpsc::UnboundedSender<Message>,
) {
    let (reply_sender, reply) = oneshot::channel();
    let _ = sender.send(Message::Load(reply_sender));
    let (running, slowdown) = reply.await.unwrap_or((0, 100));
    let load = format!("{running},0,{},{slowdown}", options.slots);
    set_header(headers, "x-server-load", &load);
}

/// Sets the headers that all responses have.
async fn set_signals(headers: &mut HeaderMap, sender: &mpsc::UnboundedSender<Message>) {
    let (reply_sender, reply) = oneshot::channel();
    let _ = sender.send(Message::Signals(reply_sender));
    let signals = reply.await.unwrap_or_default();
    if let Some(limit) = &signals.limit {
        set_header(headers, "server-limit", limit);
    }
    if signals.leaving {
        set_header(headers, "server-leaving", "1");
    }
}

/// Returns the response to a health check.
async fn health(
    options: &TargetOptions,
    sender: &mpsc::UnboundedSender<Message>,
) -> OutgoingResponse {
    let (reply_sender, reply) = oneshot::channel();
    let _ = sender.send(Message::Health(reply_sender));
    let Health {
        leaving,
        cold_remaining,
    } = reply.await.unwrap_or_default();
    let mut response = OutgoingResponse::empty(if leaving {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    });
    set_header(&mut response.headers, "x-instance-id", &options.instance);
    set_load_header(&mut response.headers, options, sender).await;
    if !cold_remaining.is_zero() {
        set_header(
            &mut response.headers,
            "x-cold-ms",
            &cold_remaining.as_millis().to_string(),
        );
    }
    response
}

/// Handles a request as the target's mode says and returns the response.
async fn run(
    options: &TargetOptions,
    sender: mpsc::UnboundedSender<Message>,
    request: &Request,
) -> OutgoingResponse {
    let headers = &request.headers;
    let expected = header(headers, "x-expected-instance");
    let attempt_id = header(headers, "x-attempt-id");
    if expected != options.instance {
        let mut response = OutgoingResponse::empty(StatusCode::MISDIRECTED_REQUEST);
        set_header(&mut response.headers, "x-instance-id", &options.instance);
        return response;
    }
    let received = ReceivedRequest {
        request_line: format!("{} {}", request.method, request.target),
        attempt_id: attempt_id.clone(),
        caller_service: header(headers, "x-caller-service"),
        expected_instance: expected,
        time_left_ms: header(headers, "x-deadline-ms").parse().unwrap_or_default(),
        body_bytes: request.body.len(),
        ran: true,
        received_at: Instant::now(),
    };
    let (reply_sender, mode) = oneshot::channel();
    let _ = sender.send(Message::RequestStarted(received, reply_sender));
    let _guard = FinishGuard(sender.clone());
    let mode = mode.await.unwrap_or(TargetMode::Serving);
    if mode == TargetMode::Shedding {
        let mut response = OutgoingResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        set_header(&mut response.headers, "x-not-executed", "1");
        set_header(&mut response.headers, "x-attempt-id", &attempt_id);
        return response;
    }
    sleep(options.processing_time).await;
    if mode == TargetMode::Hanging {
        return std::future::pending().await;
    }
    let status = match mode {
        TargetMode::Failing => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut response = OutgoingResponse::empty(status);
    set_header(&mut response.headers, "x-attempt-id", &attempt_id);
    if mode != TargetMode::Unsigned {
        set_header(
            &mut response.headers,
            "x-server-signature",
            &options.instance,
        );
    }
    set_load_header(&mut response.headers, options, &sender).await;
    response.body = match mode {
        TargetMode::Large(bytes) => vec![b'x'; bytes].into(),
        _ => format!("{} ran {attempt_id}", options.instance).into(),
    };
    response
}
