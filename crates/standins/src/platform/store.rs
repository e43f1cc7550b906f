//! The platform's store: keyed topics with one partition.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use cornelvalve_http1::{BoxFuture, Handler, OutgoingResponse, Request};
use data_encoding::BASE64;
use http::StatusCode;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::Server;

/// How the store behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers.
    Serving,
    /// Takes calls and never answers.
    Silent,
    /// Refuses all calls with this status.
    Refusing(u16),
}

enum Message {
    Call {
        request: Request,
        reply: oneshot::Sender<OutgoingResponse>,
    },
    Put {
        key: String,
        value: Bytes,
    },
    SetMode(StoreMode),
    Compact,
    Calls(oneshot::Sender<u64>),
}

/// Running store; it ends when the handle is dropped.
#[derive(Debug)]
pub struct PlatformStoreHandle {
    server: Server,
    sender: mpsc::UnboundedSender<Message>,
}

impl PlatformStoreHandle {
    /// Starts a store on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn start() -> std::io::Result<Self> {
        let (sender, inbox) = mpsc::unbounded_channel();
        tokio::spawn(own(inbox));
        let handler = Arc::new(Calls(sender.clone()));
        let server = Server::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await?;
        Ok(Self { server, sender })
    }

    /// Returns the address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Writes a record as the operator; an empty value drops the key.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let (key, value) = (key.to_owned(), value.into());
        self.tell(Message::Put { key, value });
    }

    /// Writes a desired state as the operator.
    pub fn put_desired_state(&self, desired: &serde_json::Value) {
        self.put("config", desired.to_string());
    }

    /// Takes a failure domain out of service, or returns it.
    pub fn set_domain_out(&self, domain: &str, out: bool) {
        self.put(&format!("evacuate/{domain}"), if out { "{}" } else { "" });
    }

    /// Changes how the store behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        self.tell(Message::SetMode(mode));
    }

    /// Forgets all records but the newest of each key.
    pub fn compact(&self) {
        self.tell(Message::Compact);
    }

    /// Returns the number of calls so far.
    pub async fn call_count(&self) -> u64 {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Calls(reply));
        answer.await.unwrap_or_default()
    }

    fn tell(&self, message: Message) {
        // The owner ends only with the runtime.
        let _ = self.sender.send(message);
    }
}

struct Calls(mpsc::UnboundedSender<Message>);

impl Handler for Calls {
    fn handle(&self, request: Request) -> BoxFuture<'static, OutgoingResponse> {
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(Message::Call { request, reply });
        Box::pin(async move {
            let answer = match sent {
                Ok(()) => answer.await.ok(),
                Err(_) => None,
            };
            match answer {
                Some(answer) => answer,
                None => std::future::pending().await,
            }
        })
    }
}

#[derive(Debug, Default)]
struct Topic {
    /// Records that are still kept, the first with this offset.
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
}

impl Topic {
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

fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..=length)?;
    let key = String::from_utf8(key.to_vec()).ok()?;
    Some((key, record.slice(1 + length..)))
}

struct Reader {
    topic: String,
    from: u64,
    until: Instant,
    reply: oneshot::Sender<OutgoingResponse>,
}

struct Store {
    mode: StoreMode,
    topics: BTreeMap<String, Topic>,
    readers: Vec<Reader>,
    /// Replies that a silent store holds back.
    silenced: Vec<oneshot::Sender<OutgoingResponse>>,
    calls: u64,
}

/// Owns the topics and the waiting readers.
async fn own(mut inbox: mpsc::UnboundedReceiver<Message>) {
    let mut store = Store {
        mode: StoreMode::Serving,
        topics: BTreeMap::new(),
        readers: Vec::new(),
        silenced: Vec::new(),
        calls: 0,
    };
    loop {
        let due = store.readers.iter().map(|r| r.until).min();
        let due = due.unwrap_or_else(|| Instant::now() + Duration::from_secs(60));
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => store.handle(message),
                None => return,
            },
            () = sleep_until(due) => {}
        }
        store.answer_readers();
    }
}

