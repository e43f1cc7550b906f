//! Case `uploads`: requesters of one machine upload at the same time, each within the operator's
//! limit on bodies.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::daemon::{free_net, Machine, CONTROL, OUTBOUND, TARGET};
use crate::http::call;
use crate::platform::{watch, Watched};
use crate::store::Store;
use crate::target::{Runs, Target, TargetSpec};
use crate::{Setting, Verdict};

/// Size of a body; the operator's `maxBodyBytes` is 67,108,864.
const BODY_BYTES: usize = 60_000_000;

/// Requesters of a machine that upload in the same round.
const REQUESTERS: usize = 3;

/// Rounds at each of the two machines, and the time from one to the next.
const ROUNDS: usize = 4;
const ROUND_PERIOD: Duration = Duration::from_secs(7);

/// Machines whose requesters upload, and their services; the targets of the other service take the
/// uploads.
const UPLOADING: usize = 2;
const SERVICES: [&str; 4] = ["cardview", "cardview", "intake", "intake"];

fn config() -> String {
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":240,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":38.0}}")
    };
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"upload\",\"host\":\"a.example\",\"pathPrefix\":\"/upload/\",\"kind\":\"upload\",\"timeoutS\":2.5,\"sloS\":0.4,\"priority\":1,\"service\":\"intake\",\"attempts\":2,\"allowedRegions\":[]}}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}",
        service("cardview"),
        service("intake"),
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
            "ishikari-a",
            "ishikari",
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
            slots: 12,
            work: Duration::from_millis(72),
            cold: Duration::ZERO,
            noisy: false,
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
    let watched: Vec<Watched> = machines
        .into_iter()
        .map(|m| watch(m, &stop, record))
        .collect();
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let (sent, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
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
                let answer = call(
                    addr,
                    "POST",
                    "/upload/f",
                    &headers,
                    &body,
                    Duration::from_secs(3),
                );
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
        sleep(ROUND_PERIOD / UPLOADING as u32);
    }
    stop.store(true, Ordering::SeqCst);
    let mut often = 0;
    for watched in &watched {
        let mut machine = watched.machine.lock().expect("machine");
        let ends = watched.ends.load(Ordering::SeqCst);
        often += usize::from(ends >= 3);
        record.line(&format!(
            "{}: ended {ends} times; peak of the present process {} bytes",
            machine.name,
            machine.memory("VmHWM")
        ));
        machine.kill();
    }
    let (sent, answered) = (sent.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    record.line(&format!(
        "{sent} uploads, {answered} answered with 200, {} runs; daemons of {often} of {} machines ended three times or more",
        runs.lock().expect("runs").len(),
        SERVICES.len()
    ));
    if !setting.trouble && answered < sent {
        return Verdict::Failed("uploads one after the other were not all answered".to_owned());
    }
    if often >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
