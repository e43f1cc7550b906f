//! Trial, not a case (see REPORT.md): all daemons are killed at once and started again, in an
//! installation whose machines have been replaced many times. `REMOVED` sets how many.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::daemon::{free_net, Machine, CONTROL, OUTBOUND, TARGET};
use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::target::{Calls, Runs, Target, TargetSpec};
use crate::{Setting, Verdict};

/// Machines that have been removed, each of which had a daemon that announced itself.
const REMOVED_MACHINES: usize = 5000;

/// `recoverS`.
const RECOVER: Duration = Duration::from_secs(15);

/// Time for which requests are judged after [`RECOVER`], and before the kill.
const JUDGED: Duration = Duration::from_secs(15);

/// Time that the processes stay down.
const DOWN: Duration = Duration::from_millis(1000);

/// Machines of the installation: zone and service.
const MACHINES: [(&str, &str); 14] = [
    ("est-a", "estimateur"),
    ("est-a", "estimateur"),
    ("ouest-a", "estimateur"),
    ("ouest-a", "estimateur"),
    ("est-b", "estimateur"),
    ("ouest-b", "estimateur"),
    ("est-a", "remise"),
    ("ouest-a", "remise"),
    ("est-b", "remise"),
    ("ouest-b", "remise"),
    ("est-a", "flotte"),
    ("ouest-a", "flotte"),
    ("est-b", "flotte"),
    ("ouest-b", "flotte"),
];

/// Requests: route, method, and requests a second of the whole installation.
const KINDS: [(&str, &str, f64); 3] = [
    ("estimate", "GET", 141.0),
    ("remit", "POST", 48.0),
    ("upload", "POST", 18.6),
];

fn config() -> String {
    let route = |name: &str, kind: &str, service: &str, homes: &str, timeout: f64| {
        format!("{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutS\":{timeout},\"sloS\":0.4,\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\"allowedRegions\":[{homes}]}}")
    };
    let routes = [
        route("estimate", "safe", "estimateur", "", 1.0),
        route("remit", "unsafe", "remise", "\"qc-est\"", 1.2),
        route("upload", "upload", "flotte", "", 2.5),
        route("rate", "safe", "remise", "", 0.2),
        route("km", "safe", "flotte", "", 0.2),
    ];
    let services = ["estimateur", "remise", "flotte"].map(|name| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":260,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":38.0}}")
    });
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn spec(machine: &Machine, number: usize) -> TargetSpec {
    let calls = |target: &str, times| {
        Some(Calls {
            outbound: machine.addr(OUTBOUND),
            target: target.to_owned(),
            times,
        })
    };
    let (work, calls) = match machine.service.as_str() {
        "estimateur" => (60, calls("/rate/r", 2)),
        "remise" => (78, calls("/km/k", 1)),
        _ => (72, None),
    };
    TargetSpec {
        id: format!("i-{number}"),
        service: machine.service.clone(),
        zone: machine.zone.clone(),
        addr: machine.addr(TARGET),
        control: machine.addr(CONTROL),
        slots: 9,
        work: Duration::from_millis(work),
        cold: Duration::ZERO,
        noisy: false,
        calls,
    }
}

/// Requests by the time at which they were sent, and whether they were served.
type Sent = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Sends the requests of one kind at one machine until told to stop.
fn send_requests(
    kind: (&'static str, &'static str, f64),
    machine: &Machine,
    stop: &Arc<AtomicBool>,
    sent: &Sent,
) {
    let (route, method, per_s) = kind;
    let period = Duration::from_secs_f64(MACHINES.len() as f64 / per_s);
    let (addr, name) = (machine.addr(OUTBOUND), machine.name.clone());
    let (stop, sent) = (Arc::clone(stop), Arc::clone(sent));
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            sleep(period);
            number += 1;
            let id = format!("{name}-{route}-{number}");
            let sent = Arc::clone(&sent);
            thread::spawn(move || {
                let at = Instant::now();
                let headers = [
                    ("Host", "a.example".to_owned()),
                    ("X-Attempt-Id", id),
                    ("X-Deadline-Ms", "2000".to_owned()),
                ];
                let body: &[u8] = if method == "POST" { b"content" } else { b"" };
                let answer = call(
                    addr,
                    method,
                    &format!("/{route}/x"),
                    &headers,
                    body,
                    Duration::from_secs(3),
                );
                let served = answer.is_ok_and(|a| a.status() == 200);
                sent.lock().expect("sent").push((at, served));
            });
        }
    });
}

