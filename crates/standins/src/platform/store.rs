//! Stand-in for the platform's store, which keeps topics (of one partition each) with keyed
//! records.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request};
use data_encoding::BASE64;
use http::StatusCode;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::Server;

/// Topic that only the operator writes, with [`PlatformStoreHandle::put`].
///
/// Its key `config` holds the desired state. A key `evacuate/{domain}` exists while that failure
/// domain is out of service.
const OPERATOR_TOPIC: &str = "keyed.op";

/// Response header that names the era, see [`PlatformStoreHandle::restore`].
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Maximum number of records in one page of the newest records.
const MAX_PAGE_ITEMS: usize = 500;

/// What a restored store does with the reads that wait for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingReads {
    /// It answers them in the new era.
    Answer,
    /// It never answers them.
    Forget,
}

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// Responds normally.
    Serving,
    /// Accepts calls and never responds.
    Unresponsive,
    /// Responds to all calls with this error status.
    Refusing(u16),
}

/// Message to the owner task.
enum Message {
    /// Call to the store's HTTP interface.
    Call {
        request: Request,
        reply: oneshot::Sender<OutgoingResponse>,
    },
    /// Write by the operator to the topic that HTTP calls cannot write.
    Put {
        key: String,
        value: Bytes,
    },
    SetMode(StoreMode),
    /// Evicts the history of all topics; only the newest value of each key stays readable.
    Compact,
    /// Makes the copy of all topics that [`Message::Restore`] returns to.
    Copy,
    /// Returns to the latest copy and starts a new era.
    Restore(WaitingReads),
    /// Sets the value of the era header; none if `None`.
    SetEraHeader(Option<HeaderValue>),
    CallCount(oneshot::Sender<u64>),
    OperatorBytes(oneshot::Sender<u64>),
}

/// Handle of a running store; dropping it ends the store.
#[derive(Debug)]
pub struct PlatformStoreHandle {
    server: Server,
    sender: mpsc::UnboundedSender<Message>,
}

impl PlatformStoreHandle {
    /// Starts a store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn start() -> std::io::Result<Self> {
        let (sender, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run_owner(inbox));
        let handler = Arc::new(CallHandler(sender.clone()));
        let server = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await?;
        Ok(Self { server, sender })
    }

    /// Returns the address on which the store accepts calls.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Writes a record as the operator; an empty value removes the key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let (key, value) = (key.to_owned(), value.into());
        self.send(Message::Put { key, value });
    }

    /// Writes a desired state as the operator.
    pub fn put_desired_state(&self, desired: &serde_json::Value) {
        self.put("config", desired.to_string());
    }

    /// Takes a failure domain out of service, or returns it to service, as the operator.
    pub fn set_domain_out(&self, domain: &str, out: bool) {
        self.put(&format!("evacuate/{domain}"), if out { "{}" } else { "" });
    }

    /// Changes how the store responds to calls.
    pub fn set_mode(&self, mode: StoreMode) {
        self.send(Message::SetMode(mode));
    }

    /// Evicts the history of all topics; only the newest value of each key stays readable.
    pub fn compact(&self) {
        self.send(Message::Compact);
    }

    /// Copies all topics, for [`PlatformStoreHandle::restore`].
    pub fn copy(&self) {
        self.send(Message::Copy);
    }

    /// Returns to the latest copy; without one, the store becomes empty. What was written since is
    /// lost, its offsets are given out again, and the era rises by one.
    pub fn restore(&self, waiting: WaitingReads) {
        self.send(Message::Restore(waiting));
    }

    /// Sets the value of the era header in all responses; `None` leaves the header out.
    pub fn set_era_header(&self, value: Option<HeaderValue>) {
        self.send(Message::SetEraHeader(value));
    }

    /// Returns the number of calls that the store has received.
    pub async fn call_count(&self) -> u64 {
        let (sender, reply) = oneshot::channel();
        self.send(Message::CallCount(sender));
        reply.await.unwrap_or_default()
    }

    /// Returns the number of bytes of the operator's topic that the store has sent.
    pub async fn operator_bytes(&self) -> u64 {
        let (sender, reply) = oneshot::channel();
        self.send(Message::OperatorBytes(sender));
        reply.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        // The owner runs for as long as this handle exists, unless the runtime shuts down.
        let _ = self.sender.send(message);
    }
}

/// HTTP handler that passes each call to the owner; never responds if the owner drops the reply, as
/// a store that has crashed would.
struct CallHandler(mpsc::UnboundedSender<Message>);

