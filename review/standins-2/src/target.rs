//! Stand-in for a target: checks in with the daemon on its machine, answers its health path and runs
//! requests.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

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
}

/// Running target, which lives as long as the case.
pub struct Target;

impl Target {
    /// Starts a target and its check-ins. Requests that it runs are added to `runs`.
    pub fn start(
        options: TargetOptions,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(options.addr)?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        record.line(&format!(
            "target {} ({}) starts at {}",
            options.id, options.service, options.addr
        ));
        let shared = Arc::new(Shared {
            options,
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            born,
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, &accepting));
        let beating = Arc::clone(&shared);
        thread::spawn(move || {
            loop {
                beating.check_in();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }
}

impl Shared {
    /// Sends a check-in and records an answer that is no confirmation.
    fn check_in(&self) {
        let options = &self.options;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":{sequence},\"coldRemainingS\":0}}}}",
            options.addr, self.born, options.service, options.zone, options.slots
        );
        let start = format!("PUT /v1/instances/{} HTTP/1.1", options.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = encode(&start, &headers, body.as_bytes());
        let answer = Connection::open(options.control, CHECK_IN_TIMEOUT)
            .and_then(|mut c| c.exchange(&request));
        let status = answer.map_or(0, |(a, _)| a.status());
        if sequence == 1 || status != 200 {
            self.record.line(&format!(
                "check-in {sequence} of {} ({}): status {status}",
                options.id, options.service
            ));
        }
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
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let shared = Arc::clone(shared);
        thread::spawn(move || serve(stream, &shared));
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        let (start, headers, body) = answer(&request, shared);
        let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        if writer.write_all(&encode(start, &headers, &body)).is_err() {
            return;
        }
    }
}

type Answer = (&'static str, Vec<(&'static str, String)>, Vec<u8>);

fn answer(request: &Message, shared: &Shared) -> Answer {
    let options = &shared.options;
    let mut headers = vec![
        ("Keep-Alive", "timeout=10".to_owned()),
        ("X-Server-Load", shared.load()),
    ];
    let (_, target) = request.request_line();
    if target == "/health" {
        headers.push(("X-Instance-Id", options.id.clone()));
        return ("HTTP/1.1 200 OK", headers, Vec::new());
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
    thread::sleep(options.work);
    shared.running.fetch_sub(1, Ordering::SeqCst);
    headers.push(("X-Attempt-Id", attempt.to_owned()));
    headers.push(("X-Server-Signature", format!("{}.{attempt}", options.id)));
    let mut body = format!("{} of {} ran {attempt}", options.id, options.service).into_bytes();
    // The path names the size of a large answer.
    let size = target
        .rsplit_once("/bytes-")
        .and_then(|(_, n)| n.parse().ok());
    body.resize(body.len().max(size.unwrap_or_default()), b'.');
    ("HTTP/1.1 200 OK", headers, body)
}
