//! A target as the platform describes it: runs requests, tells its load and health.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use super::Server;

/// How a target treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetMode {
    /// Runs them.
    Serving,
    /// Runs them and answers with a failure of its own.
    Failing,
    /// Refuses them and says so.
    Shedding,
    /// Runs them and answers without its signature.
    Unsigned,
    /// Runs them and never answers.
    Hanging,
}

/// Settings of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Identifier of its process.
    pub instance: String,
    /// Time that it takes to run a request.
    pub processing_time: Duration,
    /// Requests that it says to run at once.
    pub slots: u16,
}

/// Request that has reached a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Method and request target.
    pub request_line: String,
    /// Identifier of the caller's attempt.
    pub attempt: String,
    /// Service beside which it began.
    pub caller_service: String,
    /// Process that should run it.
    pub expected_instance: String,
    /// Milliseconds that are left.
    pub time_left_ms: u64,
    /// Size of its body.
    pub body_bytes: usize,
    /// Whether the target ran it.
    pub ran: bool,
    /// Time of its arrival.
    pub received_at: Instant,
}

enum Message {
    Arrived(ReceivedRequest, oneshot::Sender<TargetMode>),
    Left,
    SetMode(TargetMode),
    SetSlowdown(u16),
    SetCold(Duration),
    ColdLeft(oneshot::Sender<Duration>),
    Load(oneshot::Sender<(u16, u16)>),
    Arrivals(oneshot::Sender<Vec<ReceivedRequest>>),
}

/// Running target; it ends when the handle is dropped.
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
    /// Returns the error of the operating system.
    pub async fn start(options: TargetOptions) -> std::io::Result<Self> {
        let (sender, inbox) = mpsc::unbounded_channel();
        tokio::spawn(own(inbox));
        let addr = options.addr;
        let handler = Arc::new(Target {
            options: Arc::new(options),
            sender: sender.clone(),
        });
        let server = Server::start(addr, handler).await?;
        Ok(Self { server, sender })
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Changes how the target treats requests.
    pub fn set_mode(&self, mode: TargetMode) {
        self.tell(Message::SetMode(mode));
    }

    /// Sets how long work takes on its machine, in hundredths of the usual time.
    pub fn set_slowdown(&self, percent: u16) {
        self.tell(Message::SetSlowdown(percent));
    }

    /// Lets the target be cold for a time, as its health path tells.
    pub fn set_cold(&self, cold_for: Duration) {
        self.tell(Message::SetCold(cold_for));
    }

    /// Returns the requests that have reached it.
    pub async fn received_requests(&self) -> Vec<ReceivedRequest> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Arrivals(reply));
        answer.await.unwrap_or_default()
    }

    /// Returns the number of requests that run.
    pub async fn running(&self) -> u16 {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Load(reply));
        answer.await.unwrap_or_default().0
    }

    fn tell(&self, message: Message) {
        // The owner ends only with the runtime.
        let _ = self.sender.send(message);
    }
}

/// Owns what is known of the requests.
async fn own(mut inbox: mpsc::UnboundedReceiver<Message>) {
    let mut arrivals = Vec::new();
    let (mut mode, mut running, mut slowdown) = (TargetMode::Serving, 0_u16, 100_u16);
    let mut cold_until = Instant::now();
    while let Some(message) = inbox.recv().await {
        match message {
            Message::Arrived(mut arrival, reply) => {
                arrival.ran = mode != TargetMode::Shedding;
                arrivals.push(arrival);
                running += 1;
                // A caller that has left is counted as gone by its handler.
                let _ = reply.send(mode);
            }
            Message::Left => running = running.saturating_sub(1),
            Message::SetMode(other) => mode = other,
            Message::SetSlowdown(percent) => slowdown = percent,
            Message::SetCold(cold_for) => cold_until = Instant::now() + cold_for,
            Message::ColdLeft(reply) => {
                let _ = reply.send(cold_until.saturating_duration_since(Instant::now()));
            }
            Message::Load(reply) => {
                let _ = reply.send((running, slowdown));
            }
            Message::Arrivals(reply) => {
                let _ = reply.send(arrivals.clone());
            }
        }
    }
}

struct Target {
    options: Arc<TargetOptions>,
    sender: mpsc::UnboundedSender<Message>,
}

/// Reports the end of a request, also of one whose caller has left.
struct Running(mpsc::UnboundedSender<Message>);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.send(Message::Left);
    }
}

impl Handler for Target {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let (options, sender) = (Arc::clone(&self.options), self.sender.clone());
        Box::pin(async move {
            if request.method == Method::GET && &*request.target == "/health" {
                return health(&options, &sender).await;
            }
            run(&options, sender, &request).await
        })
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

async fn set_load(
    headers: &mut HeaderMap,
    options: &TargetOptions,
    sender: &mpsc::UnboundedSender<Message>,
) {
    let (reply, answer) = oneshot::channel();
    let _ = sender.send(Message::Load(reply));
    let (running, slowdown) = answer.await.unwrap_or((0, 100));
    let load = format!("{running},0,{},{slowdown}", options.slots);
    set(headers, "x-server-load", &load);
}

async fn health(
    options: &TargetOptions,
    sender: &mpsc::UnboundedSender<Message>,
) -> OutgoingResponse {
    let mut reply = OutgoingResponse::empty(StatusCode::OK);
    set(&mut reply.headers, "x-instance-id", &options.instance);
    set_load(&mut reply.headers, options, sender).await;
    let (asked, answer) = oneshot::channel();
    let _ = sender.send(Message::ColdLeft(asked));
    let cold = answer.await.unwrap_or_default();
    if !cold.is_zero() {
        set(
            &mut reply.headers,
            "x-cold-ms",
            &cold.as_millis().to_string(),
        );
    }
    reply
}

async fn run(
    options: &TargetOptions,
    sender: mpsc::UnboundedSender<Message>,
    request: &Request,
) -> OutgoingResponse {
    let headers = &request.headers;
    let expected = header(headers, "x-expected-instance");
    let attempt = header(headers, "x-attempt-id");
    if expected != options.instance {
        let mut reply = OutgoingResponse::empty(StatusCode::MISDIRECTED_REQUEST);
        set(&mut reply.headers, "x-instance-id", &options.instance);
        return reply;
    }
    let arrival = ReceivedRequest {
        request_line: format!("{} {}", request.method, request.target),
        attempt: attempt.clone(),
        caller_service: header(headers, "x-caller-service"),
        expected_instance: expected,
        time_left_ms: header(headers, "x-deadline-ms").parse().unwrap_or_default(),
        body_bytes: request.body.len(),
        ran: true,
        received_at: Instant::now(),
    };
    let (reply, mode) = oneshot::channel();
    let _ = sender.send(Message::Arrived(arrival, reply));
    let _running = Running(sender.clone());
    let mode = mode.await.unwrap_or(TargetMode::Serving);
    if mode == TargetMode::Shedding {
        let mut reply = OutgoingResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        set(&mut reply.headers, "x-not-executed", "1");
        set(&mut reply.headers, "x-attempt-id", &attempt);
        return reply;
    }
    sleep(options.processing_time).await;
    if mode == TargetMode::Hanging {
        return std::future::pending().await;
    }
    let status = match mode {
        TargetMode::Failing => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let mut reply = OutgoingResponse::empty(status);
    set(&mut reply.headers, "x-attempt-id", &attempt);
    if mode != TargetMode::Unsigned {
        set(&mut reply.headers, "x-server-signature", &options.instance);
    }
    set_load(&mut reply.headers, options, &sender).await;
    reply.body = Bytes::from(format!("{} ran {attempt}", options.instance));
    reply
}