/// Returns the number of requests sent in a span and how many of them were served.
fn count(sent: &Sent, from: Instant, to: Instant) -> (usize, usize) {
    let sent = sent.lock().expect("sent");
    let span = sent.iter().filter(|(at, _)| (from..to).contains(at));
    span.fold((0, 0), |(all, served), (_, ok)| {
        (all + 1, served + usize::from(*ok))
    })
}

fn members(machines: &[Machine], record: &Record) {
    let counts = machines.iter().map(|machine| {
        let text = call(
            machine.addr(7603),
            "GET",
            "/metrics",
            &[("Host", "m".to_owned())],
            b"",
            Duration::from_secs(1),
        );
        let text = text
            .map(|t| String::from_utf8_lossy(&t.body).into_owned())
            .unwrap_or_default();
        let line = text
            .lines()
            .find(|l| l.starts_with("cornelvalve_members "))
            .unwrap_or_default();
        line.split(' ').nth(1).unwrap_or("?").to_owned()
    });
    record.line(&format!(
        "daemons that each of the 14 daemons knows, itself included: {}",
        counts.collect::<Vec<_>>().join(" ")
    ));
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let removed = std::env::var("REMOVED")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(REMOVED_MACHINES);
    let store = Store::start();
    store.put("config", &config());
    let net = free_net(MACHINES.len() as u8);
    let mut machines: Vec<Machine> = MACHINES
        .iter()
        .enumerate()
        .map(|(i, (zone, service))| {
            let region = if zone.starts_with("est") {
                "qc-est"
            } else {
                "qc-ouest"
            };
            Machine::new(
                net,
                i as u8 + 1,
                zone,
                region,
                service,
                store.addr,
                &setting.folder,
            )
        })
        .collect();
    let runs = Runs::default();
    let quiet = record.clone().without_runs();
    let mut targets = Vec::new();
    for (i, machine) in machines.iter_mut().enumerate() {
        machine.start();
        match Target::start(spec(machine, i + 1), &quiet, &runs) {
            Ok(target) => targets.push(target),
            Err(e) => return Verdict::Failed(format!("target: {e}")),
        }
    }
    if !machines
        .iter()
        .all(|m| m.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::Failed("a daemon is not ready".to_owned());
    }
    sleep(Duration::from_secs(5));
    for i in 0..removed {
        let addr = format!(
            "127.{}.{}.{}:7600",
            210 + i / 62_500,
            (i / 250) % 250,
            1 + i % 250
        );
        let name = format!("sidecar-removed-{i}");
        store.put_topic(
            "keyed.daemons",
            &name,
            &format!("{{\"vm\":\"{name}\",\"addr\":\"{addr}\"}}"),
        );
    }
    record.line(&format!(
        "the store has the records of {removed} machines that were removed"
    ));
    members(&machines, record);
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Sent::default();
    for machine in &machines {
        for kind in KINDS {
            send_requests(kind, machine, &stop, &sent);
        }
    }
    let start = Instant::now();
    sleep(JUDGED);
    let before = count(&sent, start, start + JUDGED - Duration::from_secs(3));
    record.line(&format!(
        "before: {} requests, {} served",
        before.0, before.1
    ));
    if setting.trouble {
        for machine in &mut machines {
            machine.kill();
        }
        record.line("all daemons are killed");
        sleep(DOWN);
        for machine in &mut machines {
            machine.start_again();
        }
        record.line("all daemons are started again");
    }
    let back = Instant::now();
    while back.elapsed() < RECOVER + JUDGED {
        sleep(Duration::from_secs(5));
        members(&machines, record);
    }
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    let after = count(&sent, back + RECOVER, back + RECOVER + JUDGED);
    record.line(&format!(
        "sent later than 15 s after the daemons were back: {} requests, {} served",
        after.0, after.1
    ));
    sleep(Duration::from_secs(1));
    if before.1 * 4 < before.0 {
        return Verdict::Failed("less than a quarter was served before".to_owned());
    }
    if after.1 * 4 < after.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
