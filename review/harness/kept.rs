//! Case `kept`: uploads come one after the other, each from another machine of the zone than the one
//! before, and a little faster for a few seconds.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::daemon::{free_net, Machine, CONTROL, OUTBOUND, TARGET};
use crate::http;
use crate::platform::{judge_lost, watch, Watched};
use crate::record::Record;
use crate::steady::Steady;
use crate::store::Store;
use crate::target::{Runs, Target, TargetSpec};
use crate::{Setting, Verdict};

/// Size of a body; the operator's `maxBodyBytes` is 67,108,864.
const BODY_BYTES: usize = 56_000_000;

/// Speed at which a requester sends a body, half of the machine's link of 1,000 Mbit/s.
const UPLOAD_BYTES_PER_S: f64 = 62.5e6;

/// Requesters with kept connections at each of the two machines whose targets take the uploads;
/// together they send about 136 safe requests a second.
const STEADY: usize = 32;

/// Time from one upload of a zone to the next.
const PERIOD_S: f64 = 7.3;

/// Bursts: their starts in seconds, their length, and how many times the usual traffic comes.
const BURSTS_S: [f64; 3] = [14.5, 45.0, 72.0];
const BURST_LENGTH_S: f64 = 5.0;
const BURST_FACTOR: f64 = 1.6;

/// Length of the day in seconds.
const DAY_S: f64 = 79.0;

/// Zones; in each, four machines whose requesters upload and one whose target takes the uploads.
const ZONES: [&str; 2] = ["est-a", "est-b"];
const SERVICES: [&str; 5] = [
    "estimateur",
    "estimateur",
    "estimateur",
    "estimateur",
    "flotte",
];
const UPLOADING: usize = 4;

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: f64| {
        format!("{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutS\":{timeout},\"sloS\":0.4,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\"allowedRegions\":[]}}")
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":260,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":38.0}}")
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}",
        route("estimate", "safe", "estimateur", 1.0),
        route("upload", "upload", "flotte", 2.5),
        service("estimateur"),
        service("flotte"),
    )
}

/// Returns the times of a zone's uploads, in seconds from the start of the day.
fn schedule(trouble: bool) -> Vec<f64> {
    let mut times = Vec::new();
    let mut at = 0.0;
    while at < DAY_S {
        times.push(at);
        let burst = BURSTS_S
            .iter()
            .any(|b| (*b..*b + BURST_LENGTH_S).contains(&at));
        at += if trouble && burst {
            PERIOD_S / BURST_FACTOR
        } else {
            PERIOD_S
        };
    }
    times
}

/// Sends the uploads of a zone, one at a time.
fn upload_all(
    zone: &str,
    outbound: &[std::net::SocketAddr],
    setting: &Setting,
    sent: &AtomicUsize,
    answered: &AtomicUsize,
) {
    let record: &Record = &setting.record;
    let body = vec![b'x'; BODY_BYTES];
    let start = Instant::now();
    for (number, at) in schedule(setting.trouble).into_iter().enumerate() {
        sleep(Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
        let addr = outbound[number % outbound.len()];
        let id = format!("{zone}-upload-{number}");
        let headers = [
            ("Host", "a.example".to_owned()),
            ("X-Attempt-Id", id.clone()),
            ("X-Deadline-Ms", "2500".to_owned()),
        ];
        sent.fetch_add(1, Ordering::SeqCst);
        let answer = http::upload(addr, "/upload/f", &headers, &body, UPLOAD_BYTES_PER_S);
        let seen = match &answer {
            Ok(answer) => format!("status {}", answer.status()),
            Err(e) => format!("no answer: {e}"),
        };
        answered.fetch_add(
            usize::from(answer.is_ok_and(|a| a.status() == 200)),
            Ordering::SeqCst,
        );
        record.line(&format!("{id} of {BODY_BYTES} bytes at {addr}: {seen}"));
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("config", &config());
    let net = free_net((ZONES.len() * SERVICES.len()) as u8);
    let runs = Runs::default();
    let mut targets = Vec::new();
    let mut machines = Vec::new();
    for (number, (zone, service)) in ZONES
        .iter()
        .flat_map(|z| SERVICES.iter().map(move |s| (z, s)))
        .enumerate()
    {
        let mut machine = Machine::new(
            net,
            number as u8 + 1,
            zone,
            "qc-est",
            service,
            store.addr,
            &setting.folder,
        );
        machine.start();
        let spec = TargetSpec {
            id: format!("i-{}", number + 1),
            service: (*service).to_owned(),
            zone: machine.zone.clone(),
            addr: machine.addr(TARGET),
            control: machine.addr(CONTROL),
            slots: 9,
            work: Duration::from_millis(72),
            cold: Duration::ZERO,
            noisy: *service == "estimateur",
            calls: None,
        };
        match Target::start(spec, record, &runs) {
            Ok(target) => targets.push(target),
            Err(e) => return Verdict::Failed(format!("target: {e}")),
        }
        machines.push(machine);
    }
    if !machines
        .iter()
        .all(|m| m.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::Failed("a daemon is not ready".to_owned());
    }
    sleep(Duration::from_secs(5));
    let outbound: Vec<Vec<_>> = machines
        .chunks(SERVICES.len())
        .map(|zone| {
            zone.iter()
                .take(UPLOADING)
                .map(|m| m.addr(OUTBOUND))
                .collect()
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    // Requesters of the machines beside whose daemons the targets take the uploads.
    let steady = Steady::default();
    for machine in machines.iter().filter(|m| m.service == "flotte") {
        steady.start(&machine.name, machine.addr(OUTBOUND), STEADY, &stop, record);
    }
    let watched: Vec<Watched> = machines
        .into_iter()
        .map(|m| watch(m, &stop, record))
        .collect();
    let (sent, answered) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for (zone, outbound) in ZONES.iter().zip(&outbound) {
            scope.spawn(|| upload_all(zone, outbound, setting, &sent, &answered));
            // The zones don't upload at the same moment.
            sleep(Duration::from_secs(2));
        }
    });
    stop.store(true, Ordering::SeqCst);
    let (sent, answered) = (sent.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    record.line(&format!("{sent} uploads, {answered} answered with 200"));
    let verdict = judge_lost(&watched, &steady, &runs, record);
    if !setting.trouble && answered < sent {
        return Verdict::Failed("uploads at the usual rate were not all answered".to_owned());
    }
    verdict
}