impl Handler for CallHandler {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let (reply, response) = oneshot::channel();
        let sent = self.0.send(Message::Call { request, reply });
        Box::pin(async move {
            let response = match sent {
                Ok(()) => response.await.ok(),
                Err(_) => None,
            };
            match response {
                Some(response) => response,
                None => std::future::pending().await,
            }
        })
    }
}

/// Topic with its retained records and its compacted view.
#[derive(Clone, Debug, Default)]
struct Topic {
    /// Offset of the first retained record.
    first: u64,
    records: Vec<Bytes>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (u64, Bytes)>,
}

impl Topic {
    /// Returns the offset that the next record gets.
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) {
        let offset = self.end();
        if let Some((key, value)) = split_key(&record) {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
    }
}

/// Splits a record into its key, which follows a byte with its length, and its value.
///
/// Returns `None` if the record is malformed.
fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..=length)?;
    let key = String::from_utf8(key.to_vec()).ok()?;
    Some((key, record.slice(1 + length..)))
}

/// Read that waits for records.
struct PendingRead {
    topic: String,
    /// Offset of the first record to return.
    from: u64,
    /// Time at which the read gets a response even without records.
    deadline: Instant,
    reply: oneshot::Sender<OutgoingResponse>,
}

/// State of the owner task.
struct Store {
    mode: StoreMode,
    /// Number of the store's restores plus one.
    era: u64,
    /// Value of the era header.
    era_header: Option<HeaderValue>,
    topics: BTreeMap<String, Topic>,
    /// Copy that a restore returns to.
    copy: BTreeMap<String, Topic>,
    pending_reads: Vec<PendingRead>,
    /// Calls that arrived while the store was unresponsive; kept so that their connections stay
    /// open.
    unanswered: Vec<oneshot::Sender<OutgoingResponse>>,
    call_count: u64,
    /// Number of bytes of the operator's topic that were sent.
    operator_bytes: u64,
}

/// Runs the owner of the topics and the pending reads until all senders of its mailbox are dropped.
async fn run_owner(mut inbox: mpsc::UnboundedReceiver<Message>) {
    let mut store = Store {
        mode: StoreMode::Serving,
        era: 1,
        era_header: Some(HeaderValue::from(1)),
        topics: BTreeMap::new(),
        copy: BTreeMap::new(),
        pending_reads: Vec::new(),
        unanswered: Vec::new(),
        call_count: 0,
        operator_bytes: 0,
    };
    loop {
        let deadline = store.pending_reads.iter().map(|r| r.deadline).min();
        // Without a pending read the wake-up has no effect, so any long sleep does.
        let deadline = deadline.unwrap_or_else(|| Instant::now() + Duration::from_secs(60));
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => store.handle(message),
                None => return,
            },
            () = sleep_until(deadline) => {}
        }
        store.respond_to_pending_reads();
    }
}

