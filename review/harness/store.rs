//! Stand-in of the platform's store: the keyed topics that the daemons use.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, write_response, Message};

/// Records of one topic, oldest first: key and value; an empty value drops the key.
type Topic = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct State {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// Handle of a running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<State>,
}

impl Store {
    /// Starts the store on a free port of the loopback address.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port for the store");
        let addr = listener.local_addr().expect("address of the store");
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &state));
            }
        });
        Self { addr, state }
    }

    /// Writes a record as the operator.
    pub fn put(&self, key: &str, value: &str) {
        append(&self.state, "keyed.op", key, value.as_bytes().to_vec());
    }

    pub fn put_topic(&self, topic: &str, key: &str, value: &str) {
        append(&self.state, topic, key, value.as_bytes().to_vec());
    }
}

fn append(state: &State, topic: &str, key: &str, value: Vec<u8>) -> (u64, u64) {
    let mut topics = state.topics.lock().expect("topics");
    let records = topics.entry(topic.to_owned()).or_default();
    let offset = records.len() as u64;
    records.push((key.to_owned(), value));
    state.changed.notify_all();
    (offset, offset + 1)
}

fn serve(stream: TcpStream, state: &State) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let (status, body) = handle(&request, state);
        if write_response(&mut writer, status, &[], &body).is_err() {
            return;
        }
    }
}

/// Returns the value of a parameter of the query, or an empty text.
fn parameter<'a>(target: &'a str, name: &str) -> &'a str {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
}

fn handle(request: &Message, state: &State) -> (u16, Vec<u8>) {
    let target = request.target();
    let topic = parameter(target, "topic").to_owned();
    match target.split('?').next().unwrap_or_default() {
        "/v1/log-newest" => (200, newest(state, &topic)),
        "/v1/log-read" => {
            let from = parameter(target, "from").parse().unwrap_or(0);
            let wait = parameter(target, "waitMs").parse().unwrap_or(0);
            read(state, &topic, from, Duration::from_millis(wait))
        }
        "/v1/log-append" => {
            let mut rest = &request.body[..];
            let mut answer = (0, 0);
            while rest.len() > 4 {
                let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                let (record, after) = rest[4..].split_at(length);
                rest = after;
                let (key, value) = record[1..].split_at(usize::from(record[0]));
                let key = String::from_utf8_lossy(key).into_owned();
                answer = append(state, &topic, &key, value.to_vec());
            }
            let body = format!("{{\"offset\":{},\"end\":{}}}", answer.0, answer.1);
            (200, body.into_bytes())
        }
        _ => (404, Vec::new()),
    }
}

fn newest(state: &State, topic: &str) -> Vec<u8> {
    let topics = state.topics.lock().expect("topics");
    let records = topics.get(topic).map_or(&[][..], |r| &r[..]);
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
    let items = items.map(|(key, (offset, value))| {
        let value = base64(value);
        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
    });
    let items = items.collect::<Vec<_>>().join(",");
    let end = records.len();
    format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}").into_bytes()
}

fn read(state: &State, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
    let until = Instant::now() + wait;
    let mut topics = state.topics.lock().expect("topics");
    loop {
        let records = topics.get(topic).map_or(&[][..], |r| &r[..]);
        let left = until.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend_from_slice(&0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from) {
                let length = (1 + key.len() + value.len()) as u32;
                body.extend_from_slice(&length.to_be_bytes());
                body.push(key.len() as u8);
                body.extend_from_slice(key.as_bytes());
                body.extend_from_slice(value);
            }
            return (200, body);
        }
        topics = state.changed.wait_timeout(topics, left).expect("topics").0;
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
