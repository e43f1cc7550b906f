//! Stand-in of a target: runs requests, answers its health path and checks in with its daemon.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, read_message, write_response, Message};
use crate::record::Record;

/// Time between two check-ins (`heartbeatS`).
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Noise of the neighbours on a target's machine, as in the site files: in a share of the periods work
/// takes longer.
const NOISE_PERIOD: Duration = Duration::from_millis(500);
const NOISE_SHARE: f64 = 0.35;
const NOISE_PERCENT: u64 = 700;

/// What a target is.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Address for check-ins of the daemon on its machine.
    pub control: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// Time for which the target is cold after its start.
    pub cold: Duration,
    /// Whether its machine has noisy neighbours.
    pub noisy: bool,
    /// Calls that seven in ten of its runs make through the daemon of its machine.
    pub calls: Option<Calls>,
}

/// Calls that a run makes, one after the other.
#[derive(Clone, Debug)]
pub struct Calls {
    /// Address of the daemon for requesters and the target.
    pub outbound: SocketAddr,
    /// Target of each call, a safe request.
    pub target: String,
    pub times: usize,
}

/// Share of the runs that make calls.
const CALLS_SHARE: f64 = 0.7;

/// Time that a call may take.
const CALL_DEADLINE: Duration = Duration::from_millis(200);

/// Run of a request.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub struct Run {
    pub attempt: String,
    pub request: String,
    pub caller: String,
    pub body_bytes: usize,
    pub service: String,
    pub instance: String,
}

/// Runs of all targets.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Shared {
    spec: TargetSpec,
    started: Instant,
    record: Record,
    runs: Runs,
    alive: AtomicBool,
    running: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

/// Running target.
pub struct Target {
    shared: Arc<Shared>,
}

impl Target {
    /// Starts a target with its check-ins.
    pub fn start(spec: TargetSpec, record: &Record, runs: &Runs) -> std::io::Result<Self> {
        let listener = TcpListener::bind(spec.addr)?;
        listener.set_nonblocking(true)?;
        record.line(&format!(
            "target {} of service {} starts at {}",
            spec.id, spec.service, spec.addr
        ));
        let shared = Arc::new(Shared {
            spec,
            started: Instant::now(),
            record: record.clone(),
            runs: Arc::clone(runs),
            alive: AtomicBool::new(true),
            running: AtomicU64::new(0),
            connections: Mutex::new(Vec::new()),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, &accepting));
        let checking_in = Arc::clone(&shared);
        thread::spawn(move || check_in(&checking_in));
        Ok(Self { shared })
    }

    /// Ends the target like a crash: the listener and all connections close.
    pub fn crash(&self) {
        self.shared.alive.store(false, Ordering::SeqCst);
        for connection in self
            .shared
            .connections
            .lock()
            .expect("connections")
            .drain(..)
        {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.shared
            .record
            .line(&format!("target {} ends", self.shared.spec.id));
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while shared.alive.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    shared.connections.lock().expect("connections").push(copy);
                }
                let shared = Arc::clone(shared);
                thread::spawn(move || serve(stream, &shared));
            }
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
}

/// Answers the requests of one connection, one at a time.
fn serve(stream: TcpStream, shared: &Shared) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Ok(Some(request)) = read_message(&mut reader) {
        if !shared.alive.load(Ordering::SeqCst) || answer(&mut writer, &request, shared).is_err() {
            return;
        }
    }
}

/// Returns how long the target stays cold.
fn cold_left(shared: &Shared) -> Duration {
    shared.spec.cold.saturating_sub(shared.started.elapsed())
}

/// Returns how long work takes at this moment, in percent of the usual time.
fn percent(shared: &Shared) -> u64 {
    let period = shared.started.elapsed().as_millis() / NOISE_PERIOD.as_millis();
    let drawn = drawn(&(shared.spec.id.as_str(), period));
    if shared.spec.noisy && drawn < NOISE_SHARE {
        NOISE_PERCENT
    } else {
        100
    }
}