impl Store {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Call { request, reply } => {
                self.call_count += 1;
                match self.mode {
                    StoreMode::Serving => self.call(&request, reply),
                    StoreMode::Unresponsive => self.unanswered.push(reply),
                    StoreMode::Refusing(status) => {
                        let status = StatusCode::from_u16(status);
                        self.respond(reply, status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE), "");
                    }
                }
            }
            Message::Put { key, value } => {
                let mut record = BytesMut::new();
                // Keys are shorter than 256 bytes, so their length fits.
                record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
                record.put_slice(key.as_bytes());
                record.put_slice(&value);
                self.topic(OPERATOR_TOPIC).append(record.freeze());
            }
            Message::SetMode(mode) => self.mode = mode,
            Message::Compact => {
                for topic in self.topics.values_mut() {
                    topic.first = topic.end();
                    topic.records.clear();
                }
            }
            Message::Copy => self.copy = self.topics.clone(),
            Message::Restore(waiting) => self.restore(waiting),
            Message::SetEraHeader(value) => self.era_header = value,
            Message::CallCount(reply) => {
                // Fails only if the future of the requester was dropped.
                let _ = reply.send(self.call_count);
            }
            Message::OperatorBytes(reply) => {
                let _ = reply.send(self.operator_bytes);
            }
        }
    }

    /// Returns to the copy in a new era.
    fn restore(&mut self, waiting: WaitingReads) {
        self.topics = self.copy.clone();
        self.era += 1;
        self.era_header = Some(HeaderValue::from(self.era));
        if waiting == WaitingReads::Forget {
            let reads = self.pending_reads.drain(..);
            self.unanswered.extend(reads.map(|read| read.reply));
        }
    }

    /// Returns a topic, which is created if it does not exist.
    fn topic(&mut self, name: &str) -> &mut Topic {
        self.topics.entry(name.to_owned()).or_default()
    }

    /// Handles a call to the HTTP interface.
    fn call(&mut self, request: &Request, reply: oneshot::Sender<OutgoingResponse>) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|v| v.parse().ok());
        let topic = parameter("topic").unwrap_or_default();
        match path {
            "/v1/log-append" if topic == OPERATOR_TOPIC => {
                self.respond(reply, StatusCode::FORBIDDEN, "");
            }
            "/v1/log-append" => self.append(&topic, &request.body.to_bytes(), reply),
            "/v1/log-newest" => self.newest(&topic, parameter("after").as_deref(), reply),
            "/v1/log-read" => {
                let max_wait = Duration::from_millis(number("waitMs").unwrap_or_default());
                self.pending_reads.push(PendingRead {
                    topic,
                    from: number("from").unwrap_or_default(),
                    deadline: Instant::now() + max_wait,
                    reply,
                });
            }
            _ => self.respond(reply, StatusCode::NOT_FOUND, ""),
        }
    }

    /// Appends the records of a body, each of which follows its length in four bytes.
    fn append(&mut self, name: &str, body: &Bytes, reply: oneshot::Sender<OutgoingResponse>) {
        let topic = self.topic(name);
        let offset = topic.end();
        let mut rest = body.clone();
        while let Some(length) = rest.first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if rest.len() < 4 + length {
                return self.respond(reply, StatusCode::BAD_REQUEST, "");
            }
            topic.append(rest.slice(4..4 + length));
            rest = rest.slice(4 + length..);
        }
        let body = json!({ "offset": offset, "end": topic.end() });
        self.respond(reply, StatusCode::OK, &body.to_string());
    }

    /// Responds with the newest record of each key of a topic, from the one that follows the key
    /// `after` on, up to [`MAX_PAGE_ITEMS`].
    fn newest(
        &mut self,
        name: &str,
        after: Option<&str>,
        reply: oneshot::Sender<OutgoingResponse>,
    ) {
        let topic = self.topic(name);
        let rest = topic
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|a| key.as_str() > a));
        let rest: Vec<_> = rest.collect();
        let items = rest.iter().take(MAX_PAGE_ITEMS).map(|(key, (offset, value))| {
            json!({ "key": key, "value": BASE64.encode(value), "offset": offset })
        });
        let items: Vec<_> = items.collect();
        let has_more = rest.len() > items.len();
        let body = json!({ "items": items, "hasMore": has_more, "end": topic.end() }).to_string();
        if name == OPERATOR_TOPIC {
            self.operator_bytes += body.len() as u64;
        }
        self.respond(reply, StatusCode::OK, &body);
    }

    /// Responds to the pending reads that have records to return or whose deadline has passed.
    ///
    /// Reads from an offset that is no longer retained, or not given out yet, get status 410. Responds to none while the
    /// store is not in the mode [`StoreMode::Serving`].
    fn respond_to_pending_reads(&mut self) {
        if self.mode != StoreMode::Serving {
            return;
        }
        let now = Instant::now();
        for read in std::mem::take(&mut self.pending_reads) {
            let topic = self.topics.entry(read.topic.clone()).or_default();
            if read.from < topic.first || read.from > topic.end() {
                let body = json!({ "first": topic.first }).to_string();
                self.respond(read.reply, StatusCode::GONE, &body);
            } else if read.from < topic.end() || read.deadline <= now {
                let body = encode_records(topic, read.from);
                if read.topic == OPERATOR_TOPIC {
                    self.operator_bytes += body.len() as u64;
                }
                self.respond_with_bytes(read.reply, StatusCode::OK, body);
            } else {
                self.pending_reads.push(read);
            }
        }
    }

    fn respond(&self, reply: oneshot::Sender<OutgoingResponse>, status: StatusCode, body: &str) {
        self.respond_with_bytes(reply, status, Bytes::copy_from_slice(body.as_bytes()));
    }

    fn respond_with_bytes(
        &self,
        reply: oneshot::Sender<OutgoingResponse>,
        status: StatusCode,
        body: Bytes,
    ) {
        let era = self.era_header.iter().cloned();
        let headers: HeaderMap = era.map(|era| (ERA_HEADER, era)).collect();
        // Fails only if the caller has closed its connection.
        let _ = reply.send(OutgoingResponse {
            headers,
            body: body.into(),
            ..OutgoingResponse::empty(status)
        });
    }
}

/// Returns the body of the response to a read: the end and first offsets of the topic and its
/// records from the offset `from` on, each after its length.
fn encode_records(topic: &Topic, from: u64) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(topic.end());
    body.put_u64(topic.first);
    let skipped = usize::try_from(from - topic.first).unwrap_or(usize::MAX);
    for record in topic.records.iter().skip(skipped) {
        body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        body.put_slice(record);
    }
    body.freeze()
}
