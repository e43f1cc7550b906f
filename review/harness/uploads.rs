//! Case `uploads`: requesters of one machine upload at the same time, each within the operator's
//! limit on bodies.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::daemon::{free_net, Machine, CONTROL, OUTBOUND, TARGET};
use crate::http;
use crate::platform::{judge_lost, watch, Watched};
use crate::steady::Steady;
use crate::store::Store;
use crate::target::{Runs, Target, TargetSpec};
use crate::{Setting, Verdict};

/// Size of a body; the operator's `maxBodyBytes` is 67,108,864.
const BODY_BYTES: usize = 60_000_000;

/// Speed at which a requester sends a body: three together stay below the machine's link of 1,000
/// Mbit/s, so that no packet waits for it.
const UPLOAD_BYTES_PER_S: f64 = 37.5e6;

/// Requesters of a machine that upload in the same round.
const REQUESTERS: usize = 3;

/// Rounds at each of the two machines, which take turns, and the time from one round to the next.
const ROUNDS: usize = 7;
const ROUND_PERIOD: Duration = Duration::from_millis(6500);

/// Requesters with kept connections at each of the machines whose requesters upload; together they
/// send about 30 safe requests a second.
const STEADY: usize = 8;

/// Machines whose requesters upload, and their services; the targets of the other service take the
/// uploads.
const UPLOADING: usize = 2;
const SERVICES: [&str; 4] = ["estimateur", "estimateur", "flotte", "flotte"];

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

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("config", &config());
    let net = free_net(SERVICES.len() as u8);
    let runs = Runs::default();
    let mut targets = Vec::new();
    let mut machines = Vec::new();
    for (i, service) in SERVICES.iter().enumerate() {
        let mut machine = Machine::new(
            net,
            i as u8 + 1,
            "est-a",
            "qc-est",
            service,
            store.addr,
            &setting.folder,
        );
        machine.start();
        let spec = TargetSpec {
            id: format!("i-{}", i + 1),
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
    let outbound: Vec<_> = machines
        .iter()
        .take(UPLOADING)
        .map(|m| m.addr(OUTBOUND))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    // Requesters of the machines whose requesters also upload.
    let steady = Steady::default();
    for machine in machines.iter().take(UPLOADING) {
        steady.start(&machine.name, machine.addr(OUTBOUND), STEADY, &stop, record);
    }
    let watched: Vec<Watched> = machines
        .into_iter()
        .map(|m| watch(m, &stop, record))
        .collect();
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let (sent, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let start = Instant::now();
    for round in 0..ROUNDS * UPLOADING {
        let addr = outbound[round % UPLOADING];
        let upload = |number: usize| {
            let (record, body) = (record.clone(), Arc::clone(&body));
            let (sent, answered) = (Arc::clone(&sent), Arc::clone(&answered));
            thread::spawn(move || {
                sent.fetch_add(1, Ordering::SeqCst);
                let id = format!("upload-{round}-{number}");
                let headers = [
                    ("Host", "a.example".to_owned()),
                    ("X-Attempt-Id", id.clone()),
                    ("X-Deadline-Ms", "2500".to_owned()),
                ];
                let answer = http::upload(addr, "/upload/f", &headers, &body, UPLOAD_BYTES_PER_S);
                let seen = match &answer {
                    Ok(answer) => format!("status {}", answer.status()),
                    Err(e) => format!("no answer: {e}"),
                };
                if answer.is_ok_and(|a| a.status() == 200) {
                    answered.fetch_add(1, Ordering::SeqCst);
                }
                record.line(&format!("{id} of {} bytes at {addr}: {seen}", body.len()));
            })
        };
        if setting.trouble {
            let uploads: Vec<_> = (0..REQUESTERS).map(upload).collect();
            for upload in uploads {
                let _ = upload.join();
            }
        } else {
            for number in 0..REQUESTERS {
                let _ = upload(number).join();
            }
        }
        sleep((ROUND_PERIOD * (round as u32 + 1)).saturating_sub(start.elapsed()));
    }
    stop.store(true, Ordering::SeqCst);
    let (sent, answered) = (sent.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    record.line(&format!("{sent} uploads, {answered} answered with 200"));
    let verdict = judge_lost(&watched, &steady, &runs, record);
    if !setting.trouble && answered < sent {
        return Verdict::Failed("uploads one after the other were not all answered".to_owned());
    }
    verdict
}
