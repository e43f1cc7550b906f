//! Stand-in for a target: checks in with the daemon on its machine, answers its health path and runs
//! requests.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, encode, read_message};
use crate::record::Record;

/// Interval between two check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Time within which a check-in must be confirmed.
const CHECK_IN_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of requests that wait for a slot before further ones are rejected.
const QUEUE: usize = 36;

/// Settings of a target.
#[derive(Clone)]
pub struct TargetOptions {
    pub addr: SocketAddr,
    /// Address for check-ins of the daemon on the same machine.
    pub control: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Time that a request takes.
    pub work: Duration,
}

/// Request that a target began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    /// Path of the request.
    pub path: String,
    /// Value of `X-Caller-Service`.
    pub caller: String,
    /// Identifier and service of the target.
    pub id: String,
    pub service: String,
    /// Seconds since the start of the record.
    pub at: f64,
}

struct Shared {
    options: TargetOptions,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    born: u128,
    sequence: AtomicU64,
    running: AtomicUsize,
    waiting: AtomicUsize,
    leaving: AtomicBool,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// Running target.
pub struct Target(Arc<Shared>);

impl Target {
    /// Starts a target and its check-ins. Requests that it runs are added to `runs`.
    pub fn start(
        options: TargetOptions,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.addr)?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        record.line(&format!(
            "target {} ({}) starts at {}",
            options.id, options.service, options.addr
        ));
        let target = Self(Arc::new(Shared {
            options,
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            born,
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            connections: Mutex::new(Vec::new()),
        }));
        let accepting = Arc::clone(&target.0);
        thread::spawn(move || accept(&listener, &accepting));
        let beating = Arc::clone(&target.0);
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                let leaving = beating.leaving.load(Ordering::SeqCst);
                beating.check_in(if leaving { "draining" } else { "ready" });
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(target)
    }

    /// Leaves as planned: reports that it is draining, serves for `stay` after the confirmation,
    /// deregisters and ends.
    pub fn leave(&self, stay: Duration) {
        let shared = &self.0;
        shared.leaving.store(true, Ordering::SeqCst);
        shared.check_in("draining");
        thread::sleep(stay);
        shared.deregister();
        self.crash();
    }

    /// Ends the target without a word, like a crash: its address then refuses connections.
    pub fn crash(&self) {
        let shared = &self.0;
        shared.ended.store(true, Ordering::SeqCst);
        let connections = std::mem::take(&mut *shared.connections.lock().expect("lock"));
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        shared
            .record
            .line(&format!("target {} ends", shared.options.id));
    }
}

impl Shared {
    /// Sends a check-in; returns whether it was confirmed.
    fn check_in(&self, state: &str) -> bool {
        let options = &self.options;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"coldRemainingS\":0}}}}",
            options.addr, self.born, options.service, options.zone, options.slots
        );
        let start = format!("PUT /v1/instances/{} HTTP/1.1", options.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = encode(&start, &headers, body.as_bytes());
        let answer = Connection::open(options.control, CHECK_IN_TIMEOUT)
            .and_then(|mut c| c.exchange(&request));
        let status = answer.map_or(0, |(a, _)| a.status());
        if sequence == 1 || state != "ready" || status != 200 {
            self.record.line(&format!(
                "check-in {sequence} of {} ({}, {state}): status {status}",
                options.id, options.service
            ));
        }
        status == 200
    }

    /// Sends the `DELETE` with which a target leaves.
    fn deregister(&self) {
        let start = format!("DELETE /v1/instances/{} HTTP/1.1", self.options.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = encode(&start, &headers, body.as_bytes());
        let answer = Connection::open(self.options.control, CHECK_IN_TIMEOUT)
            .and_then(|mut c| c.exchange(&request));
        let status = answer.map_or(0, |(a, _)| a.status());
        self.record
            .line(&format!("DELETE of {}: status {status}", self.options.id));
    }

    fn load(&self) -> String {
        format!(
            "{},{},{},100",
            self.running.load(Ordering::SeqCst),
            self.waiting.load(Ordering::SeqCst),
            self.options.slots
        )
    }

    /// Waits for a slot; returns false if the queue is full.
    fn take_slot(&self) -> bool {
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= QUEUE {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        loop {
            let taken = self
                .running
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |running| {
                    (running < self.options.slots).then_some(running + 1)
                });
            if taken.is_ok() {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return true;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.ended.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    shared.connections.lock().expect("lock").push(copy);
                }
                let shared = Arc::clone(shared);
                thread::spawn(move || serve(stream, &shared));
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
        let (start, headers, body) = answer(&request, shared);
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        if shared.ended.load(Ordering::SeqCst)
            || writer.write_all(&encode(start, &headers, &body)).is_err()
        {
            return;
        }
    }
}

type Answer = (&'static str, Vec<(&'static str, String)>, Vec<u8>);

fn answer(request: &Message, shared: &Shared) -> Answer {
    let options = &shared.options;
    let leaving = shared.leaving.load(Ordering::SeqCst);
    let mut headers = vec![
        ("Keep-Alive", "timeout=10".to_owned()),
        ("X-Server-Load", shared.load()),
    ];
    if leaving {
        headers.push(("Server-Leaving", "1".to_owned()));
    }
    let (_, target) = request.request_line();
    if target == "/health" {
        headers.push(("X-Instance-Id", options.id.clone()));
        let start = if leaving {
            "HTTP/1.1 503 Service Unavailable"
        } else {
            "HTTP/1.1 200 OK"
        };
        return (start, headers, Vec::new());
    }
    let Some(attempt) = request.header("x-attempt-id") else {
        headers.push(("X-Not-Executed", "1".to_owned()));
        return ("HTTP/1.1 400 Bad Request", headers, Vec::new());
    };
    let expected = request.header("x-expected-instance");
    if expected.is_some_and(|e| e != options.id) {
        headers.push(("X-Instance-Id", options.id.clone()));
        return ("HTTP/1.1 421 Misdirected Request", headers, Vec::new());
    }
    if !shared.take_slot() {
        headers.push(("X-Not-Executed", "1".to_owned()));
        return ("HTTP/1.1 503 Service Unavailable", headers, Vec::new());
    }
    let run = Run {
        attempt: attempt.to_owned(),
        path: target.to_owned(),
        caller: request
            .header("x-caller-service")
            .unwrap_or_default()
            .to_owned(),
        id: options.id.clone(),
        service: options.service.clone(),
        at: shared.record.now(),
    };
    shared.record.line(&format!(
        "run {} {} at {} ({}), expected instance {}, caller {}",
        run.attempt,
        run.path,
        run.id,
        run.service,
        expected.unwrap_or("none"),
        run.caller
    ));
    shared.runs.lock().expect("lock").push(run);
    let end = Instant::now() + options.work;
    while Instant::now() < end && !shared.ended.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2).min(end.saturating_duration_since(Instant::now())));
    }
    shared.running.fetch_sub(1, Ordering::SeqCst);
    headers.push(("X-Attempt-Id", attempt.to_owned()));
    headers.push(("X-Server-Signature", format!("{}.{attempt}", options.id)));
    let body = format!("{} of {} ran {attempt}", options.id, options.service);
    ("HTTP/1.1 200 OK", headers, body.into_bytes())
}
