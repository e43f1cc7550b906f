//! Stand-in for the platform's store: keyed topics with one partition each, served over HTTP.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, encode, read_message};

/// Topic that only the operator writes.
const OPERATOR_TOPIC: &str = "keyed.op";

/// Pause after an attempt to accept a connection when there was none.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

#[derive(Default)]
struct Topic {
    /// All records without their length.
    records: Vec<Vec<u8>>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) {
        let length = usize::from(record.first().copied().unwrap_or_default());
        if let Some(key) = record.get(1..1 + length) {
            let key = String::from_utf8_lossy(key).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.records.len(), value));
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// Running store.
pub struct Store {
    shared: Arc<Shared>,
    door: Arc<Door>,
}

/// Address at which the store takes calls.
#[derive(Default)]
struct Door {
    closed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Door {
    /// Accepts connections at an address until the door is closed.
    fn open(addr: SocketAddr, shared: &Arc<Shared>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let door = Arc::new(Self::default());
        let (accepting, shared) = (Arc::clone(&door), Arc::clone(shared));
        thread::spawn(move || {
            while !accepting.closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().expect("lock").push(copy);
                }
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(door)
    }

    fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Store {
    /// Starts the store at an address.
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let door = Door::open(addr, &shared)?;
        Ok(Self { shared, door })
    }

    /// Moves the store with all that it holds to another address; the old one then refuses
    /// connections.
    pub fn move_to(&mut self, addr: SocketAddr) -> std::io::Result<()> {
        let door = Door::open(addr, &self.shared)?;
        self.door.close();
        self.door = door;
        Ok(())
    }

    /// Writes a record as the operator; the store's answer is the confirmation.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut topics = self.shared.topics.lock().expect("lock");
        topics
            .entry(OPERATOR_TOPIC.to_owned())
            .or_default()
            .append(record);
        self.shared.changed.notify_all();
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let (status, body) = answer(&request, shared);
        let start = format!("HTTP/1.1 {status} Status");
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        if writer.write_all(&encode(&start, &headers, &body)).is_err() {
            return;
        }
    }
}

fn answer(request: &Message, shared: &Shared) -> (u16, Vec<u8>) {
    let (_, target) = request.request_line();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
    };
    let topic = parameter("topic").unwrap_or_default();
    let number = |name: &str| parameter(name).and_then(|v| v.parse::<u64>().ok());
    match path {
        "/v1/log-append" if topic == OPERATOR_TOPIC => (403, Vec::new()),
        "/v1/log-append" => append(&topic, &request.body, shared),
        "/v1/log-newest" => newest(&topic, parameter("after").as_deref(), shared),
        "/v1/log-read" => {
            let wait = Duration::from_millis(number("waitMs").unwrap_or_default().min(30_000));
            let from = number("from").unwrap_or_default() as usize;
            read(&topic, from, wait, shared)
        }
        _ => (404, Vec::new()),
    }
}

fn append(name: &str, body: &[u8], shared: &Shared) -> (u16, Vec<u8>) {
    let mut topics = shared.topics.lock().expect("lock");
    let topic = topics.entry(name.to_owned()).or_default();
    let offset = topic.records.len();
    let mut rest = body;
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some((record, after)) = after.split_at_checked(length) else {
            return (400, Vec::new());
        };
        topic.append(record.to_vec());
        rest = after;
    }
    let end = topic.records.len();
    shared.changed.notify_all();
    (
        200,
        format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
    )
}

fn newest(name: &str, after: Option<&str>, shared: &Shared) -> (u16, Vec<u8>) {
    let mut topics = shared.topics.lock().expect("lock");
    let topic = topics.entry(name.to_owned()).or_default();
    let items = topic.newest.iter();
    let items = items.filter(|(key, _)| after.is_none_or(|a| key.as_str() > a));
    let items: Vec<String> = items
        .map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        })
        .collect();
    let end = topic.records.len();
    let body = format!(
        "{{\"items\":[{}],\"hasMore\":false,\"end\":{end}}}",
        items.join(",")
    );
    (200, body.into_bytes())
}

fn read(name: &str, from: usize, wait: Duration, shared: &Shared) -> (u16, Vec<u8>) {
    let deadline = Instant::now() + wait;
    let mut topics = shared.topics.lock().expect("lock");
    loop {
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len();
        if from > end {
            return (410, b"{\"first\":0}".to_vec());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if from < end || left.is_zero() {
            let mut body = (end as u64).to_be_bytes().to_vec();
            body.extend_from_slice(&0u64.to_be_bytes());
            for record in &topic.records[from..] {
                body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                body.extend_from_slice(record);
            }
            return (200, body);
        }
        topics = shared.changed.wait_timeout(topics, left).expect("lock").0;
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                let digit = (bits >> (18 - 6 * i)) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