fn load(shared: &Shared) -> (&'static str, String) {
    let running = shared.running.load(Ordering::SeqCst);
    let percent = percent(shared);
    (
        "X-Server-Load",
        format!("{running},0,{},{percent}", shared.spec.slots),
    )
}

fn answer(writer: &mut TcpStream, request: &Message, shared: &Shared) -> std::io::Result<()> {
    let spec = &shared.spec;
    let instance = ("X-Instance-Id", spec.id.clone());
    if request.method() == "GET" && request.target() == "/health" {
        let cold = cold_left(shared).as_millis();
        let mut headers = vec![instance, load(shared)];
        if cold > 0 {
            headers.push(("X-Cold-Ms", cold.to_string()));
        }
        return write_response(writer, 200, &headers, b"");
    }
    let attempt = request.header("x-attempt-id").to_owned();
    let expected = request.header("x-expected-instance");
    if !expected.is_empty() && expected != spec.id {
        shared
            .record
            .line(&format!("target {} answers 421 to {attempt}", spec.id));
        return write_response(writer, 421, &[instance], b"");
    }
    let run = Run {
        attempt: attempt.clone(),
        request: format!("{} {}", request.method(), request.target()),
        caller: request.header("x-caller-service").to_owned(),
        body_bytes: request.body.len(),
        service: spec.service.clone(),
        instance: spec.id.clone(),
    };
    shared.record.run(&format!(
        "target {} of service {} runs {attempt}: {}, body {}, X-Caller-Service {}, X-Expected-Instance {expected}",
        run.instance, run.service, run.request, run.body_bytes, run.caller
    ));
    shared.runs.lock().expect("runs").push(run);
    shared.running.fetch_add(1, Ordering::SeqCst);
    thread::sleep(spec.work * percent(shared) as u32 / 100);
    let called = make_calls(&attempt, spec);
    shared.running.fetch_sub(1, Ordering::SeqCst);
    let status = if called { 200 } else { 500 };
    let headers = [
        ("X-Attempt-Id", attempt),
        ("X-Server-Signature", format!("sig-{}", spec.id)),
        load(shared),
    ];
    write_response(writer, status, &headers, spec.service.as_bytes())
}

/// Makes the calls of a run; returns whether none of them failed.
fn make_calls(attempt: &str, spec: &TargetSpec) -> bool {
    let Some(calls) = spec
        .calls
        .as_ref()
        .filter(|_| drawn(&attempt) < CALLS_SHARE)
    else {
        return true;
    };
    (0..calls.times).all(|number| {
        let headers = [
            ("Host", "a.example".to_owned()),
            ("X-Attempt-Id", format!("{attempt}-call-{number}")),
            ("X-Deadline-Ms", CALL_DEADLINE.as_millis().to_string()),
        ];
        let answer = call(
            calls.outbound,
            "GET",
            &calls.target,
            &headers,
            b"",
            2 * CALL_DEADLINE,
        );
        answer.is_ok_and(|a| a.status() == 200)
    })
}

/// Returns a number from 0 to 1 that follows from a value.
fn drawn(value: &impl Hash) -> f64 {
    let mut hash = DefaultHasher::new();
    value.hash(&mut hash);
    hash.finish() as f64 / u64::MAX as f64
}

/// Sends check-ins until the target ends.
fn check_in(shared: &Shared) {
    let spec = &shared.spec;
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis());
    let mut sequence = 0;
    while shared.alive.load(Ordering::SeqCst) {
        sequence += 1;
        let body = format!(
            "{{\"born\":{born},\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"coldRemainingS\":{:.3}}}}}",
            spec.addr, spec.service, spec.zone, spec.slots, cold_left(shared).as_secs_f64()
        );
        let path = format!("/v1/instances/{}", spec.id);
        let headers = [
            ("Host", spec.control.to_string()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let answer = call(
            spec.control,
            "PUT",
            &path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |a| a.status());
        if sequence == 1 || status != 200 {
            shared.record.line(&format!(
                "check-in {sequence} of target {}: status {status}",
                spec.id
            ));
        }
        thread::sleep(if status == 200 {
            HEARTBEAT
        } else {
            Duration::from_millis(200)
        });
    }
}