impl Store {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Call { request, reply } => {
                self.calls += 1;
                match self.mode {
                    StoreMode::Serving => self.call(&request, reply),
                    StoreMode::Silent => self.silenced.push(reply),
                    StoreMode::Refusing(status) => {
                        let status = StatusCode::from_u16(status);
                        answer(reply, status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE), "");
                    }
                }
            }
            Message::Put { key, value } => {
                let mut record = BytesMut::new();
                record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
                record.put_slice(key.as_bytes());
                record.put_slice(&value);
                self.topic("keyed.op").append(record.freeze());
            }
            Message::SetMode(mode) => self.mode = mode,
            Message::Compact => {
                for topic in self.topics.values_mut() {
                    topic.first = topic.end();
                    topic.records.clear();
                }
            }
            Message::Calls(reply) => {
                // The asker may have gone.
                let _ = reply.send(self.calls);
            }
        }
    }

    fn topic(&mut self, name: &str) -> &mut Topic {
        self.topics.entry(name.to_owned()).or_default()
    }

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
            "/v1/log-append" if topic == "keyed.op" => answer(reply, StatusCode::FORBIDDEN, ""),
            "/v1/log-append" => self.append(&topic, &request.body, reply),
            "/v1/log-newest" => self.newest(&topic, reply),
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or_default());
                self.readers.push(Reader {
                    topic,
                    from: number("from").unwrap_or_default(),
                    until: Instant::now() + wait,
                    reply,
                });
            }
            _ => answer(reply, StatusCode::NOT_FOUND, ""),
        }
    }

    fn append(&mut self, name: &str, body: &Bytes, reply: oneshot::Sender<OutgoingResponse>) {
        let topic = self.topic(name);
        let offset = topic.end();
        let mut rest = body.clone();
        while let Some(length) = rest.first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if rest.len() < 4 + length {
                return answer(reply, StatusCode::BAD_REQUEST, "");
            }
            topic.append(rest.slice(4..4 + length));
            rest = rest.slice(4 + length..);
        }
        let body = json!({ "offset": offset, "end": topic.end() });
        answer(reply, StatusCode::OK, &body.to_string());
    }

    fn newest(&mut self, name: &str, reply: oneshot::Sender<OutgoingResponse>) {
        let topic = self.topic(name);
        let items = topic.newest.iter().map(|(key, (offset, value))| {
            json!({ "key": key, "value": BASE64.encode(value), "offset": offset })
        });
        let items: Vec<_> = items.collect();
        let body = json!({ "items": items, "hasMore": false, "end": topic.end() });
        answer(reply, StatusCode::OK, &body.to_string());
    }

    fn answer_readers(&mut self) {
        if self.mode != StoreMode::Serving {
            return;
        }
        let now = Instant::now();
        for reader in std::mem::take(&mut self.readers) {
            let topic = self.topics.entry(reader.topic.clone()).or_default();
            if reader.from < topic.first {
                let body = json!({ "first": topic.first });
                answer(reader.reply, StatusCode::GONE, &body.to_string());
            } else if reader.from < topic.end() || reader.until <= now {
                send(reader.reply, StatusCode::OK, records(topic, reader.from));
            } else {
                self.readers.push(reader);
            }
        }
    }
}

fn records(topic: &Topic, from: u64) -> Bytes {
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

fn answer(reply: oneshot::Sender<OutgoingResponse>, status: StatusCode, body: &str) {
    send(reply, status, Bytes::copy_from_slice(body.as_bytes()));
}

fn send(reply: oneshot::Sender<OutgoingResponse>, status: StatusCode, body: Bytes) {
    // The caller may have closed its connection.
    let _ = reply.send(OutgoingResponse {
        body,
        ..OutgoingResponse::empty(status)
    });
}
